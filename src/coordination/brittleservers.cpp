// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/brittleservers.h"

#include <algorithm>
#include <unordered_set>

namespace beacongate
{
namespace
{
constexpr Micros kMinReportDelay = 10 * kMillisecond;
} // namespace

void BrittleServers::setMembers(std::size_t _count, std::size_t _index, Micros _reportDelay)
{
	m_members = std::max<std::size_t>(1, _count);
	m_index = _index % m_members;
	m_reportDelay = std::max(kMinReportDelay, _reportDelay);
}

bool BrittleServers::onAnswer(BackendKey _key, std::optional<double> _rejections)
{
	if (!_rejections)
	{
		return m_entries.erase(_key) > 0;
	}
	const auto [entry, isNew] = m_entries.try_emplace(_key);
	const bool changed = isNew || entry->second.rejections != *_rejections;
	entry->second.rejections = *_rejections;
	return changed;
}

Micros BrittleServers::roundSpan() const
{
	return 2 * m_reportDelay;
}

unsigned BrittleServers::partOf(unsigned _free, BackendKey _key, std::uint64_t _round) const
{
	const auto members = static_cast<unsigned>(m_members);
	const std::uint64_t place = (m_index + _round + _key.value) % m_members;
	return _free / members + (place < _free % members ? 1 : 0);
}

unsigned BrittleServers::claimsOf(const Entry& _entry, unsigned _inFlight, Micros _agreed)
{
	return _agreed <= _entry.claimedUntil ? std::max(_entry.claimed, _inFlight) : _inFlight;
}

unsigned BrittleServers::usableSlots(const KnownBackend& _backend, const Entry& _entry, Micros _agreed) const
{
	// A slot too many costs each gateway that takes it for usable one rejection.
	const double rise = kRiseShare * _entry.rejections / static_cast<double>(m_members);
	const double seconds = static_cast<double>(_agreed - _entry.limitedAt) / static_cast<double>(kSecond);
	const double usable = _entry.usable + rise * seconds;
	return usable < _backend.record.slots ? static_cast<unsigned>(usable) : _backend.record.slots;
}

unsigned BrittleServers::freeSlots(const KnownBackend& _backend, const Entry& _entry, const Balancer& _loads,
								   Micros _agreed) const
{
	const unsigned own = _loads.ownInFlight(_backend.key);
	const unsigned others = _loads.totalInFlight(_backend.key) - own;
	const unsigned claims = others + claimsOf(_entry, own, _agreed);
	const unsigned usable = usableSlots(_backend, _entry, _agreed);
	return claims < usable ? usable - claims : 0;
}

bool BrittleServers::allows(const KnownBackend& _backend, const Entry& _entry, const Balancer& _loads,
							Micros _agreed) const
{
	const unsigned inFlight = _loads.ownInFlight(_backend.key);
	if (inFlight < claimsOf(_entry, inFlight, _agreed))
	{
		return true;
	}
	const unsigned free = freeSlots(_backend, _entry, _loads, _agreed);
	const auto round = static_cast<std::uint64_t>(_agreed / roundSpan());
	const bool claimsNow = _agreed % roundSpan() < m_reportDelay;
	// What this gateway has claimed in this round is not free any more, and belongs to its part.
	const unsigned claimed = round == _entry.round ? _entry.claimedInRound : 0;
	return free > 0 && claimsNow && claimed < partOf(free + claimed, _backend.key, round);
}

void BrittleServers::onPlaced(const KnownBackend& _backend, const Balancer& _loads, Micros _agreed)
{
	const auto found = m_entries.find(_backend.key);
	if (found == m_entries.end())
	{
		return;
	}
	Entry& entry = found->second;
	const unsigned inFlight = _loads.ownInFlight(_backend.key);
	const unsigned claimed = claimsOf(entry, inFlight - 1, _agreed);
	if (inFlight > claimed)
	{
		const auto round = static_cast<std::uint64_t>(_agreed / roundSpan());
		entry.claimedInRound = round == entry.round ? entry.claimedInRound + 1 : 1;
		entry.round = round;
	}
	entry.claimed = std::max(claimed, inFlight);
	const bool scarce = freeSlots(_backend, entry, _loads, _agreed) < kScarceShare * _backend.record.slots;
	entry.holdSpan = scarce ? kShortHoldSpan : kHoldSpan;
	entry.claimedUntil = _agreed + entry.holdSpan;
}

void BrittleServers::onEnded(BackendKey _key, const Balancer& _loads, bool _rejected, Micros _agreed)
{
	const auto found = m_entries.find(_key);
	if (found == m_entries.end())
	{
		return;
	}
	Entry& entry = found->second;
	const unsigned inFlight = _loads.ownInFlight(_key);
	if (_rejected)
	{
		entry.claimed = inFlight;
		entry.usable = std::max(1.0, static_cast<double>(_loads.totalInFlight(_key)));
		entry.limitedAt = _agreed;
		return;
	}
	entry.claimed = std::max(claimsOf(entry, inFlight, _agreed), inFlight + 1);
	entry.claimedUntil = _agreed + entry.holdSpan;
}

void BrittleServers::addClaims(std::vector<BackendLoad>& _loads, Micros _agreed) const
{
	for (const auto& [key, entry] : m_entries)
	{
		const auto load = std::find_if(_loads.begin(), _loads.end(),
									   [key = key](const BackendLoad& _load) { return _load.key == key; });
		const unsigned inFlight = load == _loads.end() ? 0 : load->inFlight;
		const unsigned claims = claimsOf(entry, inFlight, _agreed);
		if (load != _loads.end())
		{
			load->inFlight = claims;
		}
		else if (claims > 0)
		{
			_loads.push_back({key, claims, 0});
		}
	}
}

void BrittleServers::narrow(Availability& _available, const Balancer& _loads, Micros _agreed) const
{
	if (m_entries.empty())
	{
		return;
	}
	const auto mustWait = [&](const KnownBackend* _backend)
	{
		const auto entry = m_entries.find(_backend->key);
		return entry != m_entries.end() && !allows(*_backend, entry->second, _loads, _agreed);
	};
	_available.limited = std::erase_if(_available.open, mustWait) > 0 || _available.limited;
}

void BrittleServers::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_entries, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
