// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tells a gateway that is partitioned from all backend servers from single servers that are down.

#ifndef BEACONGATE_COORDINATION_BACKENDREACHABILITY_H
#define BEACONGATE_COORDINATION_BACKENDREACHABILITY_H

#include "beacongate/types.h"
#include "coordination/backendkey.h"

#include <cstddef>
#include <unordered_map>

namespace beacongate
{
/// Results of this gateway's own connection attempts to backend servers.
///
/// Open connections may outlive a partition and new ones may be refused at a server that has ended, so only new
/// connections count, and a refusal that another gateway confirmed counts as the server's end.
class BackendReachability
{
public:
	/// Different servers that must have failed since the last connection for the gateway to count as isolated.
	static constexpr std::size_t kIsolationServers = 2;
	/// A failure counts for this long, so that servers that fail now and then do not add up.
	static constexpr Micros kFailureLifetime = 5 * kSecond;

	/// Notes that a connection to a backend server was established.
	void onConnected()
	{
		m_failures.clear();
		m_isolated = false;
	}

	/// Notes that a connection to a backend server was refused or timed out.
	void onFailed(BackendKey _key, Micros _now)
	{
		std::erase_if(m_failures,
					  [_now](const auto& _failure) { return _now - _failure.second > kFailureLifetime; });
		m_failures[_key] = _now;
		m_isolated = m_isolated || m_failures.size() >= kIsolationServers;
	}

	/// Notes that another gateway was refused by a backend server as well: its process has ended.
	void onServerEnded(BackendKey _key)
	{
		const bool counted = m_failures.erase(_key) > 0;
		m_isolated = m_isolated && (!counted || m_failures.size() >= kIsolationServers);
	}

	/// @returns true if this gateway reaches no backend server itself, as far as is known.
	bool isIsolated() const
	{
		return m_isolated;
	}

private:
	std::unordered_map<BackendKey, Micros, BackendKeyHash> m_failures; ///< Time of the last failure.
	bool m_isolated = false;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKENDREACHABILITY_H
