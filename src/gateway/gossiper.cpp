// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gossiper.h"

#include "beacongate/errors.h"
#include "beacongate/limits.h"
#include "coordination/gossipplan.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "protocol/gossipcodec.h"

#include <algorithm>
#include <chrono>

namespace beacongate
{
namespace asio = boost::asio;
using udp = asio::ip::udp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kLoadPatience = 3; ///< Times the span in which a peer is heard, until its load is not counted.
/// A delay of the event loop that is worth a line: half of the shortest interval at which the store is asked.
constexpr Micros kLoopDelayLogged = 200 * kMillisecond;
constexpr Micros kDrainingNews = 2 * kSecond; ///< How long peers are told of a leaving backend server.

Micros wallClockNow()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}
} // namespace

Gossiper::Gossiper(GatewayContext& _context)
	: m_context(_context), m_socket(_context.loop), m_timer(_context.loop), m_buffer(limits::kGossipBytes)
{
	try
	{
		const udp::endpoint endpoint(asio::ip::make_address(_context.settings.callers.host),
									 _context.settings.gossipPort);
		m_socket.open(endpoint.protocol());
		m_socket.bind(endpoint);
		m_socket.non_blocking(true);
	}
	catch (const boost::system::system_error& error)
	{
		throw Error(Failure::SettingInvalid, "cannot bind the gossip port " +
												 std::to_string(_context.settings.gossipPort) + ": " +
												 error.what());
	}
}

void Gossiper::init()
{
	m_context.clock.update(wallClockNow(), monotonicNow());
	receive();
	tick();
}

void Gossiper::shutdown()
{
	m_timer.cancel();
	BoostError ignored;
	m_socket.close(ignored);
}

GossipMessage Gossiper::describe(Micros _now) const
{
	GossipMessage message;
	message.run = m_context.run;
	message.host = m_context.settings.callers.host;
	message.sent = _now;
	message.wallClock = wallClockNow();
	message.uptime = _now - m_context.started;
	message.storeRevision = m_context.directory.revision();
	message.configVersion = m_context.directory.config() ? m_context.directory.config()->version : 0;
	message.configAge = m_context.directory.age(_now);
	message.leaving = m_context.stopping;
	message.members = m_context.peers.heardHosts(_now);
	message.loads = m_context.balancer.ownLoads();
	message.usage = m_context.usage.ownCounts();
	message.demand = m_context.demand.ownReports();
	message.draining = m_context.directory.drainingSince(_now - kDrainingNews);
	if (m_context.directory.config())
	{
		for (const TeamAccess& team : m_context.directory.config()->teams)
		{
			message.quotas.push_back({team.name, m_context.quotas.takenHere(team.name)});
		}
	}
	return message;
}

void Gossiper::tick()
{
	const Micros now = monotonicNow();
	reportDelay(now);
	logLeavingNotices();
	m_context.clock.update(wallClockNow(), now);
	m_context.demand.advance(now);
	m_context.usage.advance(m_context.currentWindow(now));
	const std::size_t members = m_context.peers.memberCount(now);
	m_context.quotas.setMembers(members);
	m_context.quotas.advance(now);
	m_context.retryBudget.setMembers(members);
	m_context.balancer.setPeerLoadLife(std::max(kSecond, kLoadPatience * GossipPlan::hearingSpan(members)));
	m_context.balancer.expirePeerLoads(now);
	sendRound(now);
	const Micros pause = m_context.jittered(limits::kGossipRound);
	m_due = now + pause;
	m_timer.expires_after(std::chrono::microseconds(pause));
	m_timer.async_wait(
		[this](const BoostError& _error)
		{
			if (!_error)
			{
				tick();
			}
		});
}

void Gossiper::logLeavingNotices()
{
	for (const LeavingNotice& notice : m_context.directory.takeLeavingNotices())
	{
		logEvent(LogLevel::Info, "backend-leaving",
				 {{"backend", notice.id},
				  {"sign", std::string(toString(notice.sign))},
				  {"revision", std::to_string(m_context.directory.revision())},
				  {"list_age_ms", millisText(m_context.directory.listAge(monotonicNow()))},
				  {"in_flight", std::to_string(m_context.balancer.totalInFlight(notice.id))}});
	}
}

void Gossiper::reportDelay(Micros _now)
{
	if (m_due == kNever)
	{
		return;
	}
	const Micros delay = std::max<Micros>(0, _now - m_due);
	m_context.metrics.onLoopDelay(delay);
	if (delay > kLoopDelayLogged)
	{
		logEvent(LogLevel::Warning, "loop-delayed",
				 {{"ms", millisText(delay)}, {"open", std::to_string(m_context.openExchanges)}});
	}
}

std::optional<std::string> Gossiper::holderHost() const
{
	const auto& items = m_context.content.items;
	const auto holder = items.find(kHolderKey);
	if (holder == items.end())
	{
		return std::nullopt;
	}
	const std::string name = holder->second.value.substr(0, holder->second.value.find(' '));
	const auto member = items.find(memberKey(name));
	return member == items.end() ? std::nullopt : std::optional(decodeMember(member->second.value).host);
}

void Gossiper::sendRound(Micros _now)
{
	const std::optional<std::string> holder = holderHost();
	std::vector<std::string> known = m_context.peers.targets(_now);
	const bool crowded = known.size() > limits::kGossipPeers;
	const std::vector<std::string> targets =
		GossipPlan::targets(std::move(known), holder, limits::kGossipPeers, m_context.random);
	const GossipMessage whole = describe(_now);
	for (const std::string& host : targets)
	{
		GossipMessage message = whole;
		const GossipParts parts = GossipPlan::partsFor(host, holder, crowded, m_round);
		if (!parts.usage)
		{
			message.usage.clear();
		}
		if (!parts.members)
		{
			message.members.clear();
		}
		message.echo = m_context.peers.echoFor(host);
		const std::string bytes = encodeGossip(message);
		BoostError ignored;
		const udp::endpoint endpoint(asio::ip::make_address(host, ignored), m_context.settings.gossipPort);
		m_socket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
	}
	++m_round;
}

void Gossiper::receive()
{
	m_socket.async_wait(udp::socket::wait_read,
						[this](const BoostError& _error)
						{
							if (_error)
							{
								return;
							}
							readDatagrams();
							receive();
						});
}

void Gossiper::readDatagrams()
{
	BoostError error;
	while (!error)
	{
		udp::endpoint sender;
		const std::size_t count = m_socket.receive_from(asio::buffer(m_buffer), sender, 0, error);
		if (!error)
		{
			onDatagram(std::string_view(m_buffer.data(), count));
		}
	}
}

void Gossiper::onDatagram(std::string_view _bytes)
{
	const std::optional<GossipMessage> message = decodeGossip(_bytes);
	if (!message)
	{
		return;
	}
	const Micros now = monotonicNow();
	const bool fresh = m_context.peers.onMessage(*message, now);
	// Counts only grow, so they hold however late they come.
	for (const UsageCount& count : message->usage)
	{
		m_context.usage.onReport(message->run, count);
	}
	if (!fresh)
	{
		return;
	}
	for (const QuotaReport& report : message->quotas)
	{
		m_context.quotas.onReport(message->host, message->run.incarnation, report, now, message->uptime);
	}
	for (const DemandReport& report : message->demand)
	{
		m_context.demand.onReport(message->run.name, message->run.incarnation, report);
	}
	m_context.quotas.onHeard(message->host, now);
	m_context.clock.onSample(message->host, message->wallClock, now);
	m_context.balancer.setPeerLoads(message->host, message->loads, now);
	const auto& config = m_context.directory.config();
	if (config && config->version == message->configVersion)
	{
		m_context.directory.confirm(message->echo - message->configAge);
	}
	for (const std::string& id : message->draining)
	{
		m_context.directory.markDraining(id, now);
	}
	if (config && config->version < message->configVersion && m_context.onNewsFromPeer)
	{
		m_context.onNewsFromPeer();
	}
}

} // namespace beacongate
