// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the requests of all gateways to a backend server within the rate that the server names in its answers.

#ifndef BEACONGATE_COORDINATION_BACKENDLIMITS_H
#define BEACONGATE_COORDINATION_BACKENDLIMITS_H

#include "coordination/backofftable.h"

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

/// Rates that backend servers named, by incarnation, and this gateway's turns under them.
///
/// Time is divided into slots, one for each request that a server allows. All gateways take turns: the slots of a
/// server belong to them in order of their index in the list of members, beginning at a place that the server's key
/// determines. Each gateway knows its slots without a message, and each slot allows one request. Equal shares of
/// the rate would be the same on average; with turns they are not all used at the same time, and a share of less
/// than a request is still one request in a while.
///
/// Gateways tell each other of limits that are named, changed or ended. Without it, a gateway would hear of the end
/// of a limit in its next slot alone, which comes after minutes where there are many gateways. What was said later
/// holds.
///
/// Slots are counted in the time that most gateways agree on (AgreedClock). While gateways disagree on the members,
/// two may use one slot and none another one; on average the rate is kept.
class BackendLimits
{
public:
	/// Time after its start in which a slot can be used, if it is longer than a slot. A gateway that has no request
	/// for a server at the start of its slot often has one soon after; all unused slots together allow as many
	/// requests at once as the rate does in this time.
	static constexpr Micros kSlotLifetime = 1 * kSecond;
	/// Lowest rate applied, in requests a second. A server that names 0 is asked again at this rate, since only its
	/// answers tell that the limit has ended.
	static constexpr double kMinRate = 0.1;
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
	/// @returns false if the server has a limit and this gateway has no slot now.
	bool take(BackendKey _key, Micros _agreed);

	/// Removes servers from which no request may be sent now, and sets when the first one may be used.
	void narrow(Availability& _available, Micros _now, Micros _agreed) const;

	/// @returns the number of requests that this gateway may send to the given servers until a time, as far as
	/// their limits are concerned; nothing if one of them has no limit.
	std::optional<std::size_t> requestsUntil(const std::vector<const KnownBackend*>& _backends, Micros _agreed,
											 Micros _until) const;

	/// Times for which each change is reported, since datagrams may be lost.
	static constexpr unsigned kReportRounds = 4;

	/// Merges what other gateways heard.
	void merge(const std::vector<BackendLimitRecord>& _records, Micros _agreed);

	/// @returns the changes to be reported in this round.
	/// @param[in] _relay Include changes that were merged from other gateways.
	/// @param[in] _maxCount Largest number of records; the others remain for the next round.
	std::vector<BackendLimitRecord> takeChanges(bool _relay, std::size_t _maxCount, Micros _agreed);

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
		Micros saidAt = 0;          ///< Agreed time at which the server last named the limit, or no limit.
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
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKENDLIMITS_H
