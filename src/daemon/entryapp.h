// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The entry daemon. It has one thread each for callers, decisions (the core), backend servers and internal
/// traffic.

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
/// Validated settings of an entry.
struct EntryOptions
{
	std::string id;
	std::string dataCentre;
	Address listen;                   ///< For callers.
	Address internal;                 ///< For the control process, other entries, operators and metric scrapers.
	Micros stopGrace = 2 * kSecond;   ///< Time for which requests are accepted after a stop request.
	Micros stopNotice = 30 * kSecond; ///< Time after which a planned stop ends at the latest.
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

	/// Starts a planned stop; may be called from any thread.
	void requestStop();

	/// @returns true if a planned stop has completed.
	bool stopped() const;

	/// Waits until the connections of callers are closed, so that they receive their last bytes.
	/// @param[in] _span Maximum wait.
	void linger(Micros _span) const;

	/// Stops the threads.
	void shutdown();

	/// @returns the bound port for callers, also where the settings give port 0.
	std::uint16_t callerPort() const;

	/// @returns the bound port for internal traffic, also where the settings give port 0.
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
	EntryCore m_core; ///< Used by the core thread only.
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
	std::atomic<bool> m_isShuttingDown = false;
	std::atomic<bool> m_stopped = false;

	mutable std::mutex m_reportMutex; ///< Guards m_report and m_loadTargets, which other threads read.
	std::string m_report;
	std::vector<std::pair<std::string, Address>> m_loadTargets;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_ENTRYAPP_H
