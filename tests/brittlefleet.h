// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before brittle backend servers, in virtual time.

#ifndef BEACONGATE_TESTS_BRITTLEFLEET_H
#define BEACONGATE_TESTS_BRITTLEFLEET_H

#include "coordination/brittleservices.h"
#include "coordination/slotpermits.h"

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
	explicit Simulation(const Fleet& _fleet) : m_fleet(_fleet), m_countedFrom(kSecond + _fleet.grace), m_random(7)
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
			m_gateways.push_back(std::make_unique<GatewayState>(number));
			m_gateways.back()->balancer.setManyGateways(_fleet.gateways > kManyGateways);
			m_byHost[m_gateways.back()->host] = m_gateways.back().get();
			connect(*m_gateways.back());
		}
		std::set<MemberRecord> members;
		for (const auto& gateway : m_gateways)
		{
			members.insert({gateway->host, "z" + std::to_string(members.size() % 4), 0});
		}
		for (const auto& gateway : m_gateways)
		{
			gateway->permits.setMembers(members);
			if (_fleet.told)
			{
				gateway->services.onAnswer(kService, _fleet.rejections, kSecond);
			}
		}
	}

	Outcome run(Micros _span)
	{
		const double perTick = m_fleet.demand * m_fleet.servers * m_fleet.slots * static_cast<double>(kTick) /
							   static_cast<double>(m_fleet.serviceTime);
		std::poisson_distribution<unsigned> arrivals(perTick);
		unsigned asked = 0;
		const Micros end = m_countedFrom + _span;
		for (Micros now = kSecond; now < end; now += kTick)
		{
			m_now = now;
			deliverAll();
			endRequests(now);
			report(now);
			const unsigned count = arrivals(m_random);
			asked += now < m_countedFrom ? 0 : count;
			for (unsigned number = 0; number < count; ++number)
			{
				m_gateways[m_random() % m_gateways.size()]->queue.push_back({now, {}});
			}
			for (std::size_t index = 0; index < m_gateways.size(); ++index)
			{
				dispatch(*m_gateways[(index + static_cast<std::size_t>(now / kTick)) % m_gateways.size()], now);
			}
		}
		const double capacity = static_cast<double>(m_fleet.servers) * m_fleet.slots * static_cast<double>(_span) /
								static_cast<double>(m_fleet.serviceTime);
		return {m_falls, m_served / std::min(capacity, static_cast<double>(asked))};
	}

private:
	struct Queued
	{
		Micros arrived = 0;
		SlotTicket ticket;
	};

	struct GatewayState
	{
		explicit GatewayState(unsigned _number)
			: host("gateway-" + std::to_string(_number)), balancer("z", _number + 1),
			  permits(balancer, grantor, host, _number << kIdBits)
		{
		}

		static constexpr unsigned kIdBits = 20; ///< Bits of the numbers of one gateway's requests for slots.
		std::string host;
		Balancer balancer;
		SlotGrantor grantor;
		SlotPermits permits;
		BrittleServices services;
		std::deque<Queued> queue;
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

	void connect(GatewayState& _gateway)
	{
		const auto post = [this, &_gateway](const std::string& _host, const SlotMessage& _message)
		{
			m_messages.push_back({m_now + kTick, _gateway.host, _host, _message});
		};
		_gateway.grantor.setSend(post);
		_gateway.permits.setSend(post);
	}

	void deliver(const Message& _message)
	{
		GatewayState& gateway = *m_byHost.at(_message.to);
		if (const auto* answer = std::get_if<SlotAnswer>(&_message.content))
		{
			gateway.permits.onAnswer(_message.from, *answer, m_now);
		}
		else if (const auto* report = std::get_if<SlotReport>(&_message.content))
		{
			gateway.grantor.onReport(*report, _message.from, m_now);
		}
		else
		{
			const auto& request = std::get<SlotRequest>(_message.content);
			const unsigned reported = gateway.balancer.totalInFlight(request.use.backend);
			const SlotAnswer decision = gateway.grantor.decide(request, _message.from, reported, m_now);
			m_messages.push_back({m_now + kTick, gateway.host, _message.from, decision});
		}
	}

	void deliverAll()
	{
		while (!m_messages.empty() && m_messages.front().due <= m_now)
		{
			const Message message = m_messages.front();
			m_messages.pop_front();
			deliver(message);
		}
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
			gateway->grantor.advance(m_now);
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
			_gateway.permits.onEnded(_key, _rejected, false, _now);
		}
	}

	void endRequests(Micros _now)
	{
		for (Server& server : m_servers)
		{
			for (const Running& request : server.running)
			{
				if (request.end <= _now)
				{
					learn(*request.gateway, _now);
					release(*request.gateway, server.known.key, false, _now);
					m_served += _now < m_countedFrom ? 0.0 : 1.0;
				}
			}
			std::erase_if(server.running, [_now](const Running& _request) { return _request.end <= _now; });
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
			isBrittle(*gateway) ? gateway->permits.report(keys, _now) : void();
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
				const unsigned own = m_reports.front().own[gateway.get()][index];
				others.push_back({m_reports.front().keys[index], m_reports.front().totals[index] - own, 0});
			}
			gateway->balancer.setPeerLoads("others", others, _now);
		}
		m_reports.pop_front();
	}

	void dispatch(GatewayState& _gateway, Micros _now)
	{
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
			release(*request.gateway, _server.known.key, false, _now);
		}
		_server.running.clear();
		++_server.starts;
		_server.known.key = BackendKey(_server.known.record.id + '-' + std::to_string(_server.starts));
	}

	Fleet m_fleet;
	Micros m_countedFrom; ///< From then on rejections and served requests count.
	std::mt19937 m_random;
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

inline constexpr Micros kSpan = 10 * kSecond;

inline std::string describe(const Fleet& _fleet)
{
	return std::to_string(_fleet.gateways) + " gateways, " + std::to_string(_fleet.servers) + " servers of " +
		   std::to_string(_fleet.slots) + " slots, demand " + std::to_string(_fleet.demand) + ", " +
		   std::to_string(_fleet.rejections) + " rejections borne";
}
} // namespace beacongate::test

#endif // BEACONGATE_TESTS_BRITTLEFLEET_H
