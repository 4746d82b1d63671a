// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Sends this gateway's state to its peers in datagrams, and takes in theirs.

#ifndef BEACONGATE_GATEWAY_GOSSIPER_H
#define BEACONGATE_GATEWAY_GOSSIPER_H

#include "coordination/collectormonitor.h"
#include "coordination/fleetfollower.h"
#include "coordination/fleettable.h"
#include "gateway/gatewaycontext.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace beacongate
{
/// Talks to peers. In a small fleet each gateway tells each other one of itself. In a larger one it reports to the
/// first gateways of its data centre, the collectors; the first of them answers with the fleet's sums, and
/// exchanges the sums of its data centre with the collectors of the others.
class Gossiper
{
public:
	/// @throws Error SettingInvalid where the port cannot be bound.
	explicit Gossiper(GatewayContext& _context);

	/// Begins to send and receive.
	void init();

	/// Stops.
	void shutdown();

private:
	void tick();
	void reportDelay(Micros _now);
	void logLeavingNotices();
	void logQuotaGaps();
	/// Tells once a second what became of the requests of teams of which some were refused.
	void logQuotaTallies(Micros _now);
	void sendToPeers(Micros _now);
	void sendToCollectors(Micros _now);
	void sendCentreSums(Micros _now);
	void watchCollectors(Micros _now);
	void send(const GossipMessage& _message, const std::string& _host);
	void sendBytes(const std::string& _bytes, const std::string& _host);
	void onQuotaDatagram(std::string_view _bytes, const std::string& _sender);
	void onQuotaMessage(const QuotaMessage& _message, const std::string& _sender);
	void logGrantorNotices();
	void receive();
	void readDatagrams();
	void onDatagram(std::string_view _bytes, const std::string& _sender);
	/// Counts a datagram that is none of a format that is read, and logs the first ones.
	void onUnreadable(const std::string& _sender);
	void onReport(const GossipMessage& _message, bool _fresh, Micros _now);
	void onDataCentreSums(const GossipMessage& _message, Micros _now);
	void onFleetSums(const GossipMessage& _message, Micros _now);
	void answerWithEcho(const std::string& _host, Micros _now);
	void answerWithSums(const std::string& _host, Micros _now);
	void takeCounters(const std::string& _source, const GossipMessage& _message, Micros _uptime, Micros _now);
	/// @returns since when the counters of sums are news, as the span for which their teller has been counting.
	Micros countingSince(const std::string& _group, const std::string& _source, Micros _uptime) const;

	/// @returns what a host is told of the teams' buckets.
	std::vector<QuotaLevel> levelsFor(const std::string& _host, Micros _now) const;
	/// @returns whether this gateway is a collector of its data centre.
	bool collects() const;
	/// @returns a message with what every message says of its sender.
	GossipMessage describeSender(Micros _now) const;
	/// Says which content this gateway holds and how old that is, both as of one moment.
	void describeContent(GossipMessage& _message, Micros _now) const;
	/// @returns a report of this gateway.
	GossipMessage describe(Micros _now) const;
	/// @returns all own counters and loads.
	FleetSums ownSums() const;
	/// @returns whether a report to these collectors has to name all teams.
	bool tellsAll(const std::vector<std::string>& _collectors);
	/// Leaves out quotas that did not change of late.
	void leaveOutUnchanged(GossipMessage& _report, bool _whole);

	GatewayContext& m_context;
	boost::asio::ip::udp::socket m_socket;
	boost::asio::steady_timer m_timer;
	std::vector<char> m_buffer;
	std::size_t m_round = 0;
	Micros m_due = kNever; ///< When the next round should begin.
	Micros m_talliesLogged = kLongAgo;
	FleetTable m_table;
	FleetFollower m_follower;
	/// The sums that reports are answered with, and when they were made.
	GossipMessage m_sums;
	Micros m_sumsMade = kLongAgo;
	/// What a report last said of a team, and in which round that changed.
	std::map<std::string, std::pair<double, std::size_t>> m_reported;
	std::vector<std::string> m_collectors; ///< That were spoken to in the last round, also of other data centres.
	/// Their runs, as far as they were heard, and the round until which they are told of all teams.
	std::map<std::string, std::uint64_t> m_collectorRuns;
	std::size_t m_tellAllUntil = 0;
	CollectorMonitor m_watch;
	std::uint64_t m_unreadable = 0; ///< Datagrams.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GOSSIPER_H
