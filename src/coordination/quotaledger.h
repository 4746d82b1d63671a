// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A team's quota over all gateways: each keeps the recent takings of all of them and admits by one token bucket.

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
/// What a gateway says of a team: the amount taken since it started, which only grows.
struct QuotaReport
{
	std::string team;
	double taken = 0.0;
};

/// What is left of a team's bucket.
struct QuotaLevel
{
	std::string team;
	double left = 0.0;
};

/// By what a request was refused.
enum class QuotaRefusalReason : std::uint8_t
{
	None,     ///< It was not.
	Level,    ///< Nothing is left of the team's bucket, as far as is known.
	Part,     ///< Something is left, but not for all that ask for it at all gateways.
	OwnShare, ///< The others are not heard, and this gateway has had its share.
	Grantor,  ///< The gateway that grants for the team has none left.
	Pending,  ///< What is left will be known as the others are heard, within moments: the request has to wait.
};

/// By which rule a request is admitted.
enum class QuotaRule : std::uint8_t
{
	Local,   ///< By what this gateway knows of all: see QuotaLedger::take().
	Share,   ///< It fits into this gateway's share of what is left, and passes.
	Granted, ///< By the gateway that grants for the team.
};

/// What a grantor's ledger decided.
struct QuotaGrant
{
	GrantOutcome outcome = GrantOutcome::Unable;
	Micros wait = 0; ///< Until it is likely to be able, or something to be left.
};

/// @returns the name used in logs.
std::string_view toString(QuotaRefusalReason _bound);

/// What became of a request.
struct QuotaVerdict
{
	QuotaRefusalReason bound = QuotaRefusalReason::None;
	Micros wait = 0; ///< Until it is likely to pass.

	/// @returns whether the amount was taken.
	bool passes() const
	{
		return bound == QuotaRefusalReason::None;
	}
};

/// A gateway let requests of a team through while it heard nothing of the others.
struct QuotaGap
{
	std::string team;
	Micros gap = 0;           ///< Between two words of the others.
	double taken = 0.0;       ///< Let through in it.
	double levelBefore = 0.0; ///< Of the bucket, as the next word came.
};

/// What became of a team's requests here in a span in which some were refused.
struct QuotaTally
{
	std::string team;
	std::size_t passed = 0;
	std::map<QuotaRefusalReason, std::size_t> refused; ///< By what.
	std::size_t grants = 0;                            ///< That this gateway gave, to requests here and elsewhere.
	std::size_t grantsRefused = 0;
	double level = 0.0;  ///< Of the bucket at the end of the span.
	double demand = 0.0; ///< That all gateways are taken to be asked for, a second's worth.
};

/// What this gateway knows of one team's quota, for people who look at a running gateway.
struct QuotaView
{
	std::string team;
	double level = 0.0;
	double takenHere = 0.0;
	double takenByAll = 0.0; ///< A second's worth, as far as is known.
};

/// All teams' buckets.
/// @remarks A gateway that is not heard may be taking its equal share, so that share of the rate is left
/// to it. One that has lost the others takes just that share itself. The sum stays within the rate either way.
class QuotaLedger
{
public:
	/// For so long after a start in the middle of a day, a gateway has no full word of the others.
	static constexpr Micros kSettling = 3 * kSecond;

	/// A gateway that starts while the system runs does not know what was taken before. It begins with a part of
	/// what was kept of a team's bucket, or with an empty one.
	void setFirstStart(bool _firstStart)
	{
		m_firstStart = _firstStart;
	}

	/// Names what was left of buckets before this gateway started; to be called before configure().
	void setStoredLevels(std::map<std::string, std::uint64_t> _levels)
	{
		m_keptLevels = std::move(_levels);
	}

	/// @returns what is left of each limited team's bucket, to be kept for gateways that start.
	std::map<std::string, std::uint64_t> levels(Micros _now) const;

	/// @returns of whom there is word.
	const FleetLiveness& word() const
	{
		return m_liveness;
	}

	/// @returns what a gateway that has just started is told of the teams' buckets; nothing where this one does not
	/// know it for sure.
	std::vector<QuotaLevel> levelsToReport(Micros _now) const;

	/// A gateway that has been running for long says what is left; taken in by one that has just started, once.
	/// @remarks Without it, one that is restarted alone shares what was kept of a bucket with all others, as if
	/// they had been restarted too, and refuses a team that asks for less than its limit for seconds.
	void adopt(const std::vector<QuotaLevel>& _levels, Micros _now);

	/// Sets the limits in force. A team without one takes freely.
	void configure(const RoutingConfig& _config, Micros _now);

	/// Names the gateways there are, this one included; to be called before configure(), since those that start
	/// together share what a bucket begins with.
	void setMembers(std::size_t _members);

	/// Lets time pass; to be called several times a second, since who is silent changes.
	void advance(Micros _now);

	/// Takes an amount for a request.
	/// @param[in] _waited For how long it has waited for word of the others, where it was told to.
	QuotaVerdict take(const std::string& _team, double _amount, Micros _now, Micros _waited = 0);

	/// @returns by which rule a request is admitted.
	/// @remarks What all gateways let through before they hear of each other is in proportion to the requests that
	/// come to all of them, whatever is left. It is small beside the limit where that is many requests a second. A
	/// team with fewer is granted its requests one by one, unless so much is left that each gateway's equal share
	/// is a request or more: all shares together are what is left.
	QuotaRule ruleFor(const std::string& _team, double _amount, Micros _now);

	/// Takes an amount where no grantor decides: by this gateway's equal share of the rate and the burst.
	/// @param[in] _luck Of this gateway, from 0 to less than 1. Where its share of the burst is less than a
	/// request, chance decides which of the gateways lets one through, so that all of them together keep the burst.
	QuotaVerdict takeEqualShare(const std::string& _team, double _amount, double _luck, Micros _now);

	/// Takes an amount that fits into this gateway's share.
	void takeFromShare(const std::string& _team, double _amount, Micros _now);

	/// Grants an amount to a request here or at another gateway; it counts as taken here.
	QuotaGrant grant(const std::string& _team, double _amount, Micros _now);

	/// A grant was not used.
	void takeBack(const std::string& _team, double _amount, Micros _now);

	/// A request here was granted.
	void onGranted(const std::string& _team, double _amount, Micros _now);

	/// A request here was refused by the grantor.
	QuotaVerdict onGrantRefused(const std::string& _team, double _amount, Micros _wait, Micros _now);

	/// A request here that was granted did not run.
	void onGrantUnused(const std::string& _team, double _amount, Micros _now);

	/// @returns how many requests a second a team's limit allows, by the mean size of those that were seen here.
	double requestsPerSecond(const std::string& _team) const;

	/// Gives back what a request took that did not run.
	void giveBack(const std::string& _team, double _amount, Micros _now);

	/// A peer says what it has taken; to be called before onHeard() for the same message.
	/// @param[in] incarnation The peer's run: its counts begin at 0.
	/// @param[in] uptime For how long the peer has been running: all that a young one took is recent.
	void onReport(const std::string& _peer, std::uint64_t _incarnation, const QuotaReport& _report, Micros _now,
				  Micros _uptime = kNever);

	/// A peer was heard.
	/// @param[in] _proved When this gateway sent what the peer has answered; its word is at least as new.
	/// @param[in] _gateways For which it speaks.
	void onHeard(const std::string& _peer, Micros _now, Micros _proved, std::size_t _gateways = 1);

	/// A collector's sums were heard; to be called after onReport() for the same message, in place of onHeard().
	/// @param[in] _group Over which gateways the sums are: one collector of each group is listened to at a time.
	/// @param[in] _source Names that collector, as in onReport().
	/// @remarks What was taken between the last word of the collector before and the first of this one is in no
	/// growth, and is reckoned with the rate. Taken for nothing, 13 gateways whose two collectors were killed had
	/// 0.9 s of a team's rate more than 15 others, and let through two thirds of what all did (log of one day with
	/// 87 gateways while the team asked for three times its limit).
	void onSums(const std::string& _group, const std::string& _source, Micros _now, Micros _proved,
				std::size_t _gateways);

	/// A request that was charged before runs once more: what runs is charged, whatever is left.
	void charge(const std::string& _team, double _amount, Micros _now);

	/// @returns in which gaps between words requests were let through since the last call, for the log.
	std::vector<QuotaGap> takeGaps();

	/// @returns what became of the requests of each team of which some were refused since the last call, for the
	/// log.
	std::vector<QuotaTally> takeTallies(Micros _now);

	/// @returns what is known of each team with a limit.
	std::vector<QuotaView> views(Micros _now) const;

	/// @returns what this gateway has taken for a team since it started.
	double takenHere(const std::string& _team) const;

private:
	struct Team
	{
		TokenBucket bucket;
		TokenBucket own;       ///< What was taken by requests here alone.
		TokenBucket ungranted; ///< Of that, by what this gateway knows.
		double takenHere = 0.0;
		Micros advanced = kLongAgo; ///< Until then the shares of silent gateways are recorded.
		UsageRate rate;
		double admitted = 0.0;       ///< Of the next request, while only a part is admitted.
		double takenSinceWord = 0.0; ///< Let through here since the others were heard last.
		std::uint64_t words = 0;     ///< That had been heard as it was counted.
		QuotaTally tally;            ///< Since it was asked for.

		/// Counts an amount as taken here.
		void take(double _amount, Micros _now);
	};

	struct PeerCount
	{
		std::uint64_t incarnation = 0;
		double taken = 0.0;
	};

	/// What a decision rests on.
	struct Standing
	{
		bool alone = false; ///< The others are not heard.
		double level = 0.0;
		double own = 0.0; ///< Of the equal share.
	};

	/// @returns whether this gateway goes by its equal share: it has lost most of the others, or has just started.
	/// It then takes no more than its part of the rate and of the burst: the share of the rate that it leaves to
	/// the others is forgotten with the takings of 10 s, so that each of 30 of 87 gateways that were cut off had a
	/// whole burst (14.58 of 11.03 million tokens in 8 s for a team that asks for three times its limit, 10.11 so;
	/// quotarestarttest).
	bool alone(Micros _now) const;
	Standing standingOf(const Team& _team, Micros _now) const;
	/// @returns what this gateway let through in the span of news, and since the others were heard last.
	double takenLately(const Team& _team, Micros _now) const;
	/// @returns whether this gateway has had its part of what all may take before they hear of each other.
	bool exceedsPart(const Team& _team, const Standing& _standing, double _amount, Micros _now) const;
	/// @returns the span within which one gateway's news reach the others, in seconds.
	double propagationDelay() const;
	static QuotaVerdict refusal(const Team& _team, const Standing& _standing, double _amount);
	/// @returns how long a request has to wait at a level.
	static Micros waitAt(double _level, const Team& _team, double _amount);
	/// Counts a request that passes by what this gateway knows.
	void pass(Team& _team, double _amount, Micros _now) const;
	static double requestsPerSecond(const Team& _team, double _mean);
	/// @returns whether a team's limit allows so few requests of a mean size that they are granted one by one.
	static bool isGranted(const Team& _team, double _mean);
	/// @returns what is likely to have been taken without word of it yet. All gateways reckon with the whole, so
	/// that none of them gets ahead by having taken most of it itself. While no word comes, the others go on as
	/// before: that is what a gateway which stood still, or hears nothing, holds back for them.
	double unheard(const Team& _team, Micros _now) const;
	/// @returns the same of the others alone.
	double unheardOfOthers(const Team& _team, Micros _now) const;
	/// @returns for how long the others have been unheard beyond the usual, in seconds.
	double secondsLate(Micros _now) const;
	/// @returns the part of the requests that may pass, in a large fleet, so that what all gateways let through
	/// before they hear of each other fits into the level.
	/// @remarks Let through by the level alone, a team that asked for six times its quota of 77 gateways got 1.12
	/// to 1.20 times what it has in 8 s, by turns all and nothing; with this 1.04 to 1.07 (fleettabletest).
	double admittedPart(const Team& _team, double _level, double _amount, Micros _now) const;
	/// @returns what all gateways are asked for, a second's worth.
	double demand(const Team& _team, double _amount, Micros _now) const;
	/// @returns whether a team asks here for more than is let through.
	static bool isRefusedMuch(const Team& _team, Micros _now);
	/// @returns whether a team asked for less than its limit, as far as is known.
	bool isBelow(const Team& _team, Micros _now) const;
	/// @returns whether this gateway does not know yet what the others took before it started.
	bool settling(Micros _now) const;
	/// Time passes.
	void onTick(Micros _now);
	/// Counts the share of the rate that is left to silent gateways as taken.
	void recordSilentShare(Team& _team, Micros _now) const;
	/// Counts what a part of the gateways took in a span that no word will tell of, since another collector tells
	/// from now on.
	void recordUnreported(Team& _team, double _part, Micros _span, Micros _now) const;
	/// Notes what passed in a long gap between two words; to be called before the second is taken in.
	void noteGap(Micros _now);
	/// A limit takes hold that this gateway did not know before.
	void beginLimit(Team& _team, const TeamAccess& _access, Micros _now) const;
	/// @returns what a bucket holds as this gateway first hears of it.
	double startLevel(const TeamAccess& _team) const;
	/// @returns what all are taken to have let through for a team in the second before this gateway started.
	double startTakings(const TeamAccess& _team) const;

	std::map<std::string, std::uint64_t> m_keptLevels;
	std::map<std::string, Team> m_teams;
	std::map<std::string, std::map<std::string, PeerCount>> m_peerCounts;
	FleetLiveness m_liveness;
	std::uint64_t m_words = 0;    ///< That were heard.
	std::vector<QuotaGap> m_gaps; ///< One for each team at most until taken.
	Micros m_started = kNever;    ///< When it was first configured.
	bool m_firstStart = true;
	bool m_adopted = false; ///< It was told what is left of the buckets.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_H
