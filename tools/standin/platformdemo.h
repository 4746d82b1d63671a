// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A whole small platform for the demo: store, duty calls and two backend servers, on neighbouring ports.

#ifndef BEACONGATE_TOOLS_STANDIN_PLATFORMDEMO_H
#define BEACONGATE_TOOLS_STANDIN_PLATFORMDEMO_H

#include "standin/platform.h"

#include <vector>

namespace beacongate::standin
{
/// The store listens at the given port, the duty calls at the next one, the backend servers at those after it. The
/// configuration has a call that may not be repeated (/reserve/) and a stream (/stream/), for host pantry.example
/// and key pantry-key.
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
