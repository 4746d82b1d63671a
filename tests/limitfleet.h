// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before a backend server that names a limit, in virtual time.

#ifndef BEACONGATE_TESTS_LIMITFLEET_H
#define BEACONGATE_TESTS_LIMITFLEET_H

#include "coordination/backendlimits.h"
#include "memberchurn.h"

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace beacongate::test
{
inline constexpr Micros kLimitTick = 10 * kMillisecond; ///< As gateways look at their waiting requests.
inline constexpr Micros kLimitWindow = 4 * kSecond;
inline constexpr double kLimitTolerance = 1.5; ///< Factor on what a limit allows in a window.
inline constexpr double kLimitSlack = 5.0;     ///< Requests in a window on top.
inline const BackendKey kLimitedServer("limited", 1);

struct LimitFleet
{
	unsigned gateways = 8;
	double limit = 1.0;
	Churn churn = Churn::None;
	Micros lag = 1 * kSecond; ///< Largest time after which a gateway has heard of a change of the members.
	Micros standstill = 0;    ///< Longest time for which a gateway stands still, every 2 s to 4 s.
	double crowdShare = 0.0;  ///< Share of the requests that come to one gateway.
};

struct LimitOutcome
{
	std::size_t most = 0;   ///< Requests that the server got in any window.
	double usedShare = 0.0; ///< Of what its limit allows over the whole run.
};

/// One gateway as far as limits are concerned.
class LimitedGateway
{
public:
	LimitedGateway(unsigned _number, Micros _agreed)
		: m_host(MemberTimeline::hostOf(_number)), m_relays({m_host, "z" + std::to_string(_number % 4), 0}),
		  m_agreed(_agreed)
	{
	}

	void setMembers(const std::set<MemberRecord>& _members)
	{
		m_relays.setMembers(_members);
		const std::size_t listed = std::max(m_relays.memberCount(), m_relays.index() + 1);
		m_limits.setMembers(listed, m_relays.index());
	}

	/// Processes an answer of the server.
	void learn(double _limit, Micros _now)
	{
		m_limits.onAnswer(kLimitedServer, _limit, _now, _now, m_agreed + _now);
	}

	/// @returns true if a request has to be sent now.
	bool take(Micros _now)
	{
		return m_limits.take(kLimitedServer, m_agreed + _now);
	}

private:
	std::string m_host;
	RelayChoice m_relays;
	BackendLimits m_limits;
	Micros m_agreed;
};

/// One run of a fleet.
class LimitSimulation
{
public:
	static constexpr Micros kSpan = 30 * kSecond;
	/// Time from the start of a run until what the server gets counts.
	static constexpr Micros kContactSpan = 4 * kSecond;

	LimitSimulation(const LimitFleet& _fleet, std::uint64_t _seed)
		: m_fleet(_fleet), m_members(_fleet.gateways, _fleet.churn, _fleet.lag, kSpan, _seed),
		  m_random(static_cast<std::minstd_rand::result_type>(_seed + 1)), m_gateways(_fleet.gateways)
	{
	}

	LimitOutcome run()
	{
		// Each gateway has about five requests a second.
		const double perSecond = std::max(5.0 * m_fleet.gateways, 3.0 * m_fleet.limit);
		std::poisson_distribution<unsigned> arrivals(perSecond * secondsOf(kLimitTick));
		for (m_now = 0; m_now < kSpan; m_now += kLimitTick)
		{
			startAndStop();
			answerRequests();
			for (unsigned count = arrivals(m_random); count > 0; --count)
			{
				Gateway& gateway = drawGateway();
				gateway.core ? gateway.waiting.push_back(m_now) : void();
			}
			for (std::size_t index = 0; index < m_gateways.size(); ++index)
			{
				dispatch(m_gateways[(index + static_cast<std::size_t>(m_now / kLimitTick)) % m_gateways.size()]);
			}
		}
		return outcome();
	}

private:
	static constexpr Micros kStart = 1'796'000'000 * kSecond; ///< Agreed time at the start.
	static constexpr Micros kPatience = 500 * kMillisecond;   ///< Requests that wait for longer are refused.
	static constexpr Micros kAnswerTime = 50 * kMillisecond;

	struct Gateway
	{
		std::unique_ptr<LimitedGateway> core; ///< Empty while its process does not run.
		std::size_t version = 0;              ///< Of the list of members.
		std::deque<Micros> waiting;           ///< Times at which the waiting requests came.
		Micros stillUntil = 0;
		Micros nextStandstill = 0;
	};

	struct Answer
	{
		Micros due = 0;
		std::size_t gateway = 0;
	};

	double draw()
	{
		return std::uniform_real_distribution<double>()(m_random);
	}

	Micros draw(Micros _from, Micros _to)
	{
		return std::uniform_int_distribution<Micros>(_from, _to)(m_random);
	}

	Gateway& drawGateway()
	{
		return draw() < m_fleet.crowdShare ? m_gateways.front() : m_gateways[m_random() % m_gateways.size()];
	}

	void startAndStop()
	{
		for (unsigned number = 0; number < m_gateways.size(); ++number)
		{
			Gateway& gateway = m_gateways[number];
			if (!m_members.isUp(number, m_now))
			{
				gateway.core.reset();
				gateway.waiting.clear();
				continue;
			}
			const bool starts = !gateway.core;
			if (starts)
			{
				gateway.core = std::make_unique<LimitedGateway>(number, kStart);
			}
			const std::size_t version =
				starts ? m_members.newestVersion(m_now) : m_members.versionAt(number, gateway.version, m_now);
			if (starts || version != gateway.version)
			{
				gateway.version = version;
				gateway.core->setMembers(m_members.members(version));
			}
			if (starts && m_now == 0)
			{
				gateway.core->learn(m_fleet.limit, m_now);
			}
			standStill(gateway);
		}
	}

	void standStill(Gateway& _gateway)
	{
		if (m_fleet.standstill > 0 && m_now >= _gateway.nextStandstill)
		{
			_gateway.stillUntil = m_now + draw(0, m_fleet.standstill);
			_gateway.nextStandstill = m_now + draw(2 * kSecond, 4 * kSecond);
		}
	}

	void answerRequests()
	{
		while (!m_answers.empty() && m_answers.front().due <= m_now)
		{
			Gateway& gateway = m_gateways[m_answers.front().gateway];
			gateway.core ? gateway.core->learn(m_fleet.limit, m_now) : void();
			m_answers.pop_front();
		}
	}

	void dispatch(Gateway& _gateway)
	{
		if (!_gateway.core || m_now < _gateway.stillUntil)
		{
			return;
		}
		while (!_gateway.waiting.empty() && m_now - _gateway.waiting.front() > kPatience)
		{
			_gateway.waiting.pop_front();
		}
		while (!_gateway.waiting.empty() && _gateway.core->take(m_now))
		{
			_gateway.waiting.pop_front();
			m_sent.push_back(m_now);
			m_answers.push_back({m_now + kAnswerTime, static_cast<std::size_t>(&_gateway - m_gateways.data())});
		}
	}

	LimitOutcome outcome() const
	{
		LimitOutcome outcome;
		const auto counted = std::lower_bound(m_sent.begin(), m_sent.end(), kContactSpan);
		for (auto first = counted; first != m_sent.end(); ++first)
		{
			const auto end = std::lower_bound(first, m_sent.end(), *first + kLimitWindow);
			outcome.most = std::max(outcome.most, static_cast<std::size_t>(std::distance(first, end)));
		}
		const auto sent = static_cast<double>(std::distance(counted, m_sent.end()));
		outcome.usedShare = sent / (m_fleet.limit * secondsOf(kSpan - kContactSpan));
		return outcome;
	}

	LimitFleet m_fleet;
	MemberTimeline m_members;
	std::minstd_rand m_random;
	std::vector<Gateway> m_gateways;
	std::deque<Micros> m_sent;
	std::deque<Answer> m_answers;
	Micros m_now = 0;
};

inline std::string describe(const LimitFleet& _fleet)
{
	return std::to_string(_fleet.gateways) + " gateways, limit " + std::to_string(_fleet.limit) + ", members " +
		   toString(_fleet.churn) + ", lists " + std::to_string(_fleet.lag / kMillisecond) +
		   " ms late, standstills " + std::to_string(_fleet.standstill / kMillisecond) + " ms, crowd " +
		   std::to_string(_fleet.crowdShare);
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_LIMITFLEET_H
