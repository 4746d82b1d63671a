// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/crashdetector.h"

#include "daemon/clock.h"
#include "daemon/logging.h"

namespace beacongate
{
namespace
{
/// Fingerprints in one log line.
constexpr std::size_t kMaxLoggedRequests = 16;

std::string joined(const std::vector<EndedConnection>& _connections)
{
	std::string text;
	for (std::size_t index = 0; index < _connections.size() && index < kMaxLoggedRequests; ++index)
	{
		text += (index == 0 ? "" : ",") + toString(_connections[index].subjects.request);
	}
	return text;
}
} // namespace

void CrashDetector::onConnectionEnded(const EndedConnection& _ended)
{
	const BackendKey key(_ended.backend);
	std::erase_if(m_probes, [&](const auto& _entry)
				  { return !_entry.second.pending && _ended.at - _entry.second.finished > kResultLifetime; });
	const auto known = m_probes.find(key);
	const bool running = known != m_probes.end() && known->second.pending;
	const bool crashed = known != m_probes.end() && known->second.result == ConnectResult::Refused;
	Probe& probe = m_probes[key];
	probe.connections.push_back(_ended);
	if (running)
	{
		return;
	}
	if (crashed)
	{
		reportCrash(probe);
		return;
	}
	probe.pending = true;
	startProbe(_ended);
}

void CrashDetector::startProbe(const EndedConnection& _ended)
{
	m_connector.open({_ended.backend, _ended.address, kProbeTimeout},
					 [this, backend = _ended.backend](const BackendConnection& _probe)
					 {
						 if (_probe.connection)
						 {
							 _probe.connection->close();
						 }
						 onProbed(backend, _probe.result);
					 });
}

void CrashDetector::onProbed(const BackendIdentity& _backend, ConnectResult _result)
{
	Probe& probe = m_probes[BackendKey(_backend)];
	probe.pending = false;
	probe.result = _result;
	probe.finished = monotonicNow();
	logEvent(LogLevel::Info, "backend-probed",
			 {{"backend", _backend.id},
			  {"result", std::string(toString(_result))},
			  {"requests", std::to_string(probe.connections.size())},
			  {"contents", joined(probe.connections)}});
	reportCrash(probe);
}

void CrashDetector::reportCrash(Probe& _probe)
{
	const std::vector<EndedConnection> connections = std::move(_probe.connections);
	_probe.connections.clear();
	if (_probe.result != ConnectResult::Refused || !m_onCrash)
	{
		return;
	}
	for (const EndedConnection& connection : connections)
	{
		m_onCrash(connection);
	}
}

} // namespace beacongate
