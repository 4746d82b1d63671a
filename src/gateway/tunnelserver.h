// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Provides tunnels to backend servers for gateways that have no path to them.

#ifndef BEACONGATE_GATEWAY_TUNNELSERVER_H
#define BEACONGATE_GATEWAY_TUNNELSERVER_H

#include "gateway/gatewaycontext.h"
#include "transport/serversession.h"

#include <cstddef>
#include <functional>
#include <unordered_set>

namespace beacongate
{
/// Answers requests for tunnels, and passes the bytes of open tunnels on in both directions.
///
/// A tunnel leads only to a backend server that this gateway's list names. If the gateway ends it, the connection
/// to the backend server is closed at once, so that a cancelled request does not run on. The backend server's bytes
/// are sent in frames, the last of which says how its connection ended: if this process is lost, there is no such
/// frame, and an answer which was cut off does not look complete.
class TunnelServer
{
public:
	/// Largest number of open tunnels. Each takes two descriptors and up to 2 * kMaxUnsent bytes of memory.
	static constexpr std::size_t kMaxTunnels = 256;
	/// Bytes that one side has not accepted yet, from which on the other side is not read.
	static constexpr std::size_t kMaxUnsent = 64u << 10;

	explicit TunnelServer(GatewayContext& _context) : m_context(_context)
	{
	}

	/// Answers a request for a tunnel.
	void onRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);

	/// @returns the number of open tunnels.
	std::size_t openTunnels() const
	{
		return m_tunnels.size();
	}

	/// @returns the number of tunnels opened since the start.
	std::uint64_t openedTunnels() const
	{
		return m_opened;
	}

private:
	/// The connections to the other gateway and to the backend server.
	struct Tunnel
	{
		TcpConnection::Ptr gateway;
		TcpConnection::Ptr backend;
		bool frames = true; ///< False for a gateway of a build that knows no frames.
	};
	using TunnelPtr = std::shared_ptr<Tunnel>;

	bool mayOpen() const;
	void onConnected(const ServerSessionPtr& _session, const BackendConnection& _backend, bool _frames);
	/// Passes bytes on from one connection to the other, and stops reading while the other one cannot keep up.
	static void forward(const TcpConnection::Ptr& _from, const TcpConnection::Ptr& _to, bool _frames,
						std::function<void(ConnectionEnd)> _onEnd);
	void onGatewayEnd(const TunnelPtr& _tunnel);
	void onBackendEnd(const TunnelPtr& _tunnel, ConnectionEnd _end);

	GatewayContext& m_context;
	std::unordered_set<TunnelPtr> m_tunnels;
	std::size_t m_connecting = 0; ///< Tunnels whose connection to the backend server is not established yet.
	std::uint64_t m_opened = 0;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_TUNNELSERVER_H
