// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps retries to a share of the traffic, so that a failing data centre does not
/// multiply its own load.

#ifndef BEACONGATE_COORDINATION_RETRYBUDGET_H
#define BEACONGATE_COORDINATION_RETRYBUDGET_H

#include <algorithm>

namespace beacongate
{
/// Token bucket that first attempts fill and retries empty.
class RetryBudget
{
public:
	/// Share of first attempts that may be retried.
	static constexpr double kShare = 0.2;
	/// Retries that are allowed at once after a quiet time.
	static constexpr double kBurst = 50.0;

	/// Notes a first attempt.
	void onFirstAttempt()
	{
		m_tokens = std::min(kBurst, m_tokens + kShare);
	}

	/// Takes one retry out of the budget.
	/// @returns whether the budget allowed it.
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
	double m_tokens = kBurst;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RETRYBUDGET_H
