// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Counters and latencies of one gateway, in the text format of Prometheus.

#ifndef BEACONGATE_GATEWAY_GATEWAYMETRICS_H
#define BEACONGATE_GATEWAY_GATEWAYMETRICS_H

#include "beacongate/types.h"
#include "coordination/directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace beacongate
{
/// Labels of the counter of finished requests.
struct RequestLabels
{
	std::string route;
	std::string team;
	std::string outcome;
	unsigned status = 0;
	auto operator<=>(const RequestLabels&) const = default;
};

struct LatencySummary;

/// Collects the metrics. The number of series is bounded, since routes and teams come and go.
class GatewayMetrics
{
public:
	/// Largest number of series of a metric; further label sets are counted together.
	static constexpr std::size_t kMaxSeries = 512;

	GatewayMetrics();
	~GatewayMetrics();
	GatewayMetrics(const GatewayMetrics&) = delete;
	GatewayMetrics& operator=(const GatewayMetrics&) = delete;

	/// Records that a request ended.
	void onRequest(const RequestLabels& _labels, Micros _duration);

	/// Records the first event of a stream from a backend server.
	/// @param[in] _sinceArrival Time since the request arrived.
	void onFirstByte(const std::string& _service, Micros _sinceArrival);

	/// Records that a request was sent to a backend server after waiting for room.
	void onQueued(const std::string& _service, Micros _waited);

	/// Records that a request was sent to a backend server.
	/// @param[in] _listAge Age of the list of backend servers at that moment.
	/// @param[in] _listingState State of the backend server in that list.
	void onSent(const std::string& _service, Micros _listAge, ListingState _listingState);

	/// Records that a request waits for a newer list of backend servers.
	/// @param[in] _again True if the request was counted before.
	void onHeldForList(bool _again)
	{
		m_heldForList += _again ? 0 : 1;
	}

	/// Records that the list of backend servers was read separately because it was too old.
	void onListRead()
	{
		++m_listReads;
	}

	/// Records that a backend server asked for a backoff.
	void onBackoffAsked()
	{
		++m_backoffsAsked;
	}

	/// Records that a backend server asked for a backoff in an unknown format.
	void onBackoffUnreadable()
	{
		++m_backoffsUnreadable;
	}

	/// Records that a backend server named a limit in an unknown format.
	void onLimitUnreadable()
	{
		++m_limitsUnreadable;
	}

	/// Records that a request was refused because no engine could read its prompt in time.
	/// @param[in] _returning Its caller had been refused before, or was in a hurry.
	void onAdmissionRefused(const std::string& _service, unsigned _priority, bool _returning)
	{
		++m_admissionRefusals[{_service, _priority, _returning}];
	}

	/// Records that a backend server stated its load in an unknown format.
	void onLoadUnreadable()
	{
		++m_loadsUnreadable;
	}

	/// Records that a request was sent.
	/// @param[in] _inBackoff True if the backend server's backoff had not ended.
	void onSentInBackoff(bool _inBackoff)
	{
		m_sentInBackoff += _inBackoff ? 1 : 0;
	}

	/// Records that a datagram could not be decoded.
	void onDatagramUnreadable()
	{
		++m_datagramsUnreadable;
	}

	/// Records a change of what is known against a request, see CrashLedger.
	void onCrashNotice(std::string_view _change)
	{
		++m_crashNotices[std::string(_change)];
	}

	/// Records that a timer of the event loop ran.
	/// @param[in] _delay How much later than requested it ran.
	void onLoopDelay(Micros _delay);

	/// Records that an attempt at a backend server failed.
	void onFailedAttempt(const std::string& _service, std::string_view _result);

	/// Sets the value of a gauge.
	void setGauge(const std::string& _name, double _value);

	/// @returns all metrics as text.
	std::string format() const;

private:
	using Latencies = std::map<std::string, std::unique_ptr<LatencySummary>>;

	static void record(Latencies& _latencies, const std::string& _label, Micros _span);

	std::map<RequestLabels, std::uint64_t> m_requests;
	std::map<std::pair<std::string, std::string>, std::uint64_t> m_failedAttempts;
	std::map<std::string, std::uint64_t> m_crashNotices;
	std::map<std::tuple<std::string, unsigned, bool>, std::uint64_t> m_admissionRefusals;
	std::map<std::string, double> m_gauges;
	std::uint64_t m_listReads = 0;
	std::uint64_t m_heldForList = 0;
	std::uint64_t m_backoffsAsked = 0;
	std::uint64_t m_backoffsUnreadable = 0;
	std::uint64_t m_limitsUnreadable = 0;
	std::uint64_t m_loadsUnreadable = 0;
	std::uint64_t m_sentInBackoff = 0;
	std::uint64_t m_datagramsUnreadable = 0;
	Latencies m_durations;
	Latencies m_firstBytes;
	Latencies m_queueTimes;
	Latencies m_listAges;
	Latencies m_loopDelays;
	std::map<ListingState, std::uint64_t> m_sends;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAYMETRICS_H
