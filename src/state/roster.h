// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Roster: the versioned list of the entries of a region among which the homes of keys are distributed.
/// The store holds it, and it changes by compare-and-swap only.

#ifndef BEACONGATE_STATE_ROSTER_H
#define BEACONGATE_STATE_ROSTER_H

#include "beacongate/config.h"
#include "beacongate/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// One run of an entry that may be the home of keys.
struct RosterMember
{
	EntryRef entry;
	Address peerAddress;    ///< Address for other entries.
	Address controlAddress; ///< Address of the control that runs next to the entry.
	std::string dataCentre;
	std::string vm;
	std::uint64_t joinedVersion = 0; ///< First roster version that lists it.
};

/// An entry that left the members but is not known to have terminated; its seal is still needed.
struct DepartedMember
{
	RosterMember member;
};

/// An entry that terminated without handing its claims over.
struct LostMember
{
	EntryRef entry;
	std::uint64_t joinedVersion = 0;
	std::uint64_t lostVersion = 0; ///< Roster version that first lists it as lost.
};

/// One version of the roster.
struct Roster
{
	std::uint64_t version = 0;
	std::vector<RosterMember> members;
	std::vector<DepartedMember> departed;
	std::vector<LostMember> lost;

	/// @returns the member with that id, or nullptr.
	const RosterMember* findMember(std::string_view _id) const;

	/// @returns the member or departed member that is exactly this run, or nullptr.
	const RosterMember* findRun(const EntryRef& _entry) const;

	/// @returns the runs whose seals a new home needs: members and departed members.
	std::vector<EntryRef> liveEntries() const;
};

/// Finds the home of a key by rendezvous hashing (highest random weight, xxHash64).
/// @param[in] _key The idempotency key, with its team.
/// @param[in] _roster Its members are candidates; departed and lost ones are not.
/// @returns the home, or nullptr where there are no members.
const RosterMember* homeOf(std::string_view _key, const Roster& _roster);

/// Checks whether a lost member may have been the home of a key at any version.
/// @param[in] _key The key.
/// @param[in] _lost The lost member.
/// @param[in] _roster The roster in force.
/// @returns false only if a member that was listed for the lost member's whole membership has the larger
/// weight, so that the lost member was never the home.
bool mayHaveBeenHome(std::string_view _key, const LostMember& _lost, const Roster& _roster);

/// Adds a run of an entry. It replaces an older run with the same id, which becomes lost.
/// @returns the next version, or nothing where the roster lists this or a newer run, or where it lists an
/// older run at another address, which may still be running.
std::optional<Roster> withJoined(const Roster& _roster, const RosterMember& _member);

/// Moves a run from the members to the departed members; its seal is still needed.
/// @returns the next version, or nothing where it is not a member.
std::optional<Roster> withDeparted(const Roster& _roster, const EntryRef& _entry);

/// Removes a departed run that has handed over all its claims and has ended.
/// @returns the next version, or nothing where it is not departed.
std::optional<Roster> withRetired(const Roster& _roster, const EntryRef& _entry);

/// Records that a run terminated without handing over its claims.
/// @attention Only for a run that can no longer send: its VM disappeared from the VM list after it was listed, or a
/// newer run answers at its address.
/// @returns the next version, or nothing where the run is neither member nor departed.
std::optional<Roster> withLost(const Roster& _roster, const EntryRef& _entry);

} // namespace beacongate

#endif // BEACONGATE_STATE_ROSTER_H
