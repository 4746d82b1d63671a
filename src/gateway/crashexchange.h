// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Spreads what gateways know of requests that crash their backend servers.

#ifndef BEACONGATE_GATEWAY_CRASHEXCHANGE_H
#define BEACONGATE_GATEWAY_CRASHEXCHANGE_H

#include "coordination/crashreport.h"
#include "gateway/gatewaycontext.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Sends changes of the crash ledger to peers, and compares whole ledgers at intervals.
///
/// Changes are sent in several rounds: to all peers in a small fleet; in a larger one to the collectors of the data
/// centre, of which the first passes them on to its data centre and to the collectors of the others. The comparison
/// reaches gateways that have just started, stood still or were cut off: one small datagram asks for all records
/// where the digests differ. Both are bounded by the size of a ledger, whatever the size of the fleet.
class CrashExchange
{
public:
	using Send = std::function<void(const std::string& _bytes, const std::string& _host)>;

	/// Time between two comparisons with a peer.
	static constexpr Micros kCompareInterval = 1 * kSecond;
	/// Largest number of changed records in one datagram.
	static constexpr std::size_t kMaxChanges = 16;

	CrashExchange(GatewayContext& _context, Send _send);

	/// Sends what is due. Must be called in each round of gossip.
	/// @param[in] _collector This gateway is a collector of its data centre.
	void tick(bool _collector, Micros _now);

	/// Processes a datagram for which isCrashDatagram() holds.
	/// @returns false if it is not readable.
	bool onDatagram(std::string_view _bytes, const std::string& _sender);

private:
	/// @returns the hosts with one of which the ledger is compared next.
	std::vector<std::string> compareTargets(bool _collector, Micros _now) const;
	void sendChanges(bool _collector, Micros _now);
	void compare(bool _collector, Micros _now);
	void send(CrashReportKind _kind, std::vector<CrashRecord> _records, const std::string& _host);
	void logNotices();

	GatewayContext& m_context;
	Send m_send;
	Micros m_comparedAt = kLongAgo;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_CRASHEXCHANGE_H
