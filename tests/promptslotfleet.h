// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before engines that read prompts one after the other, in virtual time.

#ifndef BEACONGATE_TESTS_PROMPTSLOTFLEET_H
#define BEACONGATE_TESTS_PROMPTSLOTFLEET_H

#include "coordination/admission/admissionrules.h"
#include "coordination/admission/shortageretry.h"
#include "coordination/admission/slotrules.h"
#include "coordination/slotpermits.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
inline constexpr unsigned kPromptGateways = 20;
inline constexpr unsigned kPromptEngines = 20;
inline constexpr unsigned kPromptPriorities = 3;
inline constexpr double kMeanPromptMillis = 80.0; ///< In which an engine reads a prompt.
inline constexpr double kPromptCapacity = kPromptEngines * 1000.0 / kMeanPromptMillis; ///< Prompts a second.
inline constexpr Micros kPromptTarget = 800 * kMillisecond;
inline constexpr Micros kPromptTimeout = 3 * kSecond;
inline constexpr Micros kMessageDelay = 2 * kMillisecond;
/// Homes refer for the first 1.5 s, and the shortage builds up; requests count that arrive afterwards.
inline constexpr Micros kPromptCountedFrom = 3 * kSecond;
inline constexpr Micros kPromptArrivalsEnd = 11 * kSecond;
inline constexpr Micros kHomeStop = 5 * kSecond;

struct PromptFleet
{
	double load = 1.0; ///< Work of new requests, as a multiple of what the engines can read.
	bool asks = true;  ///< Gateways ask for slots.
	/// Every second gateway is of the build before admission: it grants slots as a home, but does not ask for any.
	bool halfOld = false;
	bool homeStops = false;    ///< The gateway that is the first home of most engines stops at kHomeStop.
	Micros listedFor = kNever; ///< Time until the others read that it has stopped.
	double lostShare = 0.0;    ///< Share of the messages that are lost.
	unsigned seed = 7;
};
/// Requests of one kind.
struct PromptCount
{
	unsigned arrived = 0;
	unsigned inTime = 0;

	void add(const PromptCount& _other)
	{
		arrived += _other.arrived;
		inTime += _other.inTime;
	}

	double servedShare() const
	{
		return arrived == 0 ? 1.0 : static_cast<double>(inTime) / arrived;
	}
};

struct PromptOutcome
{
	double goodput = 0.0; ///< Requests a second that were answered in time.
	/// The same for requests that arrived two seconds or more after kHomeStop.
	double laterGoodput = 0.0;
	Micros longestRefused = 0; ///< Longest time for which a request was held that was refused.
	/// By priority; first those of new callers, then those of returning ones.
	std::array<std::array<PromptCount, 2>, kPromptPriorities> counts;

	PromptCount total(unsigned _priority) const
	{
		PromptCount count = counts[_priority][0];
		count.add(counts[_priority][1]);
		return count;
	}
};

/// One run of a fleet. New requests arrive open loop; a caller that was refused comes back once, to another
/// gateway. A request is in time if its first event arrives within the target from its own arrival at a gateway.
/// Gateways follow the rules of Exchange and Dispatcher.
class PromptSimulation
{
public:
	explicit PromptSimulation(const PromptFleet& _fleet) : m_fleet(_fleet), m_random(_fleet.seed)
	{
		for (unsigned number = 0; number < kPromptEngines; ++number)
		{
			Engine& engine = m_engines.emplace_back();
			engine.known.record.id = std::to_string(number);
			engine.known.record.slots = kSlots;
			engine.known.key = BackendKey(engine.known.record.id, 1);
			m_keys.push_back(engine.known.key);
		}
		for (const Engine& engine : m_engines)
		{
			m_available.open.push_back(&engine.known);
		}
		for (unsigned number = 0; number < kPromptGateways; ++number)
		{
			m_gateways.push_back(std::make_unique<Gateway>(number));
			m_members.insert({m_gateways.back()->host, "z", 0});
		}
		for (const auto& gateway : m_gateways)
		{
			connect(*gateway);
		}
	}

	PromptOutcome run()
	{
		const double perTick =
			m_fleet.load * kPromptEngines * static_cast<double>(kTick) / (kMeanPromptMillis * kMillisecond);
		std::poisson_distribution<unsigned> arrivals(perTick);
		for (m_now = 0; m_now < kPromptArrivalsEnd + kPromptTimeout; m_now += kTick)
		{
			stopHome();
			deliverMessages();
			runEngines();
			for (unsigned count = m_now < kPromptArrivalsEnd ? arrivals(m_random) : 0; count > 0; --count)
			{
				arriveNew();
			}
			arriveAgain();
			for (const auto& gateway : m_gateways)
			{
				gateway->isUp ? runTimers(*gateway) : void();
			}
		}
		return outcome();
	}

private:
	static constexpr Micros kTick = kMillisecond;
	static constexpr Micros kPass = 10 * kMillisecond;          ///< As Dispatcher looks at waiting requests.
	static constexpr Micros kQueueInterval = 20 * kMillisecond; ///< As SlotExchange looks at queues.
	static constexpr Micros kLoadInterval = 500 * kMillisecond;
	static constexpr Micros kLoadDelay =
		200 * kMillisecond; ///< Until a load report has arrived by way of a collector.
	static constexpr Micros kGeneration = 300 * kMillisecond; ///< From the first event to the end of a stream.
	static constexpr unsigned kSlots = 64;
	static constexpr double kTokensPerMilli = 60.0;
	static constexpr double kShortestReading = 20.0; ///< The longest takes as much more than the mean.
	static constexpr Micros kNone = -1;              ///< For a time that has not come.

	struct Request
	{
		Micros arrived = 0;
		Micros deadline = 0;
		unsigned priority = 0;
		bool returning = false; ///< By what the gateway knows.
		bool retry = false;     ///< Its caller was refused before.
		double draw = 0.0;      ///< See queueRank().
		Micros reading = 0;
		unsigned gateway = 0;
		SlotTicket ticket;
		PlacementRequest placement;
		Micros refusedAt = kNone;
		Micros firstEventAt = kNone;
	};
	using RequestPtr = std::shared_ptr<Request>;

	struct Gateway
	{
		explicit Gateway(unsigned _number)
			: number(_number), host("gateway-" + std::to_string(_number)), balancer("z", _number + 1),
			  grantor(std::uint64_t{_number + 1} << kIdBits),
			  permits(balancer, grantor, host, std::uint64_t{_number + 1} << kIdBits)
		{
			balancer.setManyGateways(true);
		}

		static constexpr unsigned kIdBits = 24; ///< Bits of the numbers of one gateway's requests for slots.
		unsigned number;
		std::string host;
		Balancer balancer;
		SlotGrantor grantor;
		SlotPermits permits;
		ShortageMeter shortages;
		std::vector<RequestPtr> waiting; ///< By priority, then by arrival.
		bool isUp = true;
	};

	struct Prompt
	{
		RequestPtr request;
		Micros end = 0; ///< When it has been read; 0 until that is begun.
	};

	struct Engine
	{
		KnownBackend known;
		std::deque<Prompt> prompts;
		std::deque<Prompt> generating;
		Micros freeAt = 0;
	};

	struct Message
	{
		Micros due = 0;
		std::string from;
		unsigned to = 0;
		SlotMessage content;
	};

	struct LoadReport
	{
		Micros due = 0;
		std::string from;
		unsigned to = 0;
		std::vector<BackendLoad> loads;
	};

	double draw()
	{
		return std::uniform_real_distribution<double>()(m_random);
	}

	bool isLost()
	{
		return m_fleet.lostShare > 0.0 && draw() < m_fleet.lostShare;
	}

	bool asks(const Gateway& _gateway) const
	{
		return m_fleet.asks && !isOld(_gateway);
	}

	bool isOld(const Gateway& _gateway) const
	{
		return m_fleet.halfOld && _gateway.number % 2 == 1;
	}

	void post(const Gateway& _from, const std::string& _host, const SlotMessage& _message)
	{
		const auto to = static_cast<unsigned>(std::stoul(_host.substr(_host.rfind('-') + 1)));
		isLost() ? void() : m_messages.push_back({m_now + kMessageDelay, _from.host, to, _message});
	}

	void connect(Gateway& _gateway)
	{
		_gateway.grantor.setSend(
			[this, &_gateway](const std::string& _host, const SlotAnswer& _answer) {
				_host == _gateway.host ? _gateway.permits.onAnswer(_host, _answer, m_now)
									   : post(_gateway, _host, _answer);
			});
		_gateway.permits.setSend([this, &_gateway](const std::string& _host, const SlotMessage& _message)
								 { post(_gateway, _host, _message); });
		_gateway.grantor.setNotify([&_gateway](const GrantNotice& _notice, Micros _at)
								   { _gateway.permits.tellHomes(_notice, _at); });
		_gateway.permits.setMembers(m_members);
	}

	void deliver(const Message& _message)
	{
		Gateway& gateway = *m_gateways[_message.to];
		gateway.permits.onHeard(_message.from);
		if (const auto* request = std::get_if<SlotRequest>(&_message.content))
		{
			const unsigned reported = isOld(gateway) ? gateway.balancer.totalInFlight(request->use.backend) : 0;
			post(gateway, _message.from, gateway.grantor.decide(*request, _message.from, reported, m_now));
		}
		else if (const auto* answer = std::get_if<SlotAnswer>(&_message.content))
		{
			gateway.permits.onAnswer(_message.from, *answer, m_now);
		}
		else if (const auto* report = std::get_if<SlotReport>(&_message.content))
		{
			gateway.grantor.onReport(*report, _message.from, m_now);
		}
		else
		{
			gateway.grantor.onNotice(std::get<GrantNotice>(_message.content), m_now);
		}
	}

	void deliverMessages()
	{
		while (!m_messages.empty() && m_messages.front().due <= m_now)
		{
			const Message message = m_messages.front();
			m_messages.pop_front();
			m_gateways[message.to]->isUp ? deliver(message) : void();
		}
		while (!m_loads.empty() && m_loads.front().due <= m_now)
		{
			const LoadReport report = m_loads.front();
			m_loads.pop_front();
			m_gateways[report.to]->balancer.setPeerLoads(report.from, report.loads, m_now);
		}
	}

	/// Stops the gateway that is the first home of most engines. Its connections to the engines are closed, so that
	/// these drop its prompts.
	void stopHome()
	{
		if (m_fleet.homeStops && m_now == kHomeStop)
		{
			RendezvousHomes homes;
			homes.setMembers(m_members);
			std::map<std::string, unsigned> engines;
			for (const BackendKey key : m_keys)
			{
				++engines[homes.of(key.value, 1).front()];
			}
			const auto most = std::max_element(engines.begin(), engines.end(),
											   [](const auto& _left, const auto& _right)
											   { return _left.second < _right.second; });
			const auto stopped = std::find_if(m_gateways.begin(), m_gateways.end(),
											  [&](const auto& _gateway) { return _gateway->host == most->first; });
			stop(**stopped);
		}
		if (m_fleet.homeStops && m_now - kHomeStop == m_fleet.listedFor)
		{
			std::erase_if(m_members, [this](const MemberRecord& _member) { return _member.host == m_stopped; });
			for (const auto& gateway : m_gateways)
			{
				gateway->permits.setMembers(m_members);
			}
		}
	}

	void stop(Gateway& _gateway)
	{
		_gateway.isUp = false;
		_gateway.waiting.clear();
		m_stopped = _gateway.host;
		const auto isOwn = [&](const Prompt& _prompt)
		{
			return _prompt.request->gateway == _gateway.number;
		};
		for (Engine& engine : m_engines)
		{
			std::erase_if(engine.prompts, isOwn);
			std::erase_if(engine.generating, isOwn);
		}
	}

	void runEngines()
	{
		for (Engine& engine : m_engines)
		{
			while (!engine.generating.empty() && engine.generating.front().end <= m_now)
			{
				const RequestPtr request = engine.generating.front().request;
				engine.generating.pop_front();
				m_gateways[request->gateway]->balancer.onEnded(engine.known.key, request->placement, true);
			}
			giveUp(engine);
			while (!engine.prompts.empty())
			{
				Prompt& first = engine.prompts.front();
				first.end =
					first.end == 0 ? std::max(engine.freeAt, m_now - kTick) + first.request->reading : first.end;
				if (first.end > m_now)
				{
					break;
				}
				engine.freeAt = first.end;
				const RequestPtr request = first.request;
				engine.prompts.pop_front();
				onFirstEvent(engine, request);
			}
		}
	}

	void onFirstEvent(Engine& _engine, const RequestPtr& _request)
	{
		Gateway& gateway = *m_gateways[_request->gateway];
		_request->firstEventAt = m_now;
		gateway.balancer.onFirstEvent(_engine.known.key, _request->placement);
		asks(gateway) ? gateway.permits.onEnded(_engine.known.key, std::nullopt, false, m_now) : void();
		_engine.generating.push_back({_request, m_now + kGeneration});
	}

	/// Drops prompts whose callers do not wait any longer.
	void giveUp(Engine& _engine)
	{
		std::erase_if(_engine.prompts,
					  [&](const Prompt& _prompt)
					  {
						  const Request& request = *_prompt.request;
						  if (request.deadline > m_now)
						  {
							  return false;
						  }
						  Gateway& gateway = *m_gateways[request.gateway];
						  gateway.balancer.onEnded(_engine.known.key, request.placement, false);
						  asks(gateway) ? gateway.permits.onEnded(_engine.known.key, std::nullopt, false, m_now)
										: void();
						  return true;
					  });
	}

	void arriveNew()
	{
		const auto request = std::make_shared<Request>();
		request->deadline = m_now + kPromptTimeout;
		request->priority = static_cast<unsigned>(m_random() % kPromptPriorities);
		const double reading = kShortestReading + 2.0 * (kMeanPromptMillis - kShortestReading) * draw();
		request->reading = static_cast<Micros>(reading * kMillisecond);
		request->placement.promptTokens = static_cast<std::uint64_t>(reading * kTokensPerMilli);
		arrive(request, kPromptGateways);
	}

	/// @param[in] _except Gateway that refused the caller before.
	void arrive(const RequestPtr& _request, unsigned _except)
	{
		do
		{
			_request->gateway = static_cast<unsigned>(m_random() % kPromptGateways);
		} while (_request->gateway == _except || !m_gateways[_request->gateway]->isUp);
		Gateway& gateway = *m_gateways[_request->gateway];
		_request->arrived = m_now;
		_request->draw = std::uniform_real_distribution<double>()(m_random);
		_request->returning = isReturning(_request->deadline - m_now, kPromptTimeout);
		_request->placement.tokensPerMilli = kTokensPerMilli;
		_request->placement.byEstimate = true;
		_request->placement.freesSlotAtFirstEvent = true;
		_request->placement.expectedTokens = _request->placement.promptTokens;
		m_requests.push_back(_request);
		if (!tryDispatch(gateway, _request))
		{
			const auto isBehind = [&](const RequestPtr& _other)
			{
				return _other->priority > _request->priority;
			};
			gateway.waiting.insert(std::find_if(gateway.waiting.begin(), gateway.waiting.end(), isBehind),
								   _request);
		}
	}

	/// Lets callers that were refused once come back.
	void arriveAgain()
	{
		for (auto next = m_returns.begin(); next != m_returns.end() && next->first <= m_now;
			 next = m_returns.erase(next))
		{
			const Request& former = *next->second;
			const auto request = std::make_shared<Request>();
			request->deadline = former.deadline;
			request->priority = former.priority;
			request->reading = former.reading;
			request->placement.promptTokens = former.placement.promptTokens;
			request->retry = true;
			arrive(request, former.gateway);
		}
	}

	/// @returns true if the request was sent or refused.
	bool tryDispatch(Gateway& _gateway, const RequestPtr& _request)
	{
		const HeldRequest held{m_now, _request->arrived, kPromptTarget, false};
		const bool sent = asks(_gateway) ? sendGranted(_gateway, _request) : sendAtOnce(_gateway, _request);
		const bool tooLong = asks(_gateway) ? holdLeft(held) == 0 : m_now > _request->arrived + kPromptTarget;
		if (!sent && tooLong)
		{
			refuse(_gateway, _request);
		}
		return sent || tooLong;
	}

	bool sendAtOnce(Gateway& _gateway, const RequestPtr& _request)
	{
		const Placement placement = _gateway.balancer.choose(m_available.open, _request->placement, {}, m_now);
		placement.full ? void() : send(_gateway, *placement.backend, _request);
		return !placement.full;
	}

	bool sendGranted(Gateway& _gateway, const RequestPtr& _request)
	{
		const HeldRequest held{m_now, _request->arrived, kPromptTarget, false};
		Availability available = m_available;
		_gateway.permits.narrow(available, _request->ticket, m_now);
		while (true)
		{
			const KnownBackend* backend = _gateway.permits.waitsFor(_request->ticket, available, m_now);
			backend = backend ? backend
							  : _gateway.balancer.choose(available.open, _request->placement, {}, m_now).backend;
			if (!backend)
			{
				return false;
			}
			SlotNeed need{backend->key, 1, 0.0, queueRank(_request->priority, _request->returning, _request->draw),
						  std::min(_request->deadline - m_now, holdLeft(held))};
			need.prompts = true;
			need.slots = SlotRules::promptSlots(kPromptTarget, kMeanPromptMillis, kSlots);
			const SlotVerdict verdict = _gateway.permits.take(_request->ticket, need, m_now,
															  [this, &_gateway, weak = std::weak_ptr(_request)]
															  { onDecided(_gateway, weak.lock()); });
			if (verdict != SlotVerdict::Denied)
			{
				verdict == SlotVerdict::Granted ? send(_gateway, *backend, _request) : void();
				return verdict == SlotVerdict::Granted;
			}
			std::erase(available.open, backend);
		}
	}

	void onDecided(Gateway& _gateway, const RequestPtr& _request)
	{
		const auto place = std::find(_gateway.waiting.begin(), _gateway.waiting.end(), _request);
		if (_request && place != _gateway.waiting.end() && tryDispatch(_gateway, _request))
		{
			std::erase(_gateway.waiting, _request);
		}
	}

	void send(Gateway& _gateway, const KnownBackend& _backend, const RequestPtr& _request)
	{
		_gateway.balancer.onSent(_backend.key, _request->placement);
		_gateway.shortages.onDecided(kServiceName, false, m_now);
		m_engines[std::stoul(_backend.record.id)].prompts.push_back({_request});
	}

	void refuse(Gateway& _gateway, const RequestPtr& _request)
	{
		_gateway.permits.abandon(_request->ticket, m_now);
		_gateway.shortages.onDecided(kServiceName, true, m_now);
		_request->refusedAt = m_now;
		const double share = _gateway.shortages.refusedShare(kServiceName);
		const Micros at = m_now + retryAfterShortage(share, _request->deadline - m_now, draw());
		!_request->retry&& at < _request->deadline ? void(m_returns.emplace(at, _request)) : void();
	}

	void runTimers(Gateway& _gateway)
	{
		const Micros phase = m_now + _gateway.number * kTick;
		if (phase % kPass == 0)
		{
			for (const RequestPtr& request : std::vector<RequestPtr>(_gateway.waiting))
			{
				tryDispatch(_gateway, request) ? void(std::erase(_gateway.waiting, request)) : void();
			}
		}
		phase % kQueueInterval == 0 ? _gateway.grantor.advance(m_now) : void();
		if (phase % kLoadInterval == 0)
		{
			for (const auto& other : m_gateways)
			{
				const bool reports = other->isUp && other.get() != &_gateway && !isLost();
				reports ? m_loads.push_back(
							  {m_now + kLoadDelay, _gateway.host, other->number, _gateway.balancer.ownLoads()})
						: void();
			}
			_gateway.balancer.expirePeerLoads(m_now);
		}
		phase % (kLoadInterval / 4) == 0 && asks(_gateway) ? _gateway.permits.report(m_keys, m_now) : void();
	}

	PromptOutcome outcome() const
	{
		constexpr Micros kLater = kHomeStop + 2 * kSecond;
		PromptOutcome outcome;
		for (const RequestPtr& request : m_requests)
		{
			const bool inTime =
				request->firstEventAt != kNone && request->firstEventAt <= request->arrived + kPromptTarget;
			const bool isCounted = request->arrived >= kPromptCountedFrom && request->arrived < kPromptArrivalsEnd;
			if (!isCounted)
			{
				continue;
			}
			PromptCount& count = outcome.counts[request->priority][request->retry ? 1 : 0];
			++count.arrived;
			count.inTime += inTime ? 1 : 0;
			outcome.longestRefused = std::max(outcome.longestRefused, request->refusedAt - request->arrived);
			outcome.goodput += inTime ? 1.0 / secondsOf(kPromptArrivalsEnd - kPromptCountedFrom) : 0.0;
			outcome.laterGoodput +=
				inTime && request->arrived >= kLater ? 1.0 / secondsOf(kPromptArrivalsEnd - kLater) : 0.0;
		}
		return outcome;
	}

	inline static const std::string kServiceName = "large";

	PromptFleet m_fleet;
	std::minstd_rand m_random;
	Micros m_now = 0;
	std::vector<Engine> m_engines;
	std::vector<BackendKey> m_keys;
	Availability m_available; ///< All engines.
	std::set<MemberRecord> m_members;
	std::vector<std::unique_ptr<Gateway>> m_gateways;
	std::string m_stopped; ///< Host of the gateway that has stopped.
	std::deque<Message> m_messages;
	std::deque<LoadReport> m_loads;
	std::multimap<Micros, RequestPtr> m_returns;
	std::vector<RequestPtr> m_requests;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_PROMPTSLOTFLEET_H
