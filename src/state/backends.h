// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The backend servers that an entry knows, with what it has sent to each.

#ifndef BEACONGATE_STATE_BACKENDS_H
#define BEACONGATE_STATE_BACKENDS_H

#include "beacongate/config.h"
#include "state/catalog.h"
#include "state/fleetview.h"
#include "state/prefixindex.h"

#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Last load report of a backend server; it lags.
struct LoadReport
{
	std::uint64_t queuedTokens = 0; ///< Prompt tokens waiting for prefill.
	std::uint32_t running = 0;      ///< Requests in its batch.
	Micros at = 0;                  ///< When the report was made, on this entry's clock.
};

/// One backend server as this entry sees it.
struct Backend
{
	BackendConfig config;
	ServiceHandle service;
	bool configured = false;         ///< In the configuration in force.
	bool leaving = false;            ///< Gets no new work, for ever.
	bool gone = false;               ///< Its VM ended; nothing on it will answer.
	Micros leavesAt = kNever;        ///< When its notice ends.
	Micros backoffUntil = 0;         ///< Not tried before this time after a failure.
	std::uint32_t failures = 0;      ///< Consecutive failed attempts.
	std::uint32_t active = 0;        ///< Attempts this entry has running on it.
	std::uint64_t prefillTokens = 0; ///< Prompt tokens sent whose first token has not come.
	LoadReport report;
	PrefixIndex prefixes;
};

/// Table of backend servers. A handle stays valid for the life of the table; an id that
/// leaves the configuration keeps its row until its last attempt ended.
class BackendTable
{
public:
	/// Brings the rows in line with a configuration.
	/// @param[in] _catalog Has already taken over the same configuration.
	void apply(const Config& _config, const Catalog& _catalog);

	/// Marks backend servers on leaving or gone VMs.
	/// @returns the handles that turned to leaving or gone just now.
	std::vector<BackendHandle> markLeaving(const VmView& _vms, Micros _now);

	/// @returns rows of one service that are configured, in table order.
	const std::vector<BackendHandle>& ofService(ServiceHandle _service) const;

	/// @returns the row; the handle has to be valid.
	Backend& at(BackendHandle _handle);
	const Backend& at(BackendHandle _handle) const;

	/// @returns the handle of an id, or an invalid one.
	BackendHandle find(const std::string& _id) const;

	/// @returns number of rows, configured or not.
	std::size_t size() const;

	/// @returns whether new work may be sent there at this time.
	static bool takesWork(const Backend& _backend, Micros _now);

private:
	std::vector<Backend> m_rows;
	std::unordered_map<std::string, BackendHandle> m_byId;
	std::vector<std::vector<BackendHandle>> m_byService;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_BACKENDS_H
