// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/admission/slotrules.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
void SlotRules::update(const RoutingConfig& _config, const AdmissionRules& _admission, const ServerSpeeds& _speeds,
					   const std::map<std::string, KnownBackend>& _backends, std::size_t _gateways)
{
	m_promptServices.clear();
	m_plainServices.clear();
	m_promptServers.clear();
	std::map<std::string, std::size_t> plainSlots;
	std::set<std::string> withSpeeds;
	for (const PooledService& service : _config.services)
	{
		if (_admission.targetOf(service.name))
		{
			m_promptServices.insert(service.name);
		}
	}
	for (const auto& [id, known] : _backends)
	{
		const PooledService* service = _config.findService(known.record.service);
		if (grantsPrompts(known.record.service))
		{
			m_promptServers.insert(known.key);
		}
		else if (service && !service->engine && known.usable())
		{
			// Servers that have not answered yet count as well: otherwise a large service would count as small
			// while a gateway has had answers of only a few of its servers.
			plainSlots[service->name] += known.record.slots;
			_speeds.isKnown(known.key) ? void(withSpeeds.insert(service->name)) : void();
		}
	}
	for (const auto& [service, slots] : plainSlots)
	{
		if (slots < _gateways && withSpeeds.count(service) > 0)
		{
			m_plainServices.insert(service);
		}
	}
}

std::optional<double> SlotRules::rejectionsOf(const std::string& _service) const
{
	if (grantsPrompts(_service))
	{
		// The number of prompts is a decision, not a capacity that can be tried: no grant goes beyond it.
		return 0.0;
	}
	return m_plainServices.count(_service) > 0 ? std::optional(kPlainRejections) : std::nullopt;
}

unsigned SlotRules::promptSlots(Micros _target, double _promptMillis, unsigned _slots)
{
	const double millis = kReadingShare * static_cast<double>(_target) / static_cast<double>(kMillisecond);
	const double prompts = std::isfinite(_promptMillis) ? std::round(millis / std::max(1.0, _promptMillis)) : 1.0;
	return static_cast<unsigned>(std::clamp(prompts, 1.0, static_cast<double>(std::max(1U, _slots))));
}

} // namespace beacongate
