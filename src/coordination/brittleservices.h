// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers which services have brittle backend servers, and what gateways tell each other of them.

#ifndef BEACONGATE_COORDINATION_BRITTLESERVICES_H
#define BEACONGATE_COORDINATION_BRITTLESERVICES_H

#include "beacongate/types.h"
#include "coordination/streamorigin.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace beacongate
{
/// What a backend server of a service last said, as one gateway reports it to another.
struct BrittleServiceRecord
{
	ServiceKey service;
	double rejections = 0.0; ///< Rejections that each server bears in a second.
	Micros age = 0;          ///< Time since a server said so.
};

/// Services whose backend servers named themselves brittle.
///
/// All servers of a service are taken for brittle once one of them says so: a gateway of a large fleet meets most
/// servers too rarely to learn it from each, and a server that has fallen over and started again has said nothing
/// yet. Gateways pass on what they hear. All times are agreed times (AgreedClock).
class BrittleServices
{
public:
	/// Time after the last statement of any server at which a service is brittle no more.
	static constexpr Micros kValidity = 10 * kSecond;
	/// Interval at which a statement that is repeated is passed on again.
	static constexpr Micros kRefreshInterval = 3 * kSecond;
	/// Rounds in which each statement is passed on, since datagrams may be lost.
	static constexpr unsigned kReportRounds = 4;

	/// Notes what an answer says.
	/// @param[in] _rejections Requests that the server may reject in a second; nothing if it is not brittle.
	/// @returns true if the service was not known to be brittle, or with another number.
	bool onAnswer(ServiceKey _service, std::optional<double> _rejections, Micros _agreed);

	/// @returns the rejections that each server of a service bears in a second; nothing if it is not brittle.
	std::optional<double> rejectionsOf(ServiceKey _service, Micros _agreed) const;

	/// Merges what other gateways heard.
	/// @returns the services that were not known to be brittle.
	std::vector<BrittleServiceRecord> merge(const std::vector<BrittleServiceRecord>& _records, Micros _agreed);

	/// @returns the statements to be passed on in this round.
	/// @param[in] _relay Include statements that were merged from other gateways.
	/// @param[in] _maxCount Largest number of records; the others remain for the next round.
	std::vector<BrittleServiceRecord> takeChanges(bool _relay, std::size_t _maxCount, Micros _agreed);

	/// @returns all services that are brittle, for a gateway that has just started.
	std::vector<BrittleServiceRecord> inForce(Micros _agreed) const;

	/// Forgets services that are brittle no more.
	void expire(Micros _agreed);

	/// @returns the number of brittle services.
	std::size_t size() const
	{
		return m_entries.size();
	}

private:
	struct Entry
	{
		double rejections = 0.0;
		Micros saidAt = 0;         ///< When a server last said so.
		Micros passedOnAt = 0;     ///< The statement that was last passed on.
		unsigned reportRounds = 0; ///< Rounds in which it is still to be passed on.
		bool own = false;          ///< It was in an answer to this gateway.
	};

	bool apply(ServiceKey _service, double _rejections, Micros _saidAt, bool _own, Micros _agreed);

	std::map<ServiceKey, Entry> m_entries;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BRITTLESERVICES_H
