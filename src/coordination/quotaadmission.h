// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Admits requests by their teams' quotas, either by this gateway's own ledger or by a grant of another gateway.

#ifndef BEACONGATE_COORDINATION_QUOTAADMISSION_H
#define BEACONGATE_COORDINATION_QUOTAADMISSION_H

#include "coordination/grantorchoice.h"
#include "coordination/quotagrantor.h"
#include "coordination/quotaledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// The quota state of one request, from its arrival to its end.
struct QuotaTicket
{
	std::uint64_t id = 0;       ///< Number of the pending grant request; 0 for none.
	Micros firstTried = kNever; ///< Time of the first admission attempt.
	std::string grantor;        ///< Grantor that admitted it; empty if this gateway's ledger did.
	bool admitted = false;
};

/// Reports that a grantor did not answer or could not decide, and is now in backoff.
struct GrantorNotice
{
	std::string host;
	bool answered = false;
	Micros span = 0; ///< Duration of the backoff.
};

/// Outcomes of grant requests since this gateway started.
struct QuotaGrantCounts
{
	std::uint64_t granted = 0;
	std::uint64_t refused = 0;
	std::uint64_t unable = 0;
	std::uint64_t unanswered = 0;
	std::uint64_t undecided = 0; ///< Requests that no grantor decided on.
	std::uint64_t returned = 0;  ///< Grants that arrived too late and were returned.
};

/// Decides on requests and sends grant requests to grantors.
class QuotaAdmission
{
public:
	using Send = std::function<void(const std::string& _host, const QuotaMessage& _message)>;
	using Decided = std::function<void()>;

	/// Time without an answer after which a grant request is sent once more, since datagrams get lost.
	static constexpr Micros kResendDelay = 75 * kMillisecond;
	/// Time after which a grantor that does not answer is in backoff, and the next one is asked.
	static constexpr Micros kGrantorTimeout = 150 * kMillisecond;
	/// Time for which a request waits for grantors that do not answer, one after the other.
	static constexpr Micros kMaxGrantWait = 500 * kMillisecond;
	/// Time for which a request waits for a grantor that will soon know what is left. After a stall of all
	/// gateways, a team below its limit would otherwise be refused what exceeds its equal share.
	static constexpr Micros kMaxLaterWait = 1 * kSecond;

	/// @param[in] _host Host of this gateway.
	/// @param[in] _firstId Start of the numbering, drawn at random at each start, so that answers to an earlier
	/// run's requests are recognised.
	QuotaAdmission(QuotaLedger& _ledger, QuotaGrantor& _grantor, std::string _host, std::uint64_t _firstId);

	/// Sets the function that sends messages.
	void setSend(Send _send)
	{
		m_send = std::move(_send);
	}

	/// Sets the gateways that may grant.
	void setGrantors(std::vector<std::string> _hosts)
	{
		m_choice.setHosts(std::move(_hosts));
	}

	/// Ends all holds after a change of limits, since requests that were refused before may now be admitted.
	void onLimitsChanged()
	{
		m_holds.clear();
	}

	/// Decides on a request. Must be called again with the same ticket while the verdict is
	/// QuotaRefusalReason::Pending.
	/// @param[in] _decided Called when an answer has arrived.
	QuotaVerdict take(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now,
					  Decided _decided);

	/// Ends a request that has not been decided on.
	void abandon(QuotaTicket& _ticket);

	/// Returns the quota of a request that was admitted but did not run.
	void refund(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now);

	/// Handles a grantor's answer.
	void onAnswer(const std::string& _host, const QuotaGrantAnswer& _answer, Micros _now);

	/// @returns the grantor failures since the last call, for the log.
	std::vector<GrantorNotice> takeNotices();

	/// @returns the outcomes of grant requests.
	const QuotaGrantCounts& counts() const
	{
		return m_counts;
	}

private:
	enum class State : std::uint8_t
	{
		Waiting, ///< Waits for a grantor's answer.
		Granted,
		Refused,
		Undecided, ///< No grantor decides, so this gateway's equal share does.
	};

	/// A grant request that waits for its decision.
	struct Pending
	{
		std::string team;
		double amount = 0.0;
		State state = State::Waiting;
		std::vector<std::string> grantors;
		std::size_t nextGrantor = 0; ///< Index of the next grantor to ask.
		bool resent = false;         ///< The request was sent twice to the last grantor.
		bool askAgain = false;       ///< The last grantor asked to be asked again.
		bool laterPromised = false;  ///< A grantor answered GrantOutcome::Later.
		Micros polledAt = 0;
		Micros waited = 0;      ///< Time waited for the last grantor.
		Micros totalWaited = 0; ///< Time waited for all grantors.
		std::string grantor;    ///< Grantor that decided.
		Micros wait = 0;        ///< Refusals only: time until a request may be admitted.
		Decided decided;
	};

	/// A time during which a team's requests are refused without a grant request.
	struct Hold
	{
		Micros until = 0;
		Micros ready = 0; ///< Time at which the bucket is likely to have something left.
	};

	QuotaVerdict poll(QuotaTicket& _ticket, Pending& _pending, Micros _now);
	/// Sends the request again, or to another grantor, if no answer has arrived in time.
	void resendOrFailOver(std::uint64_t _id, Pending& _pending, Micros _now);
	/// Sends the request to the next grantor.
	void requestFromNext(std::uint64_t _id, Pending& _pending, Micros _now);
	void onDecided(Pending& _pending, const std::string& _host, const QuotaGrantAnswer& _answer, Micros _now);
	void onUndecided(std::uint64_t _id, Pending& _pending, GrantOutcome _outcome, Micros _now);
	void addNotice(const GrantorNotice& _notice);
	QuotaVerdict finish(QuotaTicket& _ticket, Pending& _pending, Micros _now);

	QuotaLedger& m_ledger;
	QuotaGrantor& m_grantor;
	std::string m_host;
	Send m_send;
	GrantorChoice m_choice;
	std::uint64_t m_lastId;
	double m_shareThreshold;                    ///< This gateway's threshold for QuotaLedger::takeEqualShare().
	std::map<std::uint64_t, Pending> m_pending; ///< By number, for each request that waits.
	std::map<std::string, Hold> m_holds;        ///< By team; only teams with a limit.
	std::vector<GrantorNotice> m_notices; ///< At most one for each grantor between two calls of takeNotices().
	QuotaGrantCounts m_counts;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAADMISSION_H
