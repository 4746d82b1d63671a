// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/tunnelserver.h"

#include "daemon/clock.h"
#include "protocol/tunnelcodec.h"
#include "protocol/tunnelframes.h"

namespace beacongate
{
namespace
{
HttpAnswer answerOf(TunnelVerdict _verdict)
{
	HttpAnswer answer;
	answer.status = statusOf(_verdict);
	return answer;
}

TunnelVerdict verdictOf(ConnectResult _result)
{
	return _result == ConnectResult::Refused ? TunnelVerdict::Refused : TunnelVerdict::Unreachable;
}
} // namespace

bool TunnelServer::mayOpen() const
{
	return !m_context.stopping && !m_context.connector.isIsolated() &&
		   m_tunnels.size() + m_connecting < kMaxTunnels;
}

void TunnelServer::onRequest(const ServerSessionPtr& _session, const IncomingRequest& _request)
{
	const std::optional<TunnelRequest> request = parseTunnelRequest(_request.body);
	if (!request)
	{
		HttpAnswer answer;
		answer.status = 400;
		_session->answer(answer, true);
		return;
	}
	if (!mayOpen())
	{
		_session->answer(answerOf(TunnelVerdict::Unable), true);
		return;
	}
	const auto known = m_context.directory.backends().find(request->backend.id);
	if (known == m_context.directory.backends().end() ||
		!m_context.directory.takesWork(request->backend, monotonicNow()))
	{
		_session->answer(answerOf(TunnelVerdict::Unlisted), true);
		return;
	}
	++m_connecting;
	m_context.connector.openDirect({request->backend, known->second.record.address, request->connectSpan},
								   [this, _session, frames = request->frames](const BackendConnection& _backend)
								   {
									   --m_connecting;
									   onConnected(_session, _backend, frames);
								   });
}

void TunnelServer::onConnected(const ServerSessionPtr& _session, const BackendConnection& _backend, bool _frames)
{
	if (!_backend.connection)
	{
		// A gateway that has just found itself isolated does not know whether the server has failed.
		const bool knows = !m_context.connector.isIsolated();
		_session->answer(answerOf(knows ? verdictOf(_backend.result) : TunnelVerdict::Unable), true);
		return;
	}
	const TcpConnection::Ptr gateway = _session->release();
	if (!gateway)
	{
		_backend.connection->close();
		return;
	}
	const auto tunnel = std::make_shared<Tunnel>(Tunnel{gateway, _backend.connection, _frames});
	m_tunnels.insert(tunnel);
	++m_opened;
	forward(gateway, tunnel->backend, false, [this, tunnel](ConnectionEnd) { onGatewayEnd(tunnel); });
	forward(tunnel->backend, gateway, _frames, [this, tunnel](ConnectionEnd _end) { onBackendEnd(tunnel, _end); });
	gateway->send(formatTunnelOpened(_frames));
}

void TunnelServer::forward(const TcpConnection::Ptr& _from, const TcpConnection::Ptr& _to, bool _frames,
						   std::function<void(ConnectionEnd)> _onEnd)
{
	ConnectionHandlers handlers;
	handlers.onBytes = [_from, _to, _frames](std::string_view _bytes)
	{
		_to->send(_frames ? formatTunnelFrame(_bytes) : std::string(_bytes));
		if (_to->unsent() > kMaxUnsent)
		{
			_from->pauseReading();
		}
	};
	handlers.onEnd = std::move(_onEnd);
	handlers.onDrained = [_to]
	{
		_to->resumeReading();
	};
	_from->start(std::move(handlers));
}

void TunnelServer::onGatewayEnd(const TunnelPtr& _tunnel)
{
	_tunnel->backend->close();
	m_tunnels.erase(_tunnel);
}

void TunnelServer::onBackendEnd(const TunnelPtr& _tunnel, ConnectionEnd _end)
{
	const bool broken = _end == ConnectionEnd::Broken;
	if (broken && !_tunnel->frames)
	{
		_tunnel->gateway->reset();
		m_tunnels.erase(_tunnel);
		return;
	}
	if (_tunnel->frames)
	{
		_tunnel->gateway->send(formatTunnelEnd(broken ? TunnelEnd::Broken : TunnelEnd::Closed));
	}
	// The tunnel counts as open until its last bytes are sent, so that a gateway that stops waits for them.
	_tunnel->gateway->closeAfterSending([this, _tunnel] { m_tunnels.erase(_tunnel); });
}

} // namespace beacongate
