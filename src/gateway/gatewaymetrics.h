// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Counters and latencies of one gateway, in the text format that scrapers read.

#ifndef BEACONGATE_GATEWAY_GATEWAYMETRICS_H
#define BEACONGATE_GATEWAY_GATEWAYMETRICS_H

#include "beacongate/types.h"
#include "coordination/directory.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace beacongate
{
/// What a finished request is counted by.
struct RequestLabels
{
	std::string route;
	std::string team;
	std::string outcome;
	unsigned status = 0;
	auto operator<=>(const RequestLabels&) const = default;
};

struct LatencySummary;

/// Counts what happened; bounded, since routes and teams come and go.
class GatewayMetrics
{
public:
	/// Series that one counter keeps; further label sets are counted together.
	static constexpr std::size_t kMostSeries = 512;

	GatewayMetrics();
	~GatewayMetrics();
	GatewayMetrics(const GatewayMetrics&) = delete;
	GatewayMetrics& operator=(const GatewayMetrics&) = delete;

	/// A request got its final answer.
	void onRequest(const RequestLabels& _labels, Micros _duration);

	/// The first event, or the whole answer of a call, came from a backend server.
	void onFirstByte(const std::string& _service, Micros _sinceArrival);

	/// A request was sent to a backend server after waiting for room.
	void onQueued(const std::string& _service, Micros _waited);

	/// A request went out to a backend server.
	/// @param[in] listAge How old the list of backend servers was at that moment.
	/// @param[in] standing Of the backend server on that list.
	void onSent(const std::string& _service, Micros _listAge, ListingState _standing);

	/// A request waits for a newer list of backend servers.
	/// @param[in] _again It was counted before.
	void onHeldForList(bool _again)
	{
		m_heldForList += _again ? 0 : 1;
	}

	/// The list of backend servers was read by itself, since it had grown old.
	void onListRead()
	{
		++m_listReads;
	}

	/// A backend server asked for nothing more for a while.
	void onBackoffAsked()
	{
		++m_backoffsAsked;
	}

	/// A backend server asked so in a form that is not understood.
	void onBackoffUnreadable()
	{
		++m_backoffsUnreadable;
	}

	/// A request went out.
	/// @param[in] _inBackoff Whether its backend server had asked for nothing for a while that was not over.
	void onSentInBackoff(bool _inBackoff)
	{
		m_sentInBackoff += _inBackoff ? 1 : 0;
	}

	/// A datagram came that could not be read.
	void onDatagramUnreadable()
	{
		++m_datagramsUnreadable;
	}

	/// A timer of the event loop ran.
	/// @param[in] delay How much later than asked.
	void onLoopDelay(Micros _delay);

	/// An attempt at a backend server ended without an answer for the caller.
	void onFailedAttempt(const std::string& _service, std::string_view _result);

	/// Sets a value that is told as it is.
	void setGauge(const std::string& _name, double _value);

	/// @returns all figures as text.
	std::string format() const;

private:
	using Latencies = std::map<std::string, std::unique_ptr<LatencySummary>>;

	static void record(Latencies& _latencies, const std::string& _label, Micros _span);

	std::map<RequestLabels, std::uint64_t> m_requests;
	std::map<std::pair<std::string, std::string>, std::uint64_t> m_failedAttempts;
	std::map<std::string, double> m_gauges;
	std::uint64_t m_listReads = 0;
	std::uint64_t m_heldForList = 0;
	std::uint64_t m_backoffsAsked = 0;
	std::uint64_t m_backoffsUnreadable = 0;
	std::uint64_t m_sentInBackoff = 0;
	std::uint64_t m_datagramsUnreadable = 0;
	Latencies m_durations;
	Latencies m_firstBytes;
	Latencies m_waits;
	Latencies m_listAges;
	Latencies m_loopDelays;
	std::map<ListingState, std::uint64_t> m_sends;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAYMETRICS_H
