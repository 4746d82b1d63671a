// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/quotacheck.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace beacongate::soak
{
namespace
{
constexpr unsigned kTooMany = 429;
constexpr double kBelowShare = 0.8;        ///< Share of a limit up to which a team is certainly below it.
constexpr Micros kLookBack = 10 * kSecond; ///< Span in which the team has to have been below it.

/// An amount of requests or tokens at a time.
struct TimedAmount
{
	Micros at = 0;
	double amount = 0.0;
};

/// All limits of one team during a soak.
class Limits
{
public:
	Limits(const Observations& _seen, const std::string& _team) : m_seen(_seen)
	{
		for (const TeamLimit& limit : _seen.limits)
		{
			if (limit.team == _team)
			{
				m_limits.push_back({limit, inForceUntil(limit.until)});
			}
		}
	}

	bool countsTokens() const
	{
		return m_limits.front().limit.countsTokens;
	}

	/// @returns the largest amount that may run in a window.
	double tolerated(Micros _from, Micros _until) const
	{
		double most = 0.0;
		for (const Entry& entry : m_limits)
		{
			if (entry.limit.from <= _until && entry.inForceUntil > _from)
			{
				const double given =
					entry.limit.ratePerSecond * secondsOf(m_seen.bounds.quotaWindow) + entry.limit.burst;
				most = std::max(most, given * (1.0 + m_seen.bounds.quotaTolerance) + entry.limit.slack);
			}
		}
		return most;
	}

	/// @returns the smallest limit that any gateway may have applied in a span.
	TeamLimit smallest(Micros _from, Micros _until) const
	{
		TeamLimit smallest = m_limits.back().limit;
		double least = kNoLimit;
		for (const Entry& entry : m_limits)
		{
			const bool counts = entry.limit.from <= _until && entry.inForceUntil > _from;
			if (counts && entry.limit.ratePerSecond < least)
			{
				least = entry.limit.ratePerSecond;
				smallest = entry.limit;
			}
		}
		return smallest;
	}

private:
	static constexpr double kNoLimit = 1e30;

	struct Entry
	{
		TeamLimit limit;
		Micros inForceUntil = kNever;
	};

	/// @returns when a replaced limit has certainly ceased to apply at all gateways.
	Micros inForceUntil(Micros _replaced) const
	{
		if (_replaced == kNever)
		{
			return kNever;
		}
		std::set<std::optional<unsigned>> disturbed{std::nullopt};
		for (const Disruption& disruption : m_seen.disruptions)
		{
			disturbed.insert(disruption.gateway);
		}
		Micros inForce = _replaced;
		for (const std::optional<unsigned>& gateway : disturbed)
		{
			inForce = std::max(inForce, inForceUntil(_replaced, gateway));
		}
		return inForce;
	}

	/// @param[in] _gateway Empty for gateways that are affected only by disruptions of all gateways.
	/// @returns when a gateway has been undisturbed for as long as applying a configuration may take.
	Micros inForceUntil(Micros _replaced, const std::optional<unsigned>& _gateway) const
	{
		Micros inForce = _replaced + m_seen.bounds.configApply;
		for (bool again = true; again;)
		{
			again = false;
			for (const Disruption& disruption : m_seen.disruptions)
			{
				const bool affects = !disruption.gateway || disruption.gateway == _gateway;
				const Micros recovered = disruption.until == kNever
											 ? kNever
											 : disruption.until + m_seen.bounds.contact + m_seen.bounds.configApply;
				if (affects && !disruption.backendOnly && disruption.from <= inForce && recovered > inForce)
				{
					inForce = recovered;
					again = true;
				}
			}
		}
		return inForce;
	}

	const Observations& m_seen;
	std::vector<Entry> m_limits;
};

/// Finds the window with the largest ratio of run to tolerated amount.
void findPeakWindow(TeamUsage& _use, std::vector<TimedAmount> _runs, const Limits& _limits, Micros _window,
					Micros _first)
{
	std::sort(_runs.begin(), _runs.end(),
			  [](const TimedAmount& _left, const TimedAmount& _right) { return _left.at < _right.at; });
	double sum = 0.0;
	std::size_t first = 0;
	for (const TimedAmount& run : _runs)
	{
		sum += run.amount;
		for (; _runs[first].at <= run.at - _window; ++first)
		{
			sum -= _runs[first].amount;
		}
		const double tolerated = _limits.tolerated(run.at - _window, run.at);
		if (_use.tolerated <= 0.0 || sum / tolerated > _use.peak / _use.tolerated)
		{
			_use.peak = sum;
			_use.tolerated = tolerated;
			_use.peakUntil = run.at - _first;
		}
	}
}

/// @param[in] _asked Amounts asked for, in order of time; those after the decision are ignored.
/// @returns true if the amount asked for in every span up to kLookBack that ends with the decision is below the
/// limit.
bool isBelow(const std::vector<TimedAmount>& _asked, const TeamLimit& _limit, Micros _decided)
{
	const auto later = [](Micros _moment, const TimedAmount& _amount)
	{
		return _moment < _amount.at;
	};
	double sum = 0.0;
	auto it = std::upper_bound(_asked.begin(), _asked.end(), _decided, later);
	while (it != _asked.begin())
	{
		--it;
		if (it->at < _decided - kLookBack)
		{
			return true;
		}
		sum += it->amount;
		if (sum > kBelowShare * (_limit.ratePerSecond * secondsOf(_decided - it->at) + _limit.burst))
		{
			return false;
		}
	}
	return true;
}

/// @returns true if no gateway was disturbed in a span.
bool allUndisturbed(const Observations& _seen, Micros _from, Micros _until)
{
	const auto disturbs = [&](const Disruption& _disruption)
	{
		return !_disruption.backendOnly && _disruption.from <= _until && _disruption.until >= _from;
	};
	const auto stops = [&](const PlannedStop& _stop)
	{
		return _stop.requested <= _until && _stop.ended >= _from;
	};
	return std::none_of(_seen.disruptions.begin(), _seen.disruptions.end(), disturbs) &&
		   std::none_of(_seen.stops.begin(), _seen.stops.end(), stops);
}

void countRefused(TeamUsage& _use, std::vector<const ObservedRequest*> _requests, const Limits& _limits,
				  const Observations& _seen)
{
	const Bounds& bounds = _seen.bounds;
	std::sort(_requests.begin(), _requests.end(),
			  [](const ObservedRequest* _left, const ObservedRequest* _right)
			  { return _left->sent < _right->sent; });
	std::vector<TimedAmount> asked;
	asked.reserve(_requests.size());
	for (const ObservedRequest* request : _requests)
	{
		asked.push_back({request->sent, _limits.countsTokens() ? request->tokens : 1.0});
	}
	for (const ObservedRequest* request : _requests)
	{
		const TeamLimit limit = _limits.smallest(request->sent - kLookBack - bounds.configApply, request->ended);
		const bool below = isBelow(asked, limit, request->ended);
		const bool refused = request->status == kTooMany;
		++_use.asked;
		_use.refused += refused ? 1 : 0;
		_use.askedBelow += below ? 1 : 0;
		if (below && refused)
		{
			++_use.refusedBelow;
			// The first requests meet gateways that have just started, which counts as a disturbance.
			const bool started = request->sent >= _requests.front()->sent + bounds.contact;
			if (started && allUndisturbed(_seen, request->sent - bounds.contact, request->ended))
			{
				_use.refusedUndisturbed.push_back(request->id);
			}
		}
	}
}
} // namespace

std::vector<TeamUsage> usageOf(const Observations& _seen)
{
	std::map<std::string, std::vector<const ObservedRequest*>> requests;
	std::map<std::string, const ObservedRequest*> byId;
	for (const ObservedRequest& request : _seen.requests)
	{
		requests[request.team].push_back(&request);
		byId[request.id] = &request;
	}
	Micros first = kNever;
	for (const ObservedRun& run : _seen.runs)
	{
		first = std::min(first, run.began);
	}
	std::set<std::string> teams;
	for (const TeamLimit& limit : _seen.limits)
	{
		teams.insert(limit.team);
	}
	std::vector<TeamUsage> uses;
	for (const std::string& team : teams)
	{
		const Limits limits(_seen, team);
		std::vector<TimedAmount> runs;
		for (const ObservedRun& run : _seen.runs)
		{
			const auto request = byId.find(run.id);
			if (run.team == team && request != byId.end())
			{
				runs.push_back({run.began, limits.countsTokens() ? request->second->tokens : 1.0});
			}
		}
		TeamUsage use;
		use.team = team;
		findPeakWindow(use, std::move(runs), limits, _seen.bounds.quotaWindow, first);
		countRefused(use, requests[team], limits, _seen);
		uses.push_back(use);
	}
	return uses;
}

} // namespace beacongate::soak
