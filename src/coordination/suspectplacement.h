// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps requests that may crash their backend servers apart from each other and from other requests.

#ifndef BEACONGATE_COORDINATION_SUSPECTPLACEMENT_H
#define BEACONGATE_COORDINATION_SUSPECTPLACEMENT_H

#include "coordination/crashledger.h"
#include "coordination/directory.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Tracks which requests of this gateway run on which backend servers, and narrows the candidates for a request by
/// what is suspected of it and of those that run there.
///
/// A crash is charged to all requests that ran on the server, so requests that were charged before run on different
/// servers: the next crash then tells which of them is to blame.
class SuspectPlacement
{
public:
	explicit SuspectPlacement(const CrashLedger& _ledger) : m_ledger(_ledger)
	{
	}

	/// Notes that a request was placed on a backend server.
	void onPlaced(const CrashSubjects& _subjects, BackendKey _backend);

	/// Notes that a request that was placed there has ended.
	void onEnded(const CrashSubjects& _subjects, BackendKey _backend);

	/// @returns true if a request must wait because the same request, or one with the same part, runs already and
	/// is suspected. At most one of them runs at a gateway at a time, until one has ended well.
	bool mustWait(const CrashSubjects& _subjects) const;

	/// @returns the candidates to prefer; never empty unless the given ones are.
	/// @param[in] _suspected The request itself is suspected: it goes to one of the servers that run no other
	/// suspect, chosen by rendezvous hashing. All gateways choose the same one, so that copies of a request that
	/// arrive at several gateways crash one server at a time, and different suspects meet on few servers. Other
	/// requests avoid servers that run a suspect.
	std::vector<const KnownBackend*> preferred(const std::vector<const KnownBackend*>& _candidates,
											   const CrashSubjects& _subjects, bool _suspected) const;

private:
	/// @returns true if a suspect of this gateway runs on a backend server.
	bool runsSuspect(BackendKey _backend) const;
	void add(const RequestFingerprint& _subject, BackendKey _backend);
	void remove(const RequestFingerprint& _subject, BackendKey _backend);

	const CrashLedger& m_ledger;
	/// Number of copies of each request, and of requests with each part, in flight, by backend server.
	std::unordered_map<BackendKey, std::map<RequestFingerprint, unsigned>, BackendKeyHash> m_running;
	std::unordered_map<RequestFingerprint, unsigned, RequestFingerprintHash> m_copies;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SUSPECTPLACEMENT_H
