// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/lastrestore.h"

#include <algorithm>
#include <sstream>

namespace beacongate
{
std::string encodeDutyRecord(const DutyRecord& _record)
{
	const std::string fence = std::to_string(_record.fence);
	return _record.restoredAt ? fence + ' ' + std::to_string(*_record.restoredAt) : fence;
}

DutyRecord decodeDutyRecord(const std::string& _text)
{
	DutyRecord record;
	std::istringstream fields(_text);
	fields >> record.fence;
	if (Micros restoredAt = 0; fields >> restoredAt)
	{
		record.restoredAt = restoredAt;
	}
	return record;
}

void LastRestore::onRecord(const DutyRecord& _record, Micros _now, Micros _trueNow)
{
	if (!m_assumed || !_record.restoredAt)
	{
		return;
	}
	m_assumed = false;
	m_at = *_record.restoredAt == 0 ? kLongAgo : _now - std::max<Micros>(0, _trueNow - *_record.restoredAt);
}

} // namespace beacongate
