// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The gateway process: handles all traffic between callers and backend servers on one VM, on one event loop.

#ifndef BEACONGATE_GATEWAY_GATEWAY_H
#define BEACONGATE_GATEWAY_GATEWAY_H

#include "gateway/backendlistsync.h"
#include "gateway/dispatcher.h"
#include "gateway/dutyholder.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gossiper.h"
#include "gateway/originlogwriter.h"
#include "gateway/registration.h"
#include "gateway/relayslotwriter.h"
#include "gateway/storesync.h"
#include "gateway/tunnelserver.h"
#include "gateway/versionlogwriter.h"
#include "transport/serversession.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace beacongate
{
/// One gateway process.
class Gateway
{
public:
	/// @param[in] _settings Settings at the start.
	/// @param[in] _reload Reads the settings again; if it throws an Error, the current ones stay in force.
	Gateway(GatewaySettings _settings, std::function<GatewaySettings()> _reload);

	/// Opens the listeners and starts the exchange with the store and with peers.
	/// @throws Error SettingInvalid if an address cannot be bound.
	void init();

	/// Runs until a requested stop is complete.
	void run();

	/// Runs a function later on the event loop's thread.
	void post(std::function<void()> _function);

	/// Starts a graceful stop: accepts requests until the load balancer has noticed, finishes running requests,
	/// and ends.
	void requestStop();

private:
	std::shared_ptr<ServerContext> makeServerContext();
	void onCallerRequest(const ServerSessionPtr& _session, IncomingRequest&& _request);
	void onReadinessRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	void onControlRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	/// Releases a blocked request on behalf of an operator.
	/// @param[in] _content Its fingerprint, as logs and the state dump show it.
	HttpAnswer releaseRequest(std::string_view _content);
	std::string formatMetrics();
	bool ready() const;
	void waitForSignal();
	void reloadSettings();
	void pollStop();
	/// Ends the requests that are still open.
	void endOpenRequests();
	void shutdown();
	RequestLimits currentLimits() const;

	GatewayContext m_context;
	std::function<GatewaySettings()> m_reload;
	Dispatcher m_dispatcher;
	TunnelServer m_tunnels;
	std::shared_ptr<ServerContext> m_callerContext;
	std::shared_ptr<ServerContext> m_controlContext;
	std::unique_ptr<ServerListener> m_callerListener;
	std::unique_ptr<ServerListener> m_readinessListener;
	std::unique_ptr<ServerListener> m_controlListener;
	std::unique_ptr<ServerListener> m_metricsListener;
	std::shared_ptr<StoreSync> m_store;
	std::shared_ptr<BackendListSync> m_backendList;
	std::shared_ptr<Registration> m_registration;
	std::shared_ptr<RelaySlotWriter> m_relaySlot;
	std::shared_ptr<VersionLogWriter> m_versionLog;
	std::shared_ptr<OriginLogWriter> m_originLog;
	std::shared_ptr<DutyHolder> m_duties;
	std::unique_ptr<Gossiper> m_gossiper;
	boost::asio::signal_set m_signals;
	boost::asio::steady_timer m_stopTimer;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAY_H
