// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Finds requests that crash the backend servers that run them, from the crashes that all gateways report.

#ifndef BEACONGATE_COORDINATION_CRASHLEDGER_H
#define BEACONGATE_COORDINATION_CRASHLEDGER_H

#include "coordination/backendkey.h"
#include "coordination/requestfingerprint.h"
#include "coordination/soundparts.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace beacongate
{
/// A crash of one incarnation of a backend server while a request ran there.
struct Crash
{
	BackendKey backend;   ///< See CrashLedger::nextCrashKey().
	bool cleared = false; ///< It does not count: the request ended well afterwards, or an operator released it.

	bool operator==(const Crash&) const = default;
};

/// All crashes during which a request ran, as one gateway reports them to another.
struct CrashRecord
{
	RequestFingerprint request;
	std::vector<Crash> crashes; ///< At most one for each incarnation, ordered by key.
	Micros age = 0;             ///< Time since the last change of the crashes.
};

/// What is known against a request.
enum class Suspicion : std::uint8_t
{
	None,
	Suspected, ///< It ran during a crash: it is sent, with precautions.
	Blocked,   ///< It ran during so many crashes that it is not sent any more.
};

/// Reason of a change of a request's suspicion.
enum class CrashChange : std::uint8_t
{
	Suspected, ///< A further crash was reported.
	Blocked,   ///< The last crash needed was reported.
	Completed, ///< It ended well.
	Unblocked, ///< Another request, or an overload, is blamed for its crashes.
	Released,  ///< An operator released it.
	Expired,   ///< Its retention ended.
};

/// @returns the name used in logs.
std::string_view toString(CrashChange _change);

/// A change, for the log.
struct CrashNotice
{
	RequestFingerprint request;
	CrashChange change = CrashChange::Suspected;
	std::size_t crashes = 0; ///< Crashes that are not cleared, after the change.
	unsigned weight = 0;     ///< Their weight.
};

/// Set of crashes by request, merged from all gateways.
///
/// A crash is a pair of a request and an incarnation of a backend server, so reports of one crash from several
/// gateways, repeated and reordered reports count once. A clearance of such a pair overrides the pair. Both only
/// grow, so that copies that have received the same reports are equal, in whatever order the reports came. Whether
/// a request is blocked is computed from all crashes and is not state of its own.
///
/// A crash usually has one cause. Requests are assessed in the order of their crashes, the one with the most first,
/// and a crash during which a blocked request ran counts half for those after it. A request that only ran beside
/// one that crashes its servers is therefore unblocked again as the other one's crashes become more than its own.
///
/// A crash is also charged to each shared part of the prompts that ran there, as if the part was a request of its
/// own, since requests that are all different may have the part in common that crashes servers. Most parts that are
/// charged are innocent: they stand in the guilty prompts as well, or ran beside them. These are answered elsewhere
/// all the time, which clears them, and a part that was answered lately is not suspected. Parts with the same
/// crashes that all stand in the guilty prompts form a group: only requests with all of them are blocked, until an
/// answer to a request with some of them, or another crash, tells them apart.
///
/// A brittle server that rejects more requests than it bears ends as if it crashed. Such an overload is a record
/// like that of a request, and takes the weight from all crashes of its incarnation.
class CrashLedger
{
public:
	/// Weight of a crash during which no blocked request ran.
	static constexpr unsigned kCrashWeight = 2;
	/// Weight of a crash during which a request with more crashes ran that is blocked. Two requests that both crash
	/// their servers may run on the same one, so that it is more than 0.
	static constexpr unsigned kExplainedWeight = 1;
	/// Weight that blocks a request: three crashes of its own.
	static constexpr unsigned kBlockingWeight = 3 * kCrashWeight;
	/// Time from a part's first crash until it can be blocked. Servers that fail together charge many parts several
	/// times at one moment; those that are innocent are answered elsewhere, and cleared, within this time.
	static constexpr Micros kPartConfirmation = 1 * kSecond;
	/// Weight from which a request is suspected.
	static constexpr unsigned kSuspectedWeight = kCrashWeight;
	/// Requests and parts that the ledger holds, which bounds its memory to 160 KB. When it is full, the request
	/// with the fewest crashes gives way; of these, the one whose last crash is the longest ago. A smaller ledger
	/// forgets a request that crashes servers which run many others before it has crashed the third one.
	static constexpr std::size_t kMaxRequests = 512;
	/// Records in a whole report, which bounds it to 6 KB.
	static constexpr std::size_t kMaxReported = 64;
	/// Crashes kept for one request; cleared ones give way to new ones.
	static constexpr std::size_t kMaxCrashes = 8;
	/// Time after the last crash for which a request is remembered. A blocked request then becomes a suspected one
	/// that a single further crash blocks again.
	static constexpr Micros kRetention = 3600 * kSecond;
	/// Times for which each change is reported, since datagrams may be lost.
	static constexpr unsigned kReportRounds = 4;

	/// @returns the key under which a crash is noted if a request is sent to a backend server now and crashes it.
	/// It is the incarnation's key, or one derived from it if that crash is known already: the server is back, and
	/// its record is not renewed yet.
	BackendKey nextCrashKey(const RequestFingerprint& _request, BackendKey _backend) const;

	/// Notes that a request ran on a backend server when it crashed.
	/// @param[in] _backend Key that nextCrashKey() returned when the request was sent.
	void onCrash(const RequestFingerprint& _request, BackendKey _backend, Micros _now);

	/// Notes that a request and the parts of its prompt ran on a backend server when it crashed.
	/// @param[in] _backends Keys that nextCrashKeys() returned when the request was sent.
	void onCrash(const CrashSubjects& _subjects, const std::vector<BackendKey>& _backends, Micros _now);

	/// @returns the result of nextCrashKey() for the request and then for each part.
	std::vector<BackendKey> nextCrashKeys(const CrashSubjects& _subjects, BackendKey _backend) const;

	/// Notes that an incarnation of a backend server has rejected more requests than it bears, so that its end is
	/// no sign against what ran there.
	void onOverloaded(BackendKey _backend, Micros _now);

	/// Notes that a request ended well: it does not crash its servers by itself.
	void onCompleted(const RequestFingerprint& _request);

	/// Notes that a request ended well: neither it nor a part of its prompt crashes servers by itself.
	void onCompleted(const CrashSubjects& _subjects, Micros _now);

	/// Notes that a request has been answered for so long that no part of its prompt crashes servers.
	void onPartsSound(const CrashSubjects& _subjects, Micros _now);

	/// Clears a request on behalf of an operator.
	/// @returns false if nothing is known against it.
	bool release(const RequestFingerprint& _request);

	/// Merges records of another gateway.
	void merge(const std::vector<CrashRecord>& _records, Micros _now);

	/// Applies the end of retention. Must be called several times a minute.
	void expire(Micros _now);

	/// @returns what is known against a request.
	Suspicion suspicionOf(const RequestFingerprint& _request) const;

	/// @returns what is known against a request or a part of its prompt, whichever is more.
	Suspicion suspicionOf(const CrashSubjects& _subjects) const;

	/// @returns the request, or the part of its prompt, against which the most is known.
	RequestFingerprint mostSuspected(const CrashSubjects& _subjects) const;

	/// @returns the weight of a request's crashes, 0 if there are none.
	unsigned weightOf(const RequestFingerprint& _request) const;

	/// @returns the largest weight of a request and of those parts of its prompt that are suspected or blocked.
	unsigned weightOf(const CrashSubjects& _subjects) const;

	/// @returns the records with the most crashes, whether cleared or not; at most kMaxReported.
	std::vector<CrashRecord> records(Micros _now) const;

	/// @returns the records that changed recently and are to be reported in this round, those with the most crashes
	/// first.
	/// @param[in] _relay Include changes that were merged from other gateways.
	/// @param[in] _maxCount Largest number of records; the others remain for the next round.
	std::vector<CrashRecord> takeChanges(bool _relay, std::size_t _maxCount, Micros _now);

	/// @returns a hash of the requests that have several crashes which are not cleared; equal ledgers have equal
	/// hashes. Requests with one crash are many after the failure of a rack, and are left to the reports of
	/// changes.
	std::uint64_t digest() const;

	/// @returns the changes since the last call, for the log; at most kMaxNotices.
	std::vector<CrashNotice> takeNotices();

	/// @returns the number of requests with a suspicion.
	std::size_t countOf(Suspicion _suspicion) const;

private:
	/// Notices that are kept until they are taken.
	static constexpr std::size_t kMaxNotices = 256;

	struct Entry
	{
		std::vector<Crash> crashes;            ///< Ordered by key.
		unsigned weight = 0;                   ///< Weight of the crashes, as last assessed.
		Suspicion suspicion = Suspicion::None; ///< As last assessed.
		bool sound = false;                    ///< It is a part that was answered lately.
		bool confirmed = true;                 ///< It is not a part, or kPartConfirmation is over.
		Micros onset = kNever;   ///< When the first crash that is not cleared became known; kNever for none.
		std::uint64_t group = 0; ///< Hash of the crashes that it shares with other blocked parts; 0 if it is alone.
		std::size_t groupSize = 1; ///< Number of these parts, itself included.
		Micros changed = 0;        ///< Time of the last crash.
		unsigned reportRounds = 0; ///< Rounds in which the last change is still to be reported.
		bool ownChange = false;    ///< This gateway made one of the changes to be reported.
	};

	using Entries = std::unordered_map<RequestFingerprint, Entry, RequestFingerprintHash>;

	/// @returns true if a request has all the parts of a blocked part's group in its prompt.
	bool holdsGroupOf(const RequestFingerprint& _part, const CrashSubjects& _subjects) const;
	static std::size_t uncleared(const Entry& _entry);
	/// Adds a crash or its clearance.
	/// @returns true if the entry changed.
	static bool add(Entry& _entry, const Crash& _crash);
	static CrashRecord recordOf(const RequestFingerprint& _request, const Entry& _entry, Micros _now);
	/// Keeps the records with the most crashes.
	static void keepMostSevere(std::vector<CrashRecord>& _records, std::size_t _maxCount);
	/// @returns true if the entry changed.
	bool mergeRecord(const CrashRecord& _record, Micros _now);
	void markChanged(Entry& _entry, bool _own);
	/// Clears all crashes of a request.
	/// @returns false if there are none.
	bool clear(const RequestFingerprint& _request, CrashChange _cause);
	/// Computes all weights anew after a change.
	/// @param[in] _cause Change to be noted for requests whose suspicion falls.
	void assess(CrashChange _cause);
	using OrderedEntries = std::vector<std::pair<const RequestFingerprint, Entry>*>;
	/// @returns the entries in the order in which they are assessed: those to blame first.
	OrderedEntries assessmentOrder();
	using BackendKeys = std::unordered_set<BackendKey, BackendKeyHash>;
	/// @returns the keys of crashes that overloads explain.
	BackendKeys overloaded() const;
	static unsigned weigh(const Entry& _entry, bool _isPart, const BackendKeys& _explained,
						  const BackendKeys& _overloaded);
	static Suspicion suspicionFor(const Entry& _entry);
	/// Blocks a part, and as a group with it those that have the same crashes.
	static void formGroup(const OrderedEntries& _order, std::pair<const RequestFingerprint, Entry>& _item);
	/// Notes which parts were answered lately, and which ones can be blocked.
	/// @returns true if that changed for one of them.
	bool advance(Micros _now);
	void evict();
	void addNotices(const OrderedEntries& _order, const std::vector<Suspicion>& _before, CrashChange _cause);
	void addNotice(const RequestFingerprint& _request, CrashChange _change, const Entry& _entry);

	Entries m_entries;
	SoundParts m_soundParts;
	std::vector<CrashNotice> m_notices;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CRASHLEDGER_H
