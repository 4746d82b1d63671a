// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/dutyholder.h"

#include "beacongate/errors.h"
#include "coordination/storerevision.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "platform/dutycalls.h"
#include "platform/storecalls.h"
#include "protocol/usagecodec.h"

namespace beacongate
{
namespace
{
constexpr Micros kTickInterval = 250 * kMillisecond;
constexpr Micros kRenewInterval = 600 * kMillisecond;
constexpr Micros kStoreTimeout = 700 * kMillisecond;
constexpr Micros kDutyTimeout = 1 * kSecond;
/// Time after a window's end, or after the duties were acquired, for counts that are still in transit.
constexpr Micros kCountsSettleTime = 1200 * kMillisecond;
/// A backend server is counted for this long after its record vanished.
constexpr Micros kVanishedRecordSpan = 2 * kSecond;
/// The content must be confirmed within this span before the duties are taken.
constexpr Micros kMaxContentAge = 2 * kSecond;
constexpr Micros kCountsWriteInterval = 350 * kMillisecond; ///< Time between two writes of all counts.
/// Delay per rank before a member tries to take vacant duties: one try is three calls to the store.
constexpr Micros kAcquireDelayPerRank = 100 * kMillisecond;
constexpr Micros kUnregisteredAcquireDelay = 3 * kSecond; ///< Delay of a gateway that is not registered yet.
/// For how long after a restore of the store its last holder takes the duties before the others.
constexpr Micros kRestoredSpan = 10 * kSecond;
/// Delay after a restore of the store for all but the last holder, which alone knows all that it has reported.
constexpr Micros kRestoredAcquireDelay = 1 * kSecond;
constexpr double kMaxSilentShare = 0.5; ///< Largest share of silent gateways at which the load counts as known.
constexpr std::uint64_t kWindowsBack = 3;
constexpr std::uint64_t kWindowsKept = 8;
constexpr std::size_t kMaxAnswerBytes = 1u << 20;
} // namespace

DutyHolder::DutyHolder(GatewayContext& _context)
	: m_context(_context),
	  m_leaseChannel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kMaxAnswerBytes)),
	  m_storeChannel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kMaxAnswerBytes)),
	  m_countsChannel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kMaxAnswerBytes)),
	  m_dutyChannel(std::make_shared<HttpChannel>(_context.loop, *_context.settings.dutyApi, kMaxAnswerBytes)),
	  m_timer(_context.loop)
{
}

void DutyHolder::init()
{
	schedule();
}

void DutyHolder::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_leaseChannel->close();
	m_storeChannel->close();
	m_countsChannel->close();
	m_dutyChannel->close();
}

bool DutyHolder::holds() const
{
	return m_lease.held(monotonicNow());
}

void DutyHolder::schedule()
{
	m_timer.expires_after(std::chrono::microseconds(m_context.jittered(kTickInterval)));
	m_timer.async_wait(
		[self = shared_from_this()](const boost::system::error_code& _error)
		{
			if (!_error && !self->m_closed)
			{
				self->tick();
				self->schedule();
			}
		});
}

void DutyHolder::onStoreRestored()
{
	rememberRecords();
	m_wasLastHolder = m_lease.fence() != 0 && m_lease.fence() >= m_highestFence;
	// The lease may be gone, and its number may have been given to another gateway.
	m_lease.onLost();
	m_leaseId = 0;
	m_acquiring = false;
	m_renewing = false;
	m_vacantSince = kNever;
	m_storedCounts.clear();
	m_context.holdsDuties = false;
}

void DutyHolder::rememberRecords()
{
	const auto& items = m_context.content.items;
	if (const auto fence = items.find(kFenceKey); fence != items.end())
	{
		const Micros now = monotonicNow();
		const DutyRecord record = decodeDutyRecord(fence->second.value);
		m_highestFence = std::max(m_highestFence, record.fence);
		if (record.era() == m_context.storeEra.value_or(0))
		{
			m_context.lastRestore.onRecord(record, now, m_context.clock.trueTime(now));
		}
	}
	const std::uint64_t current = m_context.currentWindow(monotonicNow());
	const std::string prefix(kUsagePrefix);
	for (auto item = items.lower_bound(prefix); item != items.end() && item->first.starts_with(prefix); ++item)
	{
		const std::uint64_t window = std::strtoull(item->first.c_str() + prefix.size(), nullptr, 10);
		if (window + kWindowsKept >= current && !m_fixedCounts.count(window))
		{
			rememberCounts(window, item->second);
		}
	}
	const auto isOld = [current](const auto& _entry)
	{
		return _entry.first + kWindowsKept < current;
	};
	std::erase_if(m_fixedCounts, isOld);
	std::erase_if(m_unreadableCounts, isOld);
}

void DutyHolder::rememberCounts(std::uint64_t _window, const KvItem& _item)
{
	const auto unreadable = m_unreadableCounts.find(_window);
	if (unreadable != m_unreadableCounts.end() && unreadable->second == _item.revision)
	{
		return;
	}
	try
	{
		m_fixedCounts[_window] = decodeTotals(_item.value);
		m_unreadableCounts.erase(_window);
	}
	catch (const Error& error)
	{
		m_fixedCounts.erase(_window);
		m_unreadableCounts[_window] = _item.revision;
		logEvent(LogLevel::Warning, "usage-counts-unreadable",
				 {{"window", std::to_string(_window)}, {"detail", error.what()}});
	}
}

bool DutyHolder::mayBeReported(std::uint64_t _window) const
{
	const Micros windowEnd = static_cast<Micros>(_window + 1) * m_context.settings.usageWindow;
	const Micros restored = m_context.lastRestore.at();
	const bool endedBefore = restored != kLongAgo && windowEnd < m_context.clock.trueTime(restored);
	return endedBefore && !m_wasLastHolder && !m_fixedCounts.count(_window);
}

void DutyHolder::tick()
{
	const Micros now = monotonicNow();
	rememberRecords();
	m_context.holdsDuties = m_lease.held(now) && !m_context.stopping;
	if (m_context.stopping)
	{
		return;
	}
	if (m_leaseId != 0 && !m_lease.held(now))
	{
		logEvent(LogLevel::Warning, "duty-lost", {{"fence", std::to_string(m_lease.fence())}});
		m_lease.onLost();
		m_leaseId = 0;
	}
	if (m_leaseId == 0)
	{
		tryAcquire();
		return;
	}
	if (now - m_renewedAt >= kRenewInterval)
	{
		renew();
	}
	if (m_context.settings.reportsUsage && knowsPredecessorState(now))
	{
		storeCounts(now);
		reportUsage(now);
	}
	if (m_context.settings.ordersCapacity)
	{
		orderCapacity(now);
	}
}

std::uint64_t DutyHolder::revisionOf(const std::string& _key) const
{
	const auto it = m_context.content.items.find(_key);
	return it == m_context.content.items.end() ? 0 : it->second.revision;
}

void DutyHolder::tryAcquire()
{
	const bool held = revisionOf(kHolderKey) != 0;
	const Micros sent = monotonicNow();
	const bool contentFresh = m_context.content.confirmed + kMaxContentAge > sent &&
							  StoreRevision::eraOf(m_context.content.revision) == m_context.storeEra.value_or(0);
	// A holder that has not heard of a restore acts until its lease would have ended.
	const bool leaseMayRun = m_context.lastRestore.isWithin(m_context.settings.leaseSpan, sent);
	if (held)
	{
		m_vacantSince = kNever;
	}
	if (m_acquiring || held || !contentFresh || leaseMayRun)
	{
		return;
	}
	m_vacantSince = std::min(m_vacantSince, sent);
	const std::optional<std::size_t> position = m_context.relays.position();
	const Micros delay =
		position ? kAcquireDelayPerRank * static_cast<Micros>(*position) : kUnregisteredAcquireDelay;
	const bool restored = m_context.lastRestore.isWithin(kRestoredSpan, sent);
	const Micros restoredDelay = m_wasLastHolder ? 0 : delay + kRestoredAcquireDelay;
	if (sent - m_vacantSince < (restored ? restoredDelay : delay))
	{
		return;
	}
	m_acquiring = true;
	const Micros span = std::max(m_context.settings.leaseSpan, m_context.settings.leaseMinimum);
	m_context.traffic.onStoreCall(StorePurpose::DutyLease);
	m_leaseChannel->call(platform::leaseCall(span), kStoreTimeout,
						 [self = shared_from_this(), sent,
						  restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
						 {
							 if (metRestore(self->m_context, _answer, restores))
							 {
								 return;
							 }
							 const auto lease = platform::readLease(_answer);
							 if (!lease)
							 {
								 self->m_acquiring = false;
								 return;
							 }
							 self->writeHolder(lease->id, lease->span, sent);
						 });
}

void DutyHolder::writeHolder(std::uint64_t _lease, Micros _span, Micros _sent)
{
	const auto fenceItem = m_context.content.items.find(kFenceKey);
	const std::uint64_t before =
		fenceItem == m_context.content.items.end() ? 0 : decodeDutyRecord(fenceItem->second.value).fence;
	const std::uint64_t fence =
		std::max(std::max(before, m_highestFence) + 1, m_context.storeEra.value_or(0) * DutyRecord::kFencesPerEra);
	const Micros now = monotonicNow();
	const Micros restoredAt = m_context.lastRestore.trueTime(now, m_context.clock.trueTime(now));
	KvTransaction change;
	change.conditions = {{kHolderKey, 0}, {kFenceKey, revisionOf(kFenceKey)}};
	change.puts = {{kHolderKey, m_context.settings.name + ' ' + std::to_string(m_context.run.incarnation), _lease},
				   {kFenceKey, encodeDutyRecord({fence, restoredAt}), 0}};
	m_context.traffic.onStoreCall(StorePurpose::DutyLease);
	m_leaseChannel->call(platform::transactionCall(change), kStoreTimeout,
						 [self = shared_from_this(), _lease, _span, _sent, fence,
						  restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
						 {
							 if (metRestore(self->m_context, _answer, restores))
							 {
								 return;
							 }
							 self->m_acquiring = false;
							 const KvResult result = platform::readTransaction(_answer);
							 if (result.outcome != KvOutcome::Done)
							 {
								 // If the transaction may have been applied, no gateway acts until that lease has
								 // expired.
								 return;
							 }
							 self->m_leaseId = _lease;
							 self->m_renewedAt = _sent;
							 self->m_acquiredAt = monotonicNow();
							 self->m_lease.onAcquired(fence, _sent, _span);
							 logEvent(LogLevel::Info, "duty-taken", {{"fence", std::to_string(fence)}});
						 });
}

void DutyHolder::renew()
{
	if (m_renewing)
	{
		return;
	}
	m_renewing = true;
	const Micros sent = monotonicNow();
	m_context.traffic.onStoreCall(StorePurpose::DutyLease);
	m_leaseChannel->call(platform::renewCall(m_leaseId), kStoreTimeout,
						 [self = shared_from_this(), sent, lease = m_leaseId,
						  restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
						 {
							 if (metRestore(self->m_context, _answer, restores))
							 {
								 return;
							 }
							 self->m_renewing = false;
							 if (self->m_leaseId != lease)
							 {
								 return;
							 }
							 const platform::RenewedLease renewal = platform::readRenewal(_answer);
							 if (renewal.gone)
							 {
								 self->m_lease.onLost();
							 }
							 else if (renewal.renewed)
							 {
								 self->m_renewedAt = sent;
								 self->m_lease.onRenewed(sent, renewal.span);
							 }
						 });
}

bool DutyHolder::knowsPredecessorState(Micros _now) const
{
	// Stored counts are too large for a relay's updates, so this holder must read the store itself. The other
	// gateways must also learn who holds the duties now.
	return m_context.content.confirmed > m_acquiredAt && _now - m_acquiredAt > kCountsSettleTime;
}

void DutyHolder::reportUsage(Micros _now)
{
	if (!m_lease.mayAct(_now))
	{
		return;
	}
	const std::uint64_t current = m_context.currentWindow(_now);
	std::erase_if(m_reportedWindows, [current](std::uint64_t _window) { return _window + kWindowsKept < current; });
	for (std::uint64_t window = current - kWindowsBack; window < current; ++window)
	{
		const Micros windowEnd = static_cast<Micros>(window + 1) * m_context.settings.usageWindow;
		const bool settled = m_context.clock.trueTime(_now) >= windowEnd + kCountsSettleTime;
		if (!settled || m_reportedWindows.count(window) || m_pendingWindows.count(window) ||
			m_unreadableCounts.count(window) || mayBeReported(window))
		{
			continue;
		}
		if (const auto fixed = m_fixedCounts.find(window); fixed != m_fixedCounts.end())
		{
			sendWindow(window, fixed->second);
		}
		else
		{
			finalizeWindow(window);
		}
		return;
	}
}

void DutyHolder::storeCounts(Micros _now)
{
	if (m_storingCounts || _now - m_countsStoredAt < kCountsWriteInterval || !m_lease.mayAct(_now))
	{
		return;
	}
	const std::uint64_t current = m_context.currentWindow(_now);
	std::string text = encodeRunCounts(
		m_context.usage.allCounts(current - std::min<std::uint64_t>(current, 1), m_context.usesCollectors()));
	if (text == m_storedCounts)
	{
		return;
	}
	m_storingCounts = true;
	m_countsStoredAt = _now;
	KvTransaction change;
	// Counts only grow and are merged by maximum, so a delayed put does no harm. Levels are a hint for gateways
	// that start.
	change.puts = {{kCountsKey, text, 0}, {kLevelsKey, encodeTotals(m_context.quotas.levels(_now)), 0}};
	m_context.traffic.onStoreCall(StorePurpose::UsageCounts);
	m_countsChannel->call(platform::transactionCall(change), kStoreTimeout,
						  [self = shared_from_this(), text = std::move(text),
						   restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
						  {
							  self->m_storingCounts = false;
							  const bool restored = metRestore(self->m_context, _answer, restores);
							  if (!restored && platform::readTransaction(_answer).outcome == KvOutcome::Done)
							  {
								  self->m_storedCounts = text;
							  }
						  });
}

void DutyHolder::finalizeWindow(std::uint64_t _window)
{
	std::map<std::string, std::uint64_t> counts = m_context.usage.totals(_window, m_context.usesCollectors());
	if (m_context.directory.config())
	{
		for (const TeamAccess& team : m_context.directory.config()->teams)
		{
			counts.try_emplace(team.name, 0);
		}
	}
	KvTransaction change;
	change.conditions = {{usageKey(_window), 0}};
	change.puts = {{usageKey(_window), encodeTotals(counts), 0}};
	for (const auto& [key, item] : m_context.content.items)
	{
		const bool isUsage = key.compare(0, kUsagePrefix.size(), kUsagePrefix) == 0;
		if (isUsage && std::strtoull(key.c_str() + kUsagePrefix.size(), nullptr, 10) + kWindowsKept < _window)
		{
			change.removes.push_back(key);
		}
	}
	m_pendingWindows.insert(_window);
	m_context.traffic.onStoreCall(StorePurpose::UsageWindow);
	m_storeChannel->call(platform::transactionCall(change), kStoreTimeout,
						 [self = shared_from_this(), _window, counts,
						  restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
						 {
							 self->m_pendingWindows.erase(_window);
							 if (metRestore(self->m_context, _answer, restores))
							 {
								 return;
							 }
							 const KvResult result = platform::readTransaction(_answer);
							 if (result.outcome == KvOutcome::Done)
							 {
								 self->sendWindow(_window, counts);
								 return;
							 }
							 for (const KvItem& item : result.items)
							 {
								 if (item.key == usageKey(_window) && item.revision != 0)
								 {
									 self->rememberCounts(_window, item);
								 }
							 }
						 });
}

void DutyHolder::sendWindow(std::uint64_t _window, const std::map<std::string, std::uint64_t>& _counts)
{
	if (m_pendingWindows.count(_window))
	{
		return;
	}
	m_pendingWindows.insert(_window);
	// The report may be accepted although its answer is lost, so no other counts are sent for this window.
	m_fixedCounts.try_emplace(_window, _counts);
	const platform::DutyCaller holder{m_context.settings.name, m_lease.fence()};
	m_dutyChannel->call(
		platform::usageCall(holder, _window, _counts), kDutyTimeout,
		[self = shared_from_this(), _window, fence = m_lease.fence()](const std::optional<HttpAnswer>& _answer)
		{
			self->m_pendingWindows.erase(_window);
			const bool accepted = _answer && _answer->status == 200;
			if (accepted)
			{
				self->m_reportedWindows.insert(_window);
			}
			logEvent(accepted ? LogLevel::Info : LogLevel::Warning, "usage-report",
					 {{"window", std::to_string(_window)},
					  {"fence", std::to_string(fence)},
					  {"status", _answer ? std::to_string(_answer->status) : "none"}});
		},
		[self = shared_from_this(), fence = m_lease.fence()]
		{ return self->m_lease.fence() == fence && self->m_lease.mayAct(monotonicNow()); });
}

void DutyHolder::orderCapacity(Micros _now)
{
	const auto& config = m_context.directory.config();
	if (!config || !m_lease.mayAct(_now) || m_pendingOrders > 0)
	{
		return;
	}
	for (const PooledService& service : config->services)
	{
		if (service.scaling)
		{
			orderCapacityFor(service, _now);
		}
	}
}

void DutyHolder::orderCapacityFor(const PooledService& _service, Micros _now)
{
	std::map<std::string, ZoneCapacity> zones;
	for (const auto& [zone, price] : _service.scaling->zonePrices)
	{
		zones[zone];
	}
	unsigned servers = 0;
	unsigned onDemand = 0;
	for (const auto& [id, known] : m_context.directory.backends())
	{
		// Records expire together during an outage of the store and return with the next heartbeat.
		const bool gone = known.vanishedAt != kNever && _now - known.vanishedAt > kVanishedRecordSpan;
		if (known.record.service != _service.name || gone)
		{
			continue;
		}
		ZoneCapacity& zone = zones[known.record.dataCentre];
		if (known.record.draining)
		{
			zone.reclaiming = zone.reclaiming || known.record.spot;
			continue;
		}
		++(known.record.spot ? zone.spot : zone.onDemand);
		++servers;
		onDemand += known.record.spot ? 0 : 1;
	}
	if (servers == 0 && !m_context.settings.firstStart)
	{
		return;
	}
	const CapacityPlanner::Need need = needOf(_service, servers, onDemand, _now);
	for (const CapacityOrder& order : m_planners[_service.name].plan(*_service.scaling, zones, need, _now))
	{
		logEvent(LogLevel::Info, "capacity-order",
				 {{"service", _service.name},
				  {"data_centre", order.dataCentre},
				  {"kind", order.spot ? "spot" : "on-demand"},
				  {"count", std::to_string(order.count)},
				  {"work", std::to_string(m_context.demand.work(_service.name))},
				  {"occupied", std::to_string(m_context.demand.occupied(_service.name))},
				  {"wished", std::to_string(need.desired)},
				  {"required", std::to_string(need.required)},
				  {"standing", std::to_string(servers)},
				  {"fence", std::to_string(m_lease.fence())}});
		sendOrder(_service.name, order);
	}
}

CapacityPlanner::Need DutyHolder::needOf(const PooledService& _service, unsigned _servers, unsigned _onDemand,
										 Micros _now)
{
	std::vector<BackendKey> keys;
	for (const KnownBackend* backend : m_context.directory.usableOf(_service.name, _now))
	{
		keys.push_back(backend->key);
	}
	// The work is in backend servers of the usual speed.
	const double work = CapacityPlanner::combinedWork(m_context.demand.work(_service.name),
													  m_context.demand.occupied(_service.name)) /
						m_context.speeds.meanSpeed(keys);
	CapacityPlanner::Observation observation;
	observation.work = work;
	// A gateway that does not hear most of the fleet does not know the load, and keeps the current capacity.
	const FleetLiveness& liveness = m_context.quotas.liveness();
	const bool hearsMost =
		liveness.contact(_now) == FleetContact::Established && liveness.silentShare(_now) < kMaxSilentShare;
	observation.settled = hearsMost && m_context.demand.settled(_service.name, _now);
	observation.firstStart = m_context.settings.firstStart;
	observation.listed = m_initialListings[_service.name].complete(_onDemand, _now, _servers);
	observation.running = m_initialListings[_service.name].running();
	return CapacityPlanner::needFor(*_service.scaling, observation);
}

void DutyHolder::sendOrder(const std::string& _service, const CapacityOrder& _order)
{
	const platform::DutyCaller holder{m_context.settings.name, m_lease.fence()};
	++m_pendingOrders;
	m_dutyChannel->call(
		platform::capacityCall(holder, _service, _order.dataCentre, _order.count, _order.spot), kDutyTimeout,
		[self = shared_from_this(), _service, _order](const std::optional<HttpAnswer>& _answer)
		{
			--self->m_pendingOrders;
			const bool accepted = _answer && _answer->status == 200;
			const bool refused = _answer && _answer->status == 409;
			self->m_planners[_service].onAnswer(_order, accepted, refused, monotonicNow());
			if (!accepted)
			{
				logEvent(LogLevel::Warning, "capacity-order-failed",
						 {{"service", _service},
						  {"data_centre", _order.dataCentre},
						  {"status", _answer ? std::to_string(_answer->status) : "none"}});
			}
		},
		[self = shared_from_this(), fence = m_lease.fence()]
		{ return self->m_lease.fence() == fence && self->m_lease.mayAct(monotonicNow()); });
}

} // namespace beacongate
