// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/backendlimits.h"

#include <algorithm>
#include <unordered_set>

namespace beacongate
{
void BackendLimits::setMembers(std::size_t _count, std::size_t _index)
{
	const std::size_t members = std::max<std::size_t>(1, _count);
	const std::size_t index = _index % members;
	m_changes += members != m_members || index != m_index ? 1 : 0;
	m_members = members;
	m_index = index;
}

void BackendLimits::onAnswer(BackendKey _key, std::optional<double> _limit, Micros _sent, Micros _now,
							 Micros _agreed)
{
	// An answer without a limit counts from the sending of its request, so that it does not end a limit that an
	// answer which overtook it has named.
	apply(_key, _limit, _limit ? _agreed : _agreed - (_now - _sent), true, _agreed);
}

void BackendLimits::apply(BackendKey _key, std::optional<double> _limit, Micros _saidAt, bool _own, Micros _agreed)
{
	const bool limited = _limit && *_limit <= kMaxRate;
	if (!limited && !m_entries.count(_key))
	{
		return;
	}
	Entry& entry = m_entries[_key];
	if (_saidAt <= entry.saidAt)
	{
		return;
	}
	entry.saidAt = _saidAt;
	const double rate = limited ? std::max(*_limit, kMinRate) : 0.0;
	const bool isNew = entry.rate != rate;
	if (!isNew && (rate <= 0.0 || _saidAt - entry.reportedAt < kRefreshInterval))
	{
		return;
	}
	entry.rate = rate;
	entry.reportedAt = _saidAt;
	entry.reportRounds = kReportRounds;
	entry.ownChange = _own;
	if (isNew && rate > 0.0)
	{
		entry.slot = std::max<Micros>(1, static_cast<Micros>(static_cast<double>(kSecond) / rate));
		entry.nextSlot = static_cast<std::uint64_t>(_agreed / entry.slot) + 1;
		entry.dealt = m_changes;
	}
}

void BackendLimits::merge(const std::vector<BackendLimitRecord>& _records, Micros _agreed)
{
	for (const BackendLimitRecord& record : _records)
	{
		apply(record.key, record.limit, _agreed - std::max<Micros>(0, record.age), false, _agreed);
	}
}

std::vector<BackendLimitRecord> BackendLimits::takeChanges(bool _relay, std::size_t _maxCount, Micros _agreed)
{
	std::vector<BackendLimitRecord> records;
	for (auto& [key, entry] : m_entries)
	{
		if (records.size() < _maxCount && entry.reportRounds > 0 && (_relay || entry.ownChange))
		{
			--entry.reportRounds;
			const auto limit = entry.rate > 0.0 ? std::optional<double>(entry.rate) : std::nullopt;
			records.push_back({key, limit, std::max<Micros>(0, _agreed - entry.saidAt)});
		}
	}
	return records;
}

std::vector<BackendLimitRecord> BackendLimits::inForce(Micros _agreed) const
{
	std::vector<BackendLimitRecord> records;
	for (const auto& [key, entry] : m_entries)
	{
		if (entry.rate > 0.0)
		{
			records.push_back({key, entry.rate, std::max<Micros>(0, _agreed - entry.saidAt)});
		}
	}
	return records;
}

const BackendLimits::Entry* BackendLimits::find(BackendKey _key) const
{
	const auto entry = m_entries.find(_key);
	return entry == m_entries.end() || entry->second.rate <= 0.0 ? nullptr : &entry->second;
}

std::size_t BackendLimits::size() const
{
	return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
												  [](const auto& _entry) { return _entry.second.rate > 0.0; }));
}

std::optional<double> BackendLimits::limitOf(BackendKey _key) const
{
	const Entry* entry = find(_key);
	return entry ? std::optional<double>(entry->rate) : std::nullopt;
}

Micros BackendLimits::lifetimeOf(const Entry& _entry)
{
	return std::max(kSlotLifetime, _entry.slot);
}

std::uint64_t BackendLimits::ownSlot(BackendKey _key, const Entry& _entry, Micros _agreed) const
{
	const auto oldest =
		static_cast<std::uint64_t>(std::max<Micros>(0, _agreed - lifetimeOf(_entry)) / _entry.slot) + 1;
	const std::uint64_t first = std::max(oldest, _entry.nextSlot);
	// The owner of a slot is the member with the index (slot + key) mod members.
	const std::uint64_t owner = (first + _key.value) % m_members;
	return first + (m_index + m_members - owner) % m_members;
}

Micros BackendLimits::takeTurn(BackendKey _key, Micros _agreed)
{
	const auto found = m_entries.find(_key);
	if (found == m_entries.end() || found->second.rate <= 0.0)
	{
		return 0;
	}
	Entry& entry = found->second;
	if (entry.dealt != m_changes)
	{
		entry.dealt = m_changes;
		entry.nextSlot = std::max(entry.nextSlot, static_cast<std::uint64_t>(_agreed / entry.slot) + 1);
	}
	const std::uint64_t slot = ownSlot(_key, entry, _agreed);
	const Micros wait = static_cast<Micros>(slot) * entry.slot - _agreed;
	if (wait > 0)
	{
		return wait;
	}
	entry.nextSlot = slot + 1;
	return 0;
}

std::optional<std::size_t> BackendLimits::requestsWithin(const std::vector<const KnownBackend*>& _backends,
														 Micros _span) const
{
	double count = 0.0;
	for (const KnownBackend* backend : _backends)
	{
		const Entry* entry = find(backend->key);
		if (!entry)
		{
			return std::nullopt;
		}
		count += 1.0 + entry->rate * secondsOf(std::max<Micros>(0, _span) + RequestPace::kBurstSpan);
	}
	return static_cast<std::size_t>(count);
}

void BackendLimits::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_entries, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
