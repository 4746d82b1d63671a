// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The roster: which entries of a region share the homes of keys, at one version.
/// It is a value in the store that is changed by compare-and-swap only.

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
	Address peerAddress;    ///< Where other entries reach it.
	Address controlAddress; ///< Where the control beside it is reached.
	std::string dataCentre;
	std::string vm;
	std::uint64_t joinedVersion = 0; ///< Roster version that first held it.
};

/// An entry that left the members but is not known to be gone: its seal is still needed.
struct DepartedMember
{
	RosterMember member;
};

/// An entry that is gone and did not hand its claims over.
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

	/// @returns every run whose seal a new home needs: members and departed members.
	std::vector<EntryRef> liveEntries() const;
};

/// Finds the home of a key by rendezvous hashing (highest random weight, xxHash64).
/// @param[in] _key The idempotency key, with its team.
/// @param[in] _roster Members that are weighed; departed and lost ones are not.
/// @returns the home, or nullptr where there are no members.
const RosterMember* homeOf(std::string_view _key, const Roster& _roster);

/// Tells whether a lost member can have been the home of a key at any version.
/// @param[in] _key The key.
/// @param[in] _lost The lost member.
/// @param[in] _roster The roster in force.
/// @returns false only where a member that was there for the lost one's whole time has
/// the larger weight, so that the lost one was never the home.
bool mayHaveBeenHome(std::string_view _key, const LostMember& _lost, const Roster& _roster);

/// Adds a run of an entry, replacing an older run with the same id, which becomes lost.
/// @returns the next version, or nothing where the roster already holds this or a newer run,
/// or an older run at another address, which may still be alive.
std::optional<Roster> withJoined(const Roster& _roster, const RosterMember& _member);

/// Takes a run out of the members; its seal is still needed afterwards.
/// @returns the next version, or nothing where it is not a member.
std::optional<Roster> withDeparted(const Roster& _roster, const EntryRef& _entry);

/// Strikes a departed run that has handed all its claims over and has ended.
/// @returns the next version, or nothing where it is not departed.
std::optional<Roster> withRetired(const Roster& _roster, const EntryRef& _entry);

/// Records that a run is gone with its claims.
/// @attention Only for a run that can send nothing any more: its VM vanished from the VM
/// list after having been in it, or a newer run answers at its address.
/// @returns the next version, or nothing where the run is neither member nor departed.
std::optional<Roster> withLost(const Roster& _roster, const EntryRef& _entry);

} // namespace beacongate

#endif // BEACONGATE_STATE_ROSTER_H
