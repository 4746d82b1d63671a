// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Enforces a team's quota over all gateways. Each gateway keeps the recent usage of all of them and admits
/// requests by one token bucket.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_H

#include "beacongate/routing.h"
#include "beacongate/types.h"
#include "coordination/fleetliveness.h"
#include "coordination/quotagrant.h"
#include "coordination/tokenbucket.h"
#include "coordination/usagerate.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// A gateway's usage of a team's quota since the gateway started. It only grows.
struct QuotaReport
{
	std::string team;
	double taken = 0.0;
};

/// The level of a team's bucket.
struct QuotaLevel
{
	std::string team;
	double left = 0.0;
};

/// Why a request was refused or has to wait.
enum class QuotaRefusalReason : std::uint8_t
{
	None,      ///< The request was admitted.
	Level,     ///< The team's bucket is empty, as far as is known.
	Throttled, ///< Something is left, but too little for the demand at all gateways.
	OwnShare,  ///< The others are not heard, and this gateway has used its equal share.
	Grantor,   ///< The team's grantor has nothing left.
	Pending,   ///< Not refused: the request has to wait for reports or for a grantor's answer.
};

/// The rule that decides whether a request is admitted.
enum class QuotaRule : std::uint8_t
{
	Local,   ///< This gateway's view of all usage: see QuotaLedger::take().
	Share,   ///< The request fits into this gateway's share of what is left and is admitted.
	Granted, ///< A grant of the team's grantor.
};

/// Decision of a grantor's ledger.
struct QuotaGrant
{
	GrantOutcome outcome = GrantOutcome::Unable;
	Micros wait = 0; ///< Time until something is likely to be left.
};

/// @returns the name that logs and error texts use.
std::string_view toString(QuotaRefusalReason _reason);

/// The decision on a request.
struct QuotaVerdict
{
	QuotaRefusalReason reason = QuotaRefusalReason::None;
	Micros wait = 0; ///< Time until the request is likely to be admitted.

	/// @returns true if the request was admitted and its amount recorded.
	bool passes() const
	{
		return reason == QuotaRefusalReason::None;
	}
};

/// Usage that a gateway admitted for a team while it received no report from any other gateway.
struct QuotaGap
{
	std::string team;
	Micros gap = 0;           ///< Time between two reports.
	double taken = 0.0;       ///< Amount admitted in that time.
	double levelBefore = 0.0; ///< Level of the bucket before the second report was recorded.
};

/// Decisions on a team's requests at this gateway in a span in which some were refused.
struct QuotaTally
{
	std::string team;
	std::size_t passed = 0;
	std::map<QuotaRefusalReason, std::size_t> refused; ///< By reason.
	std::size_t grants = 0;                            ///< Grants that this gateway gave, to itself and to others.
	std::size_t grantsRefused = 0;
	double level = 0.0;  ///< Level of the bucket at the end of the span.
	double demand = 0.0; ///< Estimated demand at all gateways per second.
};

/// What this gateway knows of a team's quota, for inspection of a running gateway.
struct QuotaView
{
	std::string team;
	double level = 0.0;
	double takenHere = 0.0;
	double takenByAll = 0.0; ///< Usage at all gateways per second, as far as is known.
};

/// The buckets of all teams.
/// @remarks A gateway that is not heard may be using its equal share of the rate, so the others reserve that share
/// for it. A gateway that has lost contact with the others uses only its own equal share. In both cases the total
/// stays within the rate.
class QuotaLedger
{
public:
	/// Time after a start, other than the system's first, until this gateway has received the usage of all others.
	static constexpr Micros kStartupSpan = 3 * kSecond;

	/// Sets whether this is the first start of the system. A gateway that starts later does not know the earlier
	/// usage, so it begins with a part of the stored level of a team's bucket, or with an empty one.
	void setFirstStart(bool _firstStart)
	{
		m_firstStart = _firstStart;
	}

	/// Sets the bucket levels that were stored before this gateway started. Must be called before configure().
	void setStoredLevels(std::map<std::string, std::uint64_t> _levels)
	{
		m_storedLevels = std::move(_levels);
	}

	/// @returns the bucket level of each team with a limit, to be stored for gateways that start later.
	std::map<std::string, std::uint64_t> levels(Micros _now) const;

	/// @returns which gateways are heard.
	const FleetLiveness& liveness() const
	{
		return m_liveness;
	}

	/// @returns the bucket levels to send to a gateway that has just started; nothing if this gateway is not sure
	/// of them.
	std::vector<QuotaLevel> levelsToReport(Micros _now) const;

	/// Adopts the levels of a gateway that has been running for long. Only a gateway that has just started adopts
	/// levels, and only once.
	/// @remarks Without this, a gateway that is restarted alone divides the stored level of a bucket as if all
	/// gateways had been restarted, and for seconds refuses a team that is below its limit.
	void adoptLevels(const std::vector<QuotaLevel>& _levels, Micros _now);

	/// Sets the limits in force. Teams without a limit are not bounded.
	void configure(const RoutingConfig& _config, Micros _now);

	/// Sets the number of gateways, including this one. Must be called before configure(), since gateways that
	/// start together divide the initial level of a bucket.
	void setMembers(std::size_t _members);

	/// Updates the share reserved for silent gateways. Must be called several times a second.
	void advance(Micros _now);

	/// Decides on a request by this gateway's view of all usage, and records its amount if it is admitted.
	/// @param[in] _waited Time for which the request has waited after the verdict QuotaRefusalReason::Pending.
	QuotaVerdict take(const std::string& _team, double _amount, Micros _now, Micros _waited = 0);

	/// @returns the rule that decides on a request.
	/// @remarks The amount that all gateways admit before their reports reach each other is in proportion to the
	/// requests that arrive at all of them, whatever is left. It is small compared with the limit if the limit is
	/// many requests a second. The requests of a team with a lower limit are granted one by one, unless so much is
	/// left that each gateway's equal share is at least a request: all shares together are what is left.
	QuotaRule ruleFor(const std::string& _team, double _amount, Micros _now);

	/// Decides on a request that no grantor decides on, by this gateway's equal share of the rate and the burst.
	/// @param[in] _threshold Threshold of this gateway, from 0 to less than 1. Where a gateway's share of the burst
	/// is less than a request, the thresholds select which gateways admit one, so that all of them together keep
	/// the burst.
	QuotaVerdict takeEqualShare(const std::string& _team, double _amount, double _threshold, Micros _now);

	/// Records a request that fits into this gateway's share.
	void takeFromShare(const std::string& _team, double _amount, Micros _now);

	/// Decides on a grant to a request here or at another gateway. Grants count as usage of this gateway.
	QuotaGrant grant(const std::string& _team, double _amount, Micros _now);

	/// Takes back a grant that this gateway gave and that was not used.
	void onGrantReturned(const std::string& _team, double _amount, Micros _now);

	/// Records that a request here was granted.
	void onGranted(const std::string& _team, double _amount, Micros _now);

	/// Records that the grantor refused a request here.
	QuotaVerdict onGrantRefused(const std::string& _team, double _amount, Micros _wait, Micros _now);

	/// Records that a request here was granted but did not run.
	void onGrantUnused(const std::string& _team, double _amount, Micros _now);

	/// @returns the number of requests a second that a team's limit allows, by the mean size of those seen here.
	double requestsPerSecond(const std::string& _team) const;

	/// Refunds the amount of a request that was admitted but did not run.
	void refund(const std::string& _team, double _amount, Micros _now);

	/// Records a peer's usage. Must be called before onHeard() for the same message.
	/// @param[in] _incarnation Run of the peer, whose counters begin at 0.
	/// @param[in] _uptime Time since the start of the peer. All usage of a peer that started recently is recent.
	void onReport(const std::string& _peer, std::uint64_t _incarnation, const QuotaReport& _report, Micros _now,
				  Micros _uptime = kNever);

	/// Records a report of a peer.
	/// @param[in] _confirmedAt Time at which this gateway sent the message that the peer has answered. The report
	/// is at least as recent.
	/// @param[in] _gateways Number of gateways that the peer's report covers.
	void onHeard(const std::string& _peer, Micros _now, Micros _confirmedAt, std::size_t _gateways = 1);

	/// Records sums of a collector. Must be called after onReport() for the same message, instead of onHeard().
	/// @param[in] _group Names the gateways that the sums cover. One collector of each group is followed at a time.
	/// @param[in] _source Names the collector, as in onReport().
	/// @remarks If the collector changes, the usage between the last sums of the old one and the first of the new
	/// one is in no increase, and is estimated from the rate. When it was assumed to be 0, 13 gateways whose two
	/// collectors were killed assumed 0.9 s of a team's rate more than 15 others did, and admitted two thirds of
	/// the usage of all 87 gateways while the team requested three times its limit.
	void onSums(const std::string& _group, const std::string& _source, Micros _now, Micros _confirmedAt,
				std::size_t _gateways);

	/// Records usage of a request that is run again. It is charged whatever is left.
	void charge(const std::string& _team, double _amount, Micros _now);

	/// @returns the gaps between reports in which requests were admitted since the last call, for the log.
	std::vector<QuotaGap> takeGaps();

	/// @returns the decisions on the requests of each team that was refused any since the last call, for the log.
	std::vector<QuotaTally> takeTallies(Micros _now);

	/// @returns the state of each team with a limit.
	std::vector<QuotaView> views(Micros _now) const;

	/// @returns this gateway's usage for a team since it started.
	double takenHere(const std::string& _team) const;

private:
	struct Team
	{
		TokenBucket bucket;
		TokenBucket own;       ///< Usage of requests at this gateway only.
		TokenBucket ungranted; ///< The part of it that was admitted without a grant.
		double takenHere = 0.0;
		Micros advanced = kLongAgo; ///< Time up to which the share of silent gateways is recorded.
		UsageRate rate;
		double admissionCredit = 0.0;  ///< Collects the admitted share of each request; a request is admitted at 1.
									   ///< Used in large fleets only.
		double takenSinceReport = 0.0; ///< Usage at this gateway since the last report of another one.
		std::uint64_t reportCount = 0; ///< Number of reports received when that was recorded.
		QuotaTally tally;              ///< Decisions since the last call of takeTallies().

		/// Records usage of a request at this gateway.
		void take(double _amount, Micros _now);
	};

	struct PeerCount
	{
		std::uint64_t incarnation = 0;
		double taken = 0.0;
	};

	/// The amounts that a decision depends on.
	struct Availability
	{
		bool isolated = false; ///< This gateway is limited to its equal share.
		double level = 0.0;
		double own = 0.0; ///< What is left of the equal share.
	};

	/// @returns true if this gateway is limited to its equal share, because it has lost contact with most of the
	/// others or has just started.
	/// @remarks It then admits no more than its share of the rate and of the burst. The share of the rate that it
	/// leaves to the others is forgotten after the bucket's history, so without this bound each of 30 of 87
	/// gateways that were cut off had a whole burst: 14.58 of 11.03 million tokens in 8 s for a team that requests
	/// three times its limit, and 10.11 with it (quotarestarttest).
	bool isolated(Micros _now) const;
	Availability availabilityOf(const Team& _team, Micros _now) const;
	/// @returns this gateway's usage in the propagation delay, or since the last report if that is more.
	double takenRecently(const Team& _team, Micros _now) const;
	/// @returns true if a request exceeds this gateway's share of what all may use before their reports reach each
	/// other.
	bool exceedsFairShare(const Team& _team, const Availability& _availability, double _amount, Micros _now) const;
	/// @returns the propagation delay in seconds.
	double propagationSeconds() const;
	static QuotaVerdict refusal(const Team& _team, const Availability& _availability, double _amount);
	/// @returns the time until a request may be tried again at a level.
	static Micros waitAt(double _level, const Team& _team, double _amount);
	/// Records a request that is admitted without a grant.
	void admit(Team& _team, double _amount, Micros _now) const;
	static double requestsPerSecond(const Team& _team, double _mean);
	/// @returns true if a team's limit allows so few requests of a mean size that they are granted one by one.
	static bool isGranted(const Team& _team, double _mean);
	/// @returns the estimated usage that has not been reported yet.
	/// @remarks All gateways reserve the whole estimate, including their own usage, so that none gains by having
	/// used most of it. While no report arrives, the others are assumed to continue as before; a gateway that was
	/// stalled or receives nothing reserves that for them.
	double unreportedUsage(const Team& _team, Micros _now) const;
	/// @returns the same estimate without this gateway's own usage.
	double unreportedUsageOfOthers(const Team& _team, Micros _now) const;
	/// @returns the time by which the last report is older than the mean delay, in seconds.
	double reportLateness(Micros _now) const;
	/// @returns the share of requests to admit in a large fleet, so that the usage that all gateways admit before
	/// their reports reach each other fits into the level.
	/// @remarks If only the level decided, gateways would alternate between admitting everything and nothing. A
	/// team that requested six times its quota of 77 gateways then used 1.12 to 1.20 times its quota in 8 s; with
	/// this it used 1.04 to 1.07 (fleettabletest).
	double admittedShare(const Team& _team, double _level, double _amount, Micros _now) const;
	/// @returns the estimated demand at all gateways per second.
	double demand(const Team& _team, double _amount, Micros _now) const;
	/// @returns true if a team's demand at this gateway clearly exceeds what is admitted.
	static bool isOverLimit(const Team& _team, Micros _now);
	/// @returns true if a team's demand is below its limit, as far as is known.
	bool isBelowLimit(const Team& _team, Micros _now) const;
	/// @returns true if this gateway has started recently and does not know the others' usage yet.
	bool isStarting(Micros _now) const;
	/// Detects stalls of this process.
	void onTick(Micros _now);
	/// Records the share of the rate that is reserved for silent gateways as usage.
	void recordSilentShare(Team& _team, Micros _now) const;
	/// Estimates and records the usage in a time that no sums cover, since another collector is followed from now
	/// on.
	/// @param[in] _share Share of all gateways that the sums are for.
	void recordUnreported(Team& _team, double _share, Micros _span, Micros _now) const;
	/// Records usage during a long gap between two reports, for the log. Must be called before the second one is
	/// recorded.
	void recordGap(Micros _now);
	/// Starts a bucket for a limit that this gateway did not know before.
	void startLimit(Team& _team, const TeamAccess& _access, Micros _now) const;
	/// @returns the level at which a bucket starts after a restart.
	double initialLevel(const TeamAccess& _team) const;
	/// @returns the assumed usage of all gateways per second before this gateway started.
	double initialUsageRate(const TeamAccess& _team) const;

	std::map<std::string, std::uint64_t> m_storedLevels;
	std::map<std::string, Team> m_teams;
	std::map<std::string, std::map<std::string, PeerCount>> m_peerCounts;
	FleetLiveness m_liveness;
	std::uint64_t m_reportCount = 0; ///< Number of reports received.
	std::vector<QuotaGap> m_gaps;    ///< At most one for each team between two calls of takeGaps().
	Micros m_started = kNever;       ///< Time of the first configuration.
	bool m_firstStart = true;
	bool m_levelsAdopted = false; ///< Levels were adopted from another gateway.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_H
