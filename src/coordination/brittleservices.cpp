// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/brittleservices.h"

#include <algorithm>

namespace beacongate
{
bool BrittleServices::onAnswer(ServiceKey _service, std::optional<double> _rejections, Micros _agreed)
{
	// An answer without the statement does not end it: it may be of a server that has just started, or late.
	return _rejections && apply(_service, *_rejections, _agreed, true, _agreed);
}

bool BrittleServices::apply(ServiceKey _service, double _rejections, Micros _saidAt, bool _own, Micros _agreed)
{
	if (_agreed - _saidAt >= kValidity)
	{
		return false;
	}
	const bool wasKnown = rejectionsOf(_service, _agreed).has_value();
	Entry& entry = m_entries[_service];
	if (_saidAt <= entry.saidAt)
	{
		return false;
	}
	const bool isNew = !wasKnown || entry.rejections != _rejections;
	entry.rejections = _rejections;
	entry.saidAt = _saidAt;
	if (isNew || _saidAt - entry.passedOnAt >= kRefreshInterval)
	{
		entry.passedOnAt = _saidAt;
		entry.reportRounds = kReportRounds;
		entry.own = _own;
	}
	return isNew;
}

std::optional<double> BrittleServices::rejectionsOf(ServiceKey _service, Micros _agreed) const
{
	const auto entry = m_entries.find(_service);
	const bool brittle = entry != m_entries.end() && _agreed - entry->second.saidAt < kValidity;
	return brittle ? std::optional<double>(entry->second.rejections) : std::nullopt;
}

std::vector<BrittleServiceRecord> BrittleServices::merge(const std::vector<BrittleServiceRecord>& _records,
														 Micros _agreed)
{
	std::vector<BrittleServiceRecord> added;
	for (const BrittleServiceRecord& record : _records)
	{
		const Micros saidAt = _agreed - std::max<Micros>(0, record.age);
		if (apply(record.service, record.rejections, saidAt, false, _agreed))
		{
			added.push_back(record);
		}
	}
	return added;
}

std::vector<BrittleServiceRecord> BrittleServices::takeChanges(bool _relay, std::size_t _maxCount, Micros _agreed)
{
	std::vector<BrittleServiceRecord> records;
	for (auto& [service, entry] : m_entries)
	{
		if (records.size() < _maxCount && entry.reportRounds > 0 && (_relay || entry.own))
		{
			--entry.reportRounds;
			records.push_back({service, entry.rejections, std::max<Micros>(0, _agreed - entry.saidAt)});
		}
	}
	return records;
}

std::vector<BrittleServiceRecord> BrittleServices::inForce(Micros _agreed) const
{
	std::vector<BrittleServiceRecord> records;
	for (const auto& [service, entry] : m_entries)
	{
		const Micros age = std::max<Micros>(0, _agreed - entry.saidAt);
		age < kValidity ? records.push_back({service, entry.rejections, age}) : void();
	}
	return records;
}

void BrittleServices::expire(Micros _agreed)
{
	std::erase_if(m_entries, [_agreed](const auto& _entry) { return _agreed - _entry.second.saidAt >= kValidity; });
}

} // namespace beacongate
