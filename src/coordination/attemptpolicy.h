// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides what happens to a request after an attempt at a backend server ended without an answer for the
/// caller.

#ifndef BEACONGATE_COORDINATION_ATTEMPTPOLICY_H
#define BEACONGATE_COORDINATION_ATTEMPTPOLICY_H

#include "beacongate/types.h"

#include <string_view>

namespace beacongate
{
/// How an attempt ended.
enum class AttemptResult
{
	NotSent,     ///< No byte of the request was sent.
	Rejected,    ///< The backend server answered that it did not run the request.
	Misdirected, ///< Another backend server has the address; the request did not run.
	ServerError, ///< A complete answer of the backend server reports an error of its own.
	Broken,      ///< The connection ended early, or the answer is malformed.
};

/// @returns the name used in logs and metrics.
constexpr std::string_view toString(AttemptResult _result)
{
	switch (_result)
	{
	case AttemptResult::NotSent:
		return "not-sent";
	case AttemptResult::Rejected:
		return "rejected";
	case AttemptResult::Misdirected:
		return "misdirected";
	case AttemptResult::ServerError:
		return "server-error";
	case AttemptResult::Broken:
		return "broken";
	}
	return "broken";
}

/// State of a request that the decision after an attempt depends on.
struct AttemptContext
{
	bool repeatable = false;     ///< The request is safe to run more than once.
	bool mayHaveRun = false;     ///< An earlier attempt may have run.
	bool mayCrash = false;       ///< Two backend servers may have crashed under it, see CrashLedger.
	unsigned sent = 0;           ///< Backend servers that the request was sent to.
	unsigned maxAttempts = 1;    ///< Backend servers that it may be sent to.
	unsigned unsentTries = 0;    ///< Attempts that ended before a byte was sent, without those that were refused.
	unsigned refusedTries = 0;   ///< Attempts whose connection was refused.
	bool budgetAllows = false;   ///< The shared retry budget allows a retry.
	bool anotherBackend = false; ///< Another backend server is available.
	bool timeLeft = false;       ///< The deadline leaves time for another attempt.
};

/// Decision after an attempt ended.
enum class AttemptDecision
{
	Retry,         ///< Send it to another backend server.
	PassAnswer,    ///< Forward the backend server's own answer to the caller.
	AnswerNotRun,  ///< Answer that the request did not run and will not run.
	AnswerUnknown, ///< Answer that the request failed and may have run.
};

/// @returns the name used in logs.
constexpr std::string_view toString(AttemptDecision _decision)
{
	switch (_decision)
	{
	case AttemptDecision::Retry:
		return "retry";
	case AttemptDecision::PassAnswer:
		return "pass-answer";
	case AttemptDecision::AnswerNotRun:
		return "answer-not-run";
	case AttemptDecision::AnswerUnknown:
		return "answer-unknown";
	}
	return "answer-unknown";
}

/// Attempts without a connection after which a request is given up.
inline constexpr unsigned kMaxUnsentTries = 4;
/// Refused connections after which a request is given up. A refusal takes a round trip, and a server that refused
/// one is not tried again for a while, so that more of them are allowed than attempts that wait for their timeout.
inline constexpr unsigned kMaxRefusedTries = 16;

/// @returns true if an attempt with this result may have run the request.
constexpr bool mayHaveRunAfter(AttemptResult _result)
{
	return _result == AttemptResult::ServerError || _result == AttemptResult::Broken;
}

/// Decides what to do after an attempt ended. A request that is not repeatable is sent again only if no attempt
/// can have run it. A request that may have crashed two backend servers is left to its caller.
constexpr AttemptDecision decideAfterAttempt(AttemptResult _result, const AttemptContext& _context)
{
	const bool mayHaveRun = _context.mayHaveRun || mayHaveRunAfter(_result);
	const bool safeToRepeat = _context.repeatable || !mayHaveRun;
	const bool unsent = _result == AttemptResult::NotSent;
	const bool connectsLeft = _context.unsentTries < kMaxUnsentTries && _context.refusedTries < kMaxRefusedTries;
	const bool triesLeft = unsent ? connectsLeft : _context.sent < _context.maxAttempts;
	const bool needsBudget = _context.sent > 0;
	const bool allowed = !needsBudget || _context.budgetAllows;
	if (safeToRepeat && !_context.mayCrash && triesLeft && allowed && _context.anotherBackend && _context.timeLeft)
	{
		return AttemptDecision::Retry;
	}
	if (_result == AttemptResult::ServerError)
	{
		return AttemptDecision::PassAnswer;
	}
	return mayHaveRun ? AttemptDecision::AnswerUnknown : AttemptDecision::AnswerNotRun;
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ATTEMPTPOLICY_H
