// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The entry daemon: a thread each for callers, decisions, backend servers and the inside.

#ifndef BEACONGATE_DAEMON_ENTRYAPP_H
#define BEACONGATE_DAEMON_ENTRYAPP_H

#include "coordination/entrycore.h"
#include "daemon/backendadapter.h"
#include "daemon/calleradapter.h"
#include "daemon/corequeue.h"
#include "protocol/json.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/loopinbox.h"
#include "transport/rpc.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace beacongate
{
/// Settings of an entry, checked.
struct EntryOptions
{
	std::string id;
	std::string dataCentre;
	Address listen;   ///< For callers.
	Address internal; ///< For control, other entries, operators and scrapers.
	Micros stopGrace = 2 * kSecond;
	Micros stopNotice = 30 * kSecond;
	std::uint64_t seed = 1;
};

/// One entry process.
class EntryApp
{
public:
	explicit EntryApp(EntryOptions _options);
	~EntryApp();
	EntryApp(const EntryApp&) = delete;
	EntryApp& operator=(const EntryApp&) = delete;

	/// Binds the addresses and starts the threads.
	/// @throws Error SettingInvalid where an address cannot be bound.
	void init();

	/// Begins a planned stop; may be called from any thread.
	void requestStop();

	/// @returns whether a planned stop has ended.
	bool stopped() const;

	/// Waits until callers have their last bytes, at most for a span.
	void linger(Micros _span) const;

	/// Ends the threads.
	void shutdown();

	/// @returns the ports in use, also where 0 was asked for.
	std::uint16_t callerPort() const;
	std::uint16_t internalPort() const;

private:
	void runCore();
	void handle(Event _event, Actions& _actions);
	void route(Actions& _actions);
	void publish();
	void onInternal(ExchangeId _exchange, HttpRequest&& _request);
	HttpAnswer answerInternal(HttpRequest& _request);
	std::string sync(const std::string& _text);
	std::string report() const;
	void sendPeers(std::vector<std::unique_ptr<Action>>& _batch);
	void pollLoad();

	EntryOptions m_options;
	EntryRef m_self;
	EntryCore m_core; ///< Of the core thread alone.
	CoreQueue<EntryCore, Event> m_queue;
	CallerAdapter::EntryStatus m_entryStatus;

	IoLoop m_callerLoop;
	IoLoop m_backendLoop;
	IoLoop m_internalLoop;
	CallerAdapter m_callerAdapter;
	BackendAdapter m_backendAdapter;
	HttpServer m_callerServer;
	HttpServer m_internalServer;
	HttpClient m_peerClient;
	RpcServer m_rpc;
	std::uint64_t m_nextPeerCall = 1;

	LoopInbox<Action> m_toCallers;
	LoopInbox<Action> m_toBackends;
	LoopInbox<Action> m_toPeers;
	std::thread m_coreThread;
	std::atomic<bool> m_ending = false;
	std::atomic<bool> m_stopped = false;

	mutable std::mutex m_reportMutex; ///< Guards what other threads read of the core.
	std::string m_report;
	std::vector<std::pair<std::string, Address>> m_loadTargets;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_ENTRYAPP_H
