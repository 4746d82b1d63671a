// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers the rates that backend servers name in their answers, and gives turns where no gateway grants
/// requests.

#ifndef BEACONGATE_COORDINATION_BACKENDLIMITS_H
#define BEACONGATE_COORDINATION_BACKENDLIMITS_H

#include "coordination/directory.h"
#include "coordination/requestpace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace beacongate
{
/// What a backend server last said of its limit, as one gateway reports it to another.
struct BackendLimitRecord
{
	BackendKey key;
	std::optional<double> limit; ///< Requests a second; nothing if the limit ended.
	Micros age = 0;              ///< Time since the server said so.
};

/// Rates that backend servers named, by incarnation.
///
/// Gateways tell each other of limits that are named, changed or ended. Without it, a gateway would hear of a limit
/// after it has sent requests, and of its end only in its next answer. What was said later holds.
///
/// Requests under a limit are granted by one gateway (SlotGrantor). A gateway that reaches no such gateway takes
/// turns: time is divided into slots, one for each request that a server allows, and the slots belong to all
/// gateways in order of their index in the list of members, beginning at a place that the server's key determines.
/// Slots are counted in the time that most gateways agree on (AgreedClock). A change of the members gives the slots
/// to other gateways, so that a slot which began before is not used any more. While gateways disagree on the
/// members, some slots have two owners and others none.
class BackendLimits
{
public:
	/// Time after its start in which a slot can be used, if it is longer than a slot. A gateway that has no request
	/// for a server at the start of its slot often has one soon after; all unused slots together allow as many
	/// requests at once as the rate does in this time.
	static constexpr Micros kSlotLifetime = 1 * kSecond;
	/// Lowest rate applied, in requests a second.
	static constexpr double kMinRate = RequestPace::kMinRate;
	/// Highest rate applied, in requests a second; a limit above it is none.
	static constexpr double kMaxRate = 10000.0;

	/// Sets this gateway's place among all.
	/// @param[in] _count Number of gateways, at least 1.
	/// @param[in] _index Index of this gateway, below the number.
	void setMembers(std::size_t _count, std::size_t _index);

	/// Notes what an answer says.
	/// @param[in] _limit Requests a second that the server takes from all gateways; nothing if it names none.
	/// @param[in] _sent When the request of that answer was sent. Answers overtake each other: one whose request
	/// was sent before another answer named a limit does not end that limit.
	/// @param[in] _now Time of the steady clock, as _sent.
	/// @param[in] _agreed The same moment in agreed time.
	void onAnswer(BackendKey _key, std::optional<double> _limit, Micros _sent, Micros _now, Micros _agreed);

	/// @returns the rate that a server named, in requests a second; nothing if it named none.
	std::optional<double> limitOf(BackendKey _key) const;

	/// Takes a slot of a server.
	/// @returns 0 if the slot was taken, or the server has no limit; else the time until this gateway's next slot.
	Micros takeTurn(BackendKey _key, Micros _agreed);

	/// @returns the largest number of requests that the given servers allow within a span; nothing if one of them
	/// has no limit.
	std::optional<std::size_t> requestsWithin(const std::vector<const KnownBackend*>& _backends,
											  Micros _span) const;

	/// Times for which each change is reported, since datagrams may be lost.
	static constexpr unsigned kReportRounds = 4;
	/// Interval at which a limit that is named again is reported again, for gateways that could not hear of it.
	static constexpr Micros kRefreshInterval = 3 * kSecond;

	/// Merges what other gateways heard.
	void merge(const std::vector<BackendLimitRecord>& _records, Micros _agreed);

	/// @returns the changes to be reported in this round.
	/// @param[in] _relay Include changes that were merged from other gateways.
	/// @param[in] _maxCount Largest number of records; the others remain for the next round.
	std::vector<BackendLimitRecord> takeChanges(bool _relay, std::size_t _maxCount, Micros _agreed);

	/// @returns all limits in force, for a gateway that has just started.
	std::vector<BackendLimitRecord> inForce(Micros _agreed) const;

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

	/// @returns the number of servers with a limit.
	std::size_t size() const;

private:
	struct Entry
	{
		double rate = 0.0;          ///< 0 after the limit has ended.
		Micros slot = kSecond;      ///< Length of a slot.
		std::uint64_t nextSlot = 0; ///< First slot that this gateway has not used.
		std::uint64_t dealt = 0;    ///< Number of the change of the members after which nextSlot was set.
		Micros saidAt = 0;          ///< Agreed time at which the server last named the limit, or no limit.
		Micros reportedAt = 0;      ///< What the server said last when it was reported.
		unsigned reportRounds = 0;  ///< Rounds in which the last change is still to be reported.
		bool ownChange = false;     ///< The last change was in an answer to this gateway.
	};

	/// Applies what a server said.
	void apply(BackendKey _key, std::optional<double> _limit, Micros _saidAt, bool _own, Micros _agreed);
	/// @returns the entry of a server that has a limit, or nullptr.
	const Entry* find(BackendKey _key) const;

	/// @returns the first slot of this gateway that is not over; slots before Entry::nextSlot are used.
	std::uint64_t ownSlot(BackendKey _key, const Entry& _entry, Micros _agreed) const;
	static Micros lifetimeOf(const Entry& _entry);

	std::unordered_map<BackendKey, Entry, BackendKeyHash> m_entries;
	std::size_t m_members = 1;
	std::size_t m_index = 0;
	std::uint64_t m_changes = 0; ///< Changes of the members.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKENDLIMITS_H
