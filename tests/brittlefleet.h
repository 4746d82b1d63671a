// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before brittle backend servers, in virtual time.

#ifndef BEACONGATE_TESTS_BRITTLEFLEET_H
#define BEACONGATE_TESTS_BRITTLEFLEET_H

#include "coordination/brittleservices.h"
#include "coordination/retainedmembers.h"
#include "coordination/slotpermits.h"
#include "memberchurn.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace beacongate::test
{
inline constexpr Micros kTick = 5 * kMillisecond;
inline constexpr Micros kQueueTime = 400 * kMillisecond; ///< Requests that wait for longer are given up.
inline constexpr Micros kDowntime = 3 * kSecond;
inline constexpr Micros kSpan = 10 * kSecond;
/// Fleets of more gateways report to collectors, and draw the servers that they compare.
inline constexpr unsigned kManyGateways = 16;
inline const ServiceKey kService{"service"};

struct Fleet
{
	unsigned gateways = 8;
	unsigned servers = 4;
	unsigned slots = 6;
	Micros serviceTime = 60 * kMillisecond;
	double demand = 3.0; ///< Requests, as a multiple of what the servers can run.
	double rejections = 4.0;
	Micros reportInterval = 150 * kMillisecond;
	unsigned reportsUnderWay = 0; ///< Intervals until a report has arrived.
	double room = 1.0;            ///< Share of the slots that the servers have room for.
	bool told = true;             ///< Gateways know that the servers are brittle.
	bool learns = false;          ///< Gateways learn it from answers to requests of their own.
	/// Time from the first answers that name the servers brittle until rejections count.
	Micros grace = 0;
	unsigned waiting = 0; ///< Requests beyond its slots that a server lets wait until then.
	Churn churn = Churn::None;
	Micros standstill = 0; ///< Longest time for which a gateway stands still, every 2 s to 4 s.
	unsigned seed = 7;
};

struct Outcome
{
	unsigned falls = 0;
	double servedShare = 0.0; ///< Of what the servers could run, or of the requests if these are fewer.
};

/// One run of a fleet.
class Simulation
{
public:
	/// @param[in] _span Time that run() takes after the time that does not count.
	explicit Simulation(const Fleet& _fleet, Micros _span = kSpan)
		: m_fleet(_fleet), m_span(_span), m_countedFrom(kSecond + _fleet.grace), m_random(_fleet.seed),
		  m_members(_fleet.gateways, _fleet.churn, kListLag, m_countedFrom + _span, _fleet.seed)
	{
		for (unsigned number = 0; number < _fleet.servers; ++number)
		{
			Server server;
			server.known.record.id = "s" + std::to_string(number);
			server.known.record.slots = _fleet.slots;
			server.known.key = BackendKey(server.known.record.id);
			m_servers.push_back(server);
		}
		for (unsigned number = 0; number < _fleet.gateways; ++number)
		{
			m_gateways.emplace_back();
			start(number);
		}
	}

	Outcome run()
	{
		const double perTick = m_fleet.demand * m_fleet.servers * m_fleet.slots * static_cast<double>(kTick) /
							   static_cast<double>(m_fleet.serviceTime);
		std::poisson_distribution<unsigned> arrivals(perTick);
		unsigned asked = 0;
		const Micros end = m_countedFrom + m_span;
		for (Micros now = kSecond; now < end; now += kTick)
		{
			m_now = now;
			startAndStop();
			deliverAll();
			endRequests(now);
			report(now);
			const unsigned count = arrivals(m_random);
			asked += now < m_countedFrom ? 0 : count;
			for (unsigned number = 0; number < count; ++number)
			{
				GatewayState& gateway = *m_gateways[m_random() % m_gateways.size()];
				gateway.isUp ? gateway.queue.push_back({now, {}}) : void(asked -= now < m_countedFrom ? 0 : 1);
			}
			for (std::size_t index = 0; index < m_gateways.size(); ++index)
			{
				dispatch(*m_gateways[(index + static_cast<std::size_t>(now / kTick)) % m_gateways.size()], now);
			}
		}
		const double capacity = static_cast<double>(m_fleet.servers) * m_fleet.slots * static_cast<double>(m_span) /
								static_cast<double>(m_fleet.serviceTime);
		return {m_falls, m_served / std::min(capacity, static_cast<double>(asked))};
	}

private:
	struct Queued
	{
		Micros arrived = 0;
		SlotTicket ticket;
	};

	/// A request that has ended.
	struct Ended
	{
		BackendKey key;
		bool answered = false; ///< Its answer names the server brittle.
	};

	struct GatewayState
	{
		/// @param[in] _run Number of the process among all of the fleet.
		GatewayState(unsigned _number, std::uint64_t _run)
			: host(MemberTimeline::hostOf(_number)), balancer("z", _number + 1), grantor(_run << kIdBits),
			  permits(balancer, grantor, host, _run << kIdBits),
			  members({host, MemberTimeline::dataCentreOf(_number), 0})
		{
		}

		static constexpr unsigned kIdBits = 20; ///< Bits of the numbers of one gateway's requests for slots.
		std::string host;
		Balancer balancer;
		SlotGrantor grantor;
		SlotPermits permits;
		RetainedMembers members;
		BrittleServices services;
		std::deque<Queued> queue;
		std::vector<Ended> ended; ///< Requests of whose end it has to learn.
		std::size_t version = 0;  ///< Of the list of members.
		bool isUp = true;
		Micros stillUntil = 0;
		Micros nextStandstill = 0;
	};

	/// A datagram between gateways.
	struct Message
	{
		Micros due = 0;
		std::string from;
		std::string to;
		SlotMessage content;
	};

	/// What gateways tell each other of brittle services.
	struct Statement
	{
		Micros due = 0;
		std::vector<BrittleServiceRecord> records;
	};

	/// Requests in flight at one moment, by number of the server.
	struct Report
	{
		std::map<GatewayState*, std::vector<unsigned>> own;
		std::vector<BackendKey> keys;
		std::vector<unsigned> totals;
	};

	struct Running
	{
		Micros end = 0;
		GatewayState* gateway = nullptr;
	};

	struct Server
	{
		KnownBackend known;
		std::vector<Running> running;
		std::deque<Micros> rejected;
		Micros downUntil = 0;
		unsigned starts = 0; ///< Starts after the first one.
	};

	/// Notes what an answer says.
	void learn(GatewayState& _gateway, Micros _now)
	{
		if (m_fleet.told || m_fleet.learns)
		{
			_gateway.services.onAnswer(kService, m_fleet.rejections, _now);
		}
	}

	/// Replaces a gateway by one that has just started.
	void start(unsigned _number)
	{
		m_gateways[_number] = std::make_unique<GatewayState>(_number, ++m_runs);
		GatewayState& gateway = *m_gateways[_number];
		gateway.balancer.setManyGateways(m_fleet.gateways > kManyGateways);
		m_byHost[gateway.host] = &gateway;
		connect(gateway);
		gateway.version = m_members.newestVersion(m_now);
		setMembers(gateway);
		if (m_fleet.told)
		{
			gateway.services.onAnswer(kService, m_fleet.rejections, m_now);
		}
	}

	void setMembers(GatewayState& _gateway)
	{
		if (_gateway.members.update(m_members.members(_gateway.version), m_now))
		{
			_gateway.permits.setMembers(_gateway.members.members());
		}
	}

	/// Ends a gateway's process. Servers go on running its requests.
	void stop(GatewayState& _gateway)
	{
		_gateway.isUp = false;
		_gateway.queue.clear();
		for (Server& server : m_servers)
		{
			for (Running& request : server.running)
			{
				request.gateway = request.gateway == &_gateway ? nullptr : request.gateway;
			}
		}
	}

	void startAndStop()
	{
		for (unsigned number = 0; number < m_gateways.size(); ++number)
		{
			const bool isUp = m_members.isUp(number, m_now);
			if (isUp && !m_gateways[number]->isUp)
			{
				start(number);
			}
			GatewayState& gateway = *m_gateways[number];
			if (!isUp)
			{
				gateway.isUp ? stop(gateway) : void();
				continue;
			}
			const std::size_t version = m_members.versionAt(number, gateway.version, m_now);
			if (version != std::exchange(gateway.version, version))
			{
				setMembers(gateway);
			}
			standStill(gateway);
		}
	}

	void standStill(GatewayState& _gateway)
	{
		if (m_fleet.standstill > 0 && m_now >= _gateway.nextStandstill)
		{
			_gateway.stillUntil = m_now + draw(0, m_fleet.standstill);
			_gateway.nextStandstill = m_now + draw(2 * kSecond, 4 * kSecond);
		}
	}

	Micros draw(Micros _from, Micros _to)
	{
		return std::uniform_int_distribution<Micros>(_from, _to)(m_random);
	}

	/// @returns true if a gateway's process runs and does not stand still.
	bool isRunning(const GatewayState& _gateway) const
	{
		return _gateway.isUp && m_now >= _gateway.stillUntil;
	}

	void connect(GatewayState& _gateway)
	{
		const auto post = [this, &_gateway](const std::string& _host, const SlotMessage& _message)
		{
			m_messages.push_back({m_now + kTick, _gateway.host, _host, _message});
		};
		_gateway.grantor.setSend(post);
		_gateway.permits.setSend(post);
		_gateway.grantor.setNotify([&_gateway](const GrantNotice& _notice, Micros _now)
								   { _gateway.permits.tellHomes(_notice, _now); });
	}

	void deliver(const Message& _message)
	{
		GatewayState& gateway = *m_byHost.at(_message.to);
		gateway.permits.onHeard(_message.from);
		if (const auto* answer = std::get_if<SlotAnswer>(&_message.content))
		{
			gateway.permits.onAnswer(_message.from, *answer, m_now);
		}
		else if (const auto* report = std::get_if<SlotReport>(&_message.content))
		{
			gateway.grantor.onReport(*report, _message.from, m_now);
		}
		else if (const auto* notice = std::get_if<GrantNotice>(&_message.content))
		{
			gateway.grantor.onNotice(*notice, m_now);
		}
		else
		{
			const auto& request = std::get<SlotRequest>(_message.content);
			const unsigned reported = gateway.balancer.totalInFlight(request.use.backend);
			const SlotAnswer decision = gateway.grantor.decide(request, _message.from, reported, m_now);
			m_messages.push_back({m_now + kTick, gateway.host, _message.from, decision});
		}
	}

	/// Delivers what is due. A gateway that stands still reads its messages afterwards, and one that does not run
	/// gets none.
	void deliverMessages()
	{
		for (std::size_t count = m_messages.size(); count > 0; --count)
		{
			const Message message = m_messages.front();
			m_messages.pop_front();
			const GatewayState& gateway = *m_byHost.at(message.to);
			if (message.due > m_now || (gateway.isUp && !isRunning(gateway)))
			{
				m_messages.push_back(message);
				continue;
			}
			gateway.isUp ? deliver(message) : void();
		}
	}

	void deliverAll()
	{
		deliverMessages();
		while (!m_statements.empty() && m_statements.front().due <= m_now)
		{
			for (auto& gateway : m_gateways)
			{
				gateway->services.merge(m_statements.front().records, m_now);
			}
			m_statements.pop_front();
		}
		for (auto& gateway : m_gateways)
		{
			isRunning(*gateway) ? gateway->grantor.advance(m_now) : void();
		}
	}

	bool isBrittle(const GatewayState& _gateway) const
	{
		return _gateway.services.rejectionsOf(kService, m_now).has_value();
	}

	void release(GatewayState& _gateway, BackendKey _key, bool _rejected, Micros _now)
	{
		_gateway.balancer.onEnded(_key, {}, false);
		if (isBrittle(_gateway))
		{
			_gateway.permits.onEnded(_key, _rejected ? std::optional(m_fleet.rejections) : std::nullopt, false,
									 _now);
		}
	}

	void endRequests(Micros _now)
	{
		for (Server& server : m_servers)
		{
			for (const Running& request : server.running)
			{
				if (request.end <= _now && request.gateway)
				{
					request.gateway->ended.push_back({server.known.key, true});
					m_served += _now < m_countedFrom ? 0.0 : 1.0;
				}
			}
			std::erase_if(server.running, [_now](const Running& _request) { return _request.end <= _now; });
		}
		for (auto& gateway : m_gateways)
		{
			isRunning(*gateway) ? releaseEnded(*gateway, _now) : void();
		}
	}

	void releaseEnded(GatewayState& _gateway, Micros _now)
	{
		for (const Ended& request : std::exchange(_gateway.ended, {}))
		{
			request.answered ? learn(_gateway, _now) : void();
			release(_gateway, request.key, false, _now);
		}
	}

	/// Delivers to each gateway the loads of all others as they were some intervals ago.
	void report(Micros _now)
	{
		if (_now % m_fleet.reportInterval != 0)
		{
			return;
		}
		Report& newest = m_reports.emplace_back();
		std::vector<BackendKey> keys;
		std::transform(m_servers.begin(), m_servers.end(), std::back_inserter(keys),
					   [](const Server& _server) { return _server.known.key; });
		for (auto& gateway : m_gateways)
		{
			const Micros due = _now + m_fleet.reportInterval * (1 + m_fleet.reportsUnderWay);
			auto records = gateway->services.takeChanges(false, 32, _now);
			records.empty() ? void() : m_statements.push_back({due, std::move(records)});
			isRunning(*gateway) && isBrittle(*gateway) ? gateway->permits.report(keys, _now) : void();
		}
		for (const Server& server : m_servers)
		{
			newest.keys.push_back(server.known.key);
			newest.totals.push_back(0);
			for (auto& gateway : m_gateways)
			{
				const unsigned own = gateway->balancer.ownInFlight(server.known.key);
				newest.own[gateway.get()].push_back(own);
				newest.totals.back() += own;
			}
		}
		if (m_reports.size() <= m_fleet.reportsUnderWay)
		{
			return;
		}
		for (auto& gateway : m_gateways)
		{
			std::vector<BackendLoad> others;
			for (std::size_t index = 0; index < m_servers.size(); ++index)
			{
				const auto& ownLoads = m_reports.front().own[gateway.get()];
				const unsigned own = ownLoads.empty() ? 0 : ownLoads[index]; // It may have started since.
				others.push_back({m_reports.front().keys[index], m_reports.front().totals[index] - own, 0});
			}
			gateway->balancer.setPeerLoads("others", others, _now);
		}
		m_reports.pop_front();
	}

	void dispatch(GatewayState& _gateway, Micros _now)
	{
		if (!isRunning(_gateway))
		{
			return;
		}
		findServersUp(_now);
		std::deque<Queued> remaining;
		for (Queued& queued : std::exchange(_gateway.queue, {}))
		{
			if (_now - queued.arrived > kQueueTime)
			{
				_gateway.permits.abandon(queued.ticket, _now);
			}
			else if (!tryDispatch(_gateway, queued, _now))
			{
				remaining.push_back(queued);
			}
		}
		_gateway.queue = std::move(remaining);
	}

	void findServersUp(Micros _now)
	{
		m_up = {};
		for (const Server& server : m_servers)
		{
			server.downUntil <= _now ? m_up.open.push_back(&server.known) : void();
		}
	}

	/// @returns true if the request was sent.
	bool tryDispatch(GatewayState& _gateway, Queued& _queued, Micros _now)
	{
		const bool brittle = isBrittle(_gateway);
		for (unsigned tries = 0; tries < m_servers.size(); ++tries)
		{
			const KnownBackend* backend = _gateway.permits.waitsFor(_queued.ticket, m_up, _now);
			if (!backend)
			{
				Availability available = m_up;
				brittle ? _gateway.permits.narrow(available, _queued.ticket, _now) : void();
				const Placement placement = _gateway.balancer.choose(available.open, {}, {}, _now);
				backend = placement.full && !brittle ? nullptr : placement.backend;
			}
			if (!backend)
			{
				return false;
			}
			const SlotNeed need{backend->key, m_fleet.slots, m_fleet.rejections, 0,
								kQueueTime - (_now - _queued.arrived)};
			const SlotVerdict verdict =
				brittle ? _gateway.permits.take(_queued.ticket, need, _now, [] {}) : SlotVerdict::Granted;
			if (verdict == SlotVerdict::Granted)
			{
				send(_gateway, backend->key, _now);
			}
			if (verdict != SlotVerdict::Denied)
			{
				return verdict == SlotVerdict::Granted;
			}
		}
		return false;
	}

	void send(GatewayState& _gateway, BackendKey _key, Micros _now)
	{
		_gateway.balancer.onSent(_key, {});
		Server& server = *std::find_if(m_servers.begin(), m_servers.end(),
									   [_key](const Server& _server) { return _server.known.key == _key; });
		const auto running = static_cast<unsigned>(server.running.size());
		const unsigned waiting = _now < m_countedFrom ? m_fleet.waiting : 0;
		if (running < m_fleet.room * m_fleet.slots + waiting)
		{
			server.running.push_back({_now + m_fleet.serviceTime * (1 + running / m_fleet.slots), &_gateway});
			return;
		}
		learn(_gateway, _now);
		release(_gateway, _key, true, _now);
		if (_now < m_countedFrom)
		{
			return;
		}
		server.rejected.push_back(_now);
		while (server.rejected.front() <= _now - kSecond)
		{
			server.rejected.pop_front();
		}
		if (static_cast<double>(server.rejected.size()) > m_fleet.rejections)
		{
			fall(server, _now);
		}
	}

	void fall(Server& _server, Micros _now)
	{
		++m_falls;
		_server.rejected.clear();
		_server.downUntil = _now + kDowntime;
		for (const Running& request : _server.running)
		{
			request.gateway ? request.gateway->ended.push_back({_server.known.key, false}) : void();
		}
		_server.running.clear();
		++_server.starts;
		_server.known.key = BackendKey(_server.known.record.id + '-' + std::to_string(_server.starts));
	}

	static constexpr Micros kListLag = 1 * kSecond; ///< Largest time after which a gateway has heard of a change.

	Fleet m_fleet;
	Micros m_span;
	Micros m_countedFrom; ///< From then on rejections and served requests count.
	std::mt19937 m_random;
	MemberTimeline m_members;
	std::uint64_t m_runs = 0; ///< Processes started so far.
	std::vector<Server> m_servers;
	std::vector<std::unique_ptr<GatewayState>> m_gateways;
	std::deque<Report> m_reports;
	std::unordered_map<std::string, GatewayState*> m_byHost;
	std::deque<Message> m_messages;
	std::deque<Statement> m_statements;
	Availability m_up; ///< Servers that run.
	Micros m_now = kSecond;
	unsigned m_falls = 0;
	double m_served = 0.0;
};

inline std::string describe(const Fleet& _fleet)
{
	return std::to_string(_fleet.gateways) + " gateways, " + std::to_string(_fleet.servers) + " servers of " +
		   std::to_string(_fleet.slots) + " slots, demand " + std::to_string(_fleet.demand) + ", " +
		   std::to_string(_fleet.rejections) + " rejections borne, members " + toString(_fleet.churn) +
		   ", standstills " + std::to_string(_fleet.standstill / kMillisecond) + " ms, seed " +
		   std::to_string(_fleet.seed);
}
} // namespace beacongate::test

#endif // BEACONGATE_TESTS_BRITTLEFLEET_H
