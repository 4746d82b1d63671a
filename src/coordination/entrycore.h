// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decision core of an entry: admission, queueing, routing, retries, claims, moves and shutdown.
///
/// A deterministic state machine that turns an event and the time into actions. It does no I/O and
/// reads no clock; the same events at the same times give the same actions.

#ifndef BEACONGATE_COORDINATION_ENTRYCORE_H
#define BEACONGATE_COORDINATION_ENTRYCORE_H

#include "coordination/events.h"
#include "coordination/fairqueue.h"
#include "coordination/hometable.h"
#include "coordination/request.h"
#include "coordination/retrybudget.h"
#include "coordination/router.h"
#include "state/backends.h"
#include "state/catalog.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>

namespace beacongate
{
/// Settings of an entry.
struct EntrySettings
{
	EntryRef self;
	std::string dataCentre;
	RoutePolicy policy = RoutePolicy::ExpectedFirstToken;
	std::uint64_t seed = 1;
	Micros stopGrace = 2 * kSecond; ///< Requests are still accepted for this long after a stop request.
};

/// Counters since the start.
struct EntryStats
{
	std::uint64_t accepted = 0;
	std::uint64_t done = 0;
	std::uint64_t notRun = 0;
	std::uint64_t unknown = 0;
	std::uint64_t attempts = 0;
	std::uint64_t retries = 0;
	std::uint64_t moves = 0;
	std::uint64_t framesDropped = 0;    ///< Messages of abandoned attempts or attachments, and repeated tokens.
	std::uint64_t tokens = 0;           ///< Tokens received from engines.
	std::uint64_t recomputedTokens = 0; ///< Prompt tokens prefilled again after a retry or a move.
	std::uint64_t savedTokens = 0;      ///< Delivered tokens that a resumed attempt did not generate again.
};

/// One entry's decision core.
class EntryCore
{
public:
	explicit EntryCore(EntrySettings _settings);

	/// Processes one event.
	/// @param[in] _now Present time; never smaller than in the previous call.
	/// @param[out] _out Actions are appended in the order in which they have to be performed.
	void handle(Event _event, Micros _now, Actions& _out);

	/// @returns true if a requested stop is complete or its notice has passed.
	bool stopped() const;

	/// @returns true if this run is stopping, has ended its requests and handed over its kept answers.
	bool drained() const;

	/// @returns true if a stop was requested.
	bool stopping() const;

	/// @returns true if new requests should be sent to this entry.
	bool healthy() const;

	const EntrySettings& settings() const;
	const EntryStats& stats() const;
	const Catalog& catalog() const;
	const BackendTable& backends() const;
	const HomeTable& home() const;
	const VmView& vms() const;

	/// @returns the version of the configuration in force, 0 for none.
	std::uint64_t configVersion() const;

	/// @returns the requests by id; finished ones are kept for callers that reattach.
	const std::unordered_map<RequestId, std::unique_ptr<Request>>& requests() const;

	/// @returns the number of requests that are not finished.
	std::size_t activeRequests() const;

	/// @returns the decisions of an active or recently ended request, or nullptr.
	const std::vector<Decision>* explain(RequestId _request) const;

	/// @returns the number of queued requests of a service.
	std::size_t queued(ServiceHandle _service) const;

private:
	/// Queue and drain rate of one service.
	struct ServiceState
	{
		FairQueue queue;
		double served = 0.0;    ///< Cost completed since the last sample.
		double drainRate = 0.0; ///< Smoothed cost per second while requests were queued, 0 before the first sample.
		Micros sampledAt = 0;
		bool backlogged = false; ///< Requests were queued during the whole sample.
	};
	using Due = std::pair<Micros, RequestId>;
	using DueQueue = std::priority_queue<Due, std::vector<Due>, std::greater<>>;

	void on(CallerRequest& _event);
	void on(const CallerGone& _event);
	void on(AttemptTokens& _event);
	void on(AttemptDone& _event);
	void on(AttemptFailed& _event);
	void on(const SnapshotArrived& _event);
	void on(const BackendReported& _event);
	void on(PeerArrived& _event);
	void on(const Tick& _event);
	void on(const StopRequested& _event);

	// entryrequests.cpp
	std::unique_ptr<Request> makeRequest(const CallerRequest& _event, TeamHandle _team, ServiceHandle _service);
	static void estimateCost(Request& _request);
	std::string fullKey(TeamHandle _team, ServiceHandle _service, const std::string& _callerKey) const;
	void enqueue(Request& _request);
	void requeue(Request& _request);
	void dispatchQueued(ServiceHandle _service);
	void dispatch(Request& _request, const RouterChoice& _route);
	void detachAttempt(Request& _request);
	Request* requestOfAttempt(AttemptId _attempt);
	void retry(Request& _request, const AttemptFailed& _fault);
	void recordFailure(BackendHandle _backend);
	void moveRequestsOff(BackendHandle _backend);
	void sampleDrainRate(ServiceState& _service);
	void expire();
	void checkProgress();

	// entryanswers.cpp
	void deliver(Request& _request);
	void finishModel(Request& _request);
	void finishPlain(Request& _request, AttemptDone& _event);
	void conclude(Request& _request, ExecutionResult _result);
	void fail(Request& _request, Failure _failure, Outcome _outcome, const std::string& _detail);
	void reject(ExchangeId _exchange, Failure _failure, const std::string& _detail, Micros _retryAfter);
	void subscribe(Request& _request, const Subscriber& _subscriber);
	void sendEnd(const Request& _request, const Subscriber& _subscriber);
	void erase(Request& _request);
	void keepAnswer(Request& _request);
	void recordDecision(Request& _request, DecisionKind _kind, std::string _subject = {},
						std::uint64_t _weighed = 0, std::uint64_t _value = 0);
	Micros retryAfter(const ServiceState& _service) const;
	ServiceState& stateOf(ServiceHandle _service);

	// entryclaims.cpp
	void requestClaim(Request& _request);
	void resendPeerRequest(Request& _request);
	void abandonClaim(Request& _request, Failure _failure);
	void onPeer(const EntryRef& _from, ClaimRequest& _message);
	void onPeer(const EntryRef& _from, ClaimReply& _message);
	void onPeer(const EntryRef& _from, ClaimUpdate& _message);
	void onPeer(const EntryRef& _from, Seal& _message);
	void onPeer(const EntryRef& _from, SealAck& _message);
	void onPeer(const EntryRef& _from, AttachRequest& _message);
	void onPeer(const EntryRef& _from, AttachTokens& _message);
	void onPeer(const EntryRef& _from, AttachEnd& _message);
	void onPeer(const EntryRef& _from, RequestHandover& _message);
	void onPeer(const EntryRef& _from, HandoverAck& _message);
	void handOverRequests();
	void handOverRequest(Request& _request);
	void sendHandover(Request& _request);
	void sendMoved(const Request& _request);
	void onHeld(Request& _request, const Claim& _claim);
	void attachTo(Request& _request, const ClaimRequestRef& _executor);
	void joinLocal(Request& _request, Request& _executing);
	void reportResult(const Request& _request, ExecutionResult _result);
	void adoptRoster(const std::shared_ptr<const Roster>& _roster);
	std::vector<Claim> executedClaims() const;
	void handOverAnswers();
	void sendPeer(const EntryRef& _to, PeerMessage _message);
	void sendAll(std::vector<Addressed>& _messages);
	Request* findByKey(const std::string& _key);
	Request* findAttached(std::uint64_t _attach);

	EntrySettings m_settings;
	EntryStats m_stats;
	Micros m_now = 0;
	Actions* m_out = nullptr; ///< Set while handle() runs.

	std::uint64_t m_configVersion = 0;
	Catalog m_catalog;
	BackendTable m_backends;
	VmView m_vms;
	HomeTable m_home;
	Router m_router;
	RetryBudget m_budget;
	std::vector<ServiceState> m_services; ///< By service index.

	std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
	std::unordered_map<AttemptId, RequestId> m_attempts;
	std::unordered_map<std::string, RequestId> m_byKey;           ///< Keyed requests executed here.
	std::unordered_map<std::uint64_t, RequestId> m_byClaimNumber; ///< Requests that wait for a claim reply.
	std::unordered_map<std::uint64_t, RequestId> m_byAttach;      ///< Attachments to other entries, by number.
	std::unordered_map<ExchangeId, RequestId> m_byExchange;
	std::deque<RequestId> m_keptOrder;
	std::size_t m_keptBytes = 0;
	std::size_t m_active = 0;
	DueQueue m_deadlines;
	DueQueue m_peerRetries; ///< Claim requests and attachments to resend.
	std::deque<std::pair<RequestId, std::vector<Decision>>> m_endedDecisions;

	AttemptId m_nextAttempt = 1;
	std::uint64_t m_nextClaimNumber = 1;
	std::uint64_t m_nextAttach = 1;
	Micros m_nextSealSend = 0;
	Micros m_sealRetryDelay = limits::kSealRetry;
	Micros m_nextProgressCheck = 0;
	bool m_stopping = false;
	Micros m_acceptUntil = kNever;
	Micros m_stopBy = kNever;
	Micros m_handOverFrom = kNever; ///< Time from which requests are handed over to other entries.
	bool m_answersHandedOver = false;
	std::map<std::pair<EntryRef, std::uint64_t>, RequestId> m_receivedHandovers; ///< By sender and number.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ENTRYCORE_H
