// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Determines which services have their slots granted one by one, and how many slots a server has.

#ifndef BEACONGATE_COORDINATION_ADMISSION_SLOTRULES_H
#define BEACONGATE_COORDINATION_ADMISSION_SLOTRULES_H

#include "coordination/admission/admissionrules.h"
#include "coordination/directory.h"
#include "coordination/load/serverspeeds.h"

#include <map>
#include <set>
#include <string>
#include <unordered_set>

namespace beacongate
{
/// The services whose slots are granted one by one without their servers being brittle, see SlotPermits.
///
/// Load reports of a large fleet are 0.15 s to 0.75 s old. In that time an engine gets several prompts of which a
/// gateway does not know, and a server of few slots is filled several times. One gateway that grants each server's
/// slots knows them exactly, and orders the requests of all gateways by urgency.
class SlotRules
{
public:
	/// Rejections for want of room that a server of a small plain service bears in a second. A rejection only costs
	/// the call that is rejected.
	static constexpr double kPlainRejections = 8.0;
	/// Share of the target in which an engine may read the prompts that it has at once. The rest is for waiting at
	/// the gateways, for the network, and for prompts that are longer than usual.
	static constexpr double kReadingShare = 0.5;

	/// Determines the services anew. Must be called several times a second.
	/// @param[in] _gateways Number of gateways.
	void update(const RoutingConfig& _config, const AdmissionRules& _admission, const ServerSpeeds& _speeds,
				const std::map<std::string, KnownBackend>& _backends, std::size_t _gateways);

	/// @returns the rejections that each server of a service bears in a second; nothing if its slots are not
	/// granted.
	std::optional<double> rejectionsOf(const std::string& _service) const;

	/// @returns true if the slots of a service are those of prompts, which are free again at the first event.
	bool grantsPrompts(const std::string& _service) const
	{
		return m_promptServices.count(_service) > 0;
	}

	/// @returns true if the slots of a backend server are those of prompts.
	bool grantsPrompts(BackendKey _key) const
	{
		return m_promptServers.count(_key) > 0;
	}

	/// @returns true if the slots of no service are granted.
	bool empty() const
	{
		return m_promptServices.empty() && m_plainServices.empty();
	}

	/// @returns the number of prompts that an engine may read at once.
	/// @param[in] _target Smallest target latency of its service.
	/// @param[in] _promptMillis Time in which the engine reads a prompt of usual length.
	/// @param[in] _slots Slots of the engine.
	static unsigned promptSlots(Micros _target, double _promptMillis, unsigned _slots);

private:
	std::set<std::string> m_promptServices;
	std::set<std::string> m_plainServices;
	std::unordered_set<BackendKey, BackendKeyHash> m_promptServers;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ADMISSION_SLOTRULES_H
