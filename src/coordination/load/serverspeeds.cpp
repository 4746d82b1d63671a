// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/load/serverspeeds.h"

#include "coordination/directory.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace beacongate
{
void ServerSpeeds::add(Server& _server, double _slowdown, Micros _now)
{
	if (_now - _server.windowStart > kWindow)
	{
		const bool adjacent = _now - _server.windowStart <= 2 * kWindow;
		_server.previous = adjacent ? _server.current : _slowdown;
		_server.current = _slowdown;
		_server.windowStart = _now;
	}
	_server.current = std::min(_server.current, _slowdown);
}

void ServerSpeeds::markChange(Server& _server)
{
	const double lasting = _server.lasting();
	if (std::abs(lasting - _server.reported) > kReportedChange * lasting)
	{
		_server.reported = lasting;
		_server.reportRounds = kReportRounds;
	}
}

void ServerSpeeds::onLoad(BackendKey _key, const ServerLoad& _load, Micros _now)
{
	if (!_load.slowdown || !std::isfinite(*_load.slowdown))
	{
		return;
	}
	const double slowdown = std::clamp(*_load.slowdown, kMinSlowdown, kMaxSlowdown);
	Server& server = m_servers[_key];
	server.own = true;
	server.seen = slowdown;
	server.seenAt = _now;
	add(server, slowdown, _now);
	markChange(server);
}

void ServerSpeeds::onReport(const SpeedReport& _report, Micros _now)
{
	if (!std::isfinite(_report.slowdown))
	{
		return;
	}
	Server& server = m_servers[_report.key];
	add(server, std::clamp(_report.slowdown, kMinSlowdown, kMaxSlowdown), _now);
	markChange(server);
}

double ServerSpeeds::lasting(BackendKey _key) const
{
	const auto it = m_servers.find(_key);
	return it == m_servers.end() ? 1.0 : it->second.lasting();
}

double ServerSpeeds::present(BackendKey _key, Micros _now) const
{
	const auto it = m_servers.find(_key);
	if (it == m_servers.end())
	{
		return 1.0;
	}
	const Server& server = it->second;
	const double lasting = server.lasting();
	const Micros age = std::max<Micros>(0, _now - server.seenAt);
	constexpr Micros kForgotten = 8 * kPresentDecay;
	if (age > kForgotten)
	{
		return lasting;
	}
	return lasting + (server.seen - lasting) * std::exp(-static_cast<double>(age) / static_cast<double>(kPresentDecay));
}

double ServerSpeeds::meanSpeed(const std::vector<BackendKey>& _keys) const
{
	double sum = 0.0;
	for (const BackendKey key : _keys)
	{
		sum += 1.0 / lasting(key);
	}
	return _keys.empty() ? 1.0 : sum / static_cast<double>(_keys.size());
}

std::vector<SpeedReport> ServerSpeeds::takeReports(bool _relay, std::size_t _most)
{
	std::vector<SpeedReport> reports;
	const std::pair<const BackendKey, Server>* inTurn = nullptr;
	const std::pair<const BackendKey, Server>* first = nullptr;
	for (auto& entry : m_servers)
	{
		Server& server = entry.second;
		if (!server.own && !_relay)
		{
			continue;
		}
		if (server.reportRounds > 0 && reports.size() < _most)
		{
			--server.reportRounds;
			reports.push_back({entry.first, server.lasting()});
			continue;
		}
		first = !first || entry.first < first->first ? &entry : first;
		const bool next = m_lastInTurn < entry.first;
		inTurn = next && (!inTurn || entry.first < inTurn->first) ? &entry : inTurn;
	}
	inTurn = inTurn ? inTurn : first;
	if (inTurn && reports.size() < _most)
	{
		m_lastInTurn = inTurn->first;
		reports.push_back({inTurn->first, inTurn->second.lasting()});
	}
	return reports;
}

void ServerSpeeds::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_servers, [&keys](const auto& _entry) { return keys.count(_entry.first) == 0; });
}

} // namespace beacongate
