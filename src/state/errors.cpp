// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "beacongate/errors.h"

namespace beacongate
{
FailureInfo failureInfo(Failure _failure)
{
	switch (_failure)
	{
	case Failure::MalformedRequest:
		return {"malformed-request", 400, Outcome::NotRun};
	case Failure::BodyTooLarge:
		return {"body-too-large", 413, Outcome::NotRun};
	case Failure::UnknownToken:
		return {"unknown-token", 401, Outcome::NotRun};
	case Failure::UnknownService:
		return {"unknown-service", 404, Outcome::NotRun};
	case Failure::UnknownModel:
		return {"unknown-model", 404, Outcome::NotRun};
	case Failure::KeyInvalid:
		return {"key-invalid", 400, Outcome::NotRun};
	case Failure::KeyReused:
		return {"key-reused", 422, Outcome::NotRun};
	case Failure::QueueFull:
		return {"queue-full", 429, Outcome::NotRun};
	case Failure::DeadlineTooShort:
		return {"deadline-too-short", 503, Outcome::NotRun};
	case Failure::DeadlinePassed:
		return {"deadline-passed", 504, Outcome::NotRun};
	case Failure::NoBackend:
		return {"no-backend", 503, Outcome::NotRun};
	case Failure::Overloaded:
		return {"overloaded", 503, Outcome::NotRun};
	case Failure::Stopping:
		return {"stopping", 503, Outcome::NotRun};
	case Failure::HomeUnreachable:
		return {"home-unreachable", 503, Outcome::NotRun};
	case Failure::HomeNotReady:
		return {"home-not-ready", 503, Outcome::NotRun};
	case Failure::ClaimsFull:
		return {"claims-full", 503, Outcome::NotRun};
	case Failure::StillRunning:
		return {"still-running", 409, Outcome::Unknown};
	case Failure::BackendRefused:
		return {"backend-refused", 502, Outcome::NotRun};
	case Failure::BackendLost:
		return {"backend-lost", 502, Outcome::Unknown};
	case Failure::AnswerNotKept:
		return {"answer-not-kept", 410, Outcome::Done};
	case Failure::OutcomeUnknown:
		return {"outcome-unknown", 502, Outcome::Unknown};
	case Failure::Moved:
		return {"moved", 503, Outcome::Unknown};
	case Failure::ConfigInvalid:
		return {"config-invalid", 422, Outcome::NotRun};
	case Failure::ConfigConflict:
		return {"config-conflict", 409, Outcome::NotRun};
	case Failure::ConfigStale:
		return {"config-stale", 409, Outcome::NotRun};
	case Failure::StoreUnavailable:
		return {"store-unavailable", 503, Outcome::NotRun};
	case Failure::SettingInvalid:
		return {"setting-invalid", 400, Outcome::NotRun};
	case Failure::QueryInvalid:
		return {"query-invalid", 400, Outcome::NotRun};
	case Failure::NoRoute:
		return {"no-route", 404, Outcome::NotRun};
	case Failure::QuotaExceeded:
		return {"quota-exceeded", 429, Outcome::NotRun};
	case Failure::KeyUnconfirmed:
		return {"key-unconfirmed", 503, Outcome::NotRun};
	case Failure::HeaderTooLarge:
		return {"header-too-large", 431, Outcome::NotRun};
	case Failure::RequestTimeout:
		return {"request-timeout", 408, Outcome::NotRun};
	case Failure::RequestBlocked:
		return {"request-crashes-servers", 400, Outcome::Unknown};
	case Failure::Internal:
		return {"internal", 500, Outcome::Unknown};
	}
	return {"internal", 500, Outcome::Unknown};
}

} // namespace beacongate
