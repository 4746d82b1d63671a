// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The control daemon. It has one thread each for decisions (the core), the network and the store.

#ifndef BEACONGATE_DAEMON_CONTROLAPP_H
#define BEACONGATE_DAEMON_CONTROLAPP_H

#include "coordination/controlcore.h"
#include "daemon/corequeue.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/loopinbox.h"
#include "transport/ring.h"
#include "transport/rpc.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace beacongate
{
/// Validated settings of a control process.
struct ControlOptions
{
	ControlSettings core;
	Address listen; ///< For other control processes and operators.
	Address entry;  ///< Internal address of the entry on the same VM.
	Address store;
	std::optional<Address> vmList;
};

/// One control process.
class ControlApp
{
public:
	explicit ControlApp(ControlOptions _options);
	~ControlApp();
	ControlApp(const ControlApp&) = delete;
	ControlApp& operator=(const ControlApp&) = delete;

	/// Binds the listen address and starts the threads.
	/// @throws Error SettingInvalid where the address cannot be bound.
	void init();

	/// Stops the threads.
	void shutdown();

	/// @returns the bound port, also where the settings give port 0.
	std::uint16_t port() const;

private:
	/// Purpose of an HTTP call of the network thread.
	enum class CallKind
	{
		EntrySync,
		PeerExchange,
		VmList,
	};

	void runCore();
	void route(ControlActions& _actions);
	void runStore();
	StoreAnswered callStore(const ControlAction& _action);
	void onAction(ControlAction& _action);
	void onAnswer(std::uint64_t _call, const HttpAnswer& _answer);
	void onFault(std::uint64_t _call);
	void onVmList(const std::string& _body);
	void startCall(CallKind _kind, const Address& _address, const std::string& _method, std::string _target,
				   std::string _body);
	void pollEntry();
	HttpAnswer answerHttp(HttpRequest& _request);
	std::string startChange(const std::string& _text);
	std::string changeStatus(const std::string& _text);
	std::string members();

	ControlOptions m_options;
	ControlCore m_core; ///< Used by the core thread only.
	CoreQueue<ControlCore, ControlEvent> m_queue;
	IoLoop m_loop;
	HttpServer m_server;
	HttpClient m_client;
	RpcServer m_rpc;
	std::map<std::uint64_t, CallKind> m_calls;
	std::uint64_t m_nextCall = 1;

	LoopInbox<ControlAction> m_toLoop;
	Ring<ControlAction> m_toStore;
	Wakeup m_storeWakeup;
	std::thread m_coreThread;
	std::thread m_storeThread;
	std::atomic<bool> m_isShuttingDown = false;

	std::mutex m_changesMutex; ///< Guards m_changes and m_nextChange.
	std::map<std::uint64_t, std::optional<AnswerOperator>> m_changes;
	std::uint64_t m_nextChange = 1;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_CONTROLAPP_H
