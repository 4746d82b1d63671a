// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/checker.h"

#include "soak/answercheck.h"
#include "soak/crashcheck.h"
#include "soak/quotacheck.h"

#include <algorithm>
#include <map>
#include <set>

namespace beacongate::soak
{
namespace
{
constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;
constexpr double kServedShare = 0.9; ///< Least share of requests served after the last disruption.
constexpr std::size_t kEnoughRequests = 10;
/// Largest share of the requests of teams below their limits that may be refused over a whole run, disturbed
/// gateways included.
constexpr double kMaxRefusedBelow = 0.05;
/// The configuration version that removes a key adds another, and the two times are recorded one after the other.
/// Times closer than this belong to one version, since two versions are always further apart.
constexpr Micros kSameVersionSpan = 10 * kMillisecond;

bool promisesNotRun(unsigned _status)
{
	const std::set<unsigned> promises{408, 421, 429, 503};
	return promises.count(_status) > 0;
}

std::string millis(Micros _span)
{
	return std::to_string(_span / kMillisecond) + " ms";
}

/// Indexes the recorded runs, requests and disruptions of a soak.
class RunIndex
{
public:
	explicit RunIndex(const Observations& _seen) : m_seen(_seen)
	{
		for (const ObservedRun& run : _seen.runs)
		{
			m_runs[run.id].push_back(&run);
		}
		for (const ObservedRequest& request : _seen.requests)
		{
			m_requests[request.id] = &request;
		}
	}

	/// @returns the runs of a request.
	const std::vector<const ObservedRun*>& runsOf(const std::string& _id) const
	{
		static const std::vector<const ObservedRun*> s_none;
		const auto it = m_runs.find(_id);
		return it == m_runs.end() ? s_none : it->second;
	}

	/// @returns the request with an id, or nullptr.
	const ObservedRequest* findRequest(const std::string& _id) const
	{
		const auto it = m_requests.find(_id);
		return it == m_requests.end() ? nullptr : it->second;
	}

	/// @param[in] _backends True if faults of backend servers count as well.
	/// @returns true if no disruption affected a gateway in a span.
	bool undisturbed(unsigned _gateway, Micros _from, Micros _until, bool _backends) const
	{
		return std::none_of(m_seen.disruptions.begin(), m_seen.disruptions.end(),
							[&](const Disruption& _disruption)
							{
								const bool ofGateway = !_disruption.gateway || *_disruption.gateway == _gateway;
								const bool affects = ofGateway && (_backends || !_disruption.backendOnly);
								return affects && _disruption.from <= _until && _disruption.until >= _from;
							});
	}

private:
	const Observations& m_seen;
	std::map<std::string, std::vector<const ObservedRun*>> m_runs;
	std::map<std::string, const ObservedRequest*> m_requests;
};

using Findings = std::vector<Finding>;

void checkQuotas(const Observations& _seen, Findings& _findings)
{
	std::size_t asked = 0;
	std::size_t refused = 0;
	for (const TeamUsage& use : usageOf(_seen))
	{
		if (use.peak > use.tolerated)
		{
			_findings.push_back({Promise::QuotaKept, "team " + use.team + " ran " + std::to_string(use.peak) +
														 " of " + std::to_string(use.tolerated) +
														 " in the window until " + millis(use.peakUntil)});
		}
		if (!use.refusedUndisturbed.empty())
		{
			_findings.push_back(
				{Promise::ServedBelowLimit,
				 "team " + use.team + " was refused " + std::to_string(use.refusedUndisturbed.size()) +
					 " requests while it asked for less than its limit and no gateway was disturbed, "
					 "the first " +
					 use.refusedUndisturbed.front()});
		}
		asked += use.askedBelow;
		refused += use.refusedBelow;
	}
	// A gateway that hears from no other one, since they are paused, grants no more than its equal share.
	if (static_cast<double>(refused) > kMaxRefusedBelow * static_cast<double>(asked))
	{
		_findings.push_back({Promise::ServedBelowLimit,
							 "teams were refused " + std::to_string(refused) + " of " + std::to_string(asked) +
								 " requests while they asked for less than their limits"});
	}
}

void checkAnswers(const Observations& _seen, Findings& _findings)
{
	for (const ObservedRequest& request : _seen.requests)
	{
		const bool success = request.status >= kOk && request.status < 300;
		if (success && request.complete && !request.correct)
		{
			_findings.push_back(
				{Promise::OwnWholeAnswer, "request " + request.id + " got a wrong or partial answer"});
		}
	}
}

void checkRuns(const Observations& _seen, const RunIndex& _index, Findings& _findings)
{
	for (const ObservedRequest& request : _seen.requests)
	{
		const std::size_t runs = _index.runsOf(request.id).size();
		if (!isRepeatable(request.kind) && runs > 1)
		{
			_findings.push_back(
				{Promise::AtMostOnce, "request " + request.id + " ran " + std::to_string(runs) + " times"});
		}
		// A service under admission refuses no request that was sent before, also if it may be repeated.
		const bool refusedUnrun = !isRepeatable(request.kind) || !_seen.capacities.empty();
		if (refusedUnrun && promisesNotRun(request.status) && runs > 0)
		{
			_findings.push_back(
				{Promise::NotRun, "request " + request.id + " ran and got " + std::to_string(request.status)});
		}
	}
}

void checkDepartures(const Observations& _seen, const RunIndex& _index, Findings& _findings)
{
	std::map<std::string, Micros> departed;
	for (const Departure& departure : _seen.departures)
	{
		departed.emplace(departure.backend, departure.acknowledged);
	}
	for (const ObservedRun& run : _seen.runs)
	{
		const auto left = departed.find(run.backend);
		const ObservedRequest* request = _index.findRequest(run.id);
		if (left == departed.end() || !request || run.began <= left->second + _seen.bounds.drain)
		{
			continue;
		}
		if (_index.undisturbed(request->gateway, left->second - _seen.bounds.contact, run.began, false))
		{
			_findings.push_back({Promise::NoWorkForLeaving, "backend " + run.backend + " got " + run.id + " " +
																millis(run.began - left->second) +
																" after it left"});
		}
	}
}

void checkStops(const Observations& _seen, const RunIndex& _index, Findings& _findings)
{
	for (const PlannedStop& stop : _seen.stops)
	{
		for (const ObservedRequest& request : _seen.requests)
		{
			const bool accepted = request.gateway == stop.gateway && request.start == stop.start &&
								  request.ended >= stop.requested &&
								  request.sent <= stop.requested + _seen.bounds.acceptSpan;
			const bool cut = request.connected && !request.abandoned && !request.complete;
			if (accepted && cut &&
				_index.undisturbed(stop.gateway, request.sent - _seen.bounds.contact, request.ended, true))
			{
				_findings.push_back({Promise::PlannedStopCuts, "request " + request.id + " was aborted " +
																   millis(request.ended - stop.requested) +
																   " after its gateway was asked to stop"});
			}
		}
	}
}

void checkKey(const Observations& _seen, const RunIndex& _index, const KeyLifetime& _key, Findings& _findings)
{
	for (const ObservedRequest& request : _seen.requests)
	{
		if (request.key != _key.key)
		{
			continue;
		}
		const bool inForce = request.sent > _key.added + _seen.bounds.configApply && request.ended < _key.removed;
		const bool wrong = inForce && request.status == kUnauthorized;
		if (wrong && _index.undisturbed(request.gateway, request.sent - _seen.bounds.contact, request.ended, false))
		{
			_findings.push_back({Promise::ConfigInForce, "request " + request.id + ": key refused " +
															 millis(request.sent - _key.added) +
															 " after it was added"});
		}
		const auto& runs = _index.runsOf(request.id);
		if (_key.removed != kNever && request.sent > _key.removed + _seen.bounds.revocation && !runs.empty())
		{
			_findings.push_back({Promise::RevocationInForce, "request " + request.id + " ran with a key removed " +
																 millis(request.sent - _key.removed) + " before"});
		}
	}
}

/// A gateway's process: the gateway's number and the ordinal of the process start.
using Process = std::pair<unsigned, std::uint64_t>;

/// @returns when each process was first known to have the configuration version that removed a key: it refused that
/// key after it had run a request with it, or it ran a request with a key that this version or a later one added. A
/// refusal alone may come from a version before the one that added the key.
std::map<Process, Micros> removalSeenAt(const Observations& _seen, const RunIndex& _index, const KeyLifetime& _key)
{
	std::set<std::string> later;
	for (const KeyLifetime& other : _seen.keys)
	{
		if (other.added >= _key.removed - kSameVersionSpan)
		{
			later.insert(other.key);
		}
	}
	std::map<Process, Micros> firstRun;
	std::map<Process, Micros> seen;
	const auto note = [](std::map<Process, Micros>& _moments, const ObservedRequest& _request)
	{
		Micros& first = _moments.try_emplace({_request.gateway, _request.start}, _request.ended).first->second;
		first = std::min(first, _request.ended);
	};
	for (const ObservedRequest& request : _seen.requests)
	{
		const bool ran = !_index.runsOf(request.id).empty();
		if (ran && request.key == _key.key)
		{
			note(firstRun, request);
		}
		if (ran && later.count(request.key))
		{
			note(seen, request);
		}
	}
	for (const ObservedRequest& request : _seen.requests)
	{
		const auto run = firstRun.find({request.gateway, request.start});
		const bool refused =
			request.key == _key.key && request.status == kUnauthorized && request.sent > _key.removed;
		if (refused && run != firstRun.end() && run->second <= request.sent)
		{
			note(seen, request);
		}
	}
	return seen;
}

void checkRemovedKey(const Observations& _seen, const RunIndex& _index, const KeyLifetime& _key,
					 Findings& _findings)
{
	if (_key.removed == kNever)
	{
		return;
	}
	const std::map<Process, Micros> seen = removalSeenAt(_seen, _index, _key);
	for (const ObservedRequest& request : _seen.requests)
	{
		const auto first = seen.find({request.gateway, request.start});
		const bool again = request.key == _key.key && first != seen.end() && request.sent > first->second;
		if (again && !_index.runsOf(request.id).empty())
		{
			_findings.push_back(
				{Promise::ConfigNeverBack,
				 "request " + request.id + " ran with a key whose removal its gateway already knew"});
		}
	}
}

void checkReports(const Observations& _seen, Findings& _findings)
{
	std::map<std::string, std::string> counts;
	std::map<std::uint64_t, std::string> holders;
	std::uint64_t highest = 0;
	for (const UsageReport& report : _seen.reports)
	{
		if (counts.try_emplace(report.window, report.counts).first->second != report.counts)
		{
			_findings.push_back({Promise::OneReportAWindow,
								 "window " + report.window + " was reported twice with different counts"});
		}
		const bool another = holders.try_emplace(report.fence, report.holder).first->second != report.holder;
		if (another || report.fence < highest)
		{
			_findings.push_back(
				{Promise::OneHolder, "fence " + std::to_string(report.fence) + " of " + report.holder});
		}
		highest = std::max(highest, report.fence);
	}
}

void checkRecovery(const Observations& _seen, Findings& _findings)
{
	std::size_t asked = 0;
	std::size_t served = 0;
	for (const ObservedRequest& request : _seen.requests)
	{
		// Refusals of teams with limits are checked by checkQuotas().
		const bool unlimited = request.team.empty();
		if (unlimited && request.sent >= _seen.settled && !request.abandoned && request.status != kUnauthorized)
		{
			++asked;
			served += request.status == kOk && request.complete ? 1 : 0;
		}
	}
	const bool enough = asked >= kEnoughRequests;
	if (_seen.settled != kNever &&
		(!enough || static_cast<double>(served) < kServedShare * static_cast<double>(asked)))
	{
		_findings.push_back(
			{Promise::ServesAgain, "served " + std::to_string(served) + " of " + std::to_string(asked)});
	}
}

/// Counts requests sent while the load of the window before and of the one after was far below the capacity.
void checkLowLoad(const Observations& _seen, const RunIndex& _index, const ServedCapacity& _capacity,
				  Findings& _findings)
{
	const Micros window = _seen.bounds.loadWindow;
	std::map<Micros, double> loads;
	for (const ObservedRequest& request : _seen.requests)
	{
		if (isStream(request.kind) == _capacity.streams)
		{
			loads[request.sent / window] += _capacity.streams ? request.tokens : 1.0;
		}
	}
	const double most = _seen.bounds.lowLoadShare * _capacity.perSecond * secondsOf(window);
	const auto isLow = [&](Micros _window)
	{
		const auto load = loads.find(_window);
		return load == loads.end() || load->second < most;
	};
	std::size_t asked = 0;
	std::size_t served = 0;
	for (const ObservedRequest& request : _seen.requests)
	{
		const Micros at = request.sent / window;
		const bool counts =
			isStream(request.kind) == _capacity.streams && isLow(at - 1) && isLow(at) && isLow(at + 1);
		if (counts && !request.abandoned && request.status != kUnauthorized &&
			_index.undisturbed(request.gateway, request.sent - _seen.bounds.contact, request.ended, true))
		{
			++asked;
			served += request.status == kOk && request.complete ? 1 : 0;
		}
	}
	const double least = _seen.bounds.lowLoadServedShare * static_cast<double>(asked);
	if (asked < kEnoughRequests || static_cast<double>(served) < least)
	{
		_findings.push_back({Promise::ServedAtLowLoad, std::to_string(served) + " of " + std::to_string(asked) +
														   (_capacity.streams ? " streams" : " calls") +
														   " were served at a low load"});
	}
}
} // namespace

const char* toString(Promise _promise)
{
	switch (_promise)
	{
	case Promise::OwnWholeAnswer:
		return "own-whole-answer";
	case Promise::AtMostOnce:
		return "at-most-once";
	case Promise::NotRun:
		return "not-run";
	case Promise::NoWorkForLeaving:
		return "no-work-for-leaving";
	case Promise::PlannedStopCuts:
		return "planned-stop-cuts";
	case Promise::ConfigInForce:
		return "config-in-force";
	case Promise::ConfigNeverBack:
		return "config-never-back";
	case Promise::RevocationInForce:
		return "revocation-in-force";
	case Promise::OneReportAWindow:
		return "one-report-a-window";
	case Promise::OneHolder:
		return "one-holder";
	case Promise::ProcessLives:
		return "process-lives";
	case Promise::ServesAgain:
		return "serves-again";
	case Promise::QuotaKept:
		return "quota-kept";
	case Promise::BackoffKept:
		return "backoff-kept";
	case Promise::LeavingHeard:
		return "leaving-heard";
	case Promise::ServedBelowLimit:
		return "served-below-limit";
	case Promise::CrashingStopped:
		return "crashing-stopped";
	case Promise::ServedBesideCrash:
		return "served-beside-crash";
	case Promise::ServedAtLowLoad:
		return "served-at-low-load";
	case Promise::BrittleStand:
		return "brittle-stand";
	case Promise::ServerLimitKept:
		return "server-limit-kept";
	}
	return "unknown";
}

std::vector<Finding> check(const Observations& _seen)
{
	const RunIndex index(_seen);
	Findings findings;
	checkAnswers(_seen, findings);
	checkRuns(_seen, index, findings);
	checkDepartures(_seen, index, findings);
	checkStops(_seen, index, findings);
	for (const KeyLifetime& key : _seen.keys)
	{
		checkKey(_seen, index, key, findings);
		checkRemovedKey(_seen, index, key, findings);
	}
	checkReports(_seen, findings);
	for (const std::string& name : _seen.unexpectedExits)
	{
		findings.push_back({Promise::ProcessLives, name});
	}
	checkRecovery(_seen, findings);
	checkAnswersFollowed(_seen, findings);
	checkQuotas(_seen, findings);
	checkCrashes(_seen, findings);
	checkServerLimits(_seen, findings);
	checkBrittleServers(_seen, findings);
	for (const ServedCapacity& capacity : _seen.capacities)
	{
		checkLowLoad(_seen, index, capacity, findings);
	}
	return findings;
}

} // namespace beacongate::soak
