// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of Gossiper that receives datagrams and answers reports.

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "gateway/gossiper.h"
#include "protocol/crashcodec.h"
#include "protocol/gossipcodec.h"
#include "protocol/limitcodec.h"
#include "protocol/origincodec.h"
#include "protocol/quotacodec.h"
#include "protocol/slotcodec.h"
#include "protocol/speedcodec.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace asio = boost::asio;
using udp = asio::ip::udp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kMaxContentAge = 3600 * kSecond; ///< The content of a peer is ignored if it is older.
/// Sums are computed again after this time; all reports in between get the same ones.
constexpr Micros kSumsCacheTime = 50 * kMillisecond;
/// This many unreadable datagrams are logged, then every kUnreadableLogStep-th: gateways of an unknown format send
/// several a second.
constexpr std::uint64_t kMaxUnreadableLogged = 10;
constexpr std::uint64_t kUnreadableLogStep = 1000;
} // namespace

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
			onDatagram(std::string_view(m_buffer.data(), count), sender.address().to_string());
		}
	}
}

void Gossiper::onUnreadable(const std::string& _sender)
{
	++m_unreadableCount;
	m_context.metrics.onDatagramUnreadable();
	if (m_unreadableCount <= kMaxUnreadableLogged || m_unreadableCount % kUnreadableLogStep == 0)
	{
		logEvent(LogLevel::Warning, "datagram-unreadable",
				 {{"from", _sender}, {"count", std::to_string(m_unreadableCount)}});
	}
}

void Gossiper::onQuotaDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<QuotaMessage> message = decodeQuota(_bytes);
	if (!message)
	{
		onUnreadable(_sender);
		return;
	}
	m_context.traffic.onReceived(DatagramPurpose::QuotaGrant, _bytes.size());
	onQuotaMessage(*message, _sender);
}

void Gossiper::onOriginDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<StreamOriginMessage> message = decodeOrigin(_bytes);
	if (!message)
	{
		onUnreadable(_sender);
		return;
	}
	m_context.traffic.onReceived(DatagramPurpose::StreamOrigin, _bytes.size());
	m_context.origins.onMessage(_sender, *message, monotonicNow());
}

void Gossiper::onLimitDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<std::vector<BackendLimitRecord>> records = decodeLimits(_bytes);
	if (!records)
	{
		onUnreadable(_sender);
		return;
	}
	m_context.traffic.onReceived(DatagramPurpose::Limit, _bytes.size());
	if (isLimitQuery(_bytes))
	{
		m_startupQuery.answer(_sender);
		return;
	}
	m_context.limits.merge(*records, m_context.clock.trueTime(monotonicNow()));
	for (const BackendLimitRecord& record : *records)
	{
		m_context.limits.limitOf(record.key) ? void() : m_context.onLimitEnded(record.key);
	}
	m_startupQuery.onAnswered();
}

void Gossiper::onSpeedDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<std::vector<SpeedReport>> reports = decodeSpeeds(_bytes);
	if (!reports)
	{
		onUnreadable(_sender);
		return;
	}
	m_context.traffic.onReceived(DatagramPurpose::ServerSpeed, _bytes.size());
	if (!m_context.settings.features.serverSpeeds)
	{
		return;
	}
	const std::vector<std::string> collectors = m_context.relays.allTopMembers();
	const bool relayed =
		m_context.usesCollectors() && std::find(collectors.begin(), collectors.end(), _sender) != collectors.end();
	for (const SpeedReport& report : *reports)
	{
		m_context.speeds.onReport(report, monotonicNow(), relayed);
	}
}

void Gossiper::onQuotaMessage(const QuotaMessage& _message, const std::string& _sender)
{
	const Micros now = monotonicNow();
	if (const auto* ask = std::get_if<QuotaGrantRequest>(&_message))
	{
		sendBytes(DatagramPurpose::QuotaGrant, encodeQuota(m_context.grantor.decide(*ask, _sender, now)), _sender);
	}
	else if (const auto* answer = std::get_if<QuotaGrantAnswer>(&_message))
	{
		m_context.admission.onAnswer(_sender, *answer, now);
	}
	else if (const auto* unused = std::get_if<QuotaGrantReturn>(&_message))
	{
		m_context.grantor.onReturn(*unused, now);
	}
}

void Gossiper::onDatagram(std::string_view _bytes, const std::string& _sender)
{
	if (isCrashDatagram(_bytes))
	{
		if (!m_crashExchange.onDatagram(_bytes, _sender))
		{
			onUnreadable(_sender);
			return;
		}
		m_context.traffic.onReceived(DatagramPurpose::Crash, _bytes.size());
		return;
	}
	if (isSlotDatagram(_bytes) || isBrittleDatagram(_bytes))
	{
		const bool readable = isSlotDatagram(_bytes) ? m_slotExchange.onSlotDatagram(_bytes, _sender)
													 : m_slotExchange.onBrittleDatagram(_bytes, _sender);
		readable ? void() : onUnreadable(_sender);
		return;
	}
	if (isLimitDatagram(_bytes))
	{
		onLimitDatagram(_bytes, _sender);
		return;
	}
	if (isSpeedDatagram(_bytes))
	{
		onSpeedDatagram(_bytes, _sender);
		return;
	}
	if (isOriginDatagram(_bytes))
	{
		onOriginDatagram(_bytes, _sender);
		return;
	}
	if (isQuotaDatagram(_bytes))
	{
		onQuotaDatagram(_bytes, _sender);
		return;
	}
	const std::optional<GossipMessage> message = decodeGossip(_bytes);
	if (!message)
	{
		onUnreadable(_sender);
		return;
	}
	const Micros now = monotonicNow();
	m_context.traffic.onReceived(purposeOf(*message), _bytes.size());
	const bool fresh = m_context.peers.onMessage(*message, now);
	m_context.relays.onHeard(message->host, now);
	// Counts only grow, so they are valid even if they arrive late.
	for (const UsageCount& count : message->usage)
	{
		m_context.usage.onReport(message->run, count);
	}
	for (const auto& [run, count] : message->dataCentreUsage)
	{
		m_context.usage.onReport(run, count);
	}
	if (message->kind == GossipKind::Report)
	{
		onReport(*message, fresh, now);
	}
	if (message->kind == GossipKind::DataCentreSums)
	{
		answerWithEcho(message->host, now);
	}
	if (!fresh)
	{
		return;
	}
	if (message->kind == GossipKind::DataCentreSums)
	{
		onDataCentreSums(*message, now);
	}
	if (message->kind == GossipKind::FleetSums)
	{
		onFleetSums(*message, now);
	}
	m_context.clock.onSample(message->host, message->wallClock, now);
	const auto& config = m_context.directory.config();
	if (config && config->version == message->configVersion)
	{
		m_context.directory.confirm(message->echo - message->configAge);
	}
	for (const BackendIdentity& backend : message->draining)
	{
		m_context.directory.markDraining(backend, DepartureSource::Peer, now);
	}
	if (config && config->version < message->configVersion && m_context.onNewerConfigAtPeer)
	{
		m_context.onNewerConfigAtPeer();
	}
	else if (message->contentAge < kMaxContentAge && m_context.onPeerContentState)
	{
		m_context.onPeerContentState(message->contentFingerprint, message->echo - message->contentAge);
	}
}

Micros Gossiper::newCountsSpan(const std::string& _group, const std::string& _source, Micros _uptime) const
{
	// The previous collector has already reported what this one counted. If it were added as new, everything taken
	// since the start of a new fleet would be counted twice: a level of -78 requests with a burst of 60 in a
	// soak of 18 gateways.
	return m_context.quotas.liveness().replacesAnother(_group, _source) ? kNever : _uptime;
}

void Gossiper::applyCounters(const std::string& _source, const GossipMessage& _message, Micros _countingSpan,
							 Micros _now)
{
	for (const QuotaReport& report : _message.quotas)
	{
		m_context.quotas.onReport(_source, _message.run.incarnation, report, _now, _countingSpan);
	}
	for (const DemandReport& report : _message.demand)
	{
		m_context.demand.onReport(_source, _message.run.incarnation, report);
	}
}

void Gossiper::onReport(const GossipMessage& _message, bool _fresh, Micros _now)
{
	const bool toCollectors = m_context.usesCollectors();
	const bool collector = toCollectors && isCollector();
	if (_fresh && (collector || !toCollectors))
	{
		const bool counted = !collector || m_table.onReport(_message, _now);
		if (counted)
		{
			applyCounters(_message.host, _message, _message.uptime, _now);
			m_context.quotas.onHeard(_message.host, _now, _message.echo);
			m_context.quotas.adoptLevels(_message.levels, _now);
		}
		m_context.balancer.setPeerLoads(_message.host, _message.loads, _now);
	}
	if (collector)
	{
		m_teamSelection.onReport(_message, _now);
	}
	if (collector && _message.wantsSums)
	{
		answerWithSums(_message.host, _now);
	}
	else if (collector)
	{
		answerWithEcho(_message.host, _now);
	}
}

void Gossiper::onDataCentreSums(const GossipMessage& _message, Micros _now)
{
	if (!isCollector() || _message.dataCentre == m_context.settings.dataCentre ||
		!m_table.onDataCentreSums(_message, _now))
	{
		return;
	}
	const std::string source = _message.dataCentre + '/' + _message.host;
	applyCounters(source, _message, newCountsSpan(_message.dataCentre, source, _message.uptime), _now);
	m_context.quotas.onSums(_message.dataCentre, source, _now, _message.echo, _message.gateways);
	m_context.balancer.setPeerLoads(_message.dataCentre, _message.loads, _now);
}

void Gossiper::onFleetSums(const GossipMessage& _message, Micros _now)
{
	if (isCollector())
	{
		return;
	}
	std::optional<FleetSums> others = m_follower.sumsOfOthers(_message);
	if (!others)
	{
		return;
	}
	GossipMessage rest = _message;
	rest.quotas = std::move(others->quotas);
	rest.demand = std::move(others->demand);
	const std::string source = "fleet/" + _message.host;
	applyCounters(source, rest, newCountsSpan("fleet", source, _message.uptime), _now);
	m_context.quotas.onSums("fleet", source, _now, _message.echo, others->gateways);
	m_context.quotas.adoptLevels(_message.levels, _now);
	m_context.balancer.setPeerLoads("fleet", std::move(others->loads), _now);
}

void Gossiper::answerWithEcho(const std::string& _host, Micros _now)
{
	// Without an echo the second collector treats no report as new. As the duty holder it then saw the work of one
	// gateway of 295 and ordered 5 engines instead of 110.
	GossipMessage echo = makeMessage(_now);
	echo.kind = GossipKind::Echo;
	echo.echo = m_context.peers.echoFor(_host);
	send(echo, _host);
}

SumsBudget Gossiper::sumsBudget() const
{
	return SumsBudget::of(m_context.relays.membersOf(m_context.settings.dataCentre).size());
}

void Gossiper::answerWithSums(const std::string& _host, Micros _now)
{
	const SumsBudget budget = sumsBudget();
	if (_now - m_sumsComputedAt > kSumsCacheTime)
	{
		m_table.expire(_now);
		m_teamSelection.expire(_now);
		FleetSums sums = m_table.fleetSums();
		m_sums = makeMessage(_now);
		m_sums.kind = GossipKind::FleetSums;
		m_sums.gateways = sums.gateways;
		m_fleetQuotas = std::move(sums.quotas);
		m_sums.demand = std::move(sums.demand);
		m_sums.loads = std::move(sums.loads);
		keepBusiest(m_sums.loads, budget.loads);
		m_sumsComputedAt = _now;
	}
	m_sums.quotas = m_teamSelection.select(_host, m_fleetQuotas, budget.teams, _now);
	// Ages, clocks and the content they describe must be of the same moment, although the sums may be older. With
	// the fingerprint of content that had been replaced meanwhile, a gateway confirmed that content for a moment
	// 0.47 s too late in a test.
	m_sums.sent = _now;
	m_sums.wallClock = m_context.clock.trueTime(_now);
	setContentState(m_sums, _now);
	m_sums.echo = m_context.peers.echoFor(_host);
	m_sums.levels = levelsFor(_host, _now);
	send(m_sums, _host);
}

} // namespace beacongate
