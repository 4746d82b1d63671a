// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A loopback proxy that delays, resets, silences or cuts one way what passes through it.

#ifndef BEACONGATE_TOOLS_SOAK_FAULTPROXY_H
#define BEACONGATE_TOOLS_SOAK_FAULTPROXY_H

#include "standin/platform.h"
#include "transport/tcpconnection.h"

#include <list>
#include <memory>

namespace beacongate::soak
{
/// What a proxy does with connections.
enum class LinkFault
{
	None,
	Delays,      ///< Each piece waits for a while.
	Resets,      ///< Open connections and new ones are reset.
	Silent,      ///< Nothing passes; connections stay open.
	CutsAnswers, ///< What is sent passes, what is answered does not.
};

/// Passes connections on to one address.
class FaultProxy
{
public:
	FaultProxy(const Address& _listen, const Address& _target);
	~FaultProxy();
	FaultProxy(const FaultProxy&) = delete;
	FaultProxy& operator=(const FaultProxy&) = delete;

	/// How long a piece waits where nothing else is asked for.
	static constexpr Micros kDelay = 150 * kMillisecond;

	/// Changes what is done with connections, those that are open included.
	/// @param[in] _delay For how long LinkFault::Delays holds each piece, each way.
	void setFault(LinkFault _fault, Micros _delay = kDelay);

private:
	struct Link;
	using LinkPtr = std::shared_ptr<Link>;

	void accept();
	void join(const LinkPtr& _link);
	void pass(const LinkPtr& _link, bool _fromCaller, std::string_view _bytes);
	void deliverNext(const LinkPtr& _link, bool _fromCaller);
	void end(const LinkPtr& _link, ConnectionEnd _how);

	Address m_target;
	standin::LoopThread m_loop;
	boost::asio::ip::tcp::acceptor m_acceptor;
	std::list<LinkPtr> m_links;
	LinkFault m_fault = LinkFault::None;
	Micros m_delay = kDelay;
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_FAULTPROXY_H
