// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Estimates how fast the engines of each service prefill prompts, from this gateway's own requests.

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
/// Estimates prefill speeds. Placement and the capacity plan use the same estimate.
/// @remarks Other causes of waiting besides the prompt itself (other prompts, a slot, the network) only delay
/// the first event, and tokens that may be cached are not counted, so each request gives a lower bound of the
/// speed. The estimate is a high quantile of these bounds: waiting does not lower it, and a minority of wrong
/// samples or of slow engines does not change it.
class EngineModel
{
public:
	/// Assumed prefill speed until enough requests were observed, in tokens a second. The slowest known engines
	/// prefill 64,200 tokens a second.
	static constexpr double kPriorTokensPerSecond = 60'000.0;
	/// Length in tokens of a prompt whose prefill takes twice as long as its tokens alone, since each token
	/// attends to all tokens before it. Known engines lie between 48,000 and 58,000.
	static constexpr double kQuadraticCostTokens = 55'000.0;
	/// Assumed length of a prompt until requests were observed.
	static constexpr double kPriorPromptTokens = 4000.0;
	/// Number of samples that an estimate needs: a few seconds of the traffic of one gateway.
	static constexpr std::size_t kSamplesNeeded = 32;
	/// Number of latest samples that an estimate is made from.
	static constexpr std::size_t kSamplesKept = 256;

	/// Number of samples that an estimate needs if all of them are of requests that hardly waited for others.
	static constexpr std::size_t kIdleSamplesNeeded = 16;

	/// Notes that the first event of a request arrived.
	/// @param[in] _tokens Tokens of its prompt, without those that other requests may have left in a cache.
	/// @param[in] _waited Time since the request was sent.
	/// @param[in] _idle The backend server stated that it was nearly idle. Once there is such a sample of a
	/// service, its other samples are ignored: in a crowd all requests wait, and the speed would be taken for
	/// several times too low.
	void onFirstEvent(const std::string& _service, std::uint64_t _tokens, Micros _waited, bool _idle = false);

	/// Notes the prompt tokens that a request is expected to have read.
	void onPlaced(const std::string& _service, std::uint64_t _tokens);

	/// Notes how long a backend server that was nearly idle took to read a whole prompt, which tells how much of it
	/// was in its cache.
	/// @param[in] _usual Time from sending to the first event, as a server of the usual speed would have taken.
	void onIdleRead(const std::string& _service, std::uint64_t _promptTokens, Micros _usual);

	/// @returns the share of prompt tokens that engines of a service have to read; 1 until it was measured.
	double readShare(const std::string& _service) const;

	/// @returns the mean number of tokens of a prompt that an engine of a service reads.
	double meanPromptTokens(const std::string& _service) const;

	/// @returns the tokens that an engine of a service prefills in a second.
	double tokensPerSecond(const std::string& _service) const;

	/// @returns the seconds for which the prefill of a prompt keeps an engine of a service busy.
	double prefillSeconds(const std::string& _service, std::uint64_t _tokens) const;

	/// @returns the estimated tokens a second by service.
	std::map<std::string, double> prefillSpeeds() const;

private:
	struct Sample
	{
		double tokens = 0.0; ///< Tokens, weighted by the quadratic cost of long prompts.
		double seconds = 0.0;
	};

	struct Service
	{
		std::vector<Sample> samples; ///< Ring buffer.
		std::size_t next = 0;
		std::size_t sinceEstimate = 0;
		double tokensPerSecond = kPriorTokensPerSecond;
		double meanPromptTokens = kPriorPromptTokens;
		double readShare = 1.0;
		bool idleOnly = false; ///< All samples are of backend servers that were nearly idle.
	};

	static double weightedTokens(std::uint64_t _tokens);
	static double estimate(const std::vector<Sample>& _samples, double _previous);

	std::map<std::string, Service> m_services;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ENGINEMODEL_H
