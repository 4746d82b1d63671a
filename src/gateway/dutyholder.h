// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Competes for the duties towards the platform, and does them while it holds them: usage reports and orders.

#ifndef BEACONGATE_GATEWAY_DUTYHOLDER_H
#define BEACONGATE_GATEWAY_DUTYHOLDER_H

#include "coordination/capacityplanner.h"
#include "coordination/dutylease.h"
#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace beacongate
{
/// One holder at a time, by a lease in the store; each has a larger fencing token than the one before.
class DutyHolder : public std::enable_shared_from_this<DutyHolder>
{
public:
	explicit DutyHolder(GatewayContext& _context);

	/// Begins to compete.
	void init();

	/// Stops acting; the lease runs out by itself, so that nobody acts too early after this holder.
	void shutdown();

	/// @returns whether this gateway holds the duties.
	bool holds() const;

	/// @returns the fencing token of the holder that this gateway was last.
	std::uint64_t fence() const
	{
		return m_lease.fence();
	}

private:
	void schedule();
	void tick();
	void compete();
	void take(std::uint64_t _lease, Micros _span, Micros _sent);
	void renew();
	/// @returns whether this holder knows what the one before left in the store.
	bool tookOver(Micros _now) const;
	void keepCounts(Micros _now);
	void reportUsage(Micros _now);
	void fixWindow(std::uint64_t _window);
	void sendWindow(std::uint64_t _window, const std::map<std::string, std::uint64_t>& _counts);
	void orderCapacity(Micros _now);
	void orderFor(const PooledService& _service, Micros _now);
	CapacityPlanner::Need needOf(const PooledService& _service, unsigned _standing, unsigned _onDemand,
								 Micros _now);
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
	Micros m_renewed = 0;
	Micros m_taken = kNever;       ///< When the lease was won.
	Micros m_vacantSince = kNever; ///< When nobody was first seen to hold the duties.
	bool m_competing = false;
	bool m_renewing = false;
	bool m_closed = false;
	std::set<std::uint64_t> m_reported; ///< Windows that the platform has.
	std::set<std::uint64_t> m_inWork;
	std::string m_keptCounts;
	Micros m_countsKept = kLongAgo;
	bool m_keepingCounts = false;
	std::map<std::string, CapacityPlanner> m_planners;
	std::map<std::string, InitialListing> m_startListings;
	std::size_t m_openOrders = 0;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_DUTYHOLDER_H
