// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The gateway process: everything between callers and backend servers on one VM, on one event loop.

#ifndef BEACONGATE_GATEWAY_GATEWAY_H
#define BEACONGATE_GATEWAY_GATEWAY_H

#include "gateway/backendlistsync.h"
#include "gateway/dispatcher.h"
#include "gateway/dutyholder.h"
#include "gateway/gatewaycontext.h"
#include "gateway/gossiper.h"
#include "gateway/registration.h"
#include "gateway/storesync.h"
#include "transport/serversession.h"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace beacongate
{
/// One gateway.
class Gateway
{
public:
	/// @param[in] reload Reads the settings anew; its failure leaves the present ones in force.
	Gateway(GatewaySettings _settings, std::function<GatewaySettings()> _reload);

	/// Listens and begins to talk to the store and to peers.
	/// @throws Error SettingInvalid where an address cannot be bound.
	void init();

	/// Runs until a stop has been completed.
	void run();

	/// Runs a function on the event loop's thread, at some later time.
	void post(std::function<void()> _function);

	/// Stops: takes requests until the balancer has noticed, ends what runs, and ends.
	void requestStop();

private:
	std::shared_ptr<ServerContext> makeContext();
	void onCallerRequest(const ServerSessionPtr& _session, IncomingRequest&& _request);
	void onReadinessRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	void onControlRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	std::string formatMetrics();
	bool ready() const;
	void waitForSignal();
	void reloadSettings();
	void stopStep();
	void shutdown();
	RequestLimits limitsInForce() const;

	GatewayContext m_context;
	std::function<GatewaySettings()> m_reload;
	Dispatcher m_dispatcher;
	std::shared_ptr<ServerContext> m_callers;
	std::shared_ptr<ServerContext> m_questions;
	std::unique_ptr<ServerListener> m_callerListener;
	std::unique_ptr<ServerListener> m_readinessListener;
	std::unique_ptr<ServerListener> m_controlListener;
	std::unique_ptr<ServerListener> m_metricsListener;
	std::shared_ptr<StoreSync> m_store;
	std::shared_ptr<BackendListSync> m_backendList;
	std::shared_ptr<Registration> m_registration;
	std::shared_ptr<DutyHolder> m_duties;
	std::unique_ptr<Gossiper> m_gossiper;
	boost::asio::signal_set m_signals;
	boost::asio::steady_timer m_stopTimer;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAY_H
