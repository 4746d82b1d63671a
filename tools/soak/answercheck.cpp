// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/answercheck.h"

#include "soak/disturbance.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace beacongate::soak
{
namespace
{
/// A request's arrival at a backend server, with the caller's record of the request.
struct Arrival
{
	const ObservedArrival* seen = nullptr;
	const ObservedRequest* request = nullptr;
};

/// A gateway and a backend server.
using GatewayAndBackend = std::pair<unsigned, std::string>;

std::string millis(Micros _span)
{
	return std::to_string(_span / kMillisecond) + " ms";
}

std::map<GatewayAndBackend, std::vector<Arrival>> arrivalsByPair(const Observations& _seen)
{
	std::unordered_map<std::string, const ObservedRequest*> requests;
	for (const ObservedRequest& request : _seen.requests)
	{
		requests[request.id] = &request;
	}
	std::map<GatewayAndBackend, std::vector<Arrival>> arrivals;
	for (const ObservedArrival& arrival : _seen.arrivals)
	{
		const auto request = requests.find(arrival.id);
		if (request != requests.end())
		{
			arrivals[{request->second->gateway, arrival.backend}].push_back({&arrival, request->second});
		}
	}
	return arrivals;
}

void checkBackoffs(const Observations& _seen, const GatewayAndBackend& _pair, const std::vector<Arrival>& _arrivals,
				   std::vector<Finding>& _findings)
{
	for (const Arrival& backoff : _arrivals)
	{
		const Micros from = backoff.seen->at + _seen.bounds.inFlightSpan;
		const Micros until = backoff.seen->at + backoff.seen->requestedBackoff;
		const auto arrived =
			std::count_if(_arrivals.begin(), _arrivals.end(),
						  [&](const Arrival& _other) { return _other.seen->at > from && _other.seen->at < until; });
		if (arrived > _seen.bounds.maxInBackoff && ranThroughout(_seen, _pair.first, backoff.seen->at, until))
		{
			_findings.push_back({Promise::BackoffKept, "backend " + _pair.second + " asked gateway " +
														   std::to_string(_pair.first) + " for " +
														   millis(backoff.seen->requestedBackoff) + " and got " +
														   std::to_string(arrived) + " requests in that time"});
		}
	}
}

/// @returns when each process first forwarded an answer in which the backend server announced its departure.
std::map<std::pair<GatewayAndBackend, std::uint64_t>, Micros> firstAnnouncements(const Observations& _seen)
{
	std::map<std::pair<GatewayAndBackend, std::uint64_t>, Micros> announced;
	for (const ObservedRequest& request : _seen.requests)
	{
		if (request.announcesLeaving && !request.backend.empty())
		{
			const std::pair<GatewayAndBackend, std::uint64_t> process{{request.gateway, request.backend},
																	  request.start};
			Micros& first = announced.try_emplace(process, request.ended).first->second;
			first = std::min(first, request.ended);
		}
	}
	return announced;
}
} // namespace

void checkAnswersFollowed(const Observations& _seen, std::vector<Finding>& _findings)
{
	const auto leaving = firstAnnouncements(_seen);
	for (const auto& [pair, arrivals] : arrivalsByPair(_seen))
	{
		checkBackoffs(_seen, pair, arrivals, _findings);
		for (const Arrival& arrival : arrivals)
		{
			const auto announced = leaving.find({pair, arrival.request->start});
			const bool late =
				announced != leaving.end() && arrival.request->sent > announced->second + _seen.bounds.drain;
			if (late && ranThroughout(_seen, pair.first, announced->second, arrival.seen->at))
			{
				_findings.push_back({Promise::LeavingHeard,
									 "backend " + pair.second + " got " + arrival.seen->id + " " +
										 millis(arrival.request->sent - announced->second) + " after gateway " +
										 std::to_string(pair.first) + " had forwarded its announcement to leave"});
			}
		}
	}
}

namespace
{
/// @returns when each process first forwarded an answer of a backend server that named a limit, within a span.
std::map<std::pair<unsigned, std::uint64_t>, Micros> firstNamings(const Observations& _seen,
																  const ServerLimit& _limit)
{
	std::map<std::pair<unsigned, std::uint64_t>, Micros> named;
	for (const ObservedRequest& request : _seen.requests)
	{
		if (request.namesLimit && request.backend == _limit.backend && request.sent >= _limit.from)
		{
			Micros& first = named.try_emplace({request.gateway, request.start}, request.ended).first->second;
			first = std::min(first, request.ended);
		}
	}
	return named;
}

/// @returns the arrivals that count under a limit, in order.
std::vector<Micros> countedArrivals(const Observations& _seen, const ServerLimit& _limit)
{
	std::unordered_map<std::string, const ObservedRequest*> requests;
	for (const ObservedRequest& request : _seen.requests)
	{
		requests[request.id] = &request;
	}
	const auto named = firstNamings(_seen, _limit);
	std::vector<Micros> counted;
	for (const ObservedArrival& arrival : _seen.arrivals)
	{
		const auto found = requests.find(arrival.id);
		if (arrival.backend != _limit.backend || found == requests.end() ||
			arrival.at < _limit.from + _seen.bounds.contact || arrival.at > _limit.until)
		{
			continue;
		}
		const ObservedRequest& request = *found->second;
		const auto told = named.find({request.gateway, request.start});
		const bool isTold = told != named.end() && told->second + _seen.bounds.inFlightSpan <= arrival.at;
		if (isTold && ranThroughout(_seen, request.gateway, arrival.at - _seen.bounds.contact, arrival.at))
		{
			counted.push_back(arrival.at);
		}
	}
	std::sort(counted.begin(), counted.end());
	return counted;
}
} // namespace

void checkServerLimits(const Observations& _seen, std::vector<Finding>& _findings)
{
	for (const ServerLimit& limit : _seen.serverLimits)
	{
		const std::vector<Micros> arrivals = countedArrivals(_seen, limit);
		std::size_t largest = 0;
		for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
		{
			const auto end = std::lower_bound(first, arrivals.end(), *first + _seen.bounds.limitWindow);
			largest = std::max(largest, static_cast<std::size_t>(std::distance(first, end)));
		}
		const double allowed = _seen.bounds.limitFactor * limit.perSecond * secondsOf(_seen.bounds.limitWindow) +
							   _seen.bounds.limitSlack;
		if (static_cast<double>(largest) > allowed)
		{
			_findings.push_back({Promise::ServerLimitKept,
								 "backend " + limit.backend + " named " + std::to_string(limit.perSecond) +
									 " a second and got " + std::to_string(largest) + " requests in 4 s"});
		}
	}
}

namespace
{
/// @returns true if a fall is the fault of gateways that were not disturbed.
bool countsAsFall(const Observations& _seen, const ObservedCrash& _fall,
				  const std::unordered_map<std::string, const ObservedRequest*>& _requests)
{
	std::size_t counted = 0;
	std::size_t all = 0;
	for (const ObservedArrival& arrival : _seen.arrivals)
	{
		const auto request = _requests.find(arrival.id);
		const bool before = arrival.at > _fall.at - kSecond && arrival.at <= _fall.at;
		if (arrival.backend != _fall.backend || !before || request == _requests.end())
		{
			continue;
		}
		++all;
		const unsigned gateway = request->second->gateway;
		counted += ranThroughout(_seen, gateway, _fall.at - _seen.bounds.contact, _fall.at) ? 1 : 0;
	}
	return 2 * counted > all;
}

void checkBrittleSpan(const Observations& _seen, const BrittleSpan& _span,
					  const std::unordered_map<std::string, const ObservedRequest*>& _requests,
					  std::vector<Finding>& _findings)
{
	const Micros from = _span.from + _seen.bounds.contact;
	const auto falls = std::count_if(_seen.crashes.begin(), _seen.crashes.end(),
									 [&](const ObservedCrash& _crash) {
										 return _crash.at >= from && _crash.at <= _span.until &&
												countsAsFall(_seen, _crash, _requests);
									 });
	const double allowed =
		_seen.bounds.fallsAllowed + _seen.bounds.fallShareAllowed * static_cast<double>(_span.servers);
	if (static_cast<double>(falls) > allowed)
	{
		_findings.push_back({Promise::BrittleStand, std::to_string(_span.servers) + " brittle servers fell over " +
														std::to_string(falls) + " times"});
	}
	std::size_t sent = 0;
	std::size_t served = 0;
	for (const ObservedRequest& request : _seen.requests)
	{
		const bool within = request.sent >= from && request.ended <= _span.until;
		if (within && ranThroughout(_seen, request.gateway, request.sent - _seen.bounds.contact, request.ended))
		{
			++sent;
			served += request.correct ? 1 : 0;
		}
	}
	if (static_cast<double>(served) < _seen.bounds.brittleServedShare * static_cast<double>(sent))
	{
		_findings.push_back({Promise::BrittleStand, std::to_string(served) + " of " + std::to_string(sent) +
														" requests were served while servers were brittle"});
	}
}
} // namespace

void checkBrittleServers(const Observations& _seen, std::vector<Finding>& _findings)
{
	std::unordered_map<std::string, const ObservedRequest*> requests;
	for (const ObservedRequest& request : _seen.requests)
	{
		requests[request.id] = &request;
	}
	for (const BrittleSpan& span : _seen.brittleSpans)
	{
		checkBrittleSpan(_seen, span, requests, _findings);
	}
}

} // namespace beacongate::soak
