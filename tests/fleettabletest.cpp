// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Sums over a large fleet: what collectors add up, and what an ordinary gateway subtracts from the sums.

#include "coordination/fleettable.h"
#include "coordination/fleetfollower.h"
#include "coordination/gossipplan.h"
#include "coordination/quotaledger.h"
#include "protocol/gossipcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>

namespace beacongate::test
{
namespace
{
constexpr const char* kTeam = "team";

GossipMessage reportOf(unsigned _gateway, double _taken, std::uint64_t _incarnation = 1)
{
	GossipMessage report;
	report.run = {"g" + std::to_string(_gateway), _incarnation};
	report.host = "10.0.0." + std::to_string(_gateway);
	report.dataCentre = "a";
	report.quotas = {{kTeam, _taken}};
	return report;
}

GossipMessage sumsOf(const FleetSums& _sums, const std::string& _host, const std::string& _dataCentre)
{
	GossipMessage message;
	message.kind = GossipKind::DataCentreSums;
	message.run = {_host, 1};
	message.host = _host;
	message.dataCentre = _dataCentre;
	message.gateways = _sums.gateways;
	message.quotas = _sums.quotas;
	message.demand = _sums.demand;
	message.loads = _sums.loads;
	return message;
}

double takenIn(const FleetSums& _sums)
{
	const auto found = std::find_if(_sums.quotas.begin(), _sums.quotas.end(),
									[](const QuotaReport& _quota) { return _quota.team == kTeam; });
	return found == _sums.quotas.end() ? 0.0 : found->taken;
}

unsigned inFlightIn(const FleetSums& _sums, BackendKey _key)
{
	const auto found = std::find_if(_sums.loads.begin(), _sums.loads.end(),
									[&](const BackendLoad& _load) { return _load.key == _key; });
	return found == _sums.loads.end() ? 0 : found->inFlight;
}
} // namespace

RC_GTEST_PROP(FleetTable, addsUpTheLatestReportOfEachGateway,
			  (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps))
{
	constexpr unsigned kGateways = 5;
	FleetTable table;
	std::vector<double> taken(kGateways);
	std::vector<std::uint64_t> runs(kGateways, 1);
	double all = 0.0;
	for (const auto& [selector, amount] : steps)
	{
		const unsigned gateway = selector % kGateways;
		if (amount % 8 == 0)
		{
			// A restart: the gateway's counters begin at 0 again, and what it had counted before stays counted.
			++runs[gateway];
			taken[gateway] = 0.0;
		}
		taken[gateway] += amount;
		all += amount;
		const GossipMessage report = reportOf(gateway, taken[gateway], runs[gateway]);
		table.onReport(report, 0);
		if (amount % 3 == 0)
		{
			table.onReport(report, 0);                                               // Duplicated by the network.
			table.onReport(reportOf(gateway, taken[gateway] / 2, runs[gateway]), 0); // An older report, late.
		}
		RC_ASSERT(std::abs(takenIn(table.fleetSums()) - all) < 1e-6);
		RC_ASSERT(std::abs(takenIn(table.dataCentreSums()) - all) < 1e-6);
	}
}

TEST(FleetTable, ignoresCountsFromBeforeTheFirstReportOfAnOldRun)
{
	FleetTable table;
	GossipMessage report = reportOf(1, 500.0);
	report.uptime = FleetTable::kYoungRunUptime + 1;
	report.whole = false;
	EXPECT_FALSE(table.onReport(report, 0)) << "counters that a partial report omits are not known to be 0";
	report.whole = true;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 0.0);
	report.quotas = {{kTeam, 530.0}, {"other", 7.0}};
	report.whole = false;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 30.0);
	EXPECT_EQ(table.fleetSums().quotas.front().taken, 7.0)
		<< "a team that was not in the complete report started at 0";
}

TEST(FleetTable, acceptsARunWithoutCounters)
{
	FleetTable table;
	GossipMessage report = reportOf(1, 0.0);
	report.quotas.clear();
	report.uptime = FleetTable::kYoungRunUptime + 1;
	EXPECT_TRUE(table.onReport(report, 0));
	report.quotas = {{kTeam, 5.0}};
	report.whole = false;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 5.0) << "the counter started at 0";
}

TEST(FleetTable, followsOneCollectorOfADataCentreAtATime)
{
	FleetTable table;
	FleetSums sums;
	sums.gateways = 3;
	sums.quotas = {{kTeam, 100.0}};
	sums.loads = {{BackendKey("b"), 2, 0}};
	EXPECT_TRUE(table.onDataCentreSums(sumsOf(sums, "10.1.0.1", "b"), 0));
	EXPECT_FALSE(table.onDataCentreSums(sumsOf(sums, "10.1.0.2", "b"), 100 * kMillisecond));
	EXPECT_EQ(takenIn(table.fleetSums()), 100.0);
	EXPECT_EQ(table.fleetSums().gateways, 3u);
	EXPECT_EQ(takenIn(table.dataCentreSums()), 0.0) << "sums of other data centres are not part of this one's sums";
	const Micros later = FleetTable::kCollectorTimeout + 1;
	GossipMessage second = sumsOf(sums, "10.1.0.2", "b");
	second.uptime = FleetTable::kYoungRunUptime + 1;
	EXPECT_TRUE(table.onDataCentreSums(second, later)) << "the first collector is silent";
	EXPECT_EQ(takenIn(table.fleetSums()), 100.0);
	EXPECT_EQ(inFlightIn(table.fleetSums(), BackendKey("b")), 2u);
	table.expire(later + FleetTable::kEntryLifetime + 1);
	EXPECT_EQ(inFlightIn(table.fleetSums(), BackendKey("b")), 0u);
	EXPECT_EQ(table.fleetSums().gateways, 0u);
}

RC_GTEST_PROP(FleetFollower, subtractsWhatItHadReported, (const std::vector<std::uint8_t>& steps))
{
	const BackendKey backend("b");
	FleetTable table;
	FleetFollower follower;
	double own = 0.0;
	double others = 0.0;
	double first = -1.0;
	Micros now = kSecond;
	for (const std::uint8_t step : steps)
	{
		now += 250 * kMillisecond;
		own += step % 7;
		others += step % 5;
		GossipMessage ownReport = reportOf(1, own);
		ownReport.sent = now;
		ownReport.loads = {{backend, step % 4u, 0}};
		FleetSums reported;
		reported.quotas = ownReport.quotas;
		reported.loads = ownReport.loads;
		follower.onReportSent(now, reported);
		if (step % 6 == 0)
		{
			continue; // The report is lost.
		}
		table.onReport(ownReport, now);
		GossipMessage other = reportOf(2, others);
		other.loads = {{backend, 3, 0}};
		table.onReport(other, now);
		GossipMessage sums = sumsOf(table.fleetSums(), "10.0.0.9", "a");
		sums.kind = GossipKind::FleetSums;
		sums.echo = ownReport.sent;
		const auto remaining = follower.sumsOfOthers(sums);
		RC_ASSERT(remaining.has_value());
		RC_ASSERT(inFlightIn(*remaining, backend) == 3u);
		RC_ASSERT(remaining->gateways == 1u);
		first = first < 0.0 ? takenIn(*remaining) - others : first;
		RC_ASSERT(std::abs(takenIn(*remaining) - others - first) < 1e-6);
	}
	GossipMessage unknown;
	unknown.echo = now + 1;
	RC_ASSERT(!follower.sumsOfOthers(unknown));
}

TEST(UsageLedger, sumsOfADataCentreSurviveItsCollectorsAndAllGateways)
{
	constexpr Micros kSpan = 5 * kSecond;
	constexpr std::uint64_t kWindow = 100;
	const auto early = static_cast<std::uint64_t>(kWindow * kSpan - 60 * kSecond);
	const auto late = static_cast<std::uint64_t>(kWindow * kSpan + 2 * kSecond);
	UsageLedger collector({"g1", early});
	collector.onRequestStarted(kWindow, kTeam);
	collector.onReport({"g2", early}, {kWindow, kTeam, 4});
	UsageLedger holder({"h", early});
	const auto receiveCounts = [&](const UsageLedger& _from)
	{
		for (const auto& [run, count] : _from.dataCentreCounts("a", kWindow, kSpan))
		{
			holder.onReport(run, count);
		}
	};
	receiveCounts(collector);
	receiveCounts(collector);
	EXPECT_EQ(holder.totals(kWindow, true).at(kTeam), 5u);
	EXPECT_TRUE(holder.totals(kWindow).empty()) << "counts of data centres and of single gateways are kept apart";
	// All gateways of the data centre lose power and restart, and the collector's sums start again.
	UsageLedger restarted({"g1", late});
	restarted.onReport({"g2", late}, {kWindow, kTeam, 2});
	receiveCounts(restarted);
	EXPECT_EQ(holder.totals(kWindow, true).at(kTeam), 7u);
	// The duty holder ends too, and its successor reads the stored counts.
	UsageLedger successor({"i", late});
	for (const auto& [run, count] : holder.allCounts(kWindow, true))
	{
		successor.onReport(run, count);
	}
	EXPECT_EQ(successor.totals(kWindow, true).at(kTeam), 7u);
}

namespace
{
constexpr Micros kStep = 10 * kMillisecond; ///< Step of virtual time.

/// Gateways in data centres of 50 each, with real tables, followers and messages. The network delays datagrams by
/// one step and loses one in a hundred.
class VirtualFleet
{
public:
	explicit VirtualFleet(unsigned _gateways) : m_gateways(_gateways)
	{
		constexpr unsigned kInDataCentre = 50;
		for (unsigned number = 0; number < _gateways; ++number)
		{
			Gateway& gateway = m_gateways[number];
			gateway.dataCentre = number / kInDataCentre;
			gateway.collector = number % kInDataCentre == 0;
			gateway.first = number - number % kInDataCentre;
			gateway.due = static_cast<Micros>(m_random() % static_cast<unsigned>(limits::kCollectorRound));
		}
	}

	/// Advances time, while each gateway uses the team's quota at a constant rate.
	void run(Micros _span)
	{
		for (const Micros end = m_now + _span; m_now < end; m_now += kStep)
		{
			deliver();
			for (unsigned number = 0; number < m_gateways.size(); ++number)
			{
				Gateway& gateway = m_gateways[number];
				gateway.taken += 1.0;
				if (m_now >= gateway.due)
				{
					gateway.due += limits::kCollectorRound;
					sendReport(number);
				}
			}
		}
	}

	/// @returns the age of the others' counters at ordinary gateways.
	/// @param[in] _quantile Quantile over the ordinary gateways.
	Micros age(double _quantile) const
	{
		std::vector<double> ages;
		const double others = static_cast<double>(m_gateways.size()) - 1.0;
		for (const Gateway& gateway : m_gateways)
		{
			if (!gateway.collector)
			{
				ages.push_back((gateway.taken * others - gateway.known - gateway.offset) / others);
			}
		}
		std::sort(ages.begin(), ages.end());
		return static_cast<Micros>(
				   ages[static_cast<std::size_t>(_quantile * static_cast<double>(ages.size() - 1))]) *
			   kStep;
	}

	/// @returns the mean bytes per second that an ordinary gateway, or a collector, sends and receives.
	double bytesPerSecond(bool _collector) const
	{
		double bytes = 0.0;
		double count = 0.0;
		for (const Gateway& gateway : m_gateways)
		{
			bytes += gateway.collector == _collector ? gateway.bytes : 0.0;
			count += gateway.collector == _collector ? 1.0 : 0.0;
		}
		return bytes / count / (static_cast<double>(m_now) / kSecond);
	}

private:
	struct Gateway
	{
		unsigned dataCentre = 0;
		unsigned first = 0;
		bool collector = false;
		Micros due = 0;
		double taken = 0.0;
		double known = 0.0;  ///< Sum of the counters of all others.
		double offset = 0.0; ///< Start value of that sum.
		double bytes = 0.0;
		FleetTable table;
		FleetFollower follower;
	};

	struct Datagram
	{
		unsigned to = 0;
		std::string bytes;
	};

	GossipMessage describe(unsigned _number) const
	{
		const Gateway& gateway = m_gateways[_number];
		GossipMessage message;
		message.run = {"g" + std::to_string(_number), 1};
		message.host = "10." + std::to_string(gateway.dataCentre) + ".0." + std::to_string(_number);
		message.dataCentre = std::to_string(gateway.dataCentre);
		message.sent = m_now;
		message.uptime = m_now;
		message.quotas = {{kTeam, gateway.taken}};
		for (unsigned load = 0; load < 4; ++load)
		{
			const unsigned server = (_number * 4 + load) % kServers;
			message.loads.push_back({BackendKey("i-" + std::to_string(server)), 1, 800});
		}
		return message;
	}

	void send(unsigned _from, unsigned _to, const GossipMessage& _message)
	{
		const std::string bytes = encodeGossip(_message);
		m_gateways[_from].bytes += static_cast<double>(bytes.size());
		if (m_random() % 100 != 0)
		{
			m_sent.push_back({_to, bytes});
		}
	}

	void sendReport(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		const GossipMessage report = describe(_number);
		if (!gateway.collector)
		{
			FleetSums own;
			own.quotas = report.quotas;
			own.loads = report.loads;
			gateway.follower.onReportSent(m_now, own);
			send(_number, gateway.first, report);
			return;
		}
		gateway.table.onReport(report, m_now);
		GossipMessage sums = sumsOf(gateway.table.dataCentreSums(), report.host, report.dataCentre);
		sums.uptime = m_now;
		for (unsigned other = 0; other < m_gateways.size(); ++other)
		{
			if (m_gateways[other].collector && other != _number)
			{
				send(_number, other, sums);
			}
		}
	}

	void deliver()
	{
		std::vector<Datagram> arrived;
		arrived.swap(m_sent);
		for (const Datagram& datagram : arrived)
		{
			const auto message = decodeGossip(datagram.bytes);
			ASSERT_TRUE(message);
			Gateway& receiver = m_gateways[datagram.to];
			receiver.bytes += static_cast<double>(datagram.bytes.size());
			if (message->kind == GossipKind::DataCentreSums)
			{
				receiver.table.onDataCentreSums(*message, m_now);
			}
			else if (message->kind == GossipKind::Report)
			{
				receiver.table.onReport(*message, m_now);
				GossipMessage sums = sumsOf(receiver.table.fleetSums(), "collector", message->dataCentre);
				sums.kind = GossipKind::FleetSums;
				sums.echo = message->sent;
				const auto sender = static_cast<unsigned>(std::stoul(message->run.name.substr(1)));
				send(datagram.to, sender, sums);
			}
			else if (const auto others = receiver.follower.sumsOfOthers(*message))
			{
				receiver.known = takenIn(*others);
			}
		}
	}

	static constexpr unsigned kServers = 200;

	std::vector<Gateway> m_gateways;
	std::vector<Datagram> m_sent;
	std::minstd_rand m_random;
	Micros m_now = 0;
};
} // namespace

/// Guards against late reports and unbounded traffic in large fleets. With 16 random peers every 150 ms, a gateway
/// of 300 heard from another one every 2.7 s, a gateway of 3,100 every 29 s, and each received 107 datagrams a
/// second. With collectors, what an ordinary gateway knows of the others is 320 ms old at the median and 560 ms at
/// the 99th percentile with 300 gateways, and 400 ms and 600 ms with 3,100. In both cases it sends and receives 6.1
/// kB/s with one collector to report to; a second one adds about 1 kB/s.
TEST(FleetBenchmark, reportsArriveInTimeWithBoundedTraffic)
{
	constexpr double kMaxBytes = 7'000.0;
	for (const unsigned gateways : {30u, 100u, 300u, 1'000u, 3'100u})
	{
		VirtualFleet fleet(gateways);
		fleet.run(2 * kSecond);
		std::printf(
			"%4u gateways: reports of the others are %3lld ms old at the median, %3lld ms at the 99th percentile; "
			"an ordinary gateway sends and receives %.1f kB/s, a collector %.1f kB/s\n",
			gateways, static_cast<long long>(fleet.age(0.5) / kMillisecond),
			static_cast<long long>(fleet.age(0.99) / kMillisecond), fleet.bytesPerSecond(false) / 1000.0,
			fleet.bytesPerSecond(true) / 1000.0);
		EXPECT_LE(fleet.bytesPerSecond(false), kMaxBytes) << gateways << " gateways";
		EXPECT_LE(fleet.age(0.99), gateways <= 300 ? 800 * kMillisecond : kSecond) << gateways << " gateways";
	}
}

namespace
{
/// Gateways of a large fleet that share one team's quota, with real ledgers, tables and followers.
class CollectorQuotaFleet
{
public:
	static constexpr unsigned kGateways = 77;
	static constexpr unsigned kDataCentres = 7;
	static constexpr double kRate = 800'000.0;
	static constexpr double kBurst = 1'700'000.0;
	static constexpr double kAmount = 20'000.0; ///< Size of one request.

	explicit CollectorQuotaFleet(std::uint32_t _seed) : m_gateways(kGateways), m_random(_seed)
	{
		RoutingConfig config;
		config.teams.emplace_back();
		config.teams[0].name = kTeam;
		config.teams[0].ratePerSecond = kRate;
		config.teams[0].burst = kBurst;
		for (Gateway& gateway : m_gateways)
		{
			gateway.ledger.setMembers(kGateways);
			gateway.ledger.configure(config, m_now);
			gateway.due = m_now + static_cast<Micros>(m_random() % static_cast<unsigned>(limits::kCollectorRound));
		}
	}

	/// Advances time, while the team sends requests to random gateways.
	/// @param[in] _demandFactor Demand of the team as a multiple of its rate.
	void run(Micros _span, double _demandFactor)
	{
		for (const Micros end = m_now + _span; m_now < end; m_now += kStep)
		{
			for (unsigned number = 0; number < kGateways; ++number)
			{
				if (m_now >= m_gateways[number].due)
				{
					m_gateways[number].due += limits::kCollectorRound;
					sendReport(number);
				}
			}
			m_requested += _demandFactor * kRate / kAmount * secondsOf(kStep);
			for (; m_requested >= 1.0; m_requested -= 1.0)
			{
				sendRequest(static_cast<unsigned>(m_random()) % kGateways);
			}
		}
	}

	/// @returns the largest usage in a window of 8 s, as a share of what the quota allows in it.
	double peakInWindow() const
	{
		constexpr Micros kWindow = 8 * kSecond;
		double peak = 0.0;
		for (const auto& [start, amount] : m_taken)
		{
			double sum = 0.0;
			for (auto it = m_taken.find(start); it != m_taken.end() && it->first < start + kWindow; ++it)
			{
				sum += it->second;
			}
			peak = std::max(peak, sum / (kRate * secondsOf(kWindow) + kBurst));
		}
		return peak;
	}

private:
	struct Gateway
	{
		QuotaLedger ledger;
		FleetTable table;
		FleetFollower follower;
		Micros due = 0;
	};

	void sendRequest(unsigned _number)
	{
		if (m_gateways[_number].ledger.take(kTeam, kAmount, m_now).passes())
		{
			m_taken[m_now] += kAmount;
		}
	}

	/// Sends a gateway's report. The first kDataCentres gateways are the collectors.
	void sendReport(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		GossipMessage report = reportOf(_number, gateway.ledger.takenHere(kTeam));
		report.sent = m_now;
		report.uptime = m_now;
		gateway.ledger.advance(m_now);
		const unsigned collector = _number % kDataCentres;
		Gateway& first = m_gateways[collector];
		first.table.onReport(report, m_now);
		if (_number == collector)
		{
			sendDataCentreSums(_number);
			return;
		}
		receive(first, report.host, report, 1);
		FleetSums own;
		own.quotas = report.quotas;
		gateway.follower.onReportSent(m_now, own);
		GossipMessage sums = sumsOf(first.table.fleetSums(), "collector", "a");
		sums.echo = m_now;
		const auto others = gateway.follower.sumsOfOthers(sums);
		ASSERT_TRUE(others);
		sums.quotas = others->quotas;
		receive(gateway, "fleet", sums, others->gateways);
	}

	void sendDataCentreSums(unsigned _number)
	{
		GossipMessage sums = sumsOf(m_gateways[_number].table.dataCentreSums(), "c" + std::to_string(_number),
									std::to_string(_number));
		sums.uptime = m_now;
		for (unsigned other = 0; other < kDataCentres; ++other)
		{
			if (other != _number && m_gateways[other].table.onDataCentreSums(sums, m_now))
			{
				receive(m_gateways[other], sums.host, sums, sums.gateways);
			}
		}
	}

	void receive(Gateway& _receiver, const std::string& _source, const GossipMessage& _message,
				 std::size_t _gateways)
	{
		for (const QuotaReport& quota : _message.quotas)
		{
			_receiver.ledger.onReport(_source, 1, quota, m_now, m_now);
		}
		_receiver.ledger.onHeard(_source, m_now, m_now, _gateways);
	}

	std::vector<Gateway> m_gateways;
	std::minstd_rand m_random;
	std::map<Micros, double> m_taken;
	double m_requested = 0.0;
	Micros m_now = kSecond;
};
} // namespace

/// Guards against a team using much more than its quota in a large fleet. One team requests six times its quota of
/// 77 gateways after a time of low demand; 1.1 times the quota and a little more is tolerated over 8 s. With each
/// gateway going by the level alone, the team used 1.12 to 1.20 times the quota; with admittedShare() it uses 1.04
/// to 1.07.
TEST(FleetQuota, aTeamWithSixTimesItsQuotaUsesItAndNoMore)
{
	for (const std::uint32_t seed : {1u, 2u, 3u})
	{
		CollectorQuotaFleet fleet(seed);
		fleet.run(12 * kSecond, 0.5);
		fleet.run(12 * kSecond, 6.0);
		std::printf("peak usage in 8 s: %.3f of the quota\n", fleet.peakInWindow());
		EXPECT_LT(fleet.peakInWindow(), 1.1);
		EXPECT_GT(fleet.peakInWindow(), 0.85) << "at least 0.85 of the quota is used";
	}
}

} // namespace beacongate::test
