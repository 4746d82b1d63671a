// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers how fast each backend server works, by what the servers state in their answers.

#ifndef BEACONGATE_COORDINATION_LOAD_SERVERSPEEDS_H
#define BEACONGATE_COORDINATION_LOAD_SERVERSPEEDS_H

#include "beacongate/types.h"
#include "coordination/backendkey.h"
#include "coordination/load/serverload.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
struct KnownBackend;

/// What one gateway tells the others of a backend server.
struct SpeedReport
{
	BackendKey key;
	double slowdown = 1.0; ///< See ServerSpeeds::lasting().
};

/// The slowdowns that backend servers state, by incarnation: a server at a reused address is a new one.
///
/// A slowdown has two parts. One lasts: the machine of the server is slower or faster than usual. The other changes
/// several times a second, with the other programs on that machine. One gateway of a large fleet meets a server
/// only every few seconds, so that gateways tell each other the lasting part, and use the changing one for a moment
/// only.
class ServerSpeeds
{
public:
	/// Slowdowns beyond these count as these, so that a server is neither flooded nor starved by what it states.
	static constexpr double kMinSlowdown = 0.25;
	static constexpr double kMaxSlowdown = 4.0;
	/// The lasting slowdown is the smallest one of this span and the one before it, since neighbours only ever slow
	/// a server down.
	static constexpr Micros kWindow = 5 * kSecond;
	/// Time constant with which a slowness that was seen is forgotten. Neighbours change about every 0.6 s.
	static constexpr Micros kPresentDecay = 300 * kMillisecond;
	/// Rounds in which a new or changed value is sent, since datagrams may be lost.
	static constexpr unsigned kReportRounds = 4;
	/// Relative change from which a lasting slowdown is reported again.
	static constexpr double kReportedChange = 0.05;
	/// Largest number of backend servers that are remembered. Further ones count as unknown until retain() makes
	/// room.
	static constexpr std::size_t kMaxServers = 10'000;

	/// Notes the load that a backend server stated in an answer to this gateway. A slowdown that is not a positive
	/// number is ignored.
	void onLoad(BackendKey _key, const ServerLoad& _load, Micros _now);

	/// Notes what another gateway told. A slowdown that is not a positive number is ignored.
	/// @param[in] _relayed The sender may pass on what others told it.
	void onReport(const SpeedReport& _report, Micros _now, bool _relayed = false);

	/// @returns the time that work takes at a backend server that nothing else disturbs, relative to the usual
	/// time; 1 if it is unknown.
	double lasting(BackendKey _key) const;

	/// @returns the time that work takes there now, relative to the usual time, as far as this gateway knows.
	double present(BackendKey _key, Micros _now) const;

	/// @returns the mean of the work that backend servers do in a time, relative to one of the usual speed; 1 for
	/// none.
	double meanSpeed(const std::vector<BackendKey>& _keys) const;

	/// @returns true if the slowdown of a backend server is known.
	bool isKnown(BackendKey _key) const
	{
		return m_servers.count(_key) > 0;
	}

	/// @returns the number of backend servers whose slowdown is known.
	std::size_t size() const
	{
		return m_servers.size();
	}

	/// @returns what is to be sent to other gateways in this round: new and changed values first, then one of the
	/// others in turn, for gateways that have started since.
	/// @param[in] _relay Values that other gateways reported are passed on. Otherwise only those that this gateway
	/// has seen itself are sent: gateways that repeated each other's reports would never forget a former speed.
	/// @param[in] _most Largest number of reports.
	std::vector<SpeedReport> takeReports(bool _relay, std::size_t _most);

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	/// Slowdowns of the last two windows, and what is to be sent of them.
	struct Windows
	{
		double current = kMaxSlowdown;  ///< Smallest slowdown since start.
		double previous = kMaxSlowdown; ///< Smallest slowdown of the window before.
		Micros start = 0;
		double reported = 0.0; ///< Smallest slowdown when it was last marked for sending.
		unsigned reportRounds = 0;
		bool empty = true;

		double smallest() const
		{
			return std::min(current, previous);
		}

		void add(double _slowdown, Micros _now);
	};

	struct Server
	{
		Windows all;       ///< What this gateway and others have seen.
		Windows direct;    ///< What this gateway has seen, and gateways that told it directly.
		Windows own;       ///< What this gateway has seen itself.
		double seen = 1.0; ///< Slowdown that this gateway saw last.
		Micros seenAt = kLongAgo;

		/// @returns what may be sent in turn. What was relayed to this gateway is only sent on when it changes:
		/// gateways that relayed each other's values in turn would never forget a former speed.
		const Windows& sentInTurn(bool _relay) const
		{
			return _relay ? direct : own;
		}
	};

	/// @returns the entry of a backend server, which is made if there is room; nullptr if there is none.
	Server* entryOf(BackendKey _key);

	std::unordered_map<BackendKey, Server, BackendKeyHash> m_servers;
	BackendKey m_lastInTurn; ///< Backend server that was last sent in turn.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_LOAD_SERVERSPEEDS_H
