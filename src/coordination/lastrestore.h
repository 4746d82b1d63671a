// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// When the store may last have been restored from a copy, and the duty holders' record of it.

#ifndef BEACONGATE_COORDINATION_LASTRESTORE_H
#define BEACONGATE_COORDINATION_LASTRESTORE_H

#include "beacongate/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace beacongate
{
/// What each duty holder writes into the store when it takes the duties.
struct DutyRecord
{
	/// Fencing tokens of an era begin here, times the era: a restored store does not know the last ones of the era
	/// before.
	static constexpr std::uint64_t kFencesPerEra = 1u << 20;

	std::uint64_t fence = 0;
	/// True time before which the store was restored last, 0 if it never was; nothing if the holder did not say.
	std::optional<Micros> restoredAt;

	/// @returns the era of the store in which the record was written.
	std::uint64_t era() const
	{
		return fence / kFencesPerEra;
	}
};

/// @returns the record as text: both numbers, separated by a space.
std::string encodeDutyRecord(const DutyRecord& _record);

/// @returns the record in a text; missing fields stay empty.
DutyRecord decodeDutyRecord(const std::string& _text);

/// Bounds the time of the store's last restore from above.
///
/// A process sees a restore where the store names a later era than before. A process that has just started has seen
/// no earlier era, so that the store may have been restored until then. The record of the present era's duty
/// holders tells it more: they have seen the restore, or have it from a holder who has.
class LastRestore
{
public:
	/// @param[in] _firstStart There were no gateways before, and nothing that a restore could have taken back.
	explicit LastRestore(bool _firstStart) : m_firstStart(_firstStart)
	{
	}

	/// Notes the first era that this process hears of.
	void onFirstEra(Micros _now)
	{
		m_at = m_firstStart ? kLongAgo : _now;
		m_assumed = !m_firstStart;
	}

	/// Notes a later era.
	void onLaterEra(Micros _now)
	{
		m_at = _now;
		m_assumed = false;
	}

	/// Takes over what a duty holder of the present era has recorded, unless this process has seen the restore.
	/// @param[in] _trueNow True time now.
	void onRecord(const DutyRecord& _record, Micros _now, Micros _trueNow);

	/// @returns the latest time at which the store may have been restored; kLongAgo if it never was.
	Micros at() const
	{
		return m_at;
	}

	/// @returns what to record of it.
	/// @param[in] _trueNow True time now.
	Micros trueTime(Micros _now, Micros _trueNow) const
	{
		return m_at == kLongAgo ? 0 : _trueNow - (_now - m_at);
	}

	/// @returns true if the store may have been restored within a span.
	bool isWithin(Micros _span, Micros _now) const
	{
		return m_at > _now - _span;
	}

private:
	bool m_firstStart;
	bool m_assumed = false; ///< The time is that of the first era heard, for want of knowledge.
	Micros m_at = kLongAgo;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_LASTRESTORE_H
