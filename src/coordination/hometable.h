// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The home's side of at-most-once: claims of keys and the seals between entries.
///
/// A key has one home under one roster version. A home grants a key once. At a roster
/// change every living entry seals the new version to every other: it says that it grants
/// by the new version from then on and hands over the claims that now belong there. A
/// home serves a key when it has all seals of its version, or when it has been the key's
/// home without a gap since a version of which it had all seals. docs/DESIGN.md holds the
/// argument why no key is granted twice; no clock and no lease takes part in it.

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
/// A message with the entry that it goes to.
struct Addressed
{
	EntryRef to;
	PeerMessage message;
};

/// Claims whose home this entry is or was.
class HomeTable
{
public:
	/// @param[in] _self This run of this entry.
	explicit HomeTable(EntryRef _self);

	/// Takes over a newer roster and seals it to every other living entry.
	/// @param[in] _executed Claims that this entry holds as an executor, handed over as well.
	/// @returns the seals to send; none where the roster is not newer.
	std::vector<Addressed> adopt(const std::shared_ptr<const Roster>& _roster, const std::vector<Claim>& _executed,
								 Micros _now);

	/// Decides an ask.
	/// @param[in] _now Starts the window after which the key may be forgotten.
	ClaimReply onClaimRequest(const ClaimRequest& _request, Micros _now);

	/// Takes over what an executor says of its grant.
	/// @remarks Where this entry is not the home any more, the claim it keeps is still mended.
	void update(const ClaimUpdate& _update);

	/// Takes over another entry's seal.
	/// @returns whether it counts for the version in force and may be confirmed.
	bool seal(const EntryRef& _from, const Seal& _seal, Micros _now);

	/// Forgets keys that were claimed a claim window ago; callers no longer send them.
	void expire(Micros _now);

	/// Notes that a seal of ours arrived.
	void sealAcked(const EntryRef& _from, std::uint64_t _version);

	/// @returns the seals that are not confirmed, to be sent again.
	std::vector<Addressed> unconfirmedSeals() const;

	/// Makes this entry the executor of a key whose answer it took over.
	/// @returns whether the claim was the old executor's.
	bool reassign(const std::string& _key, const ClaimRequestRef& _old, const ClaimRequestRef& _new);

	/// @returns whether all living entries have sealed the version in force to this one.
	bool complete() const;

	/// @returns whether all other living entries have confirmed our seals.
	bool confirmed() const;

	/// @returns the roster in force, or nullptr.
	const std::shared_ptr<const Roster>& roster() const;

	/// @returns the digest of a claimed key's request, 0 where there is no claim.
	std::uint64_t digestOf(const std::string& _key) const;

	/// @returns number of claims kept.
	std::size_t size() const;

	/// Bytes that the claims take, by their own sizes; for the capacity page.
	std::size_t bytes() const;

private:
	struct Epoch
	{
		std::shared_ptr<const Roster> roster;
		bool complete = false;
	};

	struct Kept
	{
		Claim claim;
		bool shared = false; ///< Another entry may hold a copy, so that it must not be forgotten.
	};

	ClaimReply grant(const ClaimRequest& _request, ClaimReply _reply, std::uint64_t _generation, Micros _now);
	void markShared();
	void markLostExecutors(); ///< Claims granted to lost runs can learn no more and turn unknown.
	bool isHome(std::string_view _key, const Roster& _roster) const;
	bool isEstablished(std::string_view _key) const;
	bool isOwnedSinceBefore(std::string_view _key, std::uint64_t _version) const;
	bool isSuspect(const ClaimRequest& _request) const;
	static bool isFree(const Claim& _claim, const ClaimRequest& _request);
	void take(const Claim& _claim, Micros _now);
	void checkComplete();

	EntryRef m_self;
	std::vector<Epoch> m_epochs; ///< Rosters adopted, newest last.
	std::unordered_map<std::string, Kept> m_claims;
	std::deque<std::pair<Micros, std::string>> m_expiry; ///< Oldest claim first.
	std::vector<Claim> m_executed;
	std::set<EntryRef> m_sealsMissing;
	std::set<EntryRef> m_acksMissing;
	std::map<std::uint64_t, std::set<EntryRef>> m_earlySeals; ///< Seals of versions not yet adopted.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_HOMETABLE_H
