// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before a backend server that names a limit, in virtual time.

#ifndef BEACONGATE_TESTS_LIMITFLEET_H
#define BEACONGATE_TESTS_LIMITFLEET_H

#include "coordination/backendlimits.h"
#include "coordination/retainedmembers.h"
#include "coordination/slotpermits.h"
#include "memberchurn.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
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

/// A request that waits at a gateway.
struct WaitingRequest
{
	Micros arrived = 0;
	SlotTicket ticket;
};

/// One gateway as far as limits are concerned.
class LimitedGateway
{
public:
	using Send = std::function<void(const std::string& _host, const SlotMessage& _message)>;

	/// @param[in] _run Number of the process among all of the fleet.
	LimitedGateway(unsigned _number, std::uint64_t _run, Micros _agreed, const Micros& _now, const Send& _send)
		: m_host(MemberTimeline::hostOf(_number)), m_grantor(_run << kIdBits),
		  m_permits(m_balancer, m_grantor, m_host, _run << kIdBits),
		  m_members({m_host, "z" + std::to_string(_number % 4), 0}), m_agreed(_agreed)
	{
		m_server.key = kLimitedServer;
		m_server.record.slots = kSlots;
		m_grantor.setSend(_send);
		m_permits.setSend(_send);
		m_grantor.setNotify([this](const GrantNotice& _notice, Micros _at) { m_permits.tellHomes(_notice, _at); });
		m_permits.setTakeTurn([this, &_now](BackendKey _key) { return m_limits.takeTurn(_key, m_agreed + _now); });
	}

	const std::string& host() const
	{
		return m_host;
	}

	void setMembers(const std::set<MemberRecord>& _listed, Micros _now)
	{
		if (m_members.update(_listed, _now))
		{
			m_permits.setMembers(m_members.members());
			m_limits.setMembers(m_members.count(), m_members.index());
		}
	}

	/// Processes an answer of the server.
	void learn(double _limit, Micros _now)
	{
		m_limits.onAnswer(kLimitedServer, _limit, _now, _now, m_agreed + _now);
	}

	/// Hears from another gateway, as StartupQuery asks before a gateway takes requests.
	void hearFrom(const LimitedGateway& _other, Micros _now)
	{
		m_limits.merge(_other.m_limits.inForce(m_agreed + _now), m_agreed + _now);
	}

	/// Processes a message of another gateway.
	/// @returns the answer, if it is a question.
	std::optional<SlotAnswer> receive(const std::string& _from, const SlotMessage& _message, Micros _now)
	{
		m_permits.onHeard(_from);
		if (const auto* request = std::get_if<SlotRequest>(&_message))
		{
			return m_grantor.decide(*request, _from, 0, _now);
		}
		if (const auto* answer = std::get_if<SlotAnswer>(&_message))
		{
			m_permits.onAnswer(_from, *answer, _now);
		}
		else if (const auto* report = std::get_if<SlotReport>(&_message))
		{
			m_grantor.onReport(*report, _from, _now);
		}
		else
		{
			m_grantor.onNotice(std::get<GrantNotice>(_message), _now);
		}
		return std::nullopt;
	}

	void advance(Micros _now)
	{
		m_grantor.advance(_now);
	}

	/// Tries to send a request.
	/// @param[in] _until Until when it can wait.
	SlotVerdict take(WaitingRequest& _request, Micros _until, Micros _now)
	{
		const std::optional<double> limit = m_limits.limitOf(kLimitedServer);
		if (!limit)
		{
			return SlotVerdict::Granted;
		}
		Availability available;
		available.open = {&m_server};
		m_permits.narrow(available, _request.ticket, _now);
		if (available.open.empty())
		{
			return available.earliestEnd > _until ? SlotVerdict::Denied : SlotVerdict::Pending;
		}
		const SlotNeed need{kLimitedServer, kSlots, std::nullopt, 0, _until - _now, limit};
		const SlotVerdict verdict = m_permits.take(_request.ticket, need, _now, [] {});
		return verdict == SlotVerdict::Denied ? SlotVerdict::Pending : verdict;
	}

	/// Ends a request that has not been sent.
	void abandon(WaitingRequest& _request, Micros _now)
	{
		m_permits.abandon(_request.ticket, _now);
	}

private:
	static constexpr unsigned kSlots = 12;
	static constexpr unsigned kIdBits = 24; ///< Bits of the numbers of one process's requests.

	std::string m_host;
	Balancer m_balancer{"z"};
	SlotGrantor m_grantor;
	SlotPermits m_permits;
	RetainedMembers m_members;
	BackendLimits m_limits;
	Micros m_agreed;
	KnownBackend m_server;
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
			deliverMessages();
			for (unsigned count = arrivals(m_random); count > 0; --count)
			{
				Gateway& gateway = drawGateway();
				gateway.core ? gateway.waiting.push_back({m_now, {}}) : void();
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
		std::deque<WaitingRequest> waiting;
		Micros stillUntil = 0;
		Micros nextStandstill = 0;
	};

	struct Answer
	{
		Micros due = 0;
		std::size_t gateway = 0;
	};

	/// A datagram between gateways.
	struct Message
	{
		Micros due = 0;
		std::string from;
		std::size_t to = 0;
		SlotMessage content;
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
				gateway.core = std::make_unique<LimitedGateway>(
					number, ++m_runs, kStart, m_now,
					[this, from = MemberTimeline::hostOf(number)](const std::string& _to,
																  const SlotMessage& _message) {
						m_messages.push_back({m_now + kLimitTick, from, numberOf(_to), _message});
					});
			}
			const std::size_t version =
				starts ? m_members.newestVersion(m_now) : m_members.versionAt(number, gateway.version, m_now);
			if (starts || version != gateway.version)
			{
				gateway.version = version;
				gateway.core->setMembers(m_members.members(version), m_now);
			}
			if (starts)
			{
				m_now == 0 ? gateway.core->learn(m_fleet.limit, m_now) : askOthers(*gateway.core);
			}
			standStill(gateway);
		}
	}

	void askOthers(LimitedGateway& _core)
	{
		const auto canAnswer = [&](const Gateway& _gateway)
		{
			return _gateway.core && _gateway.core.get() != &_core && m_now >= _gateway.stillUntil;
		};
		const auto other = std::find_if(m_gateways.begin(), m_gateways.end(), canAnswer);
		other != m_gateways.end() ? _core.hearFrom(*other->core, m_now) : void();
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

	static std::size_t numberOf(const std::string& _host)
	{
		return std::stoul(_host.substr(_host.rfind('-') + 1));
	}

	/// Delivers what is due. A gateway that stands still reads its messages afterwards, and one that does not run
	/// gets none.
	void deliverMessages()
	{
		for (std::size_t count = m_messages.size(); count > 0; --count)
		{
			const Message message = m_messages.front();
			m_messages.pop_front();
			Gateway& gateway = m_gateways[message.to];
			if (message.due > m_now || m_now < gateway.stillUntil)
			{
				m_messages.push_back(message);
				continue;
			}
			const auto answer =
				gateway.core ? gateway.core->receive(message.from, message.content, m_now) : std::nullopt;
			if (answer)
			{
				m_messages.push_back({m_now + kLimitTick, gateway.core->host(), numberOf(message.from), *answer});
			}
		}
	}

	void dispatch(Gateway& _gateway)
	{
		if (!_gateway.core || m_now < _gateway.stillUntil)
		{
			return;
		}
		_gateway.core->advance(m_now);
		std::deque<WaitingRequest> remaining;
		for (WaitingRequest& request : std::exchange(_gateway.waiting, {}))
		{
			const Micros until = request.arrived + kPatience;
			const SlotVerdict verdict =
				m_now > until ? SlotVerdict::Denied : _gateway.core->take(request, until, m_now);
			if (verdict == SlotVerdict::Pending)
			{
				remaining.push_back(request);
			}
			else if (verdict == SlotVerdict::Granted)
			{
				m_sent.push_back(m_now);
				m_answers.push_back({m_now + kAnswerTime, static_cast<std::size_t>(&_gateway - m_gateways.data())});
			}
			else
			{
				_gateway.core->abandon(request, m_now);
			}
		}
		_gateway.waiting = std::move(remaining);
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
	std::deque<Message> m_messages;
	std::uint64_t m_runs = 0; ///< Processes started so far.
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
