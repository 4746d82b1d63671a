// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How fast the engines of each service read prompts, learnt from this gateway's own requests.

#ifndef BEACONGATE_COORDINATION_ENGINEMODEL_H
#define BEACONGATE_COORDINATION_ENGINEMODEL_H

#include "beacongate/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Estimates reading speeds. Placement and the capacity plan use the same estimate.
/// @remarks What a request waits for besides its own prompt (other prompts, a slot, the way there) only makes its
/// first event later, and what it finds in a cache is not counted, so each request bounds the speed from below. The
/// estimate is a high quantile of these bounds: waits do not lower it, and a minority of wrong samples or of slow
/// engines does not move it.
class EngineModel
{
public:
	/// Until enough requests were seen, tokens a second. The slowest engines met so far read 64,200 a second.
	static constexpr double kPriorTokensPerSecond = 60'000.0;
	/// A prompt of this many tokens takes twice as long as its tokens alone, since tokens are read against all
	/// before them. Between 48,000 and 58,000 on the engines whose figures are known.
	static constexpr double kQuadraticCostTokens = 55'000.0;
	/// Requests that an estimate needs at least: a few seconds of a gateway's traffic.
	static constexpr std::size_t kSamplesNeeded = 32;
	/// Requests that an estimate is made from at most, the latest.
	static constexpr std::size_t kSamplesKept = 256;

	/// The first event of a request came.
	/// @param[in] _tokens Of its prompt, without what other requests may have left in a cache.
	/// @param[in] _waited Since it was sent.
	void onFirstEvent(const std::string& _service, std::uint64_t _tokens, Micros _waited);

	/// @returns tokens that an engine of a service reads in a second.
	double tokensPerSecond(const std::string& _service) const;

	/// @returns for how long a prompt keeps an engine of a service busy.
	double prefillSeconds(const std::string& _service, std::uint64_t _tokens) const;

	/// @returns the estimates by service.
	std::map<std::string, double> prefillSpeeds() const;

private:
	struct Sample
	{
		double tokens = 0.0; ///< With the surplus of long prompts.
		double seconds = 0.0;
	};

	struct Service
	{
		std::vector<Sample> samples; ///< A ring.
		std::size_t next = 0;
		std::size_t sinceEstimate = 0;
		double tokensPerSecond = kPriorTokensPerSecond;
	};

	static double weightedTokens(std::uint64_t _tokens);
	static double estimate(const std::vector<Sample>& _samples, double _before);

	std::map<std::string, Service> m_services;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ENGINEMODEL_H
