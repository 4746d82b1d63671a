// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One caller's request from its arrival to its final answer.

#ifndef BEACONGATE_GATEWAY_EXCHANGE_H
#define BEACONGATE_GATEWAY_EXCHANGE_H

#include "beacongate/errors.h"
#include "coordination/attemptpolicy.h"
#include "coordination/overloadpolicy.h"
#include "gateway/gatewaycontext.h"
#include "gateway/requestinfo.h"
#include "protocol/eventstream.h"
#include "transport/outgoingcall.h"
#include "transport/serversession.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
class Dispatcher;

/// Admits a request, sends it to backend servers, and hands the answer on.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
	Exchange(GatewayContext& _context, Dispatcher& _dispatcher, ServerSessionPtr _session,
			 IncomingRequest&& _request);
	~Exchange();
	Exchange(const Exchange&) = delete;
	Exchange& operator=(const Exchange&) = delete;

	/// Decides whether the request is taken, and sends it on.
	void start();

	/// Sends the request to a backend server where one has room.
	/// @returns whether it left the queue: it was sent, or it was answered.
	bool tryDispatch();

	/// @returns urgency for the queue: smaller goes first.
	unsigned priority() const
	{
		return m_priority;
	}

	/// @returns when the request arrived.
	Micros received() const
	{
		return m_request.received;
	}

private:
	/// What the present attempt has seen.
	struct Attempt
	{
		BackendIdentity backend;
		BackendKey key; ///< Of the backend server.
		OutgoingCall::Ptr call;
		Micros sent = 0;
		unsigned slots = 0;
		MessageHead head;
		AnswerInfo info;
		std::string body;
		EventSplitter events;
		Micros listAge = 0; ///< How old the list of backend servers was as the request went out.
		ListingState listingState = ListingState::Gone; ///< Of the backend server on that list.
		bool afterBackoff = false; ///< One of the few that its backend server gets after a backoff.
		Micros backoffLeft = 0;    ///< Of what the backend server asked for, as the request went out.
		bool heldBack = false;     ///< It was not sent for a reason that does not lie with the backend server.
		bool onTheWire = false;
		bool firstEvent = false;
		Micros firstEventAt = 0;
		unsigned eventCount = 0;
		bool resumed = false; ///< It goes on where another run broke off.
		bool success = false;
	};

	bool resolve();
	bool resolveAgain();
	void chooseService();
	/// Takes from the team's quota, once.
	/// @returns whether the request may run; where not, it was refused or has to wait for word of the others.
	bool admit();
	bool takeQuota();
	/// Goes on once a grantor has decided.
	void onQuotaDecided();
	/// Charges one more run.
	void chargeRepeat();
	/// Counts the request in the load, whatever becomes of it.
	void countDemand();
	double quotaAmount() const;
	Micros timeLeft(Micros _now) const;
	bool keyMayBeRevoked(Micros _now) const;
	/// @returns which backend servers it may be sent to now.
	Availability available(Micros _now) const;
	/// @returns what it is weighed by while nothing has room for it.
	OverloadContext roomContext(Micros _now) const;
	/// Refuses what cannot be served in time.
	/// @returns whether it was refused.
	bool refuseWithoutRoom(const Availability& _available, Micros _now);
	/// @returns when the caller of a refused request may come again.
	Micros retryAfter(Micros _now);
	/// Tells that its backend server answered, or that it ended there, if it is one of the few after a backoff.
	void endAfterBackoff(bool _taken);
	void send(const KnownBackend& _backend);
	/// @returns whether the request may go out now that the connection to the backend server is up.
	bool mayStillSend();
	/// Notes by which list the request goes out, for the log.
	void noteStanding();
	std::string formatForward(const KnownBackend& _backend) const;
	void onHead(const MessageHead& _head);
	/// Takes in what the answer says of the backend server itself.
	void noteBackendState();
	void onBody(std::string_view _bytes);
	void onEvents(std::string_view _bytes);
	void onDone();
	void onFault(CallFault _fault);
	void endAttempt(AttemptResult _result);
	void closeAttempt(bool _succeeded);
	void releaseBackend();
	void countBegin();
	void passAnswer();
	void finishStream();
	void streamBroke();
	void refuse(Failure _failure, const std::string& _detail, Micros _retryAfter = 0);
	void answerOwn(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter);
	void onCallerGone();
	void onTimeout();
	void finish(const std::string& _outcome, unsigned _status, const std::string& _detail = {});

	GatewayContext& m_context;
	Dispatcher& m_dispatcher;
	ServerSessionPtr m_session;
	IncomingRequest m_request;
	RequestInfo m_info;
	RoutingConfigPtr m_config;
	const Route* m_route = nullptr;
	const TeamAccess* m_team = nullptr;
	std::string m_service;
	PlacementRequest m_placement;
	unsigned m_priority = 5;
	Micros m_holdUntil = kNever;
	Attempt m_attempt;
	std::vector<std::string> m_tried;
	unsigned m_sent = 0;
	unsigned m_unsentTries = 0;
	bool m_mayHaveRun = false;
	bool m_streaming = false;
	bool m_finished = false;
	bool m_queued = false;
	bool m_heldForList = false; ///< It waited for a newer list of backend servers.
	bool m_usageCounted = false;
	bool m_admitted = false;
	double m_quotaTaken = 0.0;
	QuotaTicket m_quotaTicket;
	std::optional<std::uint64_t> m_lastEvent;
	boost::asio::steady_timer m_timer;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_EXCHANGE_H
