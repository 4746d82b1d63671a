// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Asks other gateways for slots of brittle backend servers.

#ifndef BEACONGATE_COORDINATION_SLOTPERMITS_H
#define BEACONGATE_COORDINATION_SLOTPERMITS_H

#include "coordination/backofftable.h"
#include "coordination/balancer.h"
#include "coordination/rendezvoushomes.h"
#include "coordination/slotgrantor.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// A request's wait for a slot; kept by the request between calls.
struct SlotTicket
{
	std::uint64_t id = 0; ///< Number of the request for a slot; 0 for none.
	BackendKey backend;
	bool paced = false;       ///< The last grant was one under the server's limit.
	std::string grantor = {}; ///< Host that gave the last grant; empty if this gateway decided alone.
};

/// The slot that a request needs.
struct SlotNeed
{
	BackendKey backend;
	unsigned slots = 1;               ///< Slots of the backend server.
	std::optional<double> rejections; ///< Rejections that it bears in a second; nothing if it is not brittle.
	unsigned priority = 0;            ///< A smaller value goes first.
	Micros patience = 0;              ///< For how long the request can wait.
	std::optional<double> limit = {}; ///< Requests a second that it allows; nothing if it names no limit.
	/// The slots are those of prompts, see SlotRules. Load reports count requests in flight, and do not tell them.
	bool prompts = false;
};

enum class SlotVerdict : std::uint8_t
{
	Granted, ///< The request has to be sent now.
	Pending,
	Denied, ///< The backend server is to be passed over for a while.
};

/// This gateway's slots at brittle backend servers, and its requests under limits.
///
/// The grantor of a server is the first of its homes, which all gateways find by rendezvous hashing. The second one
/// takes its place if it does not answer; it hears of all grants and reports as well, so that it knows what is in
/// use. A home that has just started refers to the others until it knows. Costs, for each request whatever the size
/// of the fleet: one question, one or two answers, a notice of the grantor to the next home, and kReported reports
/// at its end if the server is brittle. While a home does not answer or starts there are up to kHomes of each.
class SlotPermits
{
public:
	using Send = std::function<void(const std::string& _host, const SlotMessage& _message)>;
	using Decided = std::function<void()>;
	/// Takes a turn under a server's limit if one is due.
	/// @returns 0 if it was taken, else the time until the next one.
	using TakeTurn = std::function<Micros(BackendKey _backend)>;

	/// Homes that are asked, one after the other.
	static constexpr std::size_t kHomes = 3;
	/// Homes that answer and are told of what is in use. Those before them are told as well.
	static constexpr std::size_t kReported = 2;
	/// Time without an answer after which a request is sent once more, since datagrams get lost.
	static constexpr Micros kResendDelay = 50 * kMillisecond;
	/// Time without an answer after which the next home is asked.
	static constexpr Micros kAnswerTimeout = 120 * kMillisecond;
	/// Shortest such time for prompts, which wait for less than kAnswerTimeout in all: the next home is asked after
	/// half of their patience. Otherwise they would be refused first, and no gateway would note that the home is
	/// silent.
	static constexpr Micros kMinAnswerTimeout = 40 * kMillisecond;
	/// Time for which a home that did not answer is not asked. It doubles with each further failure, since gateways
	/// of an earlier build never answer.
	static constexpr Micros kSilentSpan = 1 * kSecond;
	static constexpr Micros kMaxSilentSpan = 8 * kSecond;
	/// Longest time in a grantor's queue. Meanwhile other servers may have free slots.
	static constexpr Micros kMaxPatience = 150 * kMillisecond;
	/// The same for a server with a limit: its grantor knows when each queued request is granted.
	static constexpr Micros kMaxPacedPatience = 1 * kSecond;
	/// Age from which a grant under a limit is not used any more. Requests that were held up together would reach
	/// the server together.
	static constexpr Micros kMaxGrantAge = 1 * kSecond;
	/// Time for which a server whose grantor denied a slot is passed over.
	static constexpr Micros kDeniedSpan = 50 * kMillisecond;
	/// Time for which a request still counts at its server after its caller has left, since some servers go on
	/// running requests whose connections were closed.
	static constexpr Micros kAbandonedSpan = 1 * kSecond;
	/// Interval between two reports of what is in use.
	static constexpr Micros kReportInterval = 1 * kSecond;
	/// Time after which the report that nothing is in use any more is repeated once. If it got lost, no other
	/// message would follow, and the grantor would keep the slot until SlotGrantor::kUseLifetime has passed.
	static constexpr Micros kRepeatDelay = 100 * kMillisecond;

	/// @param[in] _host Host of this gateway.
	/// @param[in] _firstId Number from which requests are counted; another one at each start.
	SlotPermits(const Balancer& _loads, SlotGrantor& _grantor, std::string _host, std::uint64_t _firstId)
		: m_loads(_loads), m_grantor(_grantor), m_host(std::move(_host)), m_lastId(_firstId)
	{
	}

	/// Sets the function that sends a message to another gateway.
	void setSend(Send _send)
	{
		m_send = std::move(_send);
	}

	/// Sets the function that decides under limits where no home answers.
	void setTakeTurn(TakeTurn _takeTurn)
	{
		m_takeTurn = std::move(_takeTurn);
	}

	/// Replaces the known members of the fleet.
	void setMembers(const std::set<MemberRecord>& _members);

	/// Asks for a slot. Must be called again while the verdict is Pending.
	/// @param[in] _decided Called when an answer has arrived.
	SlotVerdict take(SlotTicket& _ticket, const SlotNeed& _need, Micros _now, Decided _decided);

	/// @returns the backend server for whose slot a request waits, if it is among those that may be used; else
	/// nullptr, after ending a wait for another one.
	const KnownBackend* waitsFor(SlotTicket& _ticket, const Availability& _available, Micros _now);

	/// @returns true if a request waits in the queue of a grantor.
	bool isQueued(const SlotTicket& _ticket) const;

	/// @returns true if a home was asked for a request's slot and has not answered.
	bool isAsked(const SlotTicket& _ticket) const;

	/// Ends a request for a slot that is not needed any more.
	void abandon(SlotTicket& _ticket, Micros _now);

	/// Notes that a request at a brittle server has ended.
	/// @param[in] _rejected Rejections that the server bears in a second, if it rejected this one for want of room.
	/// @param[in] _abandoned It was sent, and ended without an answer.
	void onEnded(BackendKey _key, std::optional<double> _rejected, bool _abandoned, Micros _now);

	/// Tells the other homes of a server that a request is sent there which they have not granted.
	void tellHomes(const GrantNotice& _notice, Micros _now);

	/// Notes that another gateway runs, from which a message has arrived.
	void onHeard(const std::string& _host);

	/// Notes that a server names no limit any more.
	void onLimitEnded(BackendKey _key);

	/// Processes the answer of another gateway, or of this one.
	void onAnswer(const std::string& _host, const SlotAnswer& _answer, Micros _now);

	/// Reports what is in use at brittle servers. Must be called several times a second.
	/// @param[in] _keys Brittle servers at which this gateway may have requests in flight.
	void report(const std::vector<BackendKey>& _keys, Micros _now);

	/// Removes servers that are to be passed over for a while, but not the one for which a request waits. Brittle
	/// ones may take requests at any moment; for those at their limits, the time is known.
	void narrow(Availability& _available, const SlotTicket& _ticket, Micros _now) const;

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	enum class State : std::uint8_t
	{
		Asked,
		Queued,
		Granted,
		Denied,
	};

	struct Pending
	{
		SlotNeed need;
		State state = State::Asked;
		std::string granted;            ///< Host that granted it; empty if this gateway decided alone.
		std::vector<std::string> homes; ///< That can be asked, best first.
		/// Homes that referred, and until when they do. They are asked last, and have to decide then.
		std::vector<std::pair<Micros, std::string>> starting;
		bool insists = false; ///< The homes that are left are those that referred.
		std::size_t nextHome = 0;
		bool resent = false;
		Micros askedAt = 0; ///< When the last home was asked first.
		Micros polledAt = 0;
		Micros waited = 0; ///< For the last home.
		Micros wait = 0;   ///< Time until a denied request may be granted under the server's limit.
		Decided decided;
	};

	struct Server
	{
		std::vector<std::string> homes;              ///< Best first; empty if they have to be determined.
		std::map<std::string, Micros> startingUntil; ///< Homes that referred, and until when they will.
		std::string grantor;                         ///< Home that answered last.
		std::uint64_t lastGrant = 0;                 ///< Of that home.
		unsigned unplaced = 0;                       ///< Grants whose requests have not been sent yet.
		Micros passedOverUntil = 0;
		bool atLimit = false;              ///< It is passed over because of its limit.
		std::deque<Micros> abandonedUntil; ///< Ends of the times for which abandoned requests count.
		Micros reportedAt = kLongAgo;
		bool repeats = false; ///< The last report has not been repeated.
	};

	struct Silence
	{
		Micros until = 0;
		Micros span = 0;
	};

	Server& serverOf(BackendKey _key);
	SlotUse useOf(BackendKey _key, Server& _server, const std::string& _home, Micros _now) const;
	/// Notes that a granted request has been sent, or will not be.
	static void onPlaced(Server& _server);
	void sendReport(BackendKey _key, std::optional<double> _rejected, Micros _now);
	/// Sends a report to one home, or processes it if that is this gateway.
	void sendTo(const std::string& _home, const SlotReport& _report, Micros _now);
	/// Processes a grant that no request waits for.
	void onUnusedGrant(const std::string& _host, const SlotAnswer& _answer, Micros _now);
	/// Returns a grant under a limit that no request uses, to its grantor and to the homes which that has told.
	void returnGrant(BackendKey _key, const std::string& _grantor, Micros _now);
	/// Notes a grant.
	/// @returns false if it was noted before: an answer may arrive twice.
	bool noteGrant(const std::string& _grantor, std::uint64_t _request);
	bool isSilent(const std::string& _host, Micros _now) const;
	/// @returns the homes that are told of what is in use, and one more.
	std::vector<std::string> toldHomes(const Server& _server, const std::string& _more, Micros _now) const;
	static Micros patienceOf(const SlotNeed& _need);
	/// @returns the time without an answer after which the next home is asked.
	static Micros answerTimeout(const SlotNeed& _need);
	/// Determines the homes that can be asked.
	void findHomes(Pending& _pending, Micros _now);
	/// Processes the answer of a home that does not know what is in use.
	void onReferred(const std::string& _host, const SlotAnswer& _answer, Pending& _pending, Micros _now);
	void askNext(std::uint64_t _id, Pending& _pending, Micros _now);
	void ask(std::uint64_t _id, const Pending& _pending, const std::string& _home, Micros _now);
	void poll(std::uint64_t _id, Pending& _pending, Micros _now);
	void apply(Pending& _pending, const std::string& _host, const SlotAnswer& _answer);
	/// Decides where no home answers.
	void decideAlone(Pending& _pending, Micros _now);
	/// @returns true if this gateway has its share of a brittle server's slots left.
	bool hasShareLeft(const SlotNeed& _need) const;
	void noteSilence(const std::string& _host, Micros _now);

	const Balancer& m_loads;
	SlotGrantor& m_grantor;
	std::string m_host;
	std::uint64_t m_lastId;
	Send m_send;
	TakeTurn m_takeTurn;
	RendezvousHomes m_homes;
	std::size_t m_memberCount = 1;
	std::unordered_map<std::uint64_t, Pending> m_pending;
	std::unordered_map<BackendKey, Server, BackendKeyHash> m_servers;
	std::map<std::string, Silence> m_silent; ///< By host.
	/// Grantor and number of the last granted requests, oldest first.
	std::deque<std::pair<std::string, std::uint64_t>> m_granted;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SLOTPERMITS_H
