// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Exchanges the state of the gateways in datagrams.

#ifndef BEACONGATE_GATEWAY_GOSSIPER_H
#define BEACONGATE_GATEWAY_GOSSIPER_H

#include "coordination/collectormonitor.h"
#include "coordination/fleetfollower.h"
#include "coordination/fleettable.h"
#include "coordination/sumsselection.h"
#include "coordination/usagereportplan.h"
#include "gateway/crashexchange.h"
#include "gateway/gatewaycontext.h"
#include "gateway/slotexchange.h"
#include "gateway/startupquery.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace beacongate
{
/// @returns what a message is counted for.
DatagramPurpose purposeOf(const GossipMessage& _message);

/// Sends reports to peers and receives theirs. In a small fleet each gateway reports to every other one. In a
/// larger fleet each reports to the first-ranked gateways of its data centre, the collectors. The first collector
/// answers with the sums of the fleet, and exchanges the sums of its data centre with the collectors of the other
/// data centres.
class Gossiper
{
public:
	/// @throws Error SettingInvalid if the port cannot be bound.
	explicit Gossiper(GatewayContext& _context);

	/// Starts sending and receiving.
	void init();

	/// Stops sending and receiving.
	void shutdown();

private:
	void tick();
	void recordLoopDelay(Micros _now);
	void updateVersions(Micros _now);
	void logLeavingNotices();
	void logQuotaGaps();
	/// Logs once a second the admission counts of each team that had requests refused.
	void logQuotaTallies(Micros _now);
	void sendToPeers(Micros _now);
	void sendToCollectors(Micros _now);
	void sendCentreSums(Micros _now);
	/// Sends the usage of this data centre to those that report it.
	void sendCentreUsage(Micros _now);
	/// @returns the hosts of the duty holder and its possible successors, or of all collectors if it is not known.
	std::set<std::string> usageReceivers() const;
	void watchCollectors(Micros _now);
	void send(const GossipMessage& _message, const std::string& _host);
	void sendBytes(DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host);
	void onQuotaDatagram(std::string_view _bytes, const std::string& _sender);
	void onOriginDatagram(std::string_view _bytes, const std::string& _sender);
	void onLimitDatagram(std::string_view _bytes, const std::string& _sender);
	void onSpeedDatagram(std::string_view _bytes, const std::string& _sender);
	void onQuotaMessage(const QuotaMessage& _message, const std::string& _sender);
	void logGrantorNotices();
	/// Sends the changes of backend servers' limits.
	void sendLimits(Micros _now);
	/// Sends what is new of the speeds of backend servers.
	void sendSpeeds(Micros _now);
	void receive();
	void readDatagrams();
	void onDatagram(std::string_view _bytes, const std::string& _sender);
	/// Counts a datagram of an unknown format, and logs some of them.
	void onUnreadable(const std::string& _sender);
	void onReport(const GossipMessage& _message, bool _fresh, Micros _now);
	void onDataCentreSums(const GossipMessage& _message, Micros _now);
	void onFleetSums(const GossipMessage& _message, Micros _now);
	void answerWithEcho(const std::string& _host, Micros _now);
	void answerWithSums(const std::string& _host, Micros _now);
	void applyCounters(const std::string& _source, const GossipMessage& _message, Micros _countingSpan,
					   Micros _now);
	/// @returns for how long the sender of sums has been counting, if its counters are new information; kNever if
	/// they replace another sender's.
	Micros newCountsSpan(const std::string& _group, const std::string& _source, Micros _uptime) const;

	/// @returns the levels of the teams' buckets to be sent to a host; empty if the host is past its start.
	std::vector<QuotaLevel> levelsFor(const std::string& _host, Micros _now) const;
	/// @returns what an answer with sums may contain.
	SumsBudget sumsBudget() const;
	/// @returns true if this gateway is a collector of its data centre.
	bool isCollector() const;
	/// @returns a message with the fields that every message has about its sender.
	GossipMessage makeMessage(Micros _now);
	/// Sets which content this gateway holds and its age, both at the same moment.
	void setContentState(GossipMessage& _message, Micros _now) const;
	/// @returns a report of this gateway.
	GossipMessage makeReport(Micros _now);
	/// @returns this gateway's own counters and loads.
	FleetSums ownSums() const;
	/// @returns true if a report to these collectors must list all teams.
	bool mustListAllTeams(const std::vector<std::string>& _collectors);
	/// Removes the quotas that have not changed recently, unless the report is to be full.
	void omitUnchangedQuotas(GossipMessage& _report, bool _full);

	GatewayContext& m_context;
	boost::asio::ip::udp::socket m_socket;
	boost::asio::steady_timer m_timer;
	std::vector<char> m_buffer;
	std::size_t m_round = 0;
	std::size_t m_departureTurn = 0; ///< Number of messages that named departures.
	Micros m_due = kNever;           ///< When the next round is due.
	Micros m_talliesLoggedAt = kLongAgo;
	Micros m_versionsUpdatedAt = kLongAgo;
	FleetTable m_table;
	FleetFollower m_follower;
	/// The sums that reports are answered with, and when they were computed.
	GossipMessage m_sums;
	Micros m_sumsComputedAt = kLongAgo;
	/// The amount that a report last gave for a team, and the round in which it changed.
	std::map<std::string, std::pair<double, std::size_t>> m_lastReported;
	std::vector<std::string> m_collectors; ///< Collectors addressed in the last round, in all data centres.
	/// Incarnations of the collectors (0: not heard yet), and the round until which reports to them list all
	/// teams.
	std::map<std::string, std::uint64_t> m_collectorIncarnations;
	std::size_t m_listAllTeamsUntil = 0;
	CollectorMonitor m_watch;
	UsageReportPlan m_usagePlan;
	TeamSelection m_teamSelection;
	std::vector<QuotaReport> m_fleetQuotas; ///< Counters of all teams in m_sums.
	CrashExchange m_crashExchange;
	SlotExchange m_slotExchange;
	StartupQuery m_startupQuery;
	std::uint64_t m_unreadableCount = 0; ///< Datagrams of an unknown format since the start.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GOSSIPER_H
