// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gossiper.h"

#include "beacongate/errors.h"
#include "beacongate/limits.h"
#include "coordination/gossipplan.h"
#include "coordination/storerevision.h"
#include "daemon/logging.h"
#include "gateway/fleettargets.h"
#include "gateway/memberkeys.h"
#include "protocol/gossipcodec.h"
#include "protocol/limitcodec.h"
#include "protocol/origincodec.h"
#include "protocol/quotacodec.h"
#include "protocol/speedcodec.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace beacongate
{
namespace asio = boost::asio;
using udp = asio::ip::udp;
using BoostError = boost::system::error_code;

namespace
{
/// A peer's load expires after this many times the span in which a peer is heard.
constexpr Micros kPeerLoadLifetimeFactor = 3;
/// Delay of the event loop from which it is logged: half of the shortest interval at which the store is read.
constexpr Micros kMinLoggedLoopDelay = 200 * kMillisecond;
/// For how long reports list a backend server after it began to leave.
constexpr Micros kDepartureReportSpan = 2 * kSecond;
constexpr std::size_t kRoundsPerFullReport = 16; ///< Rounds between two reports that list all teams.
/// Closed usage windows that a report that lists all teams includes.
constexpr std::uint64_t kUsageWindowsBack = 3;
/// Loads in the sums of a data centre: 3.6 kB, which is as much as a datagram carries.
constexpr std::size_t kMaxCentreLoads = 512;
constexpr std::uint64_t kCentreUsageWindowsBack = 2; ///< Closed usage windows whose sums a collector sends.
/// Gateways that receive the usage of all data centres beside the duty holder: those that rank first, of which one
/// takes the duties over if the holder is lost.
constexpr std::size_t kDutySuccessors = 2;
/// Interval at which the versions of an unchanged list are noted as still serving.
constexpr Micros kVersionUpdateInterval = 1 * kSecond;
constexpr std::size_t kRepeatRounds = 4; ///< Rounds in which a change is repeated, since datagrams may be lost.
constexpr Micros kTallyLogInterval = kSecond; ///< Time between two log lines about refused requests of a team.
/// Rounds between two reports to a collector that is considered silent.
constexpr std::size_t kRoundsPerSilentProbe = 4;

/// This many datagrams that the socket refused are logged, then every kUnsentLogStep-th.
constexpr std::uint64_t kMaxUnsentLogged = 10;
constexpr std::uint64_t kUnsentLogStep = 1000;

Micros wallClockNow()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}
} // namespace

DatagramPurpose purposeOf(const GossipMessage& _message)
{
	switch (_message.kind)
	{
	case GossipKind::Report:
		return DatagramPurpose::Report;
	case GossipKind::DataCentreSums:
		return DatagramPurpose::DataCentreSums;
	case GossipKind::FleetSums:
		return DatagramPurpose::FleetSums;
	case GossipKind::Echo:
		break;
	}
	return _message.dataCentreUsage.empty() ? DatagramPurpose::Echo : DatagramPurpose::Usage;
}

Gossiper::Gossiper(GatewayContext& _context)
	: m_context(_context), m_socket(_context.loop), m_timer(_context.loop), m_buffer(limits::kGossipBytes),
	  m_crashExchange(_context, [this](const std::string& _bytes, const std::string& _host)
					  { sendBytes(DatagramPurpose::Crash, _bytes, _host); }),
	  m_slotExchange(_context, [this](DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host)
					 { sendBytes(_purpose, _bytes, _host); }),
	  m_startupQuery(_context, [this](DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host)
					 { sendBytes(_purpose, _bytes, _host); })
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
	m_context.admission.setSend([this](const std::string& _host, const QuotaMessage& _message)
								{ sendBytes(DatagramPurpose::QuotaGrant, encodeQuota(_message), _host); });
	m_context.origins.setSend([this](const std::string& _host, const StreamOriginMessage& _message)
							  { sendBytes(DatagramPurpose::StreamOrigin, encodeOrigin(_message), _host); });
	m_slotExchange.init();
	m_startupQuery.init();
	receive();
	tick();
}

void Gossiper::shutdown()
{
	m_slotExchange.shutdown();
	m_startupQuery.shutdown();
	m_timer.cancel();
	BoostError ignored;
	m_socket.close(ignored);
}

GossipMessage Gossiper::makeMessage(Micros _now)
{
	GossipMessage message;
	message.run = m_context.run;
	message.host = m_context.settings.callers.host;
	message.dataCentre = m_context.settings.dataCentre;
	message.sent = _now;
	message.wallClock = wallClockNow();
	message.uptime = _now - m_context.started;
	setContentState(message, _now);
	message.leaving = m_context.stopping;
	message.draining = m_context.directory.departures().select(_now - kDepartureReportSpan, m_departureTurn++);
	return message;
}

void Gossiper::setContentState(GossipMessage& _message, Micros _now) const
{
	_message.storeRevision = m_context.directory.revision();
	_message.configVersion = m_context.directory.config() ? m_context.directory.config()->version : 0;
	_message.configAge = m_context.directory.age(_now);
	_message.contentFingerprint = m_context.contentFingerprint;
	_message.contentAge = _now - m_context.content.confirmed;
}

FleetSums Gossiper::ownSums() const
{
	FleetSums sums;
	sums.gateways = 1;
	sums.loads = m_context.balancer.ownLoads();
	sums.demand = m_context.demand.ownReports();
	if (m_context.directory.config())
	{
		for (const TeamAccess& team : m_context.directory.config()->teams)
		{
			sums.quotas.push_back({team.name, m_context.quotas.takenHere(team.name)});
		}
	}
	return sums;
}

GossipMessage Gossiper::makeReport(Micros _now)
{
	GossipMessage message = makeMessage(_now);
	FleetSums own = ownSums();
	message.loads = std::move(own.loads);
	message.demand = std::move(own.demand);
	message.quotas = std::move(own.quotas);
	message.usage = m_context.usage.ownCounts();
	return message;
}

void Gossiper::tick()
{
	const Micros now = monotonicNow();
	recordLoopDelay(now);
	logLeavingNotices();
	logQuotaGaps();
	logQuotaTallies(now);
	m_context.clock.update(wallClockNow(), now);
	m_context.demand.advance(now);
	m_context.usage.advance(m_context.currentWindow(now));
	const std::size_t members = m_context.peers.memberCount(now);
	m_context.quotas.setMembers(members);
	m_context.quotas.advance(now);
	m_context.admission.setGrantors(m_context.relays.allTopMembers());
	logGrantorNotices();
	m_context.origins.expire(now);
	updateVersions(now);
	m_context.retryBudget.setMembers(members);
	m_context.members.expire(now) ? m_context.shareOutAmongMembers() : void();
	m_context.balancer.setPeerLoadLifetime(
		std::max(kSecond, kPeerLoadLifetimeFactor * GossipPlan::propagationDelay(members)));
	m_context.balancer.setManyGateways(m_context.usesCollectors());
	m_context.balancer.expirePeerLoads(now);
	if (m_context.usesCollectors())
	{
		sendToCollectors(now);
	}
	else
	{
		sendToPeers(now);
	}
	m_crashExchange.tick(isCollector(), now);
	sendLimits(now);
	sendSpeeds(now);
	m_context.updateSlotRules();
	m_slotExchange.tick(isCollector(), now);
	++m_round;
	const Micros pause = m_context.jittered(GossipPlan::roundInterval(members));
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

void Gossiper::updateVersions(Micros _now)
{
	if (_now - m_versionsUpdatedAt >= kVersionUpdateInterval)
	{
		m_versionsUpdatedAt = _now;
		m_context.versions.update(m_context.directory, _now);
	}
}

void Gossiper::logLeavingNotices()
{
	for (const DepartureNotice& notice : m_context.directory.takeDepartureNotices())
	{
		logEvent(LogLevel::Info, "backend-leaving",
				 {{"backend", notice.backend.id},
				  {"sign", std::string(toString(notice.source))},
				  {"revision", StoreRevision::text(m_context.directory.revision())},
				  {"list_age_ms", millisText(m_context.directory.listAge(monotonicNow()))},
				  {"in_flight", std::to_string(m_context.balancer.totalInFlight(BackendKey(notice.backend)))}});
	}
}

void Gossiper::logQuotaGaps()
{
	for (const QuotaGap& gap : m_context.quotas.takeGaps())
	{
		logEvent(LogLevel::Info, "quota-word-late",
				 {{"team", gap.team},
				  {"gap_ms", millisText(gap.gap)},
				  {"taken", std::to_string(static_cast<std::int64_t>(gap.taken))},
				  {"level", std::to_string(static_cast<std::int64_t>(gap.levelBefore))},
				  {"heard", std::to_string(m_context.quotas.liveness().gatewaysHeard(monotonicNow()))}});
	}
}

void Gossiper::logQuotaTallies(Micros _now)
{
	if (_now - m_talliesLoggedAt < kTallyLogInterval)
	{
		return;
	}
	m_talliesLoggedAt = _now;
	for (const QuotaTally& tally : m_context.quotas.takeTallies(_now))
	{
		std::string refused;
		for (const auto& [reason, count] : tally.refused)
		{
			refused += (refused.empty() ? "" : ",") + std::string(toString(reason)) + ':' + std::to_string(count);
		}
		logEvent(LogLevel::Info, "quota-refused",
				 {{"team", tally.team},
				  {"passed", std::to_string(tally.passed)},
				  {"refused", refused.empty() ? "-" : refused},
				  {"grants", std::to_string(tally.grants)},
				  {"grants_refused", std::to_string(tally.grantsRefused)},
				  {"level", std::to_string(static_cast<std::int64_t>(tally.level))},
				  {"demand_per_s", std::to_string(static_cast<std::int64_t>(tally.demand))}});
	}
}

void Gossiper::sendLimits(Micros _now)
{
	const bool collector = isCollector();
	const std::vector<BackendLimitRecord> changes = m_context.limits.takeChanges(
		relaysChanges(m_context, collector), kMaxLimitRecords, m_context.clock.trueTime(_now));
	if (changes.empty())
	{
		return;
	}
	const std::string bytes = encodeLimits(changes);
	for (const std::string& host : changeTargets(m_context, collector, _now))
	{
		sendBytes(DatagramPurpose::Limit, bytes, host);
	}
}

void Gossiper::sendSpeeds(Micros _now)
{
	const bool collector = isCollector();
	const std::vector<SpeedReport> reports =
		m_context.speeds.takeReports(relaysChanges(m_context, collector), kMaxSpeedReports);
	if (reports.empty())
	{
		return;
	}
	const std::string bytes = encodeSpeeds(reports);
	for (const std::string& host : changeTargets(m_context, collector, _now))
	{
		sendBytes(DatagramPurpose::ServerSpeed, bytes, host);
	}
}

void Gossiper::logGrantorNotices()
{
	for (const GrantorNotice& notice : m_context.admission.takeNotices())
	{
		logEvent(LogLevel::Info, "quota-grantor-failed",
				 {{"host", notice.host},
				  {"answered", notice.answered ? "unable" : "no"},
				  {"passed_over_ms", millisText(notice.span)}});
	}
}

void Gossiper::recordLoopDelay(Micros _now)
{
	if (m_due == kNever)
	{
		return;
	}
	const Micros delay = std::max<Micros>(0, _now - m_due);
	m_context.metrics.onLoopDelay(delay);
	if (delay > kMinLoggedLoopDelay)
	{
		logEvent(LogLevel::Warning, "loop-delayed",
				 {{"ms", millisText(delay)}, {"open", std::to_string(m_context.openExchanges.size())}});
	}
}

void Gossiper::send(const GossipMessage& _message, const std::string& _host)
{
	sendBytes(purposeOf(_message), encodeGossip(_message), _host);
}

void Gossiper::sendBytes(DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host)
{
	BoostError error;
	const udp::endpoint endpoint(asio::ip::make_address(_host, error), m_context.settings.gossipPort);
	if (!error)
	{
		m_socket.send_to(asio::buffer(_bytes), endpoint, 0, error);
	}
	if (!error)
	{
		m_context.traffic.onSent(_purpose, _bytes.size());
		return;
	}
	m_context.traffic.onUnsent(_purpose);
	const std::uint64_t unsent = m_context.traffic.unsent();
	if (unsent <= kMaxUnsentLogged || unsent % kUnsentLogStep == 0)
	{
		logEvent(LogLevel::Warning, "datagram-unsent",
				 {{"purpose", std::string(toString(_purpose))},
				  {"to", _host},
				  {"bytes", std::to_string(_bytes.size())},
				  {"cause", error.message()},
				  {"count", std::to_string(unsent)}});
	}
}

void Gossiper::sendToPeers(Micros _now)
{
	const std::optional<std::string> holder = holderHost(m_context.content);
	std::vector<std::string> known = m_context.peers.targets(_now);
	const bool crowded = known.size() > limits::kGossipPeers;
	const std::vector<std::string> targets =
		GossipPlan::targets(std::move(known), holder, limits::kGossipPeers, m_context.random);
	GossipMessage report = makeReport(_now);
	report.members = m_context.peers.liveHosts(_now);
	for (const std::string& host : targets)
	{
		GossipMessage message = report;
		const GossipSections parts = GossipPlan::sectionsFor(host, holder, crowded, m_round);
		if (!parts.usage)
		{
			message.usage.clear();
		}
		if (!parts.members)
		{
			message.members.clear();
		}
		message.echo = m_context.peers.echoFor(host);
		message.levels = levelsFor(host, _now);
		send(message, host);
	}
}

std::vector<QuotaLevel> Gossiper::levelsFor(const std::string& _host, Micros _now) const
{
	const bool recentlyStarted = m_context.peers.startedWithin(_host, QuotaLedger::kStartupSpan);
	return recentlyStarted ? m_context.quotas.levelsToReport(_now) : std::vector<QuotaLevel>();
}

bool Gossiper::isCollector() const
{
	const auto topMembers = m_context.relays.topMembers(m_context.settings.dataCentre, RelayChoice::kTopMembers);
	return std::find(topMembers.begin(), topMembers.end(), m_context.settings.callers.host) != topMembers.end();
}

bool Gossiper::mustListAllTeams(const std::vector<std::string>& _collectors)
{
	std::map<std::string, std::uint64_t> incarnations;
	for (const std::string& host : _collectors)
	{
		const auto peer = m_context.peers.peers().find(host);
		incarnations[host] = peer == m_context.peers.peers().end() ? 0 : peer->second.incarnation;
	}
	if (incarnations != m_collectorIncarnations)
	{
		// A collector cannot tell that the first report is new, and one of the next ones may be lost.
		m_collectorIncarnations = std::move(incarnations);
		m_listAllTeamsUntil = m_round + kRepeatRounds;
	}
	return m_round < m_listAllTeamsUntil || m_round % kRoundsPerFullReport == 0;
}

void Gossiper::omitUnchangedQuotas(GossipMessage& _report, bool _full)
{
	std::vector<QuotaReport> kept;
	for (const QuotaReport& quota : _report.quotas)
	{
		auto& [taken, round] = m_lastReported[quota.team];
		if (quota.taken != taken)
		{
			taken = quota.taken;
			round = m_round;
		}
		const bool nonZero = quota.taken > 0.0;
		if (nonZero && (_full || m_round - round < kRepeatRounds))
		{
			kept.push_back(quota);
		}
	}
	_report.quotas = std::move(kept);
	_report.whole = _full;
}

void Gossiper::sendToCollectors(Micros _now)
{
	m_table.expire(_now);
	watchCollectors(_now);
	const std::string& dataCentre = m_context.settings.dataCentre;
	const auto topMembers = m_context.relays.topMembers(dataCentre, RelayChoice::kTopMembers);
	const bool collector = isCollector();
	GossipMessage report = makeReport(_now);
	m_follower.onReportSent(_now, ownSums());
	if (collector)
	{
		m_table.onReport(report, _now);
	}
	const bool full = mustListAllTeams(topMembers);
	m_collectors = topMembers;
	omitUnchangedQuotas(report, full);
	const std::uint64_t window = m_context.currentWindow(_now);
	const std::uint64_t windowsBack = full ? kUsageWindowsBack : m_round % kRepeatRounds == 0 ? 1 : 0;
	report.usage = m_context.usage.ownCounts(window - std::min(window, windowsBack));
	for (const std::string& host : topMembers)
	{
		if (host == m_context.settings.callers.host)
		{
			continue;
		}
		report.wantsSums = !collector && host == topMembers.front();
		report.echo = m_context.peers.echoFor(host);
		send(report, host);
		if (collector || report.wantsSums)
		{
			m_watch.onContacted(host, _now);
		}
	}
	if (m_round % kRoundsPerSilentProbe == 0)
	{
		report.wantsSums = false;
		for (const std::string& host : m_context.relays.silentTopMembers(dataCentre))
		{
			report.echo = m_context.peers.echoFor(host);
			send(report, host);
		}
	}
	if (collector && topMembers.front() == m_context.settings.callers.host)
	{
		sendCentreSums(_now);
		sendCentreUsage(_now);
	}
}

void Gossiper::watchCollectors(Micros _now)
{
	const auto lastHeard = [this](const std::string& _host)
	{
		const auto peer = m_context.peers.peers().find(_host);
		return peer == m_context.peers.peers().end() ? kLongAgo : peer->second.heard;
	};
	for (const std::string& host : m_watch.takeSilent(_now, lastHeard, m_collectors))
	{
		m_context.relays.onSilent(host);
		logEvent(LogLevel::Info, "collector-silent", {{"host", host}});
	}
}

void Gossiper::sendCentreSums(Micros _now)
{
	GossipMessage message = makeMessage(_now);
	FleetSums sums = m_table.dataCentreSums();
	message.kind = GossipKind::DataCentreSums;
	message.wallClock = m_context.clock.trueTime(_now);
	message.gateways = sums.gateways;
	message.quotas = std::move(sums.quotas);
	message.demand = std::move(sums.demand);
	message.loads = std::move(sums.loads);
	keepBusiest(message.loads, kMaxCentreLoads);
	std::set<std::string> targets;
	for (const std::string& dataCentre : m_context.relays.dataCentres())
	{
		if (dataCentre == m_context.settings.dataCentre)
		{
			continue;
		}
		const auto topMembers = m_context.relays.topMembers(dataCentre, RelayChoice::kTopMembers);
		targets.insert(topMembers.begin(), topMembers.end());
		for (const std::string& host : topMembers)
		{
			m_watch.onContacted(host, _now);
			m_collectors.push_back(host);
		}
		if (m_round % kRoundsPerSilentProbe == 0)
		{
			const auto silent = m_context.relays.silentTopMembers(dataCentre);
			targets.insert(silent.begin(), silent.end());
		}
	}
	if (const auto holder = holderHost(m_context.content))
	{
		targets.insert(*holder);
	}
	targets.erase(m_context.settings.callers.host);
	for (const std::string& host : targets)
	{
		message.echo = m_context.peers.echoFor(host);
		send(message, host);
	}
}

std::set<std::string> Gossiper::usageReceivers() const
{
	const std::vector<std::string> ranked = m_context.relays.allTopMembers();
	const std::optional<std::string> holder = holderHost(m_context.content);
	const std::size_t count = holder ? std::min(kDutySuccessors, ranked.size()) : ranked.size();
	std::set<std::string> hosts(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count));
	if (holder)
	{
		hosts.insert(*holder);
	}
	hosts.erase(m_context.settings.callers.host);
	return hosts;
}

void Gossiper::sendCentreUsage(Micros _now)
{
	const std::uint64_t window = m_context.currentWindow(_now);
	const RunCounts rows = m_context.usage.dataCentreCounts(m_context.settings.dataCentre,
															window - std::min(window, kCentreUsageWindowsBack),
															m_context.settings.usageWindow);
	for (const auto& [run, count] : rows)
	{
		m_context.usage.onReport(run, count);
	}
	const std::set<std::string> receivers = usageReceivers();
	for (RunCounts& part : m_usagePlan.select(rows, receivers))
	{
		GossipMessage message = makeMessage(_now);
		message.kind = GossipKind::Echo;
		message.draining.clear();
		message.dataCentreUsage = std::move(part);
		for (const std::string& host : receivers)
		{
			message.echo = m_context.peers.echoFor(host);
			send(message, host);
		}
	}
}

} // namespace beacongate
