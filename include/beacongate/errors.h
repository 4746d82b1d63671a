// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Failure codes reported to callers and operators, and the exception that carries them.

#ifndef BEACONGATE_ERRORS_H
#define BEACONGATE_ERRORS_H

#include "beacongate/types.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace beacongate
{
/// Identifies a failure; failureInfo() returns its HTTP status, problem type and outcome.
enum class Failure
{
	MalformedRequest,
	BodyTooLarge,
	UnknownToken,
	UnknownService,
	UnknownModel,
	KeyInvalid,
	KeyReused,
	QueueFull,
	DeadlineTooShort,
	DeadlinePassed,
	NoBackend,
	Overloaded,
	Stopping,
	HomeUnreachable,
	HomeNotReady,
	ClaimsFull,
	StillRunning,
	BackendRefused,
	BackendLost,
	AnswerNotKept,
	OutcomeUnknown,
	Moved,
	ConfigInvalid,
	ConfigConflict,
	ConfigStale,
	StoreUnavailable,
	SettingInvalid,
	QueryInvalid,
	NoRoute,
	QuotaExceeded,
	KeyUnconfirmed,
	HeaderTooLarge,
	RequestTimeout,
	RequestBlocked,
	Internal,
};

/// Fixed properties of a failure.
struct FailureInfo
{
	std::string_view type; ///< Last part of the problem type, for example "queue-full".
	unsigned status;       ///< HTTP status.
	Outcome outcome;       ///< Outcome reported to the caller.
};

/// @returns the fixed properties of a failure.
FailureInfo failureInfo(Failure _failure);

/// Exception that carries a Failure.
class Error : public std::runtime_error
{
public:
	/// @param[in] _failure What failed.
	/// @param[in] _detail One line for a human reader: what is wrong and where.
	Error(Failure _failure, const std::string& _detail) : std::runtime_error(_detail), m_failure(_failure)
	{
	}

	/// @returns what failed.
	Failure failure() const
	{
		return m_failure;
	}

private:
	Failure m_failure;
};

} // namespace beacongate

#endif // BEACONGATE_ERRORS_H
