// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Limits retries to a share of the traffic, so that a failing data centre does not multiply its own load.

#ifndef BEACONGATE_COORDINATION_RETRYBUDGET_H
#define BEACONGATE_COORDINATION_RETRYBUDGET_H

#include <algorithm>

namespace beacongate
{
/// Token bucket that first attempts fill and retries drain.
class RetryBudget
{
public:
	/// Retries that are allowed for each first attempt.
	static constexpr double kRetriesPerAttempt = 0.2;
	/// Largest number of unused retries that accumulate, and the number at the start.
	static constexpr double kMaxBurst = 50.0;

	/// Notes a first attempt.
	void onFirstAttempt()
	{
		m_tokens = std::min(kMaxBurst, m_tokens + kRetriesPerAttempt);
	}

	/// Takes one retry out of the budget.
	/// @returns true if the budget allowed it.
	bool take()
	{
		if (m_tokens < 1.0)
		{
			return false;
		}
		m_tokens -= 1.0;
		return true;
	}

private:
	double m_tokens = kMaxBurst;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RETRYBUDGET_H
