// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/crashledger.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace beacongate
{
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

Suspicion CrashLedger::suspicionOf(unsigned _weight)
{
	if (_weight >= kBlockingWeight)
	{
		return Suspicion::Blocked;
	}
	return _weight >= kSuspectedWeight ? Suspicion::Suspected : Suspicion::None;
}

unsigned CrashLedger::weightOf(const RequestFingerprint& _request) const
{
	const auto entry = m_entries.find(_request);
	return entry == m_entries.end() ? 0 : entry->second.weight;
}

Suspicion CrashLedger::suspicionOf(const RequestFingerprint& _request) const
{
	return suspicionOf(weightOf(_request));
}

std::size_t CrashLedger::countOf(Suspicion _suspicion) const
{
	return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
												  [_suspicion](const auto& _entry)
												  { return suspicionOf(_entry.second.weight) == _suspicion; }));
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

void CrashLedger::assess(CrashChange _cause)
{
	std::vector<std::pair<const RequestFingerprint, Entry>*> order;
	for (auto& entry : m_entries)
	{
		order.push_back(&entry);
	}
	std::sort(order.begin(), order.end(),
			  [](const auto* _left, const auto* _right)
			  {
				  const std::size_t left = uncleared(_left->second);
				  const std::size_t right = uncleared(_right->second);
				  return left != right ? left > right : _left->first < _right->first;
			  });
	std::unordered_set<BackendKey, BackendKeyHash> explained;
	for (auto* item : order)
	{
		Entry& entry = item->second;
		const Suspicion before = suspicionOf(entry.weight);
		entry.weight = 0;
		for (const Crash& crash : entry.crashes)
		{
			const unsigned weight = explained.count(crash.backend) ? kExplainedWeight : kCrashWeight;
			entry.weight += crash.cleared ? 0 : weight;
		}
		const Suspicion after = suspicionOf(entry.weight);
		for (const Crash& crash : entry.crashes)
		{
			if (after == Suspicion::Blocked && !crash.cleared)
			{
				explained.insert(crash.backend);
			}
		}
		if (after > before)
		{
			addNotice(item->first, after == Suspicion::Blocked ? CrashChange::Blocked : CrashChange::Suspected,
					  entry);
		}
		else if (after < before)
		{
			addNotice(item->first, uncleared(entry) == 0 ? _cause : CrashChange::Unblocked, entry);
		}
	}
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
		key.value = XXH32(&_backend.value, sizeof _backend.value, ordinal);
	}
	return key;
}

void CrashLedger::onCrash(const RequestFingerprint& _request, BackendKey _backend, Micros _now)
{
	Entry& entry = m_entries[_request];
	entry.changed = _now;
	if (add(entry, {_backend, false}))
	{
		markChanged(entry, true);
		evict();
		assess(CrashChange::Suspected);
	}
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
	bool changed = false;
	for (auto it = m_entries.begin(); it != m_entries.end();)
	{
		Entry& entry = it->second;
		if (_now - entry.changed <= kRetention)
		{
			++it;
			continue;
		}
		changed = true;
		if (suspicionOf(entry.weight) != Suspicion::Blocked)
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
