// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A team's quota over all gateways: each keeps a copy of one token bucket, fed by what the others say they took.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_H

#include "beacongate/routing.h"
#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace beacongate
{
/// What a gateway says of a team: the amount taken since it started, which only grows.
struct QuotaReport
{
	std::string team;
	double taken = 0.0;
};

/// All teams' buckets.
/// @remarks A gateway that is not heard may be taking its equal share, so that share of the rate is left
/// to it. One that hears nobody takes just that share itself. The sum stays within the rate either way.
class QuotaLedger
{
public:
	/// A peer that was silent for longer is taken for cut off; in larger fleets, for twice the span in which a peer
	/// is heard by chance.
	static constexpr Micros kSilence = 700 * kMillisecond;

	/// Sets the limits in force. A team without one takes freely.
	void configure(const RoutingConfig& config, Micros now);

	/// Names the gateways there are, this one included; to be called before configure(), since those that start
	/// together share what a bucket begins with.
	void setMembers(std::size_t members);

	/// Takes an amount for a request.
	/// @returns 0 where it was taken, else the span until it is likely to be there.
	Micros take(const std::string& team, double amount, Micros now);

	/// Gives back what a request took that did not run.
	void giveBack(const std::string& team, double amount);

	/// A peer says what it has taken; to be called before onHeard() for the same message.
	/// @param[in] incarnation The peer's run: its counts begin at 0.
	void onReport(const std::string& peer, std::uint64_t incarnation, const QuotaReport& report, Micros now);

	/// A peer was heard.
	void onHeard(const std::string& peer, Micros now);

	/// @returns what this gateway has taken for a team since it started.
	double takenHere(const std::string& team) const;

private:
	struct Bucket
	{
		double rate = 0.0;
		double burst = 0.0;
		double level = 0.0;
		Micros filled = 0;
		double takenHere = 0.0;
	};

	struct PeerCount
	{
		std::uint64_t incarnation = 0;
		double taken = 0.0;
	};

	/// @returns for how long a peer is silent before it is taken for cut off.
	Micros silence() const;
	double fillShare(Micros now) const;
	double leftToPeer(const Bucket& bucket, Micros lastHeard, Micros now) const;
	void refill(Bucket& bucket, Micros now) const;

	std::map<std::string, Bucket> m_buckets;
	std::map<std::string, std::map<std::string, PeerCount>> m_peerCounts;
	std::map<std::string, Micros> m_heard;
	std::size_t m_members = 1;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_H
