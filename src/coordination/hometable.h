// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Home side of at-most-once execution: claims of keys, and the seals between entries.
///
/// A key has one home under one roster version, and a home grants a key once. At a roster change every
/// live entry sends a seal of the new version to every other: from then on it grants by the new version,
/// and the seal carries the claims whose home is now the receiver. A home serves a key when it has all
/// seals of its version, or when it has been the key's home without interruption since a version of which
/// it had all seals. docs/DESIGN.md explains why no key is granted twice; this relies on no clock and no lease.

#ifndef BEACONGATE_COORDINATION_HOMETABLE_H
#define BEACONGATE_COORDINATION_HOMETABLE_H

#include "coordination/peermessages.h"
#include "state/roster.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace beacongate
{
/// A message and its destination entry.
struct Addressed
{
	EntryRef to;
	PeerMessage message;
};

/// Table of the claims whose home this entry is or was.
class HomeTable
{
public:
	/// @param[in] _self This run of this entry.
	explicit HomeTable(EntryRef _self);

	/// Adopts a newer roster and seals it to every other live entry.
	/// @param[in] _executed Claims that this entry holds as an executor; the seals carry them as well.
	/// @returns the seals to send; none if the roster is not newer.
	std::vector<Addressed> adopt(const std::shared_ptr<const Roster>& _roster, const std::vector<Claim>& _executed,
								 Micros _now);

	/// Decides on a claim request.
	/// @param[in] _now Time from which limits::kClaimWindow is counted.
	ClaimReply onClaimRequest(const ClaimRequest& _request, Micros _now);

	/// Applies an executor's report about its grant.
	/// @remarks An entry that is no longer the home still updates its copy of the claim.
	void onClaimUpdate(const ClaimUpdate& _update);

	/// Applies another entry's seal.
	/// @returns true if it seals the version in force and may be confirmed.
	bool onSeal(const EntryRef& _from, const Seal& _seal, Micros _now);

	/// Removes claims older than limits::kClaimWindow; callers no longer send their keys.
	void expire(Micros _now);

	/// Records that an entry confirmed this entry's seal.
	void onSealAck(const EntryRef& _from, std::uint64_t _version);

	/// @returns the unconfirmed seals, to be resent.
	std::vector<Addressed> unconfirmedSeals() const;

	/// Makes this entry the executor of a key whose answer was handed over to it.
	/// @returns true if the claim belonged to the old executor.
	bool reassign(const std::string& _key, const ClaimRequestRef& _old, const ClaimRequestRef& _new);

	/// @returns true if all live entries have sealed the version in force to this one.
	bool complete() const;

	/// @returns true if all other live entries have confirmed the seals of this one.
	bool confirmed() const;

	/// @returns the roster in force, or nullptr.
	const std::shared_ptr<const Roster>& roster() const;

	/// @returns the digest of a claimed key's request, 0 if there is no claim.
	std::uint64_t digestOf(const std::string& _key) const;

	/// @returns the number of claims.
	std::size_t size() const;

	/// @returns the approximate memory of the claims in bytes, for capacity figures.
	std::size_t bytes() const;

private:
	struct Epoch
	{
		std::shared_ptr<const Roster> roster;
		bool complete = false;
	};

	struct ClaimRecord
	{
		Claim claim;
		bool shared = false; ///< Another entry may hold a copy, so it is kept after a release.
	};

	ClaimReply grant(const ClaimRequest& _request, ClaimReply _reply, std::uint64_t _generation, Micros _now);
	void markShared();
	void markLostExecutors(); ///< Sets claims granted to lost runs to unknown, since no report can follow.
	bool isHome(std::string_view _key, const Roster& _roster) const;
	bool isEstablished(std::string_view _key) const;
	bool isOwnedSinceBefore(std::string_view _key, std::uint64_t _version) const;
	bool isSuspect(const ClaimRequest& _request) const;
	static bool isFree(const Claim& _claim, const ClaimRequest& _request);
	void mergeClaim(const Claim& _claim, Micros _now);
	void checkComplete();

	EntryRef m_self;
	std::vector<Epoch> m_epochs; ///< Adopted rosters, newest last.
	std::unordered_map<std::string, ClaimRecord> m_claims;
	std::deque<std::pair<Micros, std::string>> m_expiry; ///< Expiry times, oldest claim first.
	std::vector<Claim> m_executed;
	std::set<EntryRef> m_sealsMissing;
	std::set<EntryRef> m_acksMissing;
	std::map<std::uint64_t, std::set<EntryRef>> m_earlySeals; ///< Seals of versions that are not adopted yet.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_HOMETABLE_H
