// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A simulation, in virtual time, of a fleet of gateways that share one team's quota. The ledgers are real, and in
/// a large fleet so are the collectors' tables and the followers. The network delays and loses datagrams, and
/// gateways can stall.

#ifndef BEACONGATE_TESTS_COLLECTORFLEET_H
#define BEACONGATE_TESTS_COLLECTORFLEET_H

#include "beacongate/limits.h"
#include "coordination/fleetfollower.h"
#include "coordination/fleettable.h"
#include "coordination/gossipplan.h"
#include "coordination/quotaadmission.h"
#include "coordination/quotagrantor.h"
#include "coordination/quotaledger.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace beacongate::test
{
/// Gateways that receive the requests of one team.
class CollectorFleet
{
public:
	static constexpr Micros kStep = 10 * kMillisecond;
	static constexpr unsigned kDataCentres = 4;
	static constexpr const char* kTeam = "team";

	/// The size of the fleet, the team's limit and its requests.
	struct Scenario
	{
		unsigned gateways = 77;
		double rate = 1'100'000.0;
		double burst = 1'100'000.0;
		double amount = 6'000.0;
		double tolerance = 140'000.0; ///< Amount that is tolerated in a window in addition to a tenth of the quota.
		bool variedSizes = false;     ///< Request sizes vary: a few large requests make up most of the sum.
	};

	CollectorFleet(const Scenario& _scenario, std::uint32_t _seed)
		: m_scenario(_scenario), m_gateways(_scenario.gateways), m_random(_seed)
	{
		for (unsigned number = 0; number < m_scenario.gateways; ++number)
		{
			Gateway& gateway = m_gateways[number];
			gateway.ledger.setMembers(m_scenario.gateways);
			startAdmission(gateway, number);
			configure(gateway);
			gateway.due = m_now + static_cast<Micros>(m_random() % static_cast<unsigned>(limits::kCollectorRound));
		}
	}

	/// Changes the limits. Each gateway learns of the change at a random time within a span.
	void setLimits(double _rate, double _burst, Micros _span)
	{
		m_scenario.rate = _rate;
		m_scenario.burst = _burst;
		for (Gateway& gateway : m_gateways)
		{
			gateway.configureAt = m_now + static_cast<Micros>(m_random() % static_cast<unsigned>(_span));
		}
	}

	/// @returns the current virtual time.
	Micros now() const
	{
		return m_now;
	}

	/// Advances time, while the team sends requests to random gateways.
	/// @param[in] _demandFactor Demand of the team as a multiple of its rate.
	void run(Micros _span, double _demandFactor)
	{
		for (const Micros end = m_now + _span; m_now < end; m_now += kStep)
		{
			m_requested += _demandFactor * m_scenario.rate / m_scenario.amount * secondsOf(kStep);
			for (; m_requested >= 1.0; m_requested -= 1.0)
			{
				m_gateways[drawGateway()].backlog.push_back({{}, drawAmount()});
			}
			for (unsigned number = 0; number < m_scenario.gateways; ++number)
			{
				if (m_now >= m_gateways[number].stalledUntil)
				{
					step(number);
				}
			}
			deliverQuota();
			m_inTransit.swap(m_arriving);
			for (Datagram& datagram : m_arriving)
			{
				m_gateways[datagram.to].inbox.push_back(std::move(datagram.message));
			}
			m_arriving.clear();
		}
	}

	/// Stalls some gateways from now on. Datagrams to them wait.
	/// @param[in] _collectors True if collectors may be among them.
	void stall(double _share, Micros _span, bool _collectors)
	{
		const auto count = static_cast<unsigned>(_share * m_scenario.gateways);
		for (unsigned stalled = 0; stalled < count;)
		{
			const unsigned number = drawGateway();
			const bool isCollector = number < 2 * kDataCentres;
			if (m_gateways[number].stalledUntil <= m_now && (_collectors || !isCollector))
			{
				m_gateways[number].stalledUntil = m_now + _span;
				m_gateways[number].stalledSince = m_now;
				++stalled;
			}
		}
	}

	/// Drops all datagrams to some ordinary gateways from now on, while those from them arrive.
	void blockReceiving(double _share, Micros _span)
	{
		for (unsigned number = 2 * kDataCentres; number < m_scenario.gateways; ++number)
		{
			const bool isBlocked = static_cast<double>(m_random() % 1000) < 1000.0 * _share;
			m_gateways[number].blockedUntil = isBlocked ? m_now + _span : 0;
		}
	}

	/// @returns the largest usage in a window of 8 s, as a share of what is tolerated there.
	/// @param[in] _from Only windows that begin at this time or later count.
	double peakOfTolerated(Micros _from = 0) const
	{
		constexpr Micros kWindow = 8 * kSecond;
		const double tolerated =
			(m_scenario.rate * secondsOf(kWindow) + m_scenario.burst) * 1.1 + m_scenario.tolerance;
		double peak = 0.0;
		double sum = 0.0;
		auto first = m_usage.lower_bound(_from);
		for (auto usage = first; usage != m_usage.end(); ++usage)
		{
			const auto& [moment, amount] = *usage;
			sum += amount;
			for (; first->first <= moment - kWindow; ++first)
			{
				sum -= first->second;
			}
			peak = std::max(peak, sum / tolerated);
		}
		return peak;
	}

	/// @returns the usage in a span of virtual time.
	double usageIn(Micros _from, Micros _until) const
	{
		double sum = 0.0;
		for (auto it = m_usage.lower_bound(_from); it != m_usage.end() && it->first < _until; ++it)
		{
			sum += it->second;
		}
		return sum;
	}

	/// @returns the longest time after _from in which no request was admitted.
	Micros longestGap(Micros _from) const
	{
		Micros longest = 0;
		Micros last = _from;
		for (auto usage = m_usage.lower_bound(_from); usage != m_usage.end(); ++usage)
		{
			if (usage->second > 0.0)
			{
				longest = std::max(longest, usage->first - last);
				last = usage->first;
			}
		}
		return std::max(longest, m_now - last);
	}

	/// @returns the number of grant requests that grantors received.
	std::size_t grantRequests() const
	{
		return m_grantRequests;
	}

	/// Resets the counts of decided and refused requests.
	void resetCounts()
	{
		m_refused = 0;
		m_decided = 0;
	}

	/// @returns the share of requests that were refused since the last reset.
	double refusedShare() const
	{
		return static_cast<double>(m_refused) / static_cast<double>(std::max<std::size_t>(1, m_decided));
	}

	/// @returns the usage from a virtual time on, as a share of what the rate alone allows.
	double usedShare(Micros _from) const
	{
		double sum = 0.0;
		for (auto it = m_usage.lower_bound(kSecond + _from); it != m_usage.end(); ++it)
		{
			sum += it->second;
		}
		return sum / (m_scenario.rate * secondsOf(m_now - kSecond - _from));
	}

private:
	/// A request that has not been decided on.
	struct Waiting
	{
		QuotaTicket ticket;
		double amount = 0.0;
	};

	/// A message about grants to another gateway.
	struct QuotaDatagram
	{
		unsigned from = 0;
		unsigned to = 0;
		QuotaMessage message;
	};

	struct Gateway
	{
		QuotaLedger ledger;
		QuotaGrantor grantor{ledger};
		std::unique_ptr<QuotaAdmission> admission;
		std::vector<QuotaDatagram> outbox;
		std::vector<QuotaDatagram> quotaInbox;
		FleetTable table;
		FleetFollower follower;
		std::map<unsigned, Micros> newestSent; ///< Newest timestamps received from the others, to be echoed.
		std::vector<GossipMessage> inbox;
		std::vector<Waiting> backlog;
		Micros due = 0;
		Micros stalledUntil = 0;
		Micros stalledSince = kLongAgo;
		Micros blockedUntil = 0;
		Micros configureAt = kNever; ///< Time at which it learns of changed limits.
	};

	struct Datagram
	{
		unsigned to = 0;
		GossipMessage message;
	};

	void configure(Gateway& _gateway)
	{
		RoutingConfig config;
		config.teams.emplace_back();
		config.teams[0].name = kTeam;
		config.teams[0].ratePerSecond = m_scenario.rate;
		config.teams[0].burst = m_scenario.burst;
		_gateway.ledger.configure(config, m_now);
		_gateway.admission->onLimitsChanged();
		_gateway.configureAt = kNever;
	}

	unsigned drawGateway()
	{
		return static_cast<unsigned>(m_random()) % m_scenario.gateways;
	}

	/// @returns a random request size: a tenth of the mean for six in ten requests, else about 2.3 times the mean.
	double drawAmount()
	{
		if (!m_scenario.variedSizes)
		{
			return m_scenario.amount;
		}
		const bool small = m_random() % 10 < 6;
		std::exponential_distribution<double> sizes(1.0 / (2.35 * m_scenario.amount));
		return small ? 0.1 * m_scenario.amount : sizes(m_random) + 1.0;
	}

	/// @returns the collector that a data centre follows, which is the second one during a long stall of the first.
	unsigned collectorOf(unsigned _dataCentre) const
	{
		constexpr Micros kFailoverDelay = 800 * kMillisecond;
		const Gateway& first = m_gateways[_dataCentre];
		const bool isStalled = first.stalledUntil > m_now && m_now - first.stalledSince > kFailoverDelay;
		return isStalled ? _dataCentre + kDataCentres : _dataCentre;
	}

	/// Handles waiting requests first, then datagrams, then the timer.
	void step(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		if (m_now >= gateway.configureAt)
		{
			configure(gateway);
		}
		serve(gateway);
		for (const GossipMessage& message : gateway.inbox)
		{
			receive(_number, message);
		}
		gateway.inbox.clear();
		for (const QuotaDatagram& datagram : std::exchange(gateway.quotaInbox, {}))
		{
			receiveQuota(gateway, datagram);
		}
		if (m_now >= gateway.due)
		{
			gateway.due = m_now + GossipPlan::roundInterval(m_scenario.gateways);
			GossipPlan::usesCollectors(m_scenario.gateways) ? sendReport(_number) : sendReportToAll(_number);
		}
	}

	void startAdmission(Gateway& _gateway, unsigned _number)
	{
		std::vector<std::string> grantors;
		for (unsigned collector = 0; collector < std::min(2 * kDataCentres, m_scenario.gateways); ++collector)
		{
			grantors.push_back(std::to_string(collector));
		}
		_gateway.admission =
			std::make_unique<QuotaAdmission>(_gateway.ledger, _gateway.grantor, std::to_string(_number), 0);
		_gateway.admission->setGrantors(std::move(grantors));
		// The fleet object may be moved, but its gateways keep their addresses.
		_gateway.admission->setSend(
			[&_gateway, _number](const std::string& _host, const QuotaMessage& _message) {
				_gateway.outbox.push_back({_number, static_cast<unsigned>(std::stoul(_host)), _message});
			});
	}

	void receiveQuota(Gateway& _gateway, const QuotaDatagram& _datagram)
	{
		const std::string from = std::to_string(_datagram.from);
		if (const auto* request = std::get_if<QuotaGrantRequest>(&_datagram.message))
		{
			const QuotaGrantAnswer answer = _gateway.grantor.decide(*request, from, m_now);
			_gateway.outbox.push_back({_datagram.to, _datagram.from, answer});
			++m_grantRequests;
		}
		else if (const auto* answer = std::get_if<QuotaGrantAnswer>(&_datagram.message))
		{
			_gateway.admission->onAnswer(from, *answer, m_now);
		}
		else if (const auto* unused = std::get_if<QuotaGrantReturn>(&_datagram.message))
		{
			_gateway.grantor.onReturn(*unused, m_now);
		}
	}

	/// Delivers what was sent in the last step, and loses one message in a hundred.
	void deliverQuota()
	{
		for (QuotaDatagram& datagram : std::exchange(m_quotaInTransit, {}))
		{
			Gateway& gateway = m_gateways[datagram.to];
			if (m_now >= gateway.blockedUntil && m_random() % 100 != 0)
			{
				gateway.quotaInbox.push_back(std::move(datagram));
			}
		}
		for (Gateway& gateway : m_gateways)
		{
			std::move(gateway.outbox.begin(), gateway.outbox.end(), std::back_inserter(m_quotaInTransit));
			gateway.outbox.clear();
		}
	}

	void serve(Gateway& _gateway)
	{
		std::vector<Waiting> undecided;
		for (Waiting arrived : _gateway.backlog)
		{
			const QuotaVerdict verdict =
				_gateway.admission->take(arrived.ticket, kTeam, arrived.amount, m_now, [] {});
			if (isUndecided(verdict))
			{
				undecided.push_back(arrived);
				continue;
			}
			++m_decided;
			m_refused += verdict.passes() ? 0 : 1;
			++m_reasons[verdict.reason];
			m_usage[m_now] += verdict.passes() ? arrived.amount : 0.0;
		}
		_gateway.backlog = std::move(undecided);
	}

	static bool isUndecided(const QuotaVerdict& _verdict)
	{
		return _verdict.reason == QuotaRefusalReason::Pending;
	}

	void send(unsigned _from, unsigned _to, GossipMessage _message)
	{
		_message.host = std::to_string(_from);
		_message.run = {_message.host, 1};
		_message.dataCentre = std::to_string(_from % kDataCentres);
		_message.sent = m_now;
		_message.uptime = m_now;
		const auto newestSent = m_gateways[_from].newestSent.find(_to);
		if (_message.kind != GossipKind::FleetSums)
		{
			_message.echo = newestSent == m_gateways[_from].newestSent.end() ? 0 : newestSent->second;
		}
		if (m_random() % 100 != 0)
		{
			m_inTransit.push_back({_to, std::move(_message)});
		}
	}

	void sendReport(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		gateway.ledger.advance(m_now);
		GossipMessage report;
		report.quotas = {{kTeam, gateway.ledger.takenHere(kTeam)}};
		const unsigned dataCentre = _number % kDataCentres;
		FleetSums own;
		own.gateways = 1;
		own.quotas = report.quotas;
		gateway.follower.onReportSent(m_now, own);
		const bool isCollector = _number < 2 * kDataCentres;
		if (isCollector)
		{
			report.host = std::to_string(_number);
			report.run = {report.host, 1};
			report.uptime = m_now;
			gateway.table.onReport(report, m_now);
		}
		for (const unsigned collector : {dataCentre, dataCentre + kDataCentres})
		{
			if (collector != _number)
			{
				report.wantsSums = !isCollector && collector == collectorOf(dataCentre);
				send(_number, collector, report);
			}
		}
		if (isCollector && collectorOf(dataCentre) == _number)
		{
			sendDataCentreSums(_number);
		}
	}

	/// Sends a report to all other gateways, as in a small fleet.
	void sendReportToAll(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		gateway.ledger.advance(m_now);
		GossipMessage report;
		report.quotas = {{kTeam, gateway.ledger.takenHere(kTeam)}};
		for (unsigned peer = 0; peer < m_scenario.gateways; ++peer)
		{
			if (peer != _number)
			{
				send(_number, peer, report);
			}
		}
	}

	void sendDataCentreSums(unsigned _number)
	{
		Gateway& gateway = m_gateways[_number];
		gateway.table.expire(m_now);
		FleetSums sums = gateway.table.dataCentreSums();
		GossipMessage message;
		message.kind = GossipKind::DataCentreSums;
		message.gateways = sums.gateways;
		message.quotas = sums.quotas;
		for (unsigned collector = 0; collector < 2 * kDataCentres; ++collector)
		{
			if (collector % kDataCentres != _number % kDataCentres)
			{
				send(_number, collector, message);
			}
		}
	}

	void receive(unsigned _number, const GossipMessage& _message)
	{
		constexpr Micros kRecent = kSecond;
		Gateway& gateway = m_gateways[_number];
		if (m_now < gateway.blockedUntil)
		{
			return;
		}
		const auto from = static_cast<unsigned>(std::stoul(_message.host));
		Micros& newestSent = gateway.newestSent[from];
		newestSent = std::max(newestSent, _message.sent);
		const bool isRecent = _message.echo > 0 && m_now - _message.echo <= kRecent;
		if (_message.kind == GossipKind::DataCentreSums)
		{
			sendEcho(_number, from);
		}
		if (_message.kind == GossipKind::Report)
		{
			receiveReport(_number, from, _message, isRecent);
		}
		else if (isRecent && _message.kind == GossipKind::DataCentreSums &&
				 gateway.table.onDataCentreSums(_message, m_now))
		{
			const std::string source = _message.dataCentre + '/' + _message.host;
			takeCounters(gateway, _message.dataCentre, source, _message);
			gateway.ledger.onSums(_message.dataCentre, source, m_now, _message.echo, _message.gateways);
		}
		else if (isRecent && _message.kind == GossipKind::FleetSums)
		{
			receiveFleetSums(gateway, _message);
		}
	}

	void sendEcho(unsigned _from, unsigned _to)
	{
		GossipMessage echo;
		echo.kind = GossipKind::Echo;
		send(_from, _to, echo);
	}

	void receiveReport(unsigned _number, unsigned _from, const GossipMessage& _message, bool _isRecent)
	{
		Gateway& gateway = m_gateways[_number];
		const bool viaCollectors = GossipPlan::usesCollectors(m_scenario.gateways);
		if (_isRecent && (!viaCollectors || gateway.table.onReport(_message, m_now)))
		{
			takeCounters(gateway, "", _message.host, _message);
			gateway.ledger.onHeard(_message.host, m_now, _message.echo);
		}
		if (!viaCollectors)
		{
			return;
		}
		if (_message.wantsSums)
		{
			gateway.table.expire(m_now);
			FleetSums sums = gateway.table.fleetSums();
			GossipMessage answer;
			answer.kind = GossipKind::FleetSums;
			answer.gateways = sums.gateways;
			answer.quotas = sums.quotas;
			answer.echo = _message.sent;
			send(_number, _from, answer);
		}
		else
		{
			sendEcho(_number, _from);
		}
	}

	void receiveFleetSums(Gateway& _gateway, const GossipMessage& _message)
	{
		const auto others = _gateway.follower.sumsOfOthers(_message);
		if (!others)
		{
			return;
		}
		GossipMessage rest = _message;
		rest.quotas = others->quotas;
		const std::string source = "fleet/" + _message.host;
		takeCounters(_gateway, "fleet", source, rest);
		_gateway.ledger.onSums("fleet", source, m_now, _message.echo, others->gateways);
	}

	void takeCounters(Gateway& _gateway, const std::string& _group, const std::string& _source,
					  const GossipMessage& _message)
	{
		const Micros uptime = _gateway.ledger.liveness().replacesAnother(_group, _source) ? kNever : m_now;
		for (const QuotaReport& quota : _message.quotas)
		{
			_gateway.ledger.onReport(_source, 1, quota, m_now, uptime);
		}
	}

	Scenario m_scenario;
	std::vector<Gateway> m_gateways;
	std::vector<Datagram> m_inTransit;
	std::vector<Datagram> m_arriving;
	std::vector<QuotaDatagram> m_quotaInTransit;
	std::size_t m_grantRequests = 0; ///< Grant requests that grantors received.
	std::minstd_rand m_random;
	std::map<Micros, double> m_usage;
	std::size_t m_refused = 0;
	std::map<QuotaRefusalReason, std::size_t> m_reasons; ///< Decisions by reason.
	std::size_t m_decided = 0;
	double m_requested = 0.0;
	Micros m_now = kSecond;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_COLLECTORFLEET_H
