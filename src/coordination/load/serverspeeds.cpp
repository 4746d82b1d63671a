// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/load/serverspeeds.h"

#include "coordination/directory.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace beacongate
{
namespace
{
/// @returns true if a slowdown can be used; NaN cannot.
bool isUsable(double _slowdown)
{
	return std::isfinite(_slowdown) && _slowdown > 0.0;
}
} // namespace

void ServerSpeeds::Windows::add(double _slowdown, Micros _now)
{
	empty = false;
	if (_now - start > kWindow)
	{
		const bool adjacent = _now - start <= 2 * kWindow;
		previous = adjacent ? current : _slowdown;
		current = _slowdown;
		start = _now;
	}
	current = std::min(current, _slowdown);
	if (std::abs(smallest() - reported) > kReportedChange * smallest())
	{
		reported = smallest();
		reportRounds = kReportRounds;
	}
}

ServerSpeeds::Server* ServerSpeeds::entryOf(BackendKey _key)
{
	const auto it = m_servers.find(_key);
	if (it != m_servers.end())
	{
		return &it->second;
	}
	return m_servers.size() < kMaxServers ? &m_servers[_key] : nullptr;
}

void ServerSpeeds::onLoad(BackendKey _key, const ServerLoad& _load, Micros _now)
{
	Server* server = _load.slowdown && isUsable(*_load.slowdown) ? entryOf(_key) : nullptr;
	if (nullptr == server)
	{
		return;
	}
	const double slowdown = std::clamp(*_load.slowdown, kMinSlowdown, kMaxSlowdown);
	server->seen = slowdown;
	server->seenAt = _now;
	server->own.add(slowdown, _now);
	server->direct.add(slowdown, _now);
	server->all.add(slowdown, _now);
}

void ServerSpeeds::onReport(const SpeedReport& _report, Micros _now, bool _relayed)
{
	Server* server = isUsable(_report.slowdown) ? entryOf(_report.key) : nullptr;
	if (nullptr != server)
	{
		const double slowdown = std::clamp(_report.slowdown, kMinSlowdown, kMaxSlowdown);
		server->all.add(slowdown, _now);
		_relayed ? void() : server->direct.add(slowdown, _now);
	}
}

double ServerSpeeds::lasting(BackendKey _key) const
{
	const auto it = m_servers.find(_key);
	return it == m_servers.end() ? 1.0 : it->second.all.smallest();
}

double ServerSpeeds::present(BackendKey _key, Micros _now) const
{
	const auto it = m_servers.find(_key);
	if (it == m_servers.end())
	{
		return 1.0;
	}
	const Server& server = it->second;
	const double lasting = server.all.smallest();
	const Micros age = std::max<Micros>(0, _now - server.seenAt);
	constexpr Micros kForgotten = 8 * kPresentDecay;
	if (age > kForgotten)
	{
		return lasting;
	}
	return lasting +
		   (server.seen - lasting) * std::exp(-static_cast<double>(age) / static_cast<double>(kPresentDecay));
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
		Windows& windows = _relay ? entry.second.all : entry.second.own;
		if (windows.reportRounds > 0 && reports.size() < _most)
		{
			--windows.reportRounds;
			reports.push_back({entry.first, windows.smallest()});
			continue;
		}
		if (entry.second.sentInTurn(_relay).empty)
		{
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
		reports.push_back({inTurn->first, inTurn->second.sentInTurn(_relay).smallest()});
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
