// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Counts what one gateway exchanges with the other gateways and with the store, by purpose.

#ifndef BEACONGATE_GATEWAY_TRAFFICCOUNTERS_H
#define BEACONGATE_GATEWAY_TRAFFICCOUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

namespace beacongate
{
/// What a datagram between gateways is for.
enum class DatagramPurpose : std::uint8_t
{
	Report,
	DataCentreSums,
	FleetSums,
	Usage, ///< Usage counts of a data centre.
	Echo,
	QuotaGrant,
	Crash,
	Limit,
	StreamOrigin,
	SlotGrant,
	Brittle,
	ServerSpeed,
	Count_ ///< Number of purposes.
};

/// What a call to the store is for.
enum class StorePurpose : std::uint8_t
{
	Content,
	BackendList,
	Relays, ///< Names of the relays, read at a start.
	Probe,
	Watch,
	Registration,
	DutyLease,
	UsageCounts,
	UsageWindow,
	RelaySlot,
	VersionLog,
	OriginLog,
	Count_ ///< Number of purposes.
};

/// @returns the name that metrics use.
std::string_view toString(DatagramPurpose _purpose);
std::string_view toString(StorePurpose _purpose);

/// Counters since the start of the gateway.
class TrafficCounters
{
public:
	/// Counts a datagram that was handed to the socket.
	void onSent(DatagramPurpose _purpose, std::size_t _bytes);

	/// Counts a datagram that the socket refused.
	void onUnsent(DatagramPurpose _purpose);

	/// Counts a datagram that was decoded.
	void onReceived(DatagramPurpose _purpose, std::size_t _bytes);

	/// Counts a call to the store.
	void onStoreCall(StorePurpose _purpose);

	/// @returns the number of datagrams that the socket refused.
	std::uint64_t unsent() const;

	/// Writes the counters in the text format of Prometheus.
	void format(std::ostream& _out) const;

private:
	struct Traffic
	{
		std::uint64_t sent = 0;
		std::uint64_t sentBytes = 0;
		std::uint64_t unsent = 0;
		std::uint64_t received = 0;
		std::uint64_t receivedBytes = 0;
	};

	std::array<Traffic, static_cast<std::size_t>(DatagramPurpose::Count_)> m_datagrams{};
	std::array<std::uint64_t, static_cast<std::size_t>(StorePurpose::Count_)> m_storeCalls{};
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_TRAFFICCOUNTERS_H
