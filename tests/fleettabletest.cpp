// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Sums over a large fleet: what collectors add up, and what an ordinary gateway takes out of them.

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

RC_GTEST_PROP(FleetTable, addsUpTheLatestWordOfEachGateway,
			  (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps))
{
	constexpr unsigned kGateways = 5;
	FleetTable table;
	std::vector<double> taken(kGateways);
	std::vector<std::uint64_t> runs(kGateways, 1);
	double all = 0.0;
	for (const auto& [which, how] : steps)
	{
		const unsigned gateway = which % kGateways;
		if (how % 8 == 0)
		{
			// A restart: its counts begin at 0 again, and what it had counted stays counted.
			++runs[gateway];
			taken[gateway] = 0.0;
		}
		taken[gateway] += how;
		all += how;
		const GossipMessage report = reportOf(gateway, taken[gateway], runs[gateway]);
		table.onReport(report, 0);
		if (how % 3 == 0)
		{
			table.onReport(report, 0);                                               // Doubled on the way.
			table.onReport(reportOf(gateway, taken[gateway] / 2, runs[gateway]), 0); // An older one, late.
		}
		RC_ASSERT(std::abs(takenIn(table.fleetSums()) - all) < 1e-6);
		RC_ASSERT(std::abs(takenIn(table.dataCentreSums()) - all) < 1e-6);
	}
}

TEST(FleetTable, countsNothingOfBeforeItHeardOfAnOldRun)
{
	FleetTable table;
	GossipMessage report = reportOf(1, 500.0);
	report.uptime = FleetTable::kYoung + 1;
	report.whole = false;
	EXPECT_FALSE(table.onReport(report, 0)) << "what a partial report leaves out is not known to be 0";
	report.whole = true;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 0.0);
	report.quotas = {{kTeam, 530.0}, {"other", 7.0}};
	report.whole = false;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 30.0);
	EXPECT_EQ(table.fleetSums().quotas.front().taken, 7.0) << "a team that was not in the whole report began at 0";
}

TEST(FleetTable, knowsARunThatHasNoCountersYet)
{
	FleetTable table;
	GossipMessage report = reportOf(1, 0.0);
	report.quotas.clear();
	report.uptime = FleetTable::kYoung + 1;
	EXPECT_TRUE(table.onReport(report, 0));
	report.quotas = {{kTeam, 5.0}};
	report.whole = false;
	EXPECT_TRUE(table.onReport(report, 0));
	EXPECT_EQ(takenIn(table.fleetSums()), 5.0) << "it began at 0";
}

TEST(FleetTable, listensToOneCollectorOfADataCentreAtATime)
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
	EXPECT_EQ(takenIn(table.dataCentreSums()), 0.0) << "sums of others are not passed on as one's own";
	const Micros later = FleetTable::kCollectorSilence + 1;
	GossipMessage second = sumsOf(sums, "10.1.0.2", "b");
	second.uptime = FleetTable::kYoung + 1;
	EXPECT_TRUE(table.onDataCentreSums(second, later)) << "the first one is silent";
	EXPECT_EQ(takenIn(table.fleetSums()), 100.0);
	EXPECT_EQ(inFlightIn(table.fleetSums(), BackendKey("b")), 2u);
	table.expire(later + FleetTable::kLife + 1);
	EXPECT_EQ(inFlightIn(table.fleetSums(), BackendKey("b")), 0u);
	EXPECT_EQ(table.fleetSums().gateways, 0u);
}

RC_GTEST_PROP(FleetFollower, takesOutWhatItHadReported, (const std::vector<std::uint8_t>& steps))
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
		GossipMessage mine = reportOf(1, own);
		mine.sent = now;
		mine.loads = {{backend, step % 4u, 0}};
		FleetSums reported;
		reported.quotas = mine.quotas;
		reported.loads = mine.loads;
		follower.onReportSent(now, reported);
		if (step % 6 == 0)
		{
			continue; // The report is lost.
		}
		table.onReport(mine, now);
		GossipMessage other = reportOf(2, others);
		other.loads = {{backend, 3, 0}};
		table.onReport(other, now);
		GossipMessage sums = sumsOf(table.fleetSums(), "10.0.0.9", "a");
		sums.kind = GossipKind::FleetSums;
		sums.echo = mine.sent;
		const auto rest = follower.sumsOfOthers(sums);
		RC_ASSERT(rest.has_value());
		RC_ASSERT(inFlightIn(*rest, backend) == 3u);
		RC_ASSERT(rest->gateways == 1u);
		first = first < 0.0 ? takenIn(*rest) - others : first;
		RC_ASSERT(std::abs(takenIn(*rest) - others - first) < 1e-6);
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
	const auto tell = [&](const UsageLedger& _from)
	{
		for (const auto& [run, count] : _from.dataCentreCounts("a", kWindow, kSpan))
		{
			holder.onReport(run, count);
		}
	};
	tell(collector);
	tell(collector);
	EXPECT_EQ(holder.totals(kWindow, true).at(kTeam), 5u);
	EXPECT_TRUE(holder.totals(kWindow).empty()) << "data centres and single gateways are not added up";
	// All gateways of the data centre lose power and start again; the collector's sums begin anew.
	UsageLedger restarted({"g1", late});
	restarted.onReport({"g2", late}, {kWindow, kTeam, 2});
	tell(restarted);
	EXPECT_EQ(holder.totals(kWindow, true).at(kTeam), 7u);
	// The holder goes too: its successor has what was kept.
	UsageLedger successor({"i", late});
	for (const auto& [run, count] : holder.allCounts(kWindow, true))
	{
		successor.onReport(run, count);
	}
	EXPECT_EQ(successor.totals(kWindow, true).at(kTeam), 7u);
}

namespace
{
constexpr Micros kStep = 10 * kMillisecond; ///< Of virtual time.

/// Gateways in data centres of 50, with the real tables, followers and messages, over a network that delays by a
/// step and loses one datagram in a hundred.
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

	/// Lets time pass; each gateway takes from the team's quota all the time.
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
					speak(number);
				}
			}
		}
	}

	/// @returns how old what an ordinary gateway knows of the others is, at a share of the gateways.
	Micros age(double _share) const
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
		return static_cast<Micros>(ages[static_cast<std::size_t>(_share * static_cast<double>(ages.size() - 1))]) *
			   kStep;
	}

	/// @returns bytes a second into and out of an ordinary gateway, or a collector.
	double bytesASecond(bool _collector) const
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
		double known = 0.0;  ///< Of all others.
		double offset = 0.0; ///< Where that began.
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

	void speak(unsigned _number)
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

/// Before, with 16 random peers each 150 ms: of 300 gateways one was heard every 2.7 s, of 3,100 every 29 s, and
/// each took in 107 datagrams a second. After, the age of what an ordinary gateway knows of the others, at the
/// median and at 99 of 100: 320 and 560 ms with 300 gateways, 400 and 600 ms with 3,100; it sends and takes in 6.1
/// kB/s of either size, with one collector to report to (two make it some 1 kB/s more).
TEST(FleetBenchmark, newsAreEverywhereInTimeForABoundedNumberOfBytes)
{
	constexpr double kMostBytes = 7'000.0;
	for (const unsigned gateways : {30u, 100u, 300u, 1'000u, 3'100u})
	{
		VirtualFleet fleet(gateways);
		fleet.run(2 * kSecond);
		std::printf(
			"%4u gateways: news of the others are %3lld ms old at the median, %3lld ms at 99 of 100; an ordinary "
			"gateway handles %.1f kB/s, a collector %.1f kB/s\n",
			gateways, static_cast<long long>(fleet.age(0.5) / kMillisecond),
			static_cast<long long>(fleet.age(0.99) / kMillisecond), fleet.bytesASecond(false) / 1000.0,
			fleet.bytesASecond(true) / 1000.0);
		EXPECT_LE(fleet.bytesASecond(false), kMostBytes) << gateways << " gateways";
		EXPECT_LE(fleet.age(0.99), gateways <= 300 ? 800 * kMillisecond : kSecond) << gateways << " gateways";
	}
}

namespace
{
/// Gateways of a large fleet that share one team's quota, with the real ledgers, tables and followers.
class QuotaFleet
{
public:
	static constexpr unsigned kGateways = 77;
	static constexpr unsigned kDataCentres = 7;
	static constexpr double kRate = 800'000.0;
	static constexpr double kBurst = 1'700'000.0;
	static constexpr double kAmount = 20'000.0; ///< Of one request.

	explicit QuotaFleet(std::uint32_t _seed) : m_gateways(kGateways), m_random(_seed)
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

	/// Lets time pass, while the team asks so many times its rate, at gateways drawn by chance.
	void run(Micros _span, double _timesItsRate)
	{
		for (const Micros end = m_now + _span; m_now < end; m_now += kStep)
		{
			for (unsigned number = 0; number < kGateways; ++number)
			{
				if (m_now >= m_gateways[number].due)
				{
					m_gateways[number].due += limits::kCollectorRound;
					speak(number);
				}
			}
			m_asked += _timesItsRate * kRate / kAmount * secondsOf(kStep);
			for (; m_asked >= 1.0; m_asked -= 1.0)
			{
				ask(static_cast<unsigned>(m_random()) % kGateways);
			}
		}
	}

	/// @returns the most that was taken in a window of 8 s, as a share of what the quota gives in it.
	double mostInAWindow() const
	{
		constexpr Micros kWindow = 8 * kSecond;
		double most = 0.0;
		for (const auto& [start, amount] : m_taken)
		{
			double sum = 0.0;
			for (auto it = m_taken.find(start); it != m_taken.end() && it->first < start + kWindow; ++it)
			{
				sum += it->second;
			}
			most = std::max(most, sum / (kRate * secondsOf(kWindow) + kBurst));
		}
		return most;
	}

private:
	struct Gateway
	{
		QuotaLedger ledger;
		FleetTable table;
		FleetFollower follower;
		Micros due = 0;
	};

	void ask(unsigned _number)
	{
		if (m_gateways[_number].ledger.take(kTeam, kAmount, m_now).passes())
		{
			m_taken[m_now] += kAmount;
		}
	}

	/// The first kDataCentres gateways are the collectors.
	void speak(unsigned _number)
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
			tellCentres(_number);
			return;
		}
		hear(first, report.host, report, 1);
		FleetSums own;
		own.quotas = report.quotas;
		gateway.follower.onReportSent(m_now, own);
		GossipMessage sums = sumsOf(first.table.fleetSums(), "collector", "a");
		sums.echo = m_now;
		const auto others = gateway.follower.sumsOfOthers(sums);
		ASSERT_TRUE(others);
		sums.quotas = others->quotas;
		hear(gateway, "fleet", sums, others->gateways);
	}

	void tellCentres(unsigned _number)
	{
		GossipMessage sums = sumsOf(m_gateways[_number].table.dataCentreSums(), "c" + std::to_string(_number),
									std::to_string(_number));
		sums.uptime = m_now;
		for (unsigned other = 0; other < kDataCentres; ++other)
		{
			if (other != _number && m_gateways[other].table.onDataCentreSums(sums, m_now))
			{
				hear(m_gateways[other], sums.host, sums, sums.gateways);
			}
		}
	}

	void hear(Gateway& _hearer, const std::string& _source, const GossipMessage& _message, std::size_t _speaksFor)
	{
		for (const QuotaReport& quota : _message.quotas)
		{
			_hearer.ledger.onReport(_source, 1, quota, m_now, m_now);
		}
		_hearer.ledger.onHeard(_source, m_now, m_now, _speaksFor);
	}

	std::vector<Gateway> m_gateways;
	std::minstd_rand m_random;
	std::map<Micros, double> m_taken;
	double m_asked = 0.0;
	Micros m_now = kSecond;
};
} // namespace

/// The load that this answers: one team asks for six times its quota of 77 gateways, after a quiet span. What the
/// users allow over 8 s is 1.1 times the quota and a little more. Before, with each gateway going by the level
/// alone, it got 1.12 to 1.20 times the quota; after, 1.04 to 1.07.
TEST(FleetQuota, aTeamThatAsksForSixTimesItsQuotaGetsItAndNoMore)
{
	for (const std::uint32_t seed : {1u, 2u, 3u})
	{
		QuotaFleet fleet(seed);
		fleet.run(12 * kSecond, 0.5);
		fleet.run(12 * kSecond, 6.0);
		std::printf("most taken in 8 s: %.3f of the quota\n", fleet.mostInAWindow());
		EXPECT_LT(fleet.mostInAWindow(), 1.1);
		EXPECT_GT(fleet.mostInAWindow(), 0.85) << "what is below the quota is not refused";
	}
}

} // namespace beacongate::test
