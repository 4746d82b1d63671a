// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Admits requests by their teams' quotas: by what this gateway knows, or by a grant.

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
/// One request before its team's quota, from its arrival to its end.
struct QuotaTicket
{
	std::uint64_t id = 0;  ///< Of the ask that waits for its answer; 0 for none.
	Micros asked = kNever; ///< When it came first.
	std::string grantor;   ///< Who granted it; empty where it passed by what this gateway knows.
	bool passed = false;
};

/// A grantor did not answer, or could not decide, and is passed over.
struct GrantorNotice
{
	std::string host;
	bool answered = false;
	Micros span = 0;
};

/// What became of asks since this gateway started.
struct QuotaGrantCounts
{
	std::uint64_t granted = 0;
	std::uint64_t refused = 0;
	std::uint64_t unable = 0;
	std::uint64_t unanswered = 0;
	std::uint64_t undecided = 0; ///< Requests for which no grantor decided.
	std::uint64_t returned = 0;  ///< Grants that came too late.
};

/// Decides on requests, and asks grantors.
class QuotaAdmission
{
public:
	using Send = std::function<void(const std::string& _host, const QuotaMessage& _message)>;
	using Decided = std::function<void()>;

	/// After so long without an answer a grantor is asked once more, since datagrams get lost.
	static constexpr Micros kRepeatAfter = 75 * kMillisecond;
	/// For so long a grantor is waited for.
	static constexpr Micros kPatience = 150 * kMillisecond;
	/// For so long a request waits for grantors that do not answer, one after the other.
	static constexpr Micros kLongestAsk = 500 * kMillisecond;
	/// For so long a request waits for a grantor that will know soon. After all gateways stood still, a team that
	/// asks for less than its limit would else be refused what its equal share does not allow.
	static constexpr Micros kLongestLater = 1 * kSecond;

	/// @param[in] _host This gateway's.
	/// @param[in] _firstId Drawn anew at each start, so that an answer to an earlier run's ask is known as such.
	QuotaAdmission(QuotaLedger& _ledger, QuotaGrantor& _grantor, std::string _host, std::uint64_t _firstId);

	/// Names how messages are sent.
	void setSend(Send _send)
	{
		m_send = std::move(_send);
	}

	/// Names the gateways that may grant.
	void setGrantors(std::vector<std::string> _hosts)
	{
		m_choice.setHosts(std::move(_hosts));
	}

	/// Limits changed: what was refused before may pass.
	void onLimitsChanged()
	{
		m_holds.clear();
	}

	/// Decides on a request; to be called again with the same ticket while the verdict is
	/// QuotaRefusalReason::Pending.
	/// @param[in] _decided Called once an answer has come.
	QuotaVerdict take(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now,
					  Decided _decided);

	/// A request ends before it was decided on.
	void abandon(QuotaTicket& _ticket);

	/// A request that passed did not run.
	void giveBack(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now);

	/// A grantor's answer came.
	void onAnswer(const std::string& _host, const QuotaGrantAnswer& _answer, Micros _now);

	/// @returns which grantors were found failing since the last call, for the log.
	std::vector<GrantorNotice> takeNotices();

	/// @returns what became of asks.
	const QuotaGrantCounts& counts() const
	{
		return m_counts;
	}

private:
	enum class State : std::uint8_t
	{
		Waiting, ///< For the answer of a grantor.
		Granted,
		Refused,
		Undecided, ///< No grantor decides: by this gateway's equal share.
	};

	/// An ask.
	struct Pending
	{
		std::string team;
		double amount = 0.0;
		State state = State::Waiting;
		std::vector<std::string> grantors;
		std::size_t next = 0;  ///< Of them, to be asked.
		bool repeated = false; ///< The one that was asked last was asked twice.
		bool later = false;    ///< It wants to be asked again.
		bool promised = false; ///< Some grantor has said that it will know soon.
		Micros polled = 0;
		Micros waited = 0;    ///< For the grantor that was asked last.
		Micros waitedAll = 0; ///< For all of them.
		std::string grantor;  ///< Who decided.
		Micros wait = 0;      ///< Of a refusal.
		Decided decided;
	};

	/// In which requests of a team are refused without asking.
	struct Hold
	{
		Micros until = 0;
		Micros ready = 0; ///< When something is likely to be left.
	};

	QuotaVerdict poll(QuotaTicket& _ticket, Pending& _pending, Micros _now);
	/// Asks again, or another grantor, where no answer has come in time.
	void goOn(std::uint64_t _id, Pending& _pending, Micros _now);
	/// Asks the next grantor.
	void askNext(std::uint64_t _id, Pending& _pending, Micros _now);
	void onDecided(Pending& _pending, const std::string& _host, const QuotaGrantAnswer& _answer, Micros _now);
	void onUndecided(std::uint64_t _id, Pending& _pending, GrantOutcome _outcome, Micros _now);
	void note(const GrantorNotice& _notice);
	QuotaVerdict finish(QuotaTicket& _ticket, Pending& _pending, Micros _now);

	QuotaLedger& m_ledger;
	QuotaGrantor& m_grantor;
	std::string m_host;
	Send m_send;
	GrantorChoice m_choice;
	std::uint64_t m_lastId;
	double m_luck;                              ///< See QuotaLedger::takeEqualShare().
	std::map<std::uint64_t, Pending> m_pending; ///< One for each request that waits.
	std::map<std::string, Hold> m_holds;        ///< By team; limited ones alone.
	std::vector<GrantorNotice> m_notices;       ///< One for each grantor and span at most.
	QuotaGrantCounts m_counts;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAADMISSION_H
