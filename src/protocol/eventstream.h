// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Splits a text/event-stream into whole events.

#ifndef BEACONGATE_PROTOCOL_EVENTSTREAM_H
#define BEACONGATE_PROTOCOL_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// One event.
struct StreamEvent
{
	std::string bytes;               ///< As it came, with its blank line.
	std::optional<std::uint64_t> id; ///< Where it has a whole number as its id.
};

/// Collects bytes and hands out events that are complete.
class EventSplitter
{
public:
	/// Adds bytes.
	/// @returns the events that are complete now.
	std::vector<StreamEvent> add(std::string_view _bytes);

	/// @returns bytes of an event that is not complete.
	std::size_t pending() const
	{
		return m_pending.size();
	}

private:
	std::string m_pending;
};

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_EVENTSTREAM_H
