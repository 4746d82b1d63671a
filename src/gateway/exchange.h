// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The processing of one caller's request, from its arrival to its final answer.

#ifndef BEACONGATE_GATEWAY_EXCHANGE_H
#define BEACONGATE_GATEWAY_EXCHANGE_H

#include "beacongate/errors.h"
#include "coordination/attemptpolicy.h"
#include "coordination/overloadpolicy.h"
#include "coordination/requestfingerprint.h"
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

/// Admits one request, sends it to backend servers with retries, and forwards the answer to the caller.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
	Exchange(GatewayContext& _context, Dispatcher& _dispatcher, ServerSessionPtr _session,
			 IncomingRequest&& _request);
	~Exchange();
	Exchange(const Exchange&) = delete;
	Exchange& operator=(const Exchange&) = delete;

	/// Validates the request, then sends it or queues it.
	void start();

	/// Sends the request to a backend server if one has room.
	/// @returns true if the request must not stay in the queue: it was sent or it has ended.
	bool tryDispatch();

	/// Ends the request because this gateway stops now. A request whose answer has not begun gets one that says
	/// whether it may have run.
	void onStop();

	/// @returns the priority of the request in the queue; a smaller value goes first.
	unsigned priority() const
	{
		return m_priority;
	}

	/// @returns the time at which the request arrived.
	Micros received() const
	{
		return m_request.received;
	}

private:
	/// The state of the current attempt.
	struct Attempt
	{
		BackendIdentity backend;
		BackendKey key;                    ///< Identifies the backend server's incarnation.
		std::vector<BackendKey> crashKeys; ///< See CrashLedger::nextCrashKeys().
		Address address;
		std::string version;   ///< Software version of the backend server.
		VersionKey versionKey; ///< Key of that version.
		OutgoingCall::Ptr call;
		std::string via; ///< Host of the gateway through which it is connected; empty for a direct connection.
		Micros sent = 0; ///< When the attempt started.
		unsigned slots = 0;
		MessageHead head;
		AnswerInfo info;
		std::string body;
		std::shared_ptr<AnswerMemory::Share> memory; ///< Memory of the body; nullptr if it is empty.
		EventSplitter events;
		Micros listAge = 0; ///< Age of the list of backend servers when the request was sent.
		ListingState listingState = ListingState::Gone; ///< State of the backend server in that list.
		bool paced = false;                             ///< It was granted under the server's limit.
		std::string grantor;         ///< Gateway that granted it; empty if none had to, or this one decided alone.
		std::optional<double> limit; ///< Requests a second that the server was known to allow when it was chosen.
		bool backoffProbe = false;   ///< This is one of the few requests that a server gets after its backoff.
		Micros backoffLeft = 0;      ///< Remaining backoff of the server when the request was sent.
		/// The request was not sent, for a reason that is not the backend server's fault.
		bool withheld = false;
		bool refused = false; ///< The connection was refused.
		bool requestSent = false;
		bool connectionEnded = false; ///< The connection ended before the answer was complete.
		bool firstEventSeen = false;
		bool partsSound = false; ///< The stream has been arriving for longer than CrashDetector::kOnsetSpan.
		Micros firstEventAt = 0;
		unsigned eventCount = 0;
		bool resumed = false; ///< The stream continues one that broke off.
		bool success = false;
	};

	bool resolve();
	/// Finds the request's route and team in a configuration, and refuses the request if that does not allow it.
	/// If there is no route, the one of the earlier configuration is kept for the log and the metrics.
	/// @returns true if the request was not refused.
	bool applyConfig(const RoutingConfigPtr& _config);
	CrashSubjects computeSubjects() const;
	void chooseService();
	/// Takes the request's cost from the team's quota, once.
	/// @returns true if the request may run; if false, it was refused or waits for a quota grant.
	bool admit();
	bool takeQuota();
	/// Charges the team's quota for a retry of a request that may have run.
	void chargeRetry();
	/// Adds the request to the demand of its service, whether or not it succeeds.
	void countDemand();
	double quotaCost() const;
	Micros timeLeft(Micros _now) const;
	bool keyMayBeRevoked(Micros _now) const;
	/// @returns the backend servers to which the request may be sent now.
	Availability available(Micros _now) const;
	/// @returns the backend servers to which a request may be sent now.
	/// @param[in] _excluded Ids of backend servers to leave out.
	Availability availableWithout(const std::vector<std::string>& _excluded, Micros _now) const;
	/// @returns the conditions that decide whether the request waits for room.
	OverloadContext roomContext(Micros _now) const;
	/// Refuses the request if it cannot be served in time.
	/// @returns true if the request was refused.
	bool refuseWithoutRoom(const Availability& _available, Micros _now);
	/// @returns the time until which the request may be sent to a backend server; kNever unless this gateway stops.
	Micros latestStart() const;
	/// Refuses the request if this gateway stops before its answer could end.
	/// @returns true if the request was refused.
	bool refuseBeforeStop(Micros _now);
	/// Chooses a backend server. Requests that may crash their servers are kept apart.
	Placement place(const Availability& _available, Micros _now);
	bool isBlocked() const;
	/// Determines how backend servers are compared for the request.
	void preparePlacement(const Availability& _available, Micros _now);
	/// @returns true if an engine's home grants the request when the engine may read its prompt.
	bool usesPromptSlots() const;
	HeldRequest heldRequest(Micros _now) const;
	/// Refuses the request if no engine can read its prompt, and it has been held for as long as it may be.
	/// @returns true if it was refused.
	bool refuseInShortage(Micros _now);
	/// Chooses a backend server, and asks its grantor if it is brittle or names a limit.
	/// @returns nullptr if the request has to wait.
	const KnownBackend* chooseBackend(Availability _available, Micros _now);
	/// @returns a backend server without a limit that has room, for a request that is queued at one with a limit;
	/// nullptr if there is none.
	const KnownBackend* replaceQueued(Availability _available, std::optional<double> _rejections, Micros _now);
	/// @returns the rejections that each server of the request's service bears in a second; nothing if they are not
	/// brittle.
	std::optional<double> bearableRejections(Micros _now) const;
	SlotVerdict takeSlot(const KnownBackend& _backend, std::optional<double> _rejections,
						 std::optional<double> _limit, Micros _now);
	/// @returns the backend servers that take work and may run the request.
	std::vector<const KnownBackend*> usableBackends(Micros _now) const;
	/// @returns the key under which gateways remember where the stream began.
	StreamKey streamKey() const;
	/// Finds the software version at which a stream began that the caller takes up.
	/// @returns true if the request may go on; if false, it waits for other gateways or was refused.
	bool resolveStreamVersion(Micros _now);
	/// Logs what a search for a stream's version has found, and on what grounds.
	void logStreamOrigin(const OriginVerdict& _verdict, Micros _now) const;
	/// Binds the request to a software version and to the service that has it.
	void bindToVersion(VersionKey _version);
	/// Continues after a decision of other gateways.
	void onDecided();
	/// Refuses a stream that cannot go on, since no backend server of its software version takes work.
	/// @returns true if the request was refused.
	bool refuseWithoutVersion(Micros _now);
	/// @returns the delay after which the caller of a refused request may retry.
	Micros retryAfter(Micros _now);
	/// Reports the result of a request that was one of the few after a backoff.
	/// @param[in] _accepted True if the backend server accepted the request.
	void endBackoffProbe(bool _accepted);
	void send(const KnownBackend& _backend);
	/// @returns true if the request may be sent, now that the connection to the backend server is established.
	bool mayStillSend();
	/// Records the state of the list of backend servers by which the request is sent, for the log and the metrics.
	void recordListState();
	std::string formatForward(const KnownBackend& _backend) const;
	/// Opens the connection of an attempt.
	void connect(const BackendTarget& _target, CallConnectionHandler _done);
	void onHead(const MessageHead& _head);
	/// Applies what the answer's headers say about the backend server: leaving, backoff, limit.
	void applyBackendState();
	/// @param[in] _before Limit of the attempt's backend server before its answer.
	void logLimitChange(std::optional<double> _before) const;
	void onBody(std::string_view _bytes);
	/// Counts bytes of the body, and stops reading while answers take too much memory.
	void holdBody(std::size_t _bytes);
	void onEvents(std::string_view _bytes);
	/// Gives the engine model the time to the stream's first event, if that tells the speed of engines.
	void learnSpeed();
	/// Binds the stream to the software version of its first event, before that event is passed on.
	void noteStreamBegun();
	void onDone();
	void onFault(CallFault _fault);
	void failAttempt(AttemptResult _result);
	/// @returns for the log what became of the attempt's connection.
	std::string_view connectionText() const;
	/// Reports a connection that ended early to the crash detector, if the request may have caused it.
	void reportEndedConnection();
	/// Ends an attempt that gave a complete answer.
	void completeAttempt();
	void closeAttempt(bool _succeeded);
	/// @param[in] _abandoned The request was sent, and nothing waits for its answer any more.
	void releaseBackend(bool _abandoned);
	void countUsage();
	void forwardAnswer();
	void finishStream();
	void abortStream();
	void refuse(Failure _failure, const std::string& _detail, Micros _retryAfter = 0);
	void answerError(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter);
	void onCallerGone();
	/// Notes that the request may have run if an attempt has sent it.
	void noteRunningAttempt();
	void onTimeout();
	void finish(const std::string& _outcome, unsigned _status, const std::string& _detail = {});

	GatewayContext& m_context;
	Dispatcher& m_dispatcher;
	ServerSessionPtr m_session;
	IncomingRequest m_request;
	RequestInfo m_info;
	RoutingConfigPtr m_config;
	std::shared_ptr<const Route> m_route;     ///< Shares ownership of its configuration; nullptr at first.
	std::shared_ptr<const TeamAccess> m_team; ///< The same; nullptr if the request has no key.
	CrashSubjects m_subjects;
	std::string m_service;
	PlacementRequest m_placement;
	unsigned m_priority = 5;
	std::optional<double> m_queueDraw; ///< See queueRank().
	/// Smallest target latency of the service; nothing if the request is not under admission.
	std::optional<Micros> m_admissionTarget;
	Micros m_deadline = kNever;
	Attempt m_attempt;
	std::vector<std::string> m_triedBackends;
	unsigned m_sendCount = 0;
	unsigned m_unsentTries = 0;
	unsigned m_refusedTries = 0;
	bool m_mayHaveRun = false;
	bool m_streaming = false;
	bool m_finished = false;
	bool m_queued = false;
	bool m_connectionLost = false; ///< The connection of an attempt ended early, so that it may crash servers.
	bool m_heldForList = false;    ///< The request waited for a newer list of backend servers.
	bool m_usageCounted = false;
	bool m_admitted = false;
	double m_quotaTaken = 0.0;
	QuotaTicket m_quotaTicket;
	std::optional<std::uint64_t> m_lastEventId;
	/// Software version of the stream's first event. Events of two versions do not fit together, so that the stream
	/// may go on only there.
	std::optional<VersionKey> m_streamVersion;
	OriginTicket m_originTicket;
	SlotTicket m_slotTicket;
	boost::asio::steady_timer m_timer;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_EXCHANGE_H
