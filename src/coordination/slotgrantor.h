// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Grants the slots of brittle backend servers, and the requests that limits allow, to all gateways.

#ifndef BEACONGATE_COORDINATION_SLOTGRANTOR_H
#define BEACONGATE_COORDINATION_SLOTGRANTOR_H

#include "coordination/requestpace.h"
#include "coordination/slotgrant.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// The slots and the requests under limits that this gateway grants.
///
/// A server with a limit takes a number of requests a second from all gateways together. Turns or shares for each
/// gateway would change hands with every change of the members, and leave unused what a gateway does not need. So
/// one gateway paces each server (RequestPace), and notes the requests that others granted.
///
/// A brittle server falls over if it rejects more than a number of requests in a second, whichever gateways sent
/// them. Load reports are too old to prevent that, and a share of the slots for each gateway is less than one slot
/// in a large fleet. So one gateway decides for each server: it counts what all gateways have in flight there, and
/// they ask it before each request.
///
/// A server may have room for fewer requests than it has slots. The grantor uses as many slots as were in use at
/// once without a rejection, and tries a few more at a time, so that the rejections which this causes are fewer
/// than the server bears.
class SlotGrantor
{
public:
	using Send = std::function<void(const std::string& _host, const SlotAnswer& _answer)>;
	using Overloaded = std::function<void(BackendKey _backend, Micros _now)>;
	using Notify = std::function<void(const GrantNotice& _notice, Micros _now)>;

	/// Share of its slots for which a server is taken to have room before any are tried.
	static constexpr double kAssumedRoom = 0.5;
	/// Time without a rejection after which the slots that were tried count as usable.
	static constexpr Micros kTrialSpan = 50 * kMillisecond;
	/// Share of the rejections borne in a second that one trial may cause.
	static constexpr double kTrialShare = 0.25;
	/// Share of the rejections borne in a second that all trials in a second may cause.
	static constexpr double kTrialsShare = 0.5;
	/// Longest pause after a trial that was rejected; each further one doubles the pause.
	static constexpr Micros kMaxTrialPause = 4 * kSecond;
	/// Time for which a grant counts whose use no message has confirmed. Answers may be lost.
	static constexpr Micros kGrantLifetime = 1 * kSecond;
	/// Time for which a gateway's requests in flight count after its last message. It reports once a second.
	static constexpr Micros kUseLifetime = 3500 * kMillisecond;
	/// Time from the first message about a server until all gateways have reported their use. Until then requests
	/// are referred to another home, and the load reports of the gateways count as well.
	static constexpr Micros kStartSpan = 1500 * kMillisecond;
	/// Largest number of requests that wait for a server, as a multiple of its slots.
	static constexpr unsigned kQueueFactor = 2;
	/// Time between the next questions of two gateways that were denied under a limit. It bounds the questions
	/// about a server without room, whatever the number of gateways.
	static constexpr Micros kAskInterval = 5 * kMillisecond;
	/// Longest time by which that delays a gateway.
	static constexpr Micros kMaxAskDelay = 4 * kSecond;

	/// @param[in] _firstGrant Start of the numbering, drawn at random at each start.
	explicit SlotGrantor(std::uint64_t _firstGrant = 0) : m_lastGrant(_firstGrant)
	{
	}

	/// Sets the function that answers requests which were queued.
	void setSend(Send _send)
	{
		m_send = std::move(_send);
	}

	/// Sets the function that tells other homes of each grant.
	void setNotify(Notify _notify)
	{
		m_notify = std::move(_notify);
	}

	/// Sets the function that is told of a server that has rejected more requests than it bears.
	void setOverloaded(Overloaded _overloaded)
	{
		m_overloaded = std::move(_overloaded);
	}

	/// Decides on a request.
	/// @param[in] _host Gateway that sent it.
	/// @param[in] _reported Requests in flight at the server by the load reports of all gateways.
	SlotAnswer decide(const SlotRequest& _request, const std::string& _host, unsigned _reported, Micros _now);

	/// Processes a report of a gateway.
	void onReport(const SlotReport& _report, const std::string& _host, Micros _now);

	/// Processes a notice of a gateway.
	void onNotice(const GrantNotice& _notice, Micros _now);

	/// Notes that a server names no limit any more.
	void onLimitEnded(BackendKey _key);

	/// Answers the queued requests for which slots have become free. Must be called every few milliseconds while
	/// requests are queued.
	void advance(Micros _now);

	/// @returns the number of queued requests.
	std::size_t queued() const;

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	struct Grant
	{
		std::uint64_t number = 0;
		std::uint64_t request = 0;
		Micros at = 0;
	};

	/// What one gateway uses.
	struct Holder
	{
		unsigned inFlight = 0;
		std::deque<Grant> unconfirmed; ///< Grants that `inFlight` does not include yet.
		Micros heard = 0;
	};

	/// A request, and what it has to be granted for.
	struct Waiting
	{
		std::string host;
		std::uint64_t id = 0;
		unsigned priority = 0;
		Micros until = 0;
		bool needsSlot = false; ///< The server is brittle.
		bool needsPace = false; ///< The server has a limit.
	};

	struct Server
	{
		unsigned slots = 1;
		double rejections = 0.0;
		bool requested = false;                ///< A gateway has asked for a slot.
		std::map<std::string, Holder> holders; ///< By host; gateways that use nothing are left out.
		std::vector<Waiting> queue;            ///< By priority, then by arrival.
		Micros began = 0;
		unsigned reported = 0; ///< By load reports, as of the last request.
		unsigned proven = 1;   ///< Slots in use at once without a rejection.
		unsigned tried = 0;    ///< Slots granted beyond these in the current trial.
		Micros trialAt = 0;    ///< Start of the current trial.
		Micros nextTrial = 0;
		Micros trialPause = 0;         ///< Pause after the next rejection.
		std::deque<Micros> rejectedAt; ///< Rejections within the last second.
		std::optional<RequestPace> pace;
		Micros nextAsk = 0; ///< When the gateway that was denied last may ask again.
	};

	Server& serverOf(BackendKey _key, Micros _now);
	Server& serverOf(const SlotRequest& _request, unsigned _reported, Micros _now);
	static void noteUse(Server& _server, const SlotUse& _use, const std::string& _host, Micros _now);
	static void onRejected(Server& _server, Micros _now);
	/// Removes what has expired, and ends a trial that was not rejected.
	static void update(Server& _server, Micros _now);
	/// @returns the slots in use, as far as is known.
	static unsigned occupied(const Server& _server, Micros _now);
	static bool mayGrant(const Server& _server, const Waiting& _request, Micros _now);
	/// @returns true if a slot is free, or may be tried.
	static bool hasSlot(const Server& _server, Micros _now);
	static void setPace(Server& _server, double _limit, Micros _now);
	static SlotAnswer deny(Server& _server, const SlotRequest& _request, Micros _wait, Micros _now);
	/// @returns the number of slots that one trial adds.
	static unsigned trialSize(const Server& _server);
	static Micros firstTrialPause(const Server& _server);
	SlotAnswer grant(Server& _server, BackendKey _key, const Waiting& _request, Micros _now);
	void serveQueue(BackendKey _key, Server& _server, Micros _now);

	std::uint64_t m_lastGrant;
	Send m_send;
	Notify m_notify;
	Overloaded m_overloaded;
	std::unordered_map<BackendKey, Server, BackendKeyHash> m_servers;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SLOTGRANTOR_H
