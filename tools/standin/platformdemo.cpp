// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/platformdemo.h"

#include "platform/names.h"
#include "standin/platformsite.h"

namespace beacongate::standin
{
namespace
{
constexpr unsigned kWorkers = 2;
constexpr unsigned kSlots = 8;

Address withPortOffset(const Address& _address, unsigned _offset)
{
	return {_address.host, static_cast<std::uint16_t>(_address.port + _offset)};
}
} // namespace

PlatformDemo::PlatformDemo(const Address& _address) : m_store(_address), m_duties(withPortOffset(_address, 1))
{
	for (unsigned number = 0; number < kWorkers; ++number)
	{
		const std::string id = "engine" + std::to_string(number + 1);
		const Address address = withPortOffset(_address, 2 + number);
		m_workers.push_back(std::make_unique<PlatformWorker>(id, address));
		m_store.put(platform::kServersPrefix + id, formatRecord(address, kSlots, "ready"));
	}
	SiteConfig config;
	config.host = "pantry.example";
	config.keys = {"pantry-key"};
	config.routes = {{"/reserve/", "unsafe", 1}, {"/stream/", "streaming", 1}};
	m_store.put(platform::kConfigKey, formatConfig(config));
}

} // namespace beacongate::standin
