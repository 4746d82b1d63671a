// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps this gateway's own entry in the store, so that other gateways find it.

#ifndef BEACONGATE_GATEWAY_REGISTRATION_H
#define BEACONGATE_GATEWAY_REGISTRATION_H

#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace beacongate
{
/// Registers the gateway under a lease and renews the lease.
class Registration : public std::enable_shared_from_this<Registration>
{
public:
	explicit Registration(GatewayContext& _context);

	/// Starts the registration.
	void init();

	/// Ends all calls; the entry expires with its lease.
	void shutdown();

	/// Registers again: the lease and the entry may be gone.
	void onStoreRestored();

	/// Registers again if the store's list lacks this gateway's entry, whose lease then has run out.
	void onMembersRead();

private:
	void registerAgain();
	void schedule(Micros _span);
	void wait(Micros _span);
	void requestLease();
	void writeEntry();
	void renew();

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_channel;
	boost::asio::steady_timer m_timer;
	bool m_entryWritten = false;
	std::uint64_t m_entryRevision = 0; ///< Of the last write of the entry.
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_REGISTRATION_H
