// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/enginemodel.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Samples between two estimates, since each one sorts all samples that are kept.
constexpr std::size_t kSamplesPerEstimate = 16;
constexpr std::size_t kIdleSamplesPerEstimate = 8;
/// Weight of a new prompt in the mean length: a mean over some seconds of the requests of one gateway.
constexpr double kPromptWeight = 0.02;
/// Length from which a prompt tells how much of it was in a cache.
constexpr std::uint64_t kMinShareTokens = 2000;
/// Quantile of the waits of short prompts that is taken as the delay without prefill.
constexpr double kBaseDelayQuantile = 0.1;
/// Quantile of the bounds from long prompts; a fifth of them may be too high.
constexpr double kSpeedQuantile = 0.8;
/// Largest ratio of estimate and prior in either direction; samples beyond it are not trusted.
constexpr double kMaxPriorRatio = 16.0;

double quantileOf(std::vector<double> _values, double _share)
{
	const auto rank = static_cast<std::ptrdiff_t>(_share * static_cast<double>(_values.size() - 1));
	std::nth_element(_values.begin(), _values.begin() + rank, _values.end());
	return _values[static_cast<std::size_t>(rank)];
}
} // namespace

double EngineModel::weightedTokens(std::uint64_t _tokens)
{
	const auto tokens = static_cast<double>(_tokens);
	return tokens * (1.0 + tokens / kQuadraticCostTokens);
}

void EngineModel::onFirstEvent(const std::string& _service, std::uint64_t _tokens, Micros _waited, bool _idle)
{
	if (_tokens == 0 || _waited <= 0)
	{
		return;
	}
	Service& service = m_services[_service];
	if (_idle && !service.idleOnly)
	{
		service.idleOnly = true;
		service.samples.clear();
		service.next = 0;
	}
	if (service.idleOnly && !_idle)
	{
		return;
	}
	const Sample sample{weightedTokens(_tokens), secondsOf(_waited)};
	if (service.samples.size() < kSamplesKept)
	{
		service.samples.push_back(sample);
	}
	else
	{
		service.samples[service.next] = sample;
		service.next = (service.next + 1) % kSamplesKept;
	}
	++service.sinceEstimate;
	const std::size_t needed = service.idleOnly ? kIdleSamplesNeeded : kSamplesNeeded;
	const std::size_t interval = service.idleOnly ? kIdleSamplesPerEstimate : kSamplesPerEstimate;
	if (service.samples.size() >= needed && service.sinceEstimate >= interval)
	{
		service.sinceEstimate = 0;
		service.tokensPerSecond = estimate(service.samples, service.tokensPerSecond);
	}
}

double EngineModel::estimate(const std::vector<Sample>& _samples, double _previous)
{
	std::vector<Sample> sorted = _samples;
	std::sort(sorted.begin(), sorted.end(),
			  [](const Sample& _left, const Sample& _right) { return _left.tokens < _right.tokens; });
	const std::size_t quarter = sorted.size() / 4;
	std::vector<double> shortWaits;
	double shortTokens = 0.0;
	for (std::size_t index = 0; index < quarter; ++index)
	{
		shortWaits.push_back(sorted[index].seconds);
		shortTokens += sorted[index].tokens / static_cast<double>(quarter);
	}
	const double baseDelay = quantileOf(std::move(shortWaits), kBaseDelayQuantile);
	std::vector<double> bounds;
	for (std::size_t index = sorted.size() - quarter; index < sorted.size(); ++index)
	{
		const double tokens = sorted[index].tokens - shortTokens;
		const double seconds = sorted[index].seconds - baseDelay;
		if (tokens > 0.0 && seconds > 0.0)
		{
			bounds.push_back(tokens / seconds);
		}
	}
	if (bounds.size() < quarter / 2 || bounds.empty())
	{
		// The prompts are of about the same length or were cached, so that these samples give no estimate.
		return _previous;
	}
	return std::clamp(quantileOf(std::move(bounds), kSpeedQuantile), kPriorTokensPerSecond / kMaxPriorRatio,
					  kPriorTokensPerSecond * kMaxPriorRatio);
}

void EngineModel::onPlaced(const std::string& _service, std::uint64_t _tokens)
{
	double& mean = m_services[_service].meanPromptTokens;
	mean += kPromptWeight * (static_cast<double>(_tokens) - mean);
}

void EngineModel::onIdleRead(const std::string& _service, std::uint64_t _promptTokens, Micros _usual)
{
	Service& service = m_services[_service];
	// The time of a short prompt is mostly that of the network and of the first token.
	if (_promptTokens < kMinShareTokens || service.samples.size() < kIdleSamplesNeeded)
	{
		return;
	}
	const double share = secondsOf(_usual) * service.tokensPerSecond / weightedTokens(_promptTokens);
	service.readShare += kPromptWeight * (std::clamp(share, 0.0, 1.0) - service.readShare);
}

double EngineModel::readShare(const std::string& _service) const
{
	const auto it = m_services.find(_service);
	return it == m_services.end() ? 1.0 : it->second.readShare;
}

double EngineModel::meanPromptTokens(const std::string& _service) const
{
	const auto it = m_services.find(_service);
	return it == m_services.end() ? kPriorPromptTokens : it->second.meanPromptTokens;
}

double EngineModel::tokensPerSecond(const std::string& _service) const
{
	const auto it = m_services.find(_service);
	return it == m_services.end() ? kPriorTokensPerSecond : it->second.tokensPerSecond;
}

double EngineModel::prefillSeconds(const std::string& _service, std::uint64_t _tokens) const
{
	return weightedTokens(_tokens) / tokensPerSecond(_service);
}

std::map<std::string, double> EngineModel::prefillSpeeds() const
{
	std::map<std::string, double> prefillSpeeds;
	for (const auto& [name, service] : m_services)
	{
		prefillSpeeds.emplace(name, service.tokensPerSecond);
	}
	return prefillSpeeds;
}

} // namespace beacongate
