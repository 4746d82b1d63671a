// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "state/roster.h"

#include <algorithm>
#include <xxhash.h>

namespace beacongate
{
namespace
{
std::uint64_t rendezvousWeight(std::string_view _key, const EntryRef& _entry)
{
	const std::uint64_t seed = XXH64(_entry.id.data(), _entry.id.size(), _entry.incarnation);
	return XXH64(_key.data(), _key.size(), seed);
}

template <typename Items, typename Match> bool eraseFirst(Items& _items, Match _match)
{
	const auto it = std::find_if(_items.begin(), _items.end(), _match);
	if (_items.end() == it)
	{
		return false;
	}
	_items.erase(it);
	return true;
}

bool removeRun(Roster& _roster, const EntryRef& _entry)
{
	const auto isRun = [&](const RosterMember& _m)
	{
		return _m.entry == _entry;
	};
	const auto isDepartedRun = [&](const DepartedMember& _d)
	{
		return _d.member.entry == _entry;
	};
	return eraseFirst(_roster.members, isRun) || eraseFirst(_roster.departed, isDepartedRun);
}

void recordLost(Roster& _roster, const RosterMember& _member)
{
	_roster.lost.push_back(LostMember{_member.entry, _member.joinedVersion, _roster.version});
}
} // namespace

const RosterMember* Roster::findMember(std::string_view _id) const
{
	for (const RosterMember& member : members)
	{
		if (member.entry.id == _id)
		{
			return &member;
		}
	}
	return nullptr;
}

const RosterMember* Roster::findRun(const EntryRef& _entry) const
{
	const RosterMember* member = findMember(_entry.id);
	if (nullptr != member && member->entry == _entry)
	{
		return member;
	}
	for (const DepartedMember& item : departed)
	{
		if (item.member.entry == _entry)
		{
			return &item.member;
		}
	}
	return nullptr;
}

std::vector<EntryRef> Roster::liveEntries() const
{
	std::vector<EntryRef> refs;
	refs.reserve(members.size() + departed.size());
	for (const RosterMember& member : members)
	{
		refs.push_back(member.entry);
	}
	for (const DepartedMember& item : departed)
	{
		refs.push_back(item.member.entry);
	}
	return refs;
}

const RosterMember* homeOf(std::string_view _key, const Roster& _roster)
{
	const RosterMember* best = nullptr;
	std::uint64_t bestWeight = 0;
	for (const RosterMember& member : _roster.members)
	{
		const std::uint64_t weight = rendezvousWeight(_key, member.entry);
		if (nullptr == best || weight > bestWeight)
		{
			best = &member;
			bestWeight = weight;
		}
	}
	return best;
}

bool mayHaveBeenHome(std::string_view _key, const LostMember& _lost, const Roster& _roster)
{
	const std::uint64_t lostWeight = rendezvousWeight(_key, _lost.entry);
	const auto outweighs = [&](const RosterMember& _member)
	{
		const bool presentThroughout = _member.joinedVersion <= _lost.joinedVersion;
		return presentThroughout && rendezvousWeight(_key, _member.entry) > lostWeight;
	};
	return std::none_of(_roster.members.begin(), _roster.members.end(), outweighs);
}

namespace
{
/// A departed or lost run never returns; only a newer run of the entry may join.
bool isNewRun(const Roster& _roster, const EntryRef& _entry)
{
	const auto older = [&](const EntryRef& _known)
	{
		return _known.id != _entry.id || _known.incarnation < _entry.incarnation;
	};
	const auto olderMember = [&](const RosterMember& _m)
	{
		return older(_m.entry);
	};
	const auto olderDeparted = [&](const DepartedMember& _d)
	{
		return older(_d.member.entry);
	};
	const auto olderLost = [&](const LostMember& _l)
	{
		return older(_l.entry);
	};
	return std::all_of(_roster.members.begin(), _roster.members.end(), olderMember) &&
		   std::all_of(_roster.departed.begin(), _roster.departed.end(), olderDeparted) &&
		   std::all_of(_roster.lost.begin(), _roster.lost.end(), olderLost);
}
} // namespace

std::optional<Roster> withJoined(const Roster& _roster, const RosterMember& _member)
{
	const RosterMember* present = _roster.findMember(_member.entry.id);
	const bool replaces = nullptr != present;
	if (!isNewRun(_roster, _member.entry))
	{
		return std::nullopt;
	}
	if (replaces && present->peerAddress != _member.peerAddress)
	{
		return std::nullopt;
	}
	Roster next = _roster;
	next.version += 1;
	if (replaces)
	{
		const RosterMember old = *present;
		removeRun(next, old.entry);
		recordLost(next, old);
	}
	// A departed run whose successor uses its address has terminated without having been retired.
	for (const DepartedMember& item : _roster.departed)
	{
		const RosterMember& old = item.member;
		if (old.entry.id == _member.entry.id && old.peerAddress == _member.peerAddress)
		{
			removeRun(next, old.entry);
			recordLost(next, old);
		}
	}
	next.members.push_back(_member);
	next.members.back().joinedVersion = next.version;
	return next;
}

std::optional<Roster> withDeparted(const Roster& _roster, const EntryRef& _entry)
{
	const RosterMember* member = _roster.findMember(_entry.id);
	if (nullptr == member || member->entry != _entry)
	{
		return std::nullopt;
	}
	Roster next = _roster;
	next.version += 1;
	const RosterMember departing = *member;
	removeRun(next, _entry);
	next.departed.push_back(DepartedMember{departing});
	return next;
}

std::optional<Roster> withRetired(const Roster& _roster, const EntryRef& _entry)
{
	Roster next = _roster;
	next.version += 1;
	const auto isRun = [&](const DepartedMember& _d)
	{
		return _d.member.entry == _entry;
	};
	if (!eraseFirst(next.departed, isRun))
	{
		return std::nullopt;
	}
	return next;
}

std::optional<Roster> withLost(const Roster& _roster, const EntryRef& _entry)
{
	const RosterMember* run = _roster.findRun(_entry);
	if (nullptr == run)
	{
		return std::nullopt;
	}
	Roster next = _roster;
	next.version += 1;
	const RosterMember lostMember = *run;
	removeRun(next, _entry);
	recordLost(next, lostMember);
	return next;
}

} // namespace beacongate
