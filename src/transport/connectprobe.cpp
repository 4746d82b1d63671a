// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/connectprobe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace beacongate
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace
{
struct PendingProbe
{
	explicit PendingProbe(asio::io_context& _context) : socket(_context), timer(_context)
	{
	}

	void finish(ProbeResult _result)
	{
		if (!done)
		{
			return;
		}
		timer.cancel();
		BoostError ignored;
		socket.close(ignored);
		const auto handler = std::move(done);
		done = nullptr;
		handler(_result);
	}

	tcp::socket socket;
	asio::steady_timer timer;
	std::function<void(ProbeResult)> done;
};

ProbeResult resultOf(const BoostError& _error)
{
	if (!_error)
	{
		return ProbeResult::Accepted;
	}
	return _error == asio::error::connection_refused ? ProbeResult::Refused : ProbeResult::Unreachable;
}
} // namespace

void probeConnection(asio::io_context& _context, const Address& _address, Micros _timeout,
					 std::function<void(ProbeResult)> _done)
{
	const auto probe = std::make_shared<PendingProbe>(_context);
	probe->done = std::move(_done);
	BoostError addressError;
	const tcp::endpoint endpoint(asio::ip::make_address(_address.host, addressError), _address.port);
	if (addressError)
	{
		asio::post(_context, [probe] { probe->finish(ProbeResult::Unreachable); });
		return;
	}
	probe->timer.expires_after(std::chrono::microseconds(_timeout));
	probe->timer.async_wait(
		[probe](const BoostError& _error)
		{
			if (!_error)
			{
				probe->finish(ProbeResult::Unreachable);
			}
		});
	probe->socket.async_connect(endpoint, [probe](const BoostError& _error) { probe->finish(resultOf(_error)); });
}

} // namespace beacongate
