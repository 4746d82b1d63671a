// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decision core of a control: configuration, roster, leadership of a data centre, VM list.
///
/// It is deterministic like EntryCore. One store operation is in flight at a time. A document of the store is
/// adopted only if it is newer than the one in force, and cached documents are never written back.

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
/// A configuration document, parsed and validated.
struct ConfigDoc
{
	std::string text;
	std::shared_ptr<const Config> config;
	std::vector<std::string> history; ///< Ids of the latest changes, newest last.
};

/// A roster and its stored text.
struct RosterDoc
{
	std::string text;
	std::shared_ptr<const Roster> roster;
};

/// Reads and writes documents. The protocol layer provides it, since this layer does not depend on JSON.
struct DocumentCodec
{
	/// @throws Error ConfigInvalid
	std::function<ConfigDoc(const std::string& _text)> readConfig;
	/// Applies an operator's statement and sets the version and the change id.
	/// @throws Error ConfigInvalid or QueryInvalid
	std::function<ConfigDoc(const std::string& _baseText, const std::string& _statement,
							const std::string& _changeId)>
		editConfig;
	/// @throws Error MalformedRequest
	std::function<RosterDoc(const std::string& _text)> readRoster;
	std::function<std::string(const Roster& _roster)> writeRoster;
};

/// Settings of a control.
struct ControlSettings
{
	std::string id; ///< Id of the local entry, which runs next to this control.
	std::string region;
	std::string dataCentre;
	std::string vm;
	Address peerAddress;        ///< Address of the local entry, for the roster.
	Address controlAddress;     ///< Address of this control, for the roster.
	std::vector<Address> seeds; ///< Controls to contact in addition to those of the roster.
	bool hasVmList = false;
	std::uint64_t seed = 1;
};

/// Result of a store operation.
enum class StoreStatus
{
	Ok,
	CompareFailed, ///< The value had changed; nothing was written.
	Failed,        ///< The operation was not performed.
	Lost,          ///< There was no answer; the operation may have been performed.
};

/// A value read from the store.
struct StoreValue
{
	bool exists = false;
	std::string text;
	std::int64_t modRevision = 0; ///< 0 if the key does not exist.
	std::int64_t createRevision = 0;
};

/// A store operation ended.
struct StoreAnswered
{
	std::uint64_t op = 0;
	StoreStatus status = StoreStatus::Failed;
	StoreValue value;          ///< Result of a get, or of a swap whose comparison failed.
	std::int64_t revision = 0; ///< Revision of a successful swap.
	std::int64_t lease = 0;    ///< Id of the lease that was granted or renewed.
};

/// Versions held by a control or an entry.
struct VersionSet
{
	std::uint64_t config = 0;
	std::uint64_t roster = 0;
	std::uint64_t vmDigest = 0;
	auto operator<=>(const VersionSet&) const = default;
};

/// Another control sent its versions, and the documents that this one lacked.
struct PeerExchange
{
	Address from;
	VersionSet versions;
	std::string configText; ///< Empty if not sent.
	std::string rosterText;
	std::optional<VmView> vms;
	bool isReply = false; ///< It answers an exchange of the receiver.
};

/// The local entry reported its state.
struct EntryReported
{
	EntryRef entry;
	VersionSet versions;
	bool stopping = false;
	bool drained = false; ///< It is stopping, its requests have ended and its answers are handed over.
};

/// The local entry does not answer.
struct EntryUnreachable
{
};

/// An operator requested a configuration change.
struct OperatorChange
{
	std::uint64_t requestNumber = 0; ///< Identifies the request in the answer.
	std::string changeId;            ///< Unique; recorded in the document's history.
	std::string statement;
};

/// One VM of the platform's list.
struct VmListItem
{
	std::string id;
	bool leaving = false;
	Micros notice = 0; ///< Remaining termination notice of a leaving VM.
};

/// The platform's VM list arrived.
struct VmListArrived
{
	std::vector<VmListItem> items;
};

/// Periodic timer.
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

/// Write a value if its revision is the expected one (0 for a key that does not exist).
struct StoreSwap
{
	std::uint64_t op = 0;
	std::string key;
	std::int64_t expectedRevision = 0;
	std::string text;
	std::int64_t lease = 0; ///< 0 for none.
};

/// Request a lease.
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

/// Send the local entry the documents that it lacks.
struct SyncEntry
{
	Snapshot snapshot;
	std::string configText; ///< Empty if the entry has it.
	std::string rosterText;
};

/// Send another control the versions of this one, and the documents that the other lacks.
struct SendExchange
{
	Address to;
	PeerExchange exchange;
};

/// Tell an operator the result of a change.
struct AnswerOperator
{
	std::uint64_t requestNumber = 0;
	bool ok = false;
	Failure failure = Failure::Internal;
	std::string detail;
	std::uint64_t version = 0; ///< Version in force.
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
	std::uint64_t staleRefused = 0; ///< Rejected documents that were older than the one in force.
	std::uint64_t invalidRefused = 0;
};

/// Decision core of one control.
class ControlCore
{
public:
	ControlCore(ControlSettings _settings, DocumentCodec _codec);

	/// Processes one event, like EntryCore::handle().
	void handle(ControlEvent _event, Micros _now, ControlActions& _out);

	/// @returns true if this control is the leader of its data centre.
	bool isLeader() const;

	/// @returns the fencing token of this leader's orders, 0 for none; it grows with each lease holder.
	std::int64_t fencingToken() const;

	/// @returns true if the store answered the last operation.
	bool storeReachable() const;

	const ControlSettings& settings() const;
	const ControlStats& stats() const;
	const ConfigDoc& config() const;
	const RosterDoc& roster() const;
	const VmView& vms() const;
	VersionSet versions() const;

	/// @returns the last report of the local entry, if there is one.
	const std::optional<EntryReported>& entry() const;

private:
	/// Purpose of the store operation in flight.
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

	/// A change whose operator waits for the result.
	struct PendingChange
	{
		OperatorChange request;
		Micros deadline = 0;
		ConfigDoc edited;
		std::int64_t base = 0;
		bool mayBeApplied = false; ///< A swap was sent and its answer was lost.
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
	bool isChangeInFlight() const;
	void answerChange(bool _ok, Failure _failure, const std::string& _detail);
	bool adoptConfig(const std::string& _text);
	bool adoptRoster(const std::string& _text);
	bool mergeVms(const VmView& _vms);
	std::optional<Roster> nextRoster() const;
	void syncEntry();
	void propagate();
	void exchangeWith(const Address& _to, const VersionSet& _peerVersions, bool _reply);
	std::vector<Address> pickPeers(std::size_t _count);
	void onStoreFailure();
	Micros leaderReadDelay();
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
	bool m_rosterFresh = false; ///< m_roster equals the value that the store held at m_rosterRevision.
	VmView m_vms;
	std::map<std::string, unsigned> m_vmMissing; ///< Consecutive lists that lack each known VM.
	std::optional<EntryReported> m_entry;

	std::uint64_t m_nextOp = 1;
	std::uint64_t m_opInFlight = 0; ///< Operation in flight, 0 for none.
	Purpose m_purpose = Purpose::ReadConfig;
	bool m_storeReachable = false;
	unsigned m_storeFailures = 0;
	Micros m_storeNotBefore = 0; ///< No store operation starts before this time, after failures.
	Micros m_readNext = 0;
	Micros m_lastExchangeAt = 0; ///< Time of the last exchange received from another control.
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

/// @returns a hash of the VM ids in a view; equal views have equal hashes.
std::uint64_t digestOf(const VmView& _vms);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CONTROLCORE_H
