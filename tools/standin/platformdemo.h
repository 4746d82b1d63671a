// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A small platform for the demo: a store, a receiver of duty calls and two backend servers on consecutive ports.

#ifndef BEACONGATE_TOOLS_STANDIN_PLATFORMDEMO_H
#define BEACONGATE_TOOLS_STANDIN_PLATFORMDEMO_H

#include "standin/platform.h"

#include <vector>

namespace beacongate::standin
{
/// Runs the platform of the demo. The store listens at the given port, the receiver of duty calls at the next port
/// and the backend servers at the ports after it. The configuration has a route whose calls must not be repeated
/// (/reserve/) and a streaming route (/stream/), for the host pantry.example and the API key pantry-key.
class PlatformDemo
{
public:
	explicit PlatformDemo(const Address& _address);

private:
	PlatformStore m_store;
	PlatformDuties m_duties;
	std::vector<std::unique_ptr<PlatformWorker>> m_workers;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_PLATFORMDEMO_H
