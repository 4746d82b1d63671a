// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Acquires the duties towards the platform, and performs them: usage reports and capacity orders.

#ifndef BEACONGATE_GATEWAY_DUTYHOLDER_H
#define BEACONGATE_GATEWAY_DUTYHOLDER_H

#include "coordination/capacityplanner.h"
#include "coordination/dutylease.h"
#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace beacongate
{
/// At most one gateway holds the duties, by a lease in the store. Each holder has a larger fencing token than the
/// one before.
class DutyHolder : public std::enable_shared_from_this<DutyHolder>
{
public:
	explicit DutyHolder(GatewayContext& _context);

	/// Starts the periodic work.
	void init();

	/// Stops acting. The lease is left to expire, so that no successor acts while a call of this holder may still
	/// take effect.
	void shutdown();

	/// Gives the duties up: the lease may be gone.
	void onStoreRestored();

	/// @returns true if this gateway holds the duties.
	bool holds() const;

	/// @returns the fencing token of the last lease that this gateway held.
	std::uint64_t fence() const
	{
		return m_lease.fence();
	}

private:
	/// Remembers the fencing token and the counts that the store holds, since it may lose them.
	void rememberRecords();
	void rememberCounts(std::uint64_t _window, const KvItem& _item);
	/// @returns true if another gateway may have reported a window whose record a restore of the store has removed.
	bool mayBeReported(std::uint64_t _window) const;
	void schedule();
	void tick();
	void tryAcquire();
	void writeHolder(std::uint64_t _lease, Micros _span, Micros _sent);
	void renew();
	/// @returns true if this holder has read what its predecessor left in the store.
	bool knowsPredecessorState(Micros _now) const;
	void storeCounts(Micros _now);
	void reportUsage(Micros _now);
	void finalizeWindow(std::uint64_t _window);
	void sendWindow(std::uint64_t _window, const std::map<std::string, std::uint64_t>& _counts);
	void orderCapacity(Micros _now);
	void orderCapacityFor(const PooledService& _service, Micros _now);
	CapacityPlanner::Need needOf(const PooledService& _service, unsigned _servers, unsigned _onDemand, Micros _now);
	void sendOrder(const std::string& _service, const CapacityOrder& _order);
	std::uint64_t revisionOf(const std::string& _key) const;

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_leaseChannel;
	std::shared_ptr<HttpChannel> m_storeChannel;
	std::shared_ptr<HttpChannel> m_countsChannel;
	std::shared_ptr<HttpChannel> m_dutyChannel;
	boost::asio::steady_timer m_timer;
	DutyLease m_lease;
	std::uint64_t m_leaseId = 0;
	Micros m_renewedAt = 0;
	Micros m_acquiredAt = kNever;  ///< When this gateway acquired the duties.
	Micros m_vacantSince = kNever; ///< Since when no gateway is seen to hold the duties.
	bool m_acquiring = false;
	bool m_renewing = false;
	bool m_closed = false;
	std::set<std::uint64_t> m_reportedWindows; ///< Windows whose report the platform has accepted.
	/// Counts of recent windows that are stored or were sent; no other counts may be sent for them.
	std::map<std::uint64_t, std::map<std::string, std::uint64_t>> m_fixedCounts;
	/// Revisions of counts that could not be decoded, by window.
	std::map<std::uint64_t, std::uint64_t> m_unreadableCounts;
	std::uint64_t m_highestFence = 0;         ///< Largest fencing token that was seen.
	bool m_wasLastHolder = false;             ///< This gateway held the duties last before the store was restored.
	std::set<std::uint64_t> m_pendingWindows; ///< Windows whose counts are being written or reported.
	std::string m_storedCounts;
	Micros m_countsStoredAt = kLongAgo;
	bool m_storingCounts = false;
	std::map<std::string, CapacityPlanner> m_planners;
	std::map<std::string, InitialListing> m_initialListings;
	std::size_t m_pendingOrders = 0;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_DUTYHOLDER_H
