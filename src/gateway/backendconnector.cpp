// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendconnector.h"

#include "daemon/clock.h"
#include "daemon/logging.h"

#include <boost/asio/post.hpp>

namespace beacongate
{
namespace
{
using BoostError = boost::system::error_code;

constexpr std::size_t kAnswerHeaderBytes = 8u << 10;
constexpr std::size_t kAnswerBodyBytes = 8u << 10;

MemberRecord ownRecord(const GatewaySettings& _settings)
{
	return {_settings.callers.host, _settings.dataCentre, _settings.cpuPercent};
}

BackendConnection withoutConnection(ConnectResult _result)
{
	return {{nullptr, _result}, {}};
}
} // namespace

/// A request for a tunnel, sent to one gateway after the other.
struct BackendConnector::TunnelAttempt
{
	explicit TunnelAttempt(boost::asio::io_context& _loop) : timer(_loop)
	{
	}

	BackendTarget target;
	std::function<void(TunnelVerdict, const BackendConnection&)> done;
	std::vector<std::string> hosts; ///< Gateways that were not asked yet, the next one last.
	std::string host;               ///< The gateway that is asked now.
	TcpConnection::Ptr connection;
	std::unique_ptr<MessageParser> parser;
	std::string input;
	boost::asio::steady_timer timer;
	std::uint64_t turn = 0; ///< Number of gateways asked; tells the timers of earlier ones apart.
};

BackendConnector::BackendConnector(boost::asio::io_context& _loop, const GatewaySettings& _settings,
								   const RelayChoice& _members, const PeerTable& _peers, std::minstd_rand& _random)
	: m_loop(_loop), m_settings(_settings), m_members(_members), m_peers(_peers), m_random(_random),
	  m_tunnelPeers(ownRecord(_settings)), m_probeTimer(_loop)
{
}

void BackendConnector::open(const BackendTarget& _target, Handler _done)
{
	m_lastTarget = _target;
	if (!m_reachability.isIsolated())
	{
		openDirectFirst(_target, _done);
		return;
	}
	scheduleProbe();
	openTunnel(
		_target,
		[this, _target, done = std::move(_done)](TunnelVerdict _verdict, const BackendConnection& _connection)
		{
			if (_verdict == TunnelVerdict::Unable)
			{
				openDirect(_target, done);
				return;
			}
			done(_connection);
		});
}

void BackendConnector::openDirect(const BackendTarget& _target, Handler _done)
{
	TcpConnection::open(m_loop, _target.address, _target.connectSpan, kUserTimeout,
						[this, key = BackendKey(_target.backend),
						 done = std::move(_done)](const TcpConnection::Ptr& _connection, ConnectResult _result)
						{
							const bool before = m_reachability.isIsolated();
							_connection ? m_reachability.onConnected()
										: m_reachability.onFailed(key, monotonicNow());
							noteIsolation(before);
							done({{_connection, _result}, {}});
						});
}

void BackendConnector::openDirectFirst(const BackendTarget& _target, const Handler& _done)
{
	openDirect(_target,
			   [this, _target, _done](const BackendConnection& _direct)
			   {
				   const bool refused = _direct.result == ConnectResult::Refused;
				   if (_direct.connection || (!refused && !m_reachability.isIsolated()))
				   {
					   _done(_direct);
					   return;
				   }
				   openTunnel(_target,
							  [_direct, _done](TunnelVerdict _verdict, const BackendConnection& _connection)
							  { _done(_verdict == TunnelVerdict::Unable ? _direct : _connection); });
			   });
}

void BackendConnector::openTunnel(const BackendTarget& _target,
								  std::function<void(TunnelVerdict, const BackendConnection&)> _done)
{
	const Micros now = monotonicNow();
	const auto attempt = std::make_shared<TunnelAttempt>(m_loop);
	attempt->target = _target;
	attempt->done = std::move(_done);
	if (m_settings.control)
	{
		attempt->hosts = m_tunnelPeers.choose(m_members, m_peers.liveHosts(now), m_random, now);
		std::reverse(attempt->hosts.begin(), attempt->hosts.end());
	}
	askNext(attempt);
}

void BackendConnector::askNext(const TunnelAttemptPtr& _attempt)
{
	if (_attempt->hosts.empty())
	{
		boost::asio::post(
			m_loop,
			[_attempt] { _attempt->done(TunnelVerdict::Unable, withoutConnection(ConnectResult::Unreachable)); });
		return;
	}
	++_attempt->turn;
	_attempt->host = std::move(_attempt->hosts.back());
	_attempt->hosts.pop_back();
	TcpConnection::open(m_loop, {_attempt->host, m_settings.control->port}, kPeerTimeout, kUserTimeout,
						[this, _attempt](const TcpConnection::Ptr& _connection, ConnectResult)
						{
							if (_connection)
							{
								onPeerConnected(_attempt, _connection);
								return;
							}
							onPeerAnswer(_attempt, TunnelVerdict::Unable);
						});
}

void BackendConnector::onPeerConnected(const TunnelAttemptPtr& _attempt, const TcpConnection::Ptr& _connection)
{
	_attempt->connection = _connection;
	_attempt->input.clear();
	_attempt->parser = std::make_unique<MessageParser>(MessageKind::Answer, kAnswerHeaderBytes, kAnswerBodyBytes);
	ConnectionHandlers handlers;
	handlers.onBytes = [this, _attempt](std::string_view _bytes)
	{
		_attempt->input.append(_bytes);
		std::string body;
		_attempt->input.erase(0, _attempt->parser->consume(_attempt->input, body));
		if (_attempt->parser->headDone())
		{
			onPeerAnswer(_attempt, tunnelVerdictOf(_attempt->parser->head().status));
		}
		else if (_attempt->parser->fault() != ParseFault::None)
		{
			onPeerAnswer(_attempt, TunnelVerdict::Unable);
		}
	};
	handlers.onEnd = [this, _attempt](ConnectionEnd)
	{
		onPeerAnswer(_attempt, TunnelVerdict::Unable);
	};
	_connection->start(std::move(handlers));
	_connection->send(formatTunnelRequest(_attempt->target.backend, _attempt->target.connectSpan));
	_attempt->timer.expires_after(std::chrono::microseconds(_attempt->target.connectSpan + kPeerTimeout));
	_attempt->timer.async_wait(
		[this, _attempt, turn = _attempt->turn](const BoostError& _error)
		{
			if (!_error && turn == _attempt->turn && _attempt->connection)
			{
				onPeerAnswer(_attempt, TunnelVerdict::Unable);
			}
		});
}

void BackendConnector::onPeerAnswer(const TunnelAttemptPtr& _attempt, TunnelVerdict _verdict)
{
	_attempt->timer.cancel();
	++m_tunnelCounts[_verdict];
	const TcpConnection::Ptr connection = std::move(_attempt->connection);
	_attempt->connection = nullptr;
	if (connection && _verdict != TunnelVerdict::Connected)
	{
		connection->close();
	}
	switch (_verdict)
	{
	case TunnelVerdict::Connected:
		_attempt->done(_verdict, openedTunnel(*_attempt, connection));
		return;
	case TunnelVerdict::Refused:
		m_reachability.onServerEnded(BackendKey(_attempt->target.backend));
		_attempt->done(_verdict, withoutConnection(ConnectResult::Refused));
		return;
	case TunnelVerdict::Unreachable:
		_attempt->done(_verdict, withoutConnection(ConnectResult::Unreachable));
		return;
	case TunnelVerdict::Unable:
		m_tunnelPeers.onUnable(_attempt->host, monotonicNow());
		break;
	case TunnelVerdict::Unlisted:
		break;
	}
	askNext(_attempt);
}

BackendConnection BackendConnector::openedTunnel(const TunnelAttempt& _attempt,
												 const TcpConnection::Ptr& _connection)
{
	BackendConnection opened;
	opened.connection = _connection;
	opened.result = ConnectResult::Connected;
	opened.via = _attempt.host;
	const bool frames = announcesFrames(findHeader(_attempt.parser->head().headers, "Upgrade"));
	opened.endSignal = frames ? EndSignal::Frame : EndSignal::None;
	opened.received = _attempt.input;
	return opened;
}

void BackendConnector::noteIsolation(bool _before)
{
	const bool isolated = m_reachability.isIsolated();
	if (isolated && !_before)
	{
		logEvent(LogLevel::Warning, "backends-unreachable", {{"next", "tunnels through other gateways"}});
		scheduleProbe();
	}
	else if (!isolated && _before)
	{
		logEvent(LogLevel::Info, "backends-reachable", {{"next", "direct connections"}});
	}
}

void BackendConnector::scheduleProbe()
{
	if (m_probing)
	{
		return;
	}
	m_probing = true;
	m_probeTimer.expires_after(std::chrono::microseconds(kProbeInterval));
	m_probeTimer.async_wait(
		[this](const BoostError& _error)
		{
			if (!_error)
			{
				probe();
			}
		});
}

void BackendConnector::probe()
{
	if (!m_reachability.isIsolated())
	{
		m_probing = false;
		return;
	}
	BackendTarget target = m_lastTarget;
	target.connectSpan = kProbeInterval;
	openDirect(target,
			   [this](const BackendConnection& _probe)
			   {
				   if (_probe.connection)
				   {
					   _probe.connection->close();
				   }
				   // The next request schedules the next probe.
				   m_probing = false;
			   });
}

} // namespace beacongate
