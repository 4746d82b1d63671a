// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of gateways before brittle backend servers, in virtual time.

#ifndef BEACONGATE_TESTS_BRITTLEFLEET_H
#define BEACONGATE_TESTS_BRITTLEFLEET_H

#include "coordination/brittleservers.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
inline constexpr Micros kTick = 5 * kMillisecond;
inline constexpr Micros kQueueTime = 400 * kMillisecond; ///< Requests that wait for longer are given up.
inline constexpr Micros kDowntime = 3 * kSecond;

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
			m_gateways.back()->brittle.setMembers(_fleet.gateways, number,
												  _fleet.reportInterval * (1 + _fleet.reportsUnderWay));
		}
		for (const Server& server : m_servers)
		{
			if (_fleet.told)
			{
				tellAll(server.known.key);
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
			endRequests(now);
			report(now);
			const unsigned count = arrivals(m_random);
			asked += now < m_countedFrom ? 0 : count;
			for (unsigned number = 0; number < count; ++number)
			{
				m_gateways[m_random() % m_gateways.size()]->queue.push_back(now);
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
	struct GatewayState
	{
		explicit GatewayState(unsigned _number) : balancer("z", _number + 1)
		{
		}

		unsigned claimsAt(BackendKey _key, Micros _now) const
		{
			std::vector<BackendLoad> loads{{_key, balancer.ownInFlight(_key), 0}};
			brittle.addClaims(loads, _now);
			return loads.front().inFlight;
		}

		Balancer balancer;
		BrittleServers brittle;
		std::deque<Micros> queue;
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
	void learn(GatewayState& _gateway, BackendKey _key)
	{
		if (m_fleet.learns)
		{
			_gateway.brittle.onAnswer(_key, m_fleet.rejections);
		}
	}

	void release(GatewayState& _gateway, BackendKey _key, bool _rejected, Micros _now)
	{
		_gateway.balancer.onEnded(_key, {}, false);
		_gateway.brittle.onEnded(_key, _gateway.balancer, _rejected, _now);
	}

	void endRequests(Micros _now)
	{
		for (Server& server : m_servers)
		{
			for (const Running& request : server.running)
			{
				if (request.end <= _now)
				{
					learn(*request.gateway, server.known.key);
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
		for (const Server& server : m_servers)
		{
			newest.keys.push_back(server.known.key);
			newest.totals.push_back(0);
			for (auto& gateway : m_gateways)
			{
				const unsigned own = gateway->claimsAt(server.known.key, _now);
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
		while (!_gateway.queue.empty())
		{
			if (_now - _gateway.queue.front() > kQueueTime)
			{
				_gateway.queue.pop_front();
				continue;
			}
			Availability available;
			for (const Server& server : m_servers)
			{
				server.downUntil <= _now ? available.open.push_back(&server.known) : void();
			}
			_gateway.brittle.narrow(available, _gateway.balancer, _now);
			const Placement placement = _gateway.balancer.choose(available.open, {}, {}, _now);
			if (!placement.backend || placement.full)
			{
				return;
			}
			_gateway.queue.pop_front();
			send(_gateway, placement.backend->key, _now);
		}
	}

	void send(GatewayState& _gateway, BackendKey _key, Micros _now)
	{
		_gateway.balancer.onSent(_key, {});
		Server& server = *std::find_if(m_servers.begin(), m_servers.end(),
									   [_key](const Server& _server) { return _server.known.key == _key; });
		_gateway.brittle.onPlaced(server.known, _gateway.balancer, _now);
		const auto running = static_cast<unsigned>(server.running.size());
		const unsigned waiting = _now < m_countedFrom ? m_fleet.waiting : 0;
		if (running < m_fleet.room * m_fleet.slots + waiting)
		{
			server.running.push_back({_now + m_fleet.serviceTime * (1 + running / m_fleet.slots), &_gateway});
			return;
		}
		learn(_gateway, _key);
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
		if (m_fleet.told)
		{
			tellAll(_server.known.key);
		}
	}

	void tellAll(BackendKey _key)
	{
		for (auto& gateway : m_gateways)
		{
			gateway->brittle.onAnswer(_key, m_fleet.rejections);
		}
	}

	Fleet m_fleet;
	Micros m_countedFrom; ///< From then on rejections and served requests count.
	std::mt19937 m_random;
	std::vector<Server> m_servers;
	std::vector<std::unique_ptr<GatewayState>> m_gateways;
	std::deque<Report> m_reports;
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
