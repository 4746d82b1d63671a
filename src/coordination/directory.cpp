// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/directory.h"

#include "coordination/storerevision.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beacongate
{
std::string_view toString(DepartureSource _source)
{
	switch (_source)
	{
	case DepartureSource::Record:
		return "record";
	case DepartureSource::Missing:
		return "missing";
	case DepartureSource::Unreadable:
		return "unreadable";
	case DepartureSource::Peer:
		return "peer";
	case DepartureSource::Answer:
		return "answer";
	}
	return "unknown";
}

std::string_view toString(ListingState _standing)
{
	switch (_standing)
	{
	case ListingState::Listed:
		return "listed";
	case ListingState::Lapsed:
		return "lapsed";
	case ListingState::Vanished:
		return "vanished";
	case ListingState::Gone:
		return "gone";
	}
	return "unknown";
}

bool Directory::apply(const StoreSnapshot& _snapshot, Micros _now)
{
	if (_snapshot.revision < m_revision)
	{
		// A watch delivered newer content before this read ended. That content includes all that the read
		// found, so the read confirms it. Without this, reads overtaken by a watch left the list of the duty
		// holder unconfirmed for 3.9 s.
		confirm(_snapshot.confirmed);
		confirmList(_snapshot.confirmed);
		return false;
	}
	m_revision = _snapshot.revision;
	confirmConfig(_snapshot.config, _snapshot.confirmed);
	applyList({_snapshot.revision, _snapshot.backends, _snapshot.confirmed, _snapshot.unreadable}, _now);
	return adoptConfig(_snapshot.config);
}

bool Directory::applyWithoutList(std::uint64_t _revision, const RoutingConfigPtr& _config, Micros _confirmed,
								 Micros _now)
{
	m_revision = std::max(m_revision, _revision);
	confirmConfig(_config, _confirmed);
	if (_revision >= m_listRevision)
	{
		noteOutageEnd(_revision, _now);
		m_listRevision = _revision;
	}
	confirmList(_confirmed);
	return adoptConfig(_config);
}

bool Directory::adoptConfig(const RoutingConfigPtr& _config)
{
	const bool newer = _config && (!m_config || _config->version > m_config->version);
	if (newer)
	{
		m_config = _config;
	}
	return newer;
}

void Directory::confirmConfig(const RoutingConfigPtr& _config, Micros _confirmed)
{
	// A restored store holds an older configuration until the operator has written the newest one again.
	if (!_config || !m_config || _config->version >= m_config->version)
	{
		confirm(_confirmed);
	}
}

void Directory::noteOutageEnd(std::uint64_t _listRevision, Micros _now)
{
	if (m_listRevision != 0 && StoreRevision::eraOf(_listRevision) > StoreRevision::eraOf(m_listRevision))
	{
		m_outageEnded = _now;
		m_restoredAt = _now;
	}
	// A list may also be old because it arrived slowly; records expire only if the store was unreachable.
	const bool unreachableSince = m_listConfirmed != kLongAgo && m_storeUnreachableAt > m_listConfirmed;
	if (unreachableSince && _now - m_listConfirmed > kOutageThreshold)
	{
		m_outageEnded = _now;
	}
}

void Directory::applyList(const BackendList& _list, Micros _now)
{
	if (_list.revision < m_listRevision)
	{
		// An earlier read of the whole store would bring back records that were removed since.
		confirmList(_list.confirmed);
		return;
	}
	noteOutageEnd(_list.revision, _now);
	m_listRevision = _list.revision;
	const Micros lastListed = m_listConfirmed;
	m_listConfirmed = std::max(m_listConfirmed, _list.confirmed);
	mergeBackends(_list, lastListed, _now);
}

void Directory::confirmList(Micros _confirmed)
{
	m_listConfirmed = std::max(m_listConfirmed, _confirmed);
}

void Directory::mergeBackends(const BackendList& _list, Micros _lastListed, Micros _now)
{
	std::set<std::string> present;
	for (const BackendRecord& record : _list.records)
	{
		present.insert(record.id);
		mergeRecord(record, _now);
	}
	for (const std::string& id : _list.unreadable)
	{
		present.insert(id);
		markUnreadable(id, _now);
	}
	for (auto it = m_backends.begin(); it != m_backends.end();)
	{
		KnownBackend& known = it->second;
		if (!present.count(it->first) && known.vanishedAt == kNever)
		{
			markVanished(known, _lastListed, _now);
			m_departureNotices.push_back({known.record.identity(), DepartureSource::Missing});
		}
		const bool forgotten = known.vanishedAt != kNever && _now - known.vanishedAt > kVanishedRetention;
		it = forgotten ? m_backends.erase(it) : std::next(it);
	}
}

void Directory::mergeRecord(const BackendRecord& _record, Micros _now)
{
	KnownBackend& known = m_backends[_record.id];
	if (_record.born < known.record.born)
	{
		// A late write of an earlier incarnation does not change the later one. A record without a start time
		// was not written by the server itself.
		if (_record.born == 0)
		{
			markUnreadable(_record.id, _now);
		}
		return;
	}
	if (_record.born > known.record.born)
	{
		m_departures.forget(known.record.identity());
		known = KnownBackend();
	}
	const bool hadLeft = known.vanishedAt != kNever && known.lapsedUntil == 0;
	if (hadLeft && _now - m_restoredAt < kRestoredSpan)
	{
		return;
	}
	const bool wasDraining = known.record.draining;
	const bool newlyLeaving = _record.leaves && !known.record.leaves;
	known.record = _record;
	known.key = BackendKey(_record.identity());
	known.version = VersionKey(_record.service, _record.version);
	known.record.draining = _record.draining || wasDraining;
	if (known.record.draining && known.drainingSince == kNever)
	{
		known.drainingSince = _now;
		recordDeparture(_record.identity(), DepartureSource::Record, _now);
	}
	known.vanishedAt = kNever;
	known.lapsedUntil = 0;
	if (newlyLeaving)
	{
		known.leavesAt = _now + *_record.leaves;
	}
	known.coldUntil = _record.coldRemaining > 0 ? _now + _record.coldRemaining : known.coldUntil;
}

void Directory::markUnreadable(const std::string& _id, Micros _now)
{
	const auto it = m_backends.find(_id);
	if (it == m_backends.end())
	{
		return;
	}
	KnownBackend& known = it->second;
	if (known.vanishedAt == kNever)
	{
		known.vanishedAt = _now;
		m_departureNotices.push_back({known.record.identity(), DepartureSource::Unreadable});
	}
	known.graceUntil = 0;
	known.lapsedUntil = 0;
}

void Directory::markVanished(KnownBackend& _known, Micros _lastListed, Micros _now)
{
	_known.vanishedAt = _now;
	_known.graceUntil = std::min(_now + kVanishedGrace, _lastListed + m_drain.maxListAge);
	const bool mayHaveLapsed = _now - m_outageEnded < kLapsedGrace;
	_known.lapsedUntil = mayHaveLapsed ? m_outageEnded + kLapsedGrace : 0;
}

void Directory::confirm(Micros _confirmed)
{
	m_confirmed = std::max(m_confirmed, _confirmed);
}

const KnownBackend* Directory::find(const BackendIdentity& _backend) const
{
	const auto it = m_backends.find(_backend.id);
	const bool listed = it != m_backends.end() && it->second.record.born == _backend.born;
	return listed ? &it->second : nullptr;
}

KnownBackend* Directory::find(const BackendIdentity& _backend)
{
	return const_cast<KnownBackend*>(std::as_const(*this).find(_backend));
}

void Directory::markMisdirected(const BackendIdentity& _backend)
{
	if (KnownBackend* known = find(_backend))
	{
		known->misdirected = true;
	}
}

void Directory::markDraining(const BackendIdentity& _backend, DepartureSource _source, Micros _now)
{
	KnownBackend* known = find(_backend);
	if (known && !known->record.draining)
	{
		known->record.draining = true;
		known->drainingSince = _now;
		recordDeparture(_backend, _source, _now);
	}
}

void Directory::recordDeparture(const BackendIdentity& _backend, DepartureSource _source, Micros _now)
{
	m_departures.add(_backend, _source == DepartureSource::Record, _now);
	m_departureNotices.push_back({_backend, _source});
}

std::vector<DepartureNotice> Directory::takeDepartureNotices()
{
	return std::exchange(m_departureNotices, {});
}

Micros Directory::age(Micros _now) const
{
	return _now - m_confirmed;
}

ListingState Directory::listingStateOf(const KnownBackend& _known, Micros _now)
{
	if (_known.record.draining || _known.misdirected)
	{
		return ListingState::Gone;
	}
	if (_known.vanishedAt == kNever)
	{
		return ListingState::Listed;
	}
	if (_now < _known.lapsedUntil)
	{
		return ListingState::Lapsed;
	}
	return _now < _known.graceUntil ? ListingState::Vanished : ListingState::Gone;
}

ListingState Directory::listingState(const BackendIdentity& _backend, Micros _now) const
{
	const KnownBackend* known = find(_backend);
	return known ? listingStateOf(*known, _now) : ListingState::Gone;
}

bool Directory::takesWork(const BackendIdentity& _backend, Micros _now) const
{
	return listingState(_backend, _now) != ListingState::Gone;
}

std::vector<const KnownBackend*> Directory::usableOf(const std::string& _service, Micros _now,
													 std::optional<VersionKey> _version) const
{
	std::vector<const KnownBackend*> usable;
	std::vector<const KnownBackend*> vanished;
	for (const auto& [id, known] : m_backends)
	{
		if (known.record.service != _service || (_version && known.version != *_version))
		{
			continue;
		}
		const ListingState listingState = listingStateOf(known, _now);
		if (listingState == ListingState::Listed || listingState == ListingState::Lapsed)
		{
			usable.push_back(&known);
		}
		else if (listingState == ListingState::Vanished)
		{
			vanished.push_back(&known);
		}
	}
	return usable.empty() ? vanished : usable;
}

} // namespace beacongate
