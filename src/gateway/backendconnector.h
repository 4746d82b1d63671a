// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Opens connections to backend servers: directly, or through another gateway where this one has no path.

#ifndef BEACONGATE_GATEWAY_BACKENDCONNECTOR_H
#define BEACONGATE_GATEWAY_BACKENDCONNECTOR_H

#include "coordination/backendreachability.h"
#include "coordination/peertable.h"
#include "coordination/tunnelpeers.h"
#include "gateway/gatewaysettings.h"
#include "protocol/tunnelcodec.h"
#include "transport/outgoingcall.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate
{
/// The backend server to connect to.
struct BackendTarget
{
	BackendIdentity backend;
	Address address;
	Micros connectSpan = 0; ///< Timeout for establishing the connection, on each way that is tried.
};

/// A connection to a backend server, or the reason why there is none.
struct BackendConnection : CallConnection
{
	std::string via = {}; ///< Host of the gateway that provides the tunnel; empty for a direct connection.
};

/// Opens connections to backend servers.
///
/// A gateway that is partitioned from all backend servers is still reached by its callers and by other gateways,
/// some of which reach the servers. Such a gateway asks them for tunnels: connections whose bytes the other gateway
/// passes on unchanged, so that routing, limits, retries and answers remain with this one. A tunnel is established
/// before any byte of a request is sent, so that a failure to get one proves that the request did not run. A
/// gateway opens tunnels with direct connections alone: there is one hop at most.
///
/// A refused direct connection is tried through another gateway at once. If that one is refused too, the server's
/// process has ended. A connection that times out is only tried so while this gateway counts as isolated, since the
/// server's VM may be lost.
class BackendConnector
{
public:
	using Handler = std::function<void(const BackendConnection&)>;

	/// TCP_USER_TIMEOUT of connections to backend servers and of tunnels.
	static constexpr Micros kUserTimeout = 3 * kSecond;
	/// Timeout for establishing a connection to another gateway, and for its answer on top of the timeout for the
	/// backend server.
	static constexpr Micros kPeerTimeout = 300 * kMillisecond;
	/// Interval of the connections by which an isolated gateway finds that its path is back.
	static constexpr Micros kProbeInterval = 300 * kMillisecond;

	/// All arguments must outlive the connector.
	BackendConnector(boost::asio::io_context& _loop, const GatewaySettings& _settings, const RelayChoice& _members,
					 const PeerTable& _peers, std::minstd_rand& _random);

	/// Opens a connection, directly or through another gateway. The handler is not called from inside this
	/// function.
	void open(const BackendTarget& _target, Handler _done);

	/// Opens a direct connection. The handler is not called from inside this function.
	void openDirect(const BackendTarget& _target, Handler _done);

	/// @returns true if this gateway reaches no backend server itself, as far as is known.
	bool isIsolated() const
	{
		return m_reachability.isIsolated();
	}

	/// @returns how often other gateways answered requests for tunnels in each way.
	const std::map<TunnelVerdict, std::uint64_t>& tunnelCounts() const
	{
		return m_tunnelCounts;
	}

private:
	struct TunnelAttempt;
	using TunnelAttemptPtr = std::shared_ptr<TunnelAttempt>;

	/// Tries a direct connection, then a tunnel if that may help.
	void openDirectFirst(const BackendTarget& _target, const Handler& _done);
	/// Asks other gateways for a tunnel, one after the other.
	/// @param[in] _done Is called with a verdict of a gateway that can open tunnels; Unable if there is none.
	void openTunnel(const BackendTarget& _target,
					std::function<void(TunnelVerdict, const BackendConnection&)> _done);
	void askNext(const TunnelAttemptPtr& _attempt);
	void onPeerConnected(const TunnelAttemptPtr& _attempt, const TcpConnection::Ptr& _connection);
	void onPeerAnswer(const TunnelAttemptPtr& _attempt, TunnelVerdict _verdict);
	static BackendConnection openedTunnel(const TunnelAttempt& _attempt, const TcpConnection::Ptr& _connection);
	void noteIsolation(bool _before);
	void scheduleProbe();
	void probe();

	boost::asio::io_context& m_loop;
	const GatewaySettings& m_settings;
	const RelayChoice& m_members;
	const PeerTable& m_peers;
	std::minstd_rand& m_random;
	BackendReachability m_reachability;
	TunnelPeers m_tunnelPeers;
	std::map<TunnelVerdict, std::uint64_t> m_tunnelCounts;
	boost::asio::steady_timer m_probeTimer;
	BackendTarget m_lastTarget; ///< Target of the next probe.
	bool m_probing = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_BACKENDCONNECTOR_H
