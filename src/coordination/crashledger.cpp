// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/crashledger.h"

#include <algorithm>
#include <tuple>

namespace beacongate
{
namespace
{
/// @returns the key of a crash of an incarnation.
/// @param[in] _ordinal Number of its earlier crashes that are known.
BackendKey crashKeyOf(BackendKey _backend, unsigned _ordinal)
{
	BackendKey key = _backend;
	key.value = _ordinal == 0 ? _backend.value : XXH32(&_backend.value, sizeof _backend.value, _ordinal);
	return key;
}
} // namespace

std::string_view toString(CrashChange _change)
{
	switch (_change)
	{
	case CrashChange::Suspected:
		return "suspected";
	case CrashChange::Blocked:
		return "blocked";
	case CrashChange::Completed:
		return "completed";
	case CrashChange::Unblocked:
		return "unblocked";
	case CrashChange::Released:
		return "released";
	case CrashChange::Expired:
		return "expired";
	}
	return "expired";
}

std::size_t CrashLedger::uncleared(const Entry& _entry)
{
	return static_cast<std::size_t>(std::count_if(_entry.crashes.begin(), _entry.crashes.end(),
												  [](const Crash& _crash) { return !_crash.cleared; }));
}

unsigned CrashLedger::weightOf(const RequestFingerprint& _request) const
{
	const auto entry = m_entries.find(_request);
	return entry == m_entries.end() ? 0 : entry->second.weight;
}

Suspicion CrashLedger::suspicionOf(const RequestFingerprint& _request) const
{
	const auto entry = m_entries.find(_request);
	return entry == m_entries.end() ? Suspicion::None : entry->second.suspicion;
}

RequestFingerprint CrashLedger::mostSuspected(const CrashSubjects& _subjects) const
{
	RequestFingerprint most = _subjects.request;
	for (const RequestFingerprint& part : _subjects.parts)
	{
		const std::pair partRank(suspicionOf(part), weightOf(part));
		most = partRank > std::pair(suspicionOf(most), weightOf(most)) ? part : most;
	}
	return most;
}

Suspicion CrashLedger::suspicionOf(const CrashSubjects& _subjects) const
{
	if (m_entries.empty())
	{
		return Suspicion::None;
	}
	Suspicion most = suspicionOf(_subjects.request);
	for (const RequestFingerprint& part : _subjects.parts)
	{
		const Suspicion suspicion = suspicionOf(part);
		const bool incomplete = suspicion == Suspicion::Blocked && !holdsGroupOf(part, _subjects);
		most = std::max(most, incomplete ? Suspicion::Suspected : suspicion);
	}
	return most;
}

bool CrashLedger::holdsGroupOf(const RequestFingerprint& _part, const CrashSubjects& _subjects) const
{
	const Entry& entry = m_entries.at(_part);
	if (entry.groupSize == 1)
	{
		return true;
	}
	const auto belongs = [this, &entry](const RequestFingerprint& _other)
	{
		const auto other = m_entries.find(_other);
		return other != m_entries.end() && other->second.group == entry.group;
	};
	const auto held = std::count_if(_subjects.parts.begin(), _subjects.parts.end(), belongs);
	return static_cast<std::size_t>(held) >= entry.groupSize;
}

unsigned CrashLedger::weightOf(const CrashSubjects& _subjects) const
{
	unsigned weight = weightOf(_subjects.request);
	for (const RequestFingerprint& part : _subjects.parts)
	{
		weight = suspicionOf(part) == Suspicion::None ? weight : std::max(weight, weightOf(part));
	}
	return weight;
}

std::size_t CrashLedger::countOf(Suspicion _suspicion) const
{
	return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
												  [_suspicion](const auto& _entry)
												  { return _entry.second.suspicion == _suspicion; }));
}

bool CrashLedger::add(Entry& _entry, const Crash& _crash)
{
	const auto isBefore = [](const Crash& _left, const Crash& _right)
	{
		return _left.backend < _right.backend;
	};
	auto place = std::lower_bound(_entry.crashes.begin(), _entry.crashes.end(), _crash, isBefore);
	if (place != _entry.crashes.end() && place->backend == _crash.backend)
	{
		const bool changes = _crash.cleared && !place->cleared;
		place->cleared = place->cleared || _crash.cleared;
		return changes;
	}
	if (_entry.crashes.size() == kMaxCrashes)
	{
		const auto cleared = std::find_if(_entry.crashes.begin(), _entry.crashes.end(),
										  [](const Crash& _known) { return _known.cleared; });
		if (cleared == _entry.crashes.end() || _crash.cleared)
		{
			return false;
		}
		_entry.crashes.erase(cleared);
		place = std::lower_bound(_entry.crashes.begin(), _entry.crashes.end(), _crash, isBefore);
	}
	_entry.crashes.insert(place, _crash);
	return true;
}

void CrashLedger::markChanged(Entry& _entry, bool _own)
{
	_entry.ownChange = _own || (_entry.ownChange && _entry.reportRounds > 0);
	_entry.reportRounds = kReportRounds;
}

void CrashLedger::addNotice(const RequestFingerprint& _request, CrashChange _change, const Entry& _entry)
{
	if (m_notices.size() < kMaxNotices)
	{
		m_notices.push_back({_request, _change, uncleared(_entry), _entry.weight});
	}
}

CrashLedger::OrderedEntries CrashLedger::assessmentOrder()
{
	// Of a request and a part with the same crashes the request is to blame, until other requests with the part
	// crash more servers.
	using Rank = std::tuple<int, unsigned, RequestFingerprint>;
	std::vector<std::pair<Rank, std::pair<const RequestFingerprint, Entry>*>> ranked;
	ranked.reserve(m_entries.size());
	for (auto& item : m_entries)
	{
		const unsigned kind = item.second.sound ? 2 : isPart(item.first) ? 1 : 0;
		ranked.emplace_back(Rank(-static_cast<int>(uncleared(item.second)), kind, item.first), &item);
	}
	std::sort(ranked.begin(), ranked.end(),
			  [](const auto& _left, const auto& _right) { return _left.first < _right.first; });
	OrderedEntries order;
	order.reserve(ranked.size());
	for (const auto& [rank, item] : ranked)
	{
		order.push_back(item);
	}
	return order;
}

CrashLedger::BackendKeys CrashLedger::overloaded() const
{
	BackendKeys keys;
	for (const auto& [subject, entry] : m_entries)
	{
		if (!isOverload(subject))
		{
			continue;
		}
		for (const Crash& crash : entry.crashes)
		{
			for (unsigned ordinal = 0; ordinal < kMaxCrashes; ++ordinal)
			{
				keys.insert(crashKeyOf(crash.backend, ordinal));
			}
		}
	}
	return keys;
}

unsigned CrashLedger::weigh(const Entry& _entry, bool _isPart, const BackendKeys& _explained,
							const BackendKeys& _overloaded)
{
	// Most parts run beside the one to blame, in its own prompts, so that its crashes say nothing of them.
	const unsigned explainedWeight = _isPart ? 0 : kExplainedWeight;
	unsigned weight = 0;
	for (const Crash& crash : _entry.crashes)
	{
		const unsigned crashWeight = _explained.count(crash.backend) ? explainedWeight : kCrashWeight;
		weight += crash.cleared || _overloaded.count(crash.backend) ? 0 : crashWeight;
	}
	return weight;
}

Suspicion CrashLedger::suspicionFor(const Entry& _entry)
{
	if (_entry.sound || _entry.weight < kSuspectedWeight)
	{
		return Suspicion::None;
	}
	return _entry.weight >= kBlockingWeight && _entry.confirmed ? Suspicion::Blocked : Suspicion::Suspected;
}

void CrashLedger::formGroup(const OrderedEntries& _order, std::pair<const RequestFingerprint, Entry>& _item)
{
	OrderedEntries group;
	for (auto* other : _order)
	{
		const bool isLike = isPart(other->first) && other->first.team == _item.first.team && !other->second.sound &&
							other->second.crashes == _item.second.crashes;
		if (isLike)
		{
			group.push_back(other);
		}
	}
	std::uint64_t hash = 0;
	for (const Crash& crash : _item.second.crashes)
	{
		hash = XXH3_64bits_withSeed(&crash.backend.value, sizeof crash.backend.value, hash);
	}
	for (auto* member : group)
	{
		member->second.group = group.size() > 1 ? hash : 0;
		member->second.groupSize = group.size();
		member->second.weight = _item.second.weight;
		member->second.suspicion = Suspicion::Blocked;
	}
}

void CrashLedger::assess(CrashChange _cause)
{
	const OrderedEntries order = assessmentOrder();
	std::vector<Suspicion> before;
	for (auto* item : order)
	{
		before.push_back(std::exchange(item->second.suspicion, Suspicion::None));
		item->second.group = 0;
		item->second.groupSize = 1;
	}
	const BackendKeys overloadedKeys = overloaded();
	BackendKeys explained;
	for (auto* item : order)
	{
		Entry& entry = item->second;
		if (entry.suspicion == Suspicion::Blocked)
		{
			continue; // It belongs to the group of an earlier part.
		}
		entry.weight = weigh(entry, isPart(item->first), explained, overloadedKeys);
		entry.suspicion = suspicionFor(entry);
		if (entry.suspicion != Suspicion::Blocked)
		{
			continue;
		}
		if (isPart(item->first))
		{
			formGroup(order, *item);
		}
		for (const Crash& crash : entry.crashes)
		{
			crash.cleared ? void() : static_cast<void>(explained.insert(crash.backend));
		}
	}
	addNotices(order, before, _cause);
}

void CrashLedger::addNotices(const OrderedEntries& _order, const std::vector<Suspicion>& _before,
							 CrashChange _cause)
{
	for (std::size_t index = 0; index < _order.size(); ++index)
	{
		const Entry& entry = _order[index]->second;
		if (entry.suspicion > _before[index])
		{
			const bool blocked = entry.suspicion == Suspicion::Blocked;
			addNotice(_order[index]->first, blocked ? CrashChange::Blocked : CrashChange::Suspected, entry);
		}
		else if (entry.suspicion < _before[index])
		{
			addNotice(_order[index]->first, uncleared(entry) == 0 ? _cause : CrashChange::Unblocked, entry);
		}
	}
}

bool CrashLedger::advance(Micros _now)
{
	bool changed = false;
	for (auto& [request, entry] : m_entries)
	{
		const bool charged = uncleared(entry) > 0;
		entry.onset = charged ? std::min(entry.onset, _now) : kNever;
		const bool sound = isPart(request) && m_soundParts.isSound(request.low, _now);
		const bool confirmed = !isPart(request) || (charged && _now - entry.onset >= kPartConfirmation);
		changed = changed || sound != entry.sound || confirmed != entry.confirmed;
		entry.sound = sound;
		entry.confirmed = confirmed;
	}
	return changed;
}

BackendKey CrashLedger::nextCrashKey(const RequestFingerprint& _request, BackendKey _backend) const
{
	const auto entry = m_entries.find(_request);
	if (entry == m_entries.end())
	{
		return _backend;
	}
	const std::vector<Crash>& crashes = entry->second.crashes;
	BackendKey key = _backend;
	for (unsigned ordinal = 1;
		 std::any_of(crashes.begin(), crashes.end(), [key](const Crash& _crash) { return _crash.backend == key; });
		 ++ordinal)
	{
		key = crashKeyOf(_backend, ordinal);
	}
	return key;
}

void CrashLedger::onOverloaded(BackendKey _backend, Micros _now)
{
	Entry& entry = m_entries[overloadFingerprintOf(_backend)];
	entry.changed = _now;
	if (add(entry, {_backend, false}))
	{
		markChanged(entry, true);
		evict();
		advance(_now);
		assess(CrashChange::Unblocked);
	}
}

void CrashLedger::onCrash(const RequestFingerprint& _request, BackendKey _backend, Micros _now)
{
	Entry& entry = m_entries[_request];
	entry.changed = _now;
	if (add(entry, {_backend, false}))
	{
		markChanged(entry, true);
		evict();
		advance(_now);
		assess(CrashChange::Suspected);
	}
}

void CrashLedger::onCrash(const CrashSubjects& _subjects, const std::vector<BackendKey>& _backends, Micros _now)
{
	bool changed = false;
	const auto charge = [&](const RequestFingerprint& _subject, BackendKey _backend)
	{
		Entry& entry = m_entries[_subject];
		entry.changed = _now;
		if (add(entry, {_backend, false}))
		{
			markChanged(entry, true);
			changed = true;
		}
	};
	charge(_subjects.request, _backends.front());
	for (std::size_t index = 0; index < _subjects.parts.size(); ++index)
	{
		charge(_subjects.parts[index], _backends[index + 1]);
	}
	if (changed)
	{
		evict();
		advance(_now);
		assess(CrashChange::Suspected);
	}
}

std::vector<BackendKey> CrashLedger::nextCrashKeys(const CrashSubjects& _subjects, BackendKey _backend) const
{
	std::vector<BackendKey> keys{nextCrashKey(_subjects.request, _backend)};
	for (const RequestFingerprint& part : _subjects.parts)
	{
		keys.push_back(nextCrashKey(part, _backend));
	}
	return keys;
}

bool CrashLedger::clear(const RequestFingerprint& _request, CrashChange _cause)
{
	const auto entry = m_entries.find(_request);
	if (entry == m_entries.end() || uncleared(entry->second) == 0)
	{
		return false;
	}
	for (Crash& crash : entry->second.crashes)
	{
		crash.cleared = true;
	}
	markChanged(entry->second, true);
	assess(_cause);
	return true;
}

void CrashLedger::onCompleted(const RequestFingerprint& _request)
{
	clear(_request, CrashChange::Completed);
}

void CrashLedger::onCompleted(const CrashSubjects& _subjects, Micros _now)
{
	onCompleted(_subjects.request);
	onPartsSound(_subjects, _now);
}

void CrashLedger::onPartsSound(const CrashSubjects& _subjects, Micros _now)
{
	for (const RequestFingerprint& part : _subjects.parts)
	{
		m_soundParts.note(part.low, _now);
		onCompleted(part);
	}
}

bool CrashLedger::release(const RequestFingerprint& _request)
{
	return clear(_request, CrashChange::Released);
}

bool CrashLedger::mergeRecord(const CrashRecord& _record, Micros _now)
{
	if (_record.age > kRetention)
	{
		return false;
	}
	Entry& entry = m_entries[_record.request];
	bool changed = false;
	for (const Crash& crash : _record.crashes)
	{
		changed = add(entry, crash) || changed;
	}
	entry.changed = std::max(entry.changed, _now - _record.age);
	if (changed)
	{
		markChanged(entry, false);
	}
	return changed;
}

void CrashLedger::merge(const std::vector<CrashRecord>& _records, Micros _now)
{
	bool changed = false;
	for (const CrashRecord& record : _records)
	{
		changed = mergeRecord(record, _now) || changed;
	}
	if (changed)
	{
		evict();
		advance(_now);
		assess(CrashChange::Completed);
	}
}

void CrashLedger::evict()
{
	while (m_entries.size() > kMaxRequests)
	{
		const auto isLess = [](const auto& _left, const auto& _right)
		{
			const std::size_t left = uncleared(_left.second);
			const std::size_t right = uncleared(_right.second);
			return left != right ? left < right : _left.second.changed < _right.second.changed;
		};
		m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), isLess));
	}
}

void CrashLedger::expire(Micros _now)
{
	bool changed = advance(_now);
	for (auto it = m_entries.begin(); it != m_entries.end();)
	{
		Entry& entry = it->second;
		if (_now - entry.changed <= kRetention)
		{
			++it;
			continue;
		}
		changed = true;
		if (entry.suspicion != Suspicion::Blocked)
		{
			it = m_entries.erase(it);
			continue;
		}
		// All gateways clear the same crashes, since these are ordered.
		const std::size_t kept = (kBlockingWeight - 1) / kCrashWeight;
		for (Crash& crash : entry.crashes)
		{
			crash.cleared = crash.cleared || uncleared(entry) > kept;
		}
		entry.changed = _now;
		markChanged(entry, true);
		++it;
	}
	if (changed)
	{
		assess(CrashChange::Expired);
	}
}

CrashRecord CrashLedger::recordOf(const RequestFingerprint& _request, const Entry& _entry, Micros _now)
{
	return {_request, _entry.crashes, std::max<Micros>(0, _now - _entry.changed)};
}

void CrashLedger::keepMostSevere(std::vector<CrashRecord>& _records, std::size_t _maxCount)
{
	std::stable_sort(_records.begin(), _records.end(),
					 [](const CrashRecord& _left, const CrashRecord& _right)
					 { return _left.crashes.size() > _right.crashes.size(); });
	_records.resize(std::min(_records.size(), _maxCount));
}

std::vector<CrashRecord> CrashLedger::records(Micros _now) const
{
	std::vector<CrashRecord> records;
	for (const auto& [request, entry] : m_entries)
	{
		records.push_back(recordOf(request, entry, _now));
	}
	keepMostSevere(records, kMaxReported);
	return records;
}

std::vector<CrashRecord> CrashLedger::takeChanges(bool _relay, std::size_t _maxCount, Micros _now)
{
	std::vector<CrashRecord> records;
	for (const auto& [request, entry] : m_entries)
	{
		if (entry.reportRounds > 0 && (_relay || entry.ownChange))
		{
			records.push_back(recordOf(request, entry, _now));
		}
	}
	keepMostSevere(records, _maxCount);
	for (const CrashRecord& record : records)
	{
		--m_entries[record.request].reportRounds;
	}
	return records;
}

std::uint64_t CrashLedger::digest() const
{
	std::uint64_t digest = 0;
	for (const auto& [request, entry] : m_entries)
	{
		if (uncleared(entry) < 2)
		{
			continue;
		}
		for (const Crash& crash : entry.crashes)
		{
			const std::array<std::uint64_t, 4> fields{request.team, request.high, request.low, crash.backend.value};
			digest ^= crash.cleared ? 0 : XXH3_64bits(fields.data(), sizeof fields);
		}
	}
	return digest;
}

std::vector<CrashNotice> CrashLedger::takeNotices()
{
	std::vector<CrashNotice> notices;
	notices.swap(m_notices);
	return notices;
}

} // namespace beacongate
