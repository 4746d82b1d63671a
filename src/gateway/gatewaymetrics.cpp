// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gatewaymetrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace beacongate
{
namespace acc = boost::accumulators;

namespace
{
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
constexpr std::array<double, 9> kBucketBoundsSeconds = {0.005, 0.02, 0.05, 0.1, 0.3, 0.6, 1.2, 3.0, 10.0};
constexpr const char* kOverflowLabel = "other"; ///< Label of all series beyond the bound.

/// Quotes and escapes a label's value.
std::string quoteLabel(std::string_view _text)
{
	std::string value = "\"";
	for (const char c : _text)
	{
		if (c == '"' || c == '\\')
		{
			value += '\\';
		}
		value += c == '\n' ? ' ' : c;
	}
	return value + '"';
}
} // namespace

/// A histogram with quantiles.
struct LatencySummary
{
	using Set =
		acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

	LatencySummary() : set(acc::extended_p_square_probabilities = kQuantiles)
	{
	}

	void add(double _seconds)
	{
		set(_seconds);
		for (std::size_t index = 0; index < kBucketBoundsSeconds.size(); ++index)
		{
			buckets[index] += _seconds <= kBucketBoundsSeconds[index] ? 1 : 0;
		}
	}

	Set set;
	std::array<std::uint64_t, kBucketBoundsSeconds.size()> buckets{};
};

namespace
{
void formatCounter(std::ostream& _out, const char* _name, std::uint64_t _count)
{
	_out << "# TYPE " << _name << " counter\n" << _name << ' ' << _count << '\n';
}

void formatLatencies(std::ostream& _out, const std::string& _name, const char* _label,
					 const std::map<std::string, std::unique_ptr<LatencySummary>>& _latencies)
{
	_out << "# TYPE " << _name << " histogram\n";
	for (const auto& [value, summary] : _latencies)
	{
		const std::string labels = std::string(_label) + '=' + quoteLabel(value);
		for (std::size_t index = 0; index < kBucketBoundsSeconds.size(); ++index)
		{
			_out << _name << "_bucket{" << labels << ",le=\"" << kBucketBoundsSeconds[index] << "\"} "
				 << summary->buckets[index] << '\n';
		}
		_out << _name << "_bucket{" << labels << ",le=\"+Inf\"} " << acc::count(summary->set) << '\n';
		_out << _name << "_sum{" << labels << "} " << acc::sum(summary->set) << '\n';
		_out << _name << "_count{" << labels << "} " << acc::count(summary->set) << '\n';
		for (std::size_t index = 0; index < kQuantiles.size(); ++index)
		{
			_out << _name << "_quantile{" << labels << ",quantile=\"" << kQuantiles[index] << "\"} "
				 << acc::extended_p_square(summary->set)[static_cast<std::ptrdiff_t>(index)] << '\n';
		}
	}
}
} // namespace

GatewayMetrics::GatewayMetrics() = default;
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::record(Latencies& _latencies, const std::string& _label, Micros _span)
{
	const bool overflow = _latencies.size() >= kMaxSeries && !_latencies.count(_label);
	std::unique_ptr<LatencySummary>& summary = _latencies[overflow ? kOverflowLabel : _label];
	if (!summary)
	{
		summary = std::make_unique<LatencySummary>();
	}
	summary->add(secondsOf(_span));
}

void GatewayMetrics::onRequest(const RequestLabels& _labels, Micros _duration)
{
	const bool overflow = m_requests.size() >= kMaxSeries && !m_requests.count(_labels);
	++m_requests[overflow ? RequestLabels{kOverflowLabel, kOverflowLabel, _labels.outcome, _labels.status}
						  : _labels];
	record(m_durations, _labels.route, _duration);
}

void GatewayMetrics::onFirstByte(const std::string& _service, Micros _sinceArrival)
{
	record(m_firstBytes, _service, _sinceArrival);
}

void GatewayMetrics::onQueued(const std::string& _service, Micros _waited)
{
	record(m_queueTimes, _service, _waited);
}

void GatewayMetrics::onSent(const std::string& _service, Micros _listAge, ListingState _listingState)
{
	++m_sends[_listingState];
	record(m_listAges, _service, _listAge);
}

void GatewayMetrics::onLoopDelay(Micros _delay)
{
	record(m_loopDelays, "main", _delay);
}

void GatewayMetrics::onFailedAttempt(const std::string& _service, std::string_view _result)
{
	++m_failedAttempts[{_service, std::string(_result)}];
}

void GatewayMetrics::setGauge(const std::string& _name, double _value)
{
	m_gauges[_name] = _value;
}

std::string GatewayMetrics::format() const
{
	std::ostringstream out;
	out << "# TYPE beacongate_requests_total counter\n";
	for (const auto& [labels, count] : m_requests)
	{
		out << "beacongate_requests_total{route=" << quoteLabel(labels.route) << ",team=" << quoteLabel(labels.team)
			<< ",outcome=" << quoteLabel(labels.outcome) << ",status=\"" << labels.status << "\"} " << count
			<< '\n';
	}
	out << "# TYPE beacongate_failed_attempts_total counter\n";
	for (const auto& [labels, count] : m_failedAttempts)
	{
		out << "beacongate_failed_attempts_total{service=" << quoteLabel(labels.first)
			<< ",result=" << quoteLabel(labels.second) << "} " << count << '\n';
	}
	out << "# TYPE beacongate_crash_suspicions_total counter\n";
	for (const auto& [change, count] : m_crashNotices)
	{
		out << "beacongate_crash_suspicions_total{change=" << quoteLabel(change) << "} " << count << '\n';
	}
	out << "# TYPE beacongate_admission_refused_total counter\n";
	for (const auto& [labels, count] : m_admissionRefusals)
	{
		const auto& [service, priority, returning] = labels;
		out << "beacongate_admission_refused_total{service=" << quoteLabel(service) << ",priority=\"" << priority
			<< "\",returning=\"" << (returning ? "yes" : "no") << "\"} " << count << '\n';
	}
	formatCounter(out, "beacongate_backend_list_reads_total", m_listReads);
	formatCounter(out, "beacongate_held_for_list_total", m_heldForList);
	formatCounter(out, "beacongate_backoffs_asked_total", m_backoffsAsked);
	formatCounter(out, "beacongate_limits_unreadable_total", m_limitsUnreadable);
	formatCounter(out, "beacongate_loads_unreadable_total", m_loadsUnreadable);
	formatCounter(out, "beacongate_backoffs_unreadable_total", m_backoffsUnreadable);
	formatCounter(out, "beacongate_sends_in_backoff_total", m_sentInBackoff);
	formatCounter(out, "beacongate_datagrams_unreadable_total", m_datagramsUnreadable);
	out << "# TYPE beacongate_sends_total counter\n";
	for (const auto& [listingState, count] : m_sends)
	{
		out << "beacongate_sends_total{standing=" << quoteLabel(toString(listingState)) << "} " << count << '\n';
	}
	formatLatencies(out, "beacongate_request_seconds", "route", m_durations);
	formatLatencies(out, "beacongate_first_byte_seconds", "service", m_firstBytes);
	formatLatencies(out, "beacongate_queue_seconds", "service", m_queueTimes);
	formatLatencies(out, "beacongate_list_age_at_send_seconds", "service", m_listAges);
	formatLatencies(out, "beacongate_loop_delay_seconds", "loop", m_loopDelays);
	for (const auto& [name, value] : m_gauges)
	{
		out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
	}
	return out.str();
}
} // namespace beacongate
