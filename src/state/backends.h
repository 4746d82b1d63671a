// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Table of the backend servers that an entry knows, with the load that it has placed on each.

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
/// Last load report of a backend server. It lags behind the actual load.
struct LoadReport
{
	std::uint64_t queuedTokens = 0; ///< Prompt tokens waiting for prefill.
	std::uint32_t running = 0;      ///< Requests in its batch.
	Micros at = 0;                  ///< Time of the report, on this entry's clock.
};

/// State of one backend server at this entry.
struct Backend
{
	BackendConfig config;
	ServiceHandle service;
	bool configured = false;         ///< The configuration in force contains it.
	bool leaving = false;            ///< It gets no new requests and does not return.
	bool gone = false;               ///< Its VM has terminated; its attempts get no answers.
	Micros leavesAt = kNever;        ///< End of its termination notice.
	Micros backoffUntil = 0;         ///< No attempt is sent before this time, after a failure.
	std::uint32_t failures = 0;      ///< Consecutive failed attempts.
	std::uint32_t active = 0;        ///< Attempts of this entry that are in flight there.
	std::uint64_t prefillTokens = 0; ///< Prompt tokens of attempts that have not returned a first token.
	LoadReport report;
	PrefixIndex prefixes;
};

/// Table of backend servers. Rows are never removed, so a handle stays valid for the lifetime of the table.
class BackendTable
{
public:
	/// Updates the rows to a configuration.
	/// @param[in] _catalog Catalog to which the same configuration was applied before.
	void apply(const Config& _config, const Catalog& _catalog);

	/// Marks the backend servers on leaving or terminated VMs.
	/// @returns the handles whose state this call changed to leaving or gone.
	std::vector<BackendHandle> markLeaving(const VmView& _vms, Micros _now);

	/// @returns the configured backend servers of one service, in configuration order.
	const std::vector<BackendHandle>& ofService(ServiceHandle _service) const;

	/// @returns the row; the handle has to be valid.
	Backend& at(BackendHandle _handle);
	const Backend& at(BackendHandle _handle) const;

	/// @returns the handle of an id, or an invalid one.
	BackendHandle find(const std::string& _id) const;

	/// @returns the number of rows, configured or not.
	std::size_t size() const;

	/// @returns true if new attempts may be sent there at this time.
	static bool takesWork(const Backend& _backend, Micros _now);

private:
	std::vector<Backend> m_rows;
	std::unordered_map<std::string, BackendHandle> m_byId;
	std::vector<std::vector<BackendHandle>> m_byService;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_BACKENDS_H
