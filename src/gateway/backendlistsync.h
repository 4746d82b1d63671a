// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the list of backend servers fresh, independently of the configuration.

#ifndef BEACONGATE_GATEWAY_BACKENDLISTSYNC_H
#define BEACONGATE_GATEWAY_BACKENDLISTSYNC_H

#include "coordination/listreadpace.h"
#include "gateway/gatewaycontext.h"
#include "gateway/rangereader.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace beacongate
{
/// Reads only the records of backend servers, as soon as this gateway's list is older than DrainBudget allows.
/// StoreSync reads them together with a configuration that may be large and slow to arrive, or gets them from a
/// gateway that waits for it; a departure must not wait for that. Without it, 87 gateways on links of 10 Mbit/s
/// with a configuration that grew by 2,800 routes sent requests by lists up to 24 s old, where 3 s are allowed.
/// While StoreSync is in time this class reads nothing.
///
/// Reads overlap if the store is slow, as ListReadPace defines. Each read continues until its answer arrives, so
/// that a store that takes a second to answer still delivers a list every kListReadInterval.
class BackendListSync : public std::enable_shared_from_this<BackendListSync>
{
public:
	explicit BackendListSync(GatewayContext& _context);

	/// Starts checking the age of the list.
	void init();

	/// Ends all calls.
	void shutdown();

private:
	using ReaderPtr = std::shared_ptr<RangeReader>;

	void schedule(Micros _span);
	void check();
	/// Handles a list that is recent enough: nothing has to be read.
	void onListFresh(Micros _age);
	/// Logs that the store is reachable again, or that the list came from another gateway.
	void onStoreReachable(Micros _age);
	/// Handles a list that is too old while the store counts as reachable.
	void readWhileReachable(Micros _now);
	/// Handles a list that is too old while the store is unreachable.
	void waitWhileUnreachable(Micros _now);
	bool mayStartRead(Micros _now) const;
	/// Reads the list, or probes the store with a minimal read if this gateway may not read so much: a probe also
	/// shows whether the store is reachable.
	void startReadOrProbe(Micros _now);
	void startRead(Micros _now);
	void startProbe(Micros _now);
	void cancelReads();
	void onList(const ReaderPtr& _reader, std::optional<StoreContent> _content);

	GatewayContext& m_context;
	DrainBudget m_budget;
	ListReadPace m_pace;
	std::vector<ReaderPtr> m_reads; ///< Reads that wait for their answer.
	ReaderPtr m_idleReader;         ///< Idle reader whose connection serves the next read.
	ReaderPtr m_probe;
	bool m_probing = false;
	boost::asio::steady_timer m_timer;
	Micros m_due = kNever; ///< When the timer is due.
	bool m_storeUnreachable = false;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_BACKENDLISTSYNC_H
