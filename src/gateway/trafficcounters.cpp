// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/trafficcounters.h"

namespace beacongate
{
namespace
{
constexpr std::array<std::string_view, static_cast<std::size_t>(DatagramPurpose::Count_)> kDatagramNames = {
	"report", "data-centre-sums", "fleet-sums", "usage",   "echo",        "quota-grant", "crash",
	"limit",  "stream-origin",    "slot-grant", "brittle", "server-speed"};
constexpr std::array<std::string_view, static_cast<std::size_t>(StorePurpose::Count_)> kStoreNames = {
	"content",    "backend-list", "relays",       "probe",      "watch",       "registration",
	"duty-lease", "usage-counts", "usage-window", "relay-slot", "version-log", "origin-log"};

template <typename Purpose> std::size_t indexOf(Purpose _purpose)
{
	return static_cast<std::size_t>(_purpose);
}
} // namespace

std::string_view toString(DatagramPurpose _purpose)
{
	return kDatagramNames.at(indexOf(_purpose));
}

std::string_view toString(StorePurpose _purpose)
{
	return kStoreNames.at(indexOf(_purpose));
}

void TrafficCounters::onSent(DatagramPurpose _purpose, std::size_t _bytes)
{
	Traffic& traffic = m_datagrams.at(indexOf(_purpose));
	++traffic.sent;
	traffic.sentBytes += _bytes;
}

void TrafficCounters::onUnsent(DatagramPurpose _purpose)
{
	++m_datagrams.at(indexOf(_purpose)).unsent;
}

void TrafficCounters::onReceived(DatagramPurpose _purpose, std::size_t _bytes)
{
	Traffic& traffic = m_datagrams.at(indexOf(_purpose));
	++traffic.received;
	traffic.receivedBytes += _bytes;
}

void TrafficCounters::onStoreCall(StorePurpose _purpose)
{
	++m_storeCalls.at(indexOf(_purpose));
}

std::uint64_t TrafficCounters::unsent() const
{
	std::uint64_t count = 0;
	for (const Traffic& traffic : m_datagrams)
	{
		count += traffic.unsent;
	}
	return count;
}

void TrafficCounters::format(std::ostream& _out) const
{
	const auto formatAll = [&](std::string_view _name, std::uint64_t Traffic::*_counter)
	{
		_out << "# TYPE " << _name << " counter\n";
		for (std::size_t index = 0; index < m_datagrams.size(); ++index)
		{
			_out << _name << "{purpose=\"" << kDatagramNames.at(index) << "\"} " << m_datagrams.at(index).*_counter
				 << '\n';
		}
	};
	formatAll("beacongate_datagrams_sent_total", &Traffic::sent);
	formatAll("beacongate_datagram_bytes_sent_total", &Traffic::sentBytes);
	formatAll("beacongate_datagrams_unsent_total", &Traffic::unsent);
	formatAll("beacongate_datagrams_received_total", &Traffic::received);
	formatAll("beacongate_datagram_bytes_received_total", &Traffic::receivedBytes);
	_out << "# TYPE beacongate_store_calls_total counter\n";
	for (std::size_t index = 0; index < m_storeCalls.size(); ++index)
	{
		_out << "beacongate_store_calls_total{purpose=\"" << kStoreNames.at(index) << "\"} "
			 << m_storeCalls.at(index) << '\n';
	}
}

} // namespace beacongate
