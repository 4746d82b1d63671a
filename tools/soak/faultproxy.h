// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A loopback proxy that delays data, resets connections, or drops data in one or both directions.

#ifndef BEACONGATE_TOOLS_SOAK_FAULTPROXY_H
#define BEACONGATE_TOOLS_SOAK_FAULTPROXY_H

#include "standin/platform.h"
#include "transport/tcpconnection.h"

#include <list>
#include <memory>

namespace beacongate::soak
{
/// Faults that a proxy injects into connections.
enum class LinkFault
{
	None,
	Delays,       ///< Each chunk of data is delayed.
	Resets,       ///< Open and new connections are reset.
	Silent,       ///< All data is dropped; connections stay open.
	DropsAnswers, ///< Data from the caller passes; data from the target is dropped.
};

/// Forwards connections to one address.
class FaultProxy
{
public:
	FaultProxy(const Address& _listen, const Address& _target);
	~FaultProxy();
	FaultProxy(const FaultProxy&) = delete;
	FaultProxy& operator=(const FaultProxy&) = delete;

	/// Default delay of a chunk.
	static constexpr Micros kDelay = 150 * kMillisecond;

	/// Sets the fault for new connections and those already open.
	/// @param[in] _delay Delay of each chunk, in each direction, under LinkFault::Delays.
	void setFault(LinkFault _fault, Micros _delay = kDelay);

	/// Accepts connections or refuses them.
	/// @param[in] _resetOpen Resets the open connections when it begins to refuse new ones.
	void setListening(bool _listening, bool _resetOpen = true);

private:
	struct Link;
	using LinkPtr = std::shared_ptr<Link>;

	void listen();
	void accept();
	void resetLinks();
	void startForwarding(const LinkPtr& _link);
	void forward(const LinkPtr& _link, bool _fromCaller, std::string_view _bytes);
	void deliverNext(const LinkPtr& _link, bool _fromCaller);
	void end(const LinkPtr& _link, ConnectionEnd _reason);

	Address m_address;
	Address m_target;
	standin::LoopThread m_loop;
	boost::asio::ip::tcp::acceptor m_acceptor;
	std::list<LinkPtr> m_links;
	LinkFault m_fault = LinkFault::None;
	Micros m_delay = kDelay;
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_FAULTPROXY_H
