// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The control's decisions: configuration, roster, leadership of a data centre, VM list.
///
/// Deterministic like EntryCore. One operation on the store is under way at a time. What
/// the store says counts only if it is newer than what this control has; nothing that is
/// merely remembered is ever written back.

#ifndef BEACONGATE_COORDINATION_CONTROLCORE_H
#define BEACONGATE_COORDINATION_CONTROLCORE_H

#include "beacongate/errors.h"
#include "state/fleetview.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace beacongate
{
/// A configuration document, read and checked.
struct ConfigDoc
{
	std::string text;
	std::shared_ptr<const Config> config;
	std::vector<std::string> history; ///< Ids of the latest changes, newest last.
};

/// A roster with the text that the store holds.
struct RosterDoc
{
	std::string text;
	std::shared_ptr<const Roster> roster;
};

/// Reads and writes documents; given by the protocol layer, since this layer knows no JSON.
struct DocumentCodec
{
	/// @throws Error ConfigInvalid
	std::function<ConfigDoc(const std::string& _text)> readConfig;
	/// Applies an operator's statement and stamps version and change id.
	/// @throws Error ConfigInvalid or QueryInvalid
	std::function<ConfigDoc(const std::string& _baseText, const std::string& _statement,
							const std::string& _changeId)>
		editConfig;
	/// @throws Error MalformedRequest
	std::function<RosterDoc(const std::string& _text)> readRoster;
	std::function<std::string(const Roster& _roster)> writeRoster;
};

/// What a control is started with.
struct ControlSettings
{
	std::string id; ///< Id of the entry beside it.
	std::string region;
	std::string dataCentre;
	std::string vm;
	Address peerAddress;        ///< The entry's, for the roster.
	Address controlAddress;     ///< Its own, for the roster.
	std::vector<Address> seeds; ///< Controls to ask before there is a roster.
	bool hasVmList = false;
	std::uint64_t seed = 1;
};

/// How an operation on the store ended.
enum class StoreStatus
{
	Ok,
	CompareFailed, ///< The value had changed; nothing was written.
	Failed,        ///< Nothing was done.
	Lost,          ///< No answer: it may have been done.
};

/// A value as the store gave it.
struct StoreValue
{
	bool exists = false;
	std::string text;
	std::int64_t modRevision = 0; ///< 0 where it does not exist.
	std::int64_t createRevision = 0;
};

/// The store answered, or did not.
struct StoreAnswered
{
	std::uint64_t op = 0;
	StoreStatus status = StoreStatus::Failed;
	StoreValue value;          ///< Of a get, or of a swap whose comparison failed.
	std::int64_t revision = 0; ///< Of a swap that succeeded.
	std::int64_t lease = 0;    ///< Of a lease grant.
};

/// What another control, or the entry beside, has.
struct VersionSet
{
	std::uint64_t config = 0;
	std::uint64_t roster = 0;
	std::uint64_t vmDigest = 0;
	auto operator<=>(const VersionSet&) const = default;
};

/// Another control told what it has, and sent what this one lacked.
struct PeerExchange
{
	Address from;
	VersionSet versions;
	std::string configText; ///< Empty where not sent.
	std::string rosterText;
	std::optional<VmView> vms;
	bool isReply = false; ///< It answers an exchange of ours and gets no reply.
};

/// The entry beside told its state.
struct EntryReported
{
	EntryRef entry;
	VersionSet versions;
	bool stopping = false;
	bool drained = false; ///< Stopping, and everything has ended and is handed over.
};

/// No entry answers beside this control.
struct EntryUnreachable
{
};

/// An operator wants a change.
struct OperatorChange
{
	std::uint64_t requestNumber = 0; ///< Number for the answer.
	std::string changeId;            ///< Unique; found again in the document's history.
	std::string statement;
};

/// One VM of the platform's list.
struct VmListItem
{
	std::string id;
	bool leaving = false;
	Micros notice = 0; ///< Span that is left, where leaving.
};

/// The platform's VM list arrived.
struct VmListArrived
{
	std::vector<VmListItem> items;
};

/// Time has passed.
struct ControlTick
{
};

using ControlEvent = std::variant<StoreAnswered, PeerExchange, EntryReported, EntryUnreachable, OperatorChange,
								  VmListArrived, ControlTick>;

/// Read a value.
struct StoreGet
{
	std::uint64_t op = 0;
	std::string key;
};

/// Write a value if its revision is the expected one (0: if it does not exist).
struct StoreSwap
{
	std::uint64_t op = 0;
	std::string key;
	std::int64_t expectedRevision = 0;
	std::string text;
	std::int64_t lease = 0; ///< 0 for none.
};

/// Ask for a lease.
struct StoreLeaseGrant
{
	std::uint64_t op = 0;
	Micros ttl = 0;
};

/// Renew a lease.
struct StoreLeaseRenew
{
	std::uint64_t op = 0;
	std::int64_t lease = 0;
};

/// Give the entry beside what it lacks.
struct SyncEntry
{
	Snapshot snapshot;
	std::string configText; ///< Empty where the entry has it.
	std::string rosterText;
};

/// Tell another control what this one has, with what the other lacks.
struct SendExchange
{
	Address to;
	PeerExchange exchange;
};

/// Tell an operator the end of a change.
struct AnswerOperator
{
	std::uint64_t requestNumber = 0;
	bool ok = false;
	Failure failure = Failure::Internal;
	std::string detail;
	std::uint64_t version = 0; ///< In force, or that won.
};

/// Read the platform's VM list.
struct ReadVmList
{
};

using ControlAction = std::variant<StoreGet, StoreSwap, StoreLeaseGrant, StoreLeaseRenew, SyncEntry, SendExchange,
								   AnswerOperator, ReadVmList>;
using ControlActions = std::vector<ControlAction>;

/// Counters since the start.
struct ControlStats
{
	std::uint64_t storeReads = 0;
	std::uint64_t storeWrites = 0;
	std::uint64_t storeFailures = 0;
	std::uint64_t exchanges = 0;
	std::uint64_t staleRefused = 0; ///< Documents older than the one in force.
	std::uint64_t invalidRefused = 0;
};

/// One control's decision core.
class ControlCore
{
public:
	ControlCore(ControlSettings _settings, DocumentCodec _codec);

	/// Takes in one event; as EntryCore::handle().
	void handle(ControlEvent _event, Micros _now, ControlActions& _out);

	/// @returns whether this control does the store's work for its data centre.
	bool isLeader() const;

	/// @returns the token that orders of this leader carry; grows with each lease holder.
	std::int64_t fencingToken() const;

	/// @returns whether the last operation on the store succeeded.
	bool storeReachable() const;

	const ControlSettings& settings() const;
	const ControlStats& stats() const;
	const ConfigDoc& config() const;
	const RosterDoc& roster() const;
	const VmView& vms() const;
	VersionSet versions() const;

	/// @returns the last report of the entry beside, if there is one.
	const std::optional<EntryReported>& entry() const;

private:
	/// What an operation on the store is for.
	enum class Purpose
	{
		ReadConfig,
		ReadRoster,
		ReadLeader,
		GrantLease,
		RenewLease,
		TakeLeadership,
		SwapRoster,
		ReadForChange,
		SwapForChange,
		ReadBackChange,
	};

	/// A change that an operator waits for.
	struct PendingChange
	{
		OperatorChange request;
		Micros giveUp = 0;
		ConfigDoc edited;
		std::int64_t base = 0;
		bool mayBeDone = false; ///< A swap was sent whose answer was lost.
	};

	void on(StoreAnswered& _event);
	void on(PeerExchange& _event);
	void on(EntryReported& _event);
	void on(const EntryUnreachable& _event);
	void on(OperatorChange& _event);
	void on(VmListArrived& _event);
	void on(const ControlTick& _event);

	void nextStoreOp();
	void storeRead(Purpose _purpose, const std::string& _key);
	void storeSwap(Purpose _purpose, const std::string& _key, std::int64_t _expected, std::string _text,
				   std::int64_t _lease);
	void onReadConfig(const StoreAnswered& _event);
	void onReadRoster(const StoreAnswered& _event);
	void onReadLeader(const StoreAnswered& _event);
	void onLease(const StoreAnswered& _event);
	void onLeadership(const StoreAnswered& _event);
	void onRosterSwapped(const StoreAnswered& _event);
	void onChangeRead(const StoreAnswered& _event);
	void onChangeSwapped(const StoreAnswered& _event);
	void onChangeReadBack(const StoreAnswered& _event);
	bool isChangeUnderWay() const;
	void answerChange(bool _ok, Failure _failure, const std::string& _detail);
	bool adoptConfig(const std::string& _text);
	bool adoptRoster(const std::string& _text);
	bool mergeVms(const VmView& _vms);
	std::optional<Roster> wantedRoster() const;
	void syncEntry();
	void spread();
	void exchangeWith(const Address& _to, const VersionSet& _theirs, bool _reply);
	std::vector<Address> pickPeers(std::size_t _count);
	void noteFailure();
	Micros leaderReadSpan();
	std::string leaderKey() const;
	std::string rosterKey() const;

	ControlSettings m_settings;
	DocumentCodec m_codec;
	ControlStats m_stats;
	std::mt19937_64 m_random;
	Micros m_now = 0;
	ControlActions* m_out = nullptr; ///< Set while handle() runs.

	ConfigDoc m_config;
	RosterDoc m_roster;
	std::int64_t m_rosterRevision = 0;
	bool m_rosterFresh = false; ///< m_roster is what the store held at m_rosterRevision.
	VmView m_vms;
	std::map<std::string, unsigned> m_vmMissing; ///< VMs seen in the list, and lists since that lack them.
	std::optional<EntryReported> m_entry;

	std::uint64_t m_nextOp = 1;
	std::uint64_t m_op = 0; ///< Under way, 0 for none.
	Purpose m_purpose = Purpose::ReadConfig;
	bool m_storeReachable = false;
	unsigned m_storeFailures = 0;
	Micros m_storeNext = 0; ///< Not before this time, after failures.
	Micros m_readNext = 0;
	Micros m_lastHeard = 0; ///< Last word from a control that reaches the store.
	Micros m_configRead = -1;
	Micros m_rosterRead = -1;

	std::int64_t m_lease = 0;
	Micros m_leaseRenewNext = 0;
	Micros m_leaderReadNext = 0;
	std::int64_t m_fencing = 0;
	bool m_leader = false;
	bool m_leaderVacant = false;

	std::deque<PendingChange> m_changes;
	Micros m_gossipNext = 0;
	Micros m_vmListNext = 0;
};

/// @returns a number that two equal views share.
std::uint64_t digestOf(const VmView& _vms);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CONTROLCORE_H
