// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Open-loop load of teams with limits: requests arrive at random times, independently of earlier outcomes.

#ifndef BEACONGATE_TOOLS_SOAK_OPENLOAD_H
#define BEACONGATE_TOOLS_SOAK_OPENLOAD_H

#include "beacongate/config.h"
#include "soak/observations.h"
#include "standin/platform.h"
#include "transport/outgoingcall.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate::soak
{
/// A team that sends requests.
struct LoadTeam
{
	std::string name;
	std::string key;
	double requestsPerSecond = 0.0;
	double meanTokens = 0.0; ///< Per request; 0 for requests that declare none.
	bool streams = false;    ///< Requests are answered with streams.
};

/// Sends teams' requests, each on its own connection, to randomly chosen gateways.
class OpenLoad
{
public:
	/// Largest number of concurrent requests; further arrivals are dropped and counted.
	static constexpr std::size_t kMaxOpen = 4000;

	/// @param[in] _gateways Addresses at which gateways accept requests.
	/// @param[in] _startOf Returns the number of a gateway's current process start; called on the loop's thread.
	OpenLoad(std::vector<Address> _gateways, std::function<std::uint64_t(unsigned)> _startOf, std::uint64_t _seed);
	~OpenLoad();
	OpenLoad(const OpenLoad&) = delete;
	OpenLoad& operator=(const OpenLoad&) = delete;

	/// Sets or replaces a team's load.
	void set(const LoadTeam& _team);

	/// Ends the load and abandons requests in flight.
	/// @returns all requests.
	std::vector<ObservedRequest> stop();

	/// @returns the number of arrivals dropped because kMaxOpen requests were in flight.
	std::size_t dropped() const
	{
		return m_dropped;
	}

private:
	struct OpenRequest;

	void sendArrivals();
	void send(const LoadTeam& _team);
	void abandonOlderThan(Micros _sentBefore);
	void end(OpenRequest& _open);

	std::vector<Address> m_gateways;
	std::function<std::uint64_t(unsigned)> m_startOf;
	std::minstd_rand m_random;
	std::vector<LoadTeam> m_teams;
	std::vector<std::shared_ptr<OpenRequest>> m_open;
	std::vector<ObservedRequest> m_done;
	std::size_t m_number = 0;
	std::size_t m_dropped = 0;
	bool m_stopped = false;
	Micros m_lastArrivals = 0;
	standin::LoopThread m_loop;
	boost::asio::steady_timer m_timer;
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_OPENLOAD_H
