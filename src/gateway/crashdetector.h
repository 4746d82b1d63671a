// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tells the crash of a backend server from other reasons for which its connections end.

#ifndef BEACONGATE_GATEWAY_CRASHDETECTOR_H
#define BEACONGATE_GATEWAY_CRASHDETECTOR_H

#include "coordination/backendkey.h"
#include "coordination/requestfingerprint.h"
#include "gateway/backendconnector.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// A connection to a backend server that ended before the answer was complete.
struct EndedConnection
{
	BackendIdentity backend;
	Address address;
	CrashSubjects subjects;            ///< The request that was sent on it.
	std::vector<BackendKey> crashKeys; ///< See CrashLedger::nextCrashKeys().
	Micros at = 0;
};

/// Probes a backend server once one of its connections has ended early. If the connection is refused, and another
/// gateway is refused as well, its process has ended. A server that accepts connections has reset a single one, and
/// a server that does not answer may be out of this gateway's reach: neither is a crash.
class CrashDetector
{
public:
	/// A request whose answer has been arriving for longer than this did not crash the server by being run.
	static constexpr Micros kOnsetSpan = 1 * kSecond;
	/// Timeout of a probe. A VM that is up refuses within a round trip.
	static constexpr Micros kProbeTimeout = 500 * kMillisecond;
	/// A crash that a probe found also ended the connections that are found ended within this span.
	static constexpr Micros kResultLifetime = 500 * kMillisecond;

	explicit CrashDetector(BackendConnector& _connector) : m_connector(_connector)
	{
	}

	/// Sets the function that receives each connection that a crash ended.
	void setCrashHandler(std::function<void(const EndedConnection&)> _handler)
	{
		m_onCrash = std::move(_handler);
	}

	/// Notes that a connection ended early, and probes the server if its state is not known.
	void onConnectionEnded(const EndedConnection& _ended);

private:
	/// Probe of one incarnation, and the connections that ended before its result arrived.
	struct Probe
	{
		bool pending = true;
		ConnectResult result = ConnectResult::Unreachable;
		Micros finished = 0;
		std::vector<EndedConnection> connections;
	};

	void startProbe(const EndedConnection& _ended);
	void onProbed(const BackendIdentity& _backend, ConnectResult _result);
	void reportCrash(Probe& _probe);

	BackendConnector& m_connector;
	std::unordered_map<BackendKey, Probe, BackendKeyHash> m_probes;
	std::function<void(const EndedConnection&)> m_onCrash;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_CRASHDETECTOR_H
