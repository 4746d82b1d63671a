// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Splits a text/event-stream into complete events.

#ifndef BEACONGATE_PROTOCOL_EVENTSTREAM_H
#define BEACONGATE_PROTOCOL_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// One server-sent event.
struct StreamEvent
{
	std::string bytes;               ///< As received, with the blank line that ends the event.
	std::optional<std::uint64_t> id; ///< Number at the start of its id, where there is one.
};

/// Buffers the bytes of a stream until its events are complete.
class EventSplitter
{
public:
	/// Appends bytes to the buffer.
	/// @returns the events that are complete now.
	std::vector<StreamEvent> add(std::string_view _bytes);

	/// @returns the number of buffered bytes, which belong to an incomplete event.
	std::size_t pending() const
	{
		return m_pending.size();
	}

private:
	std::string m_pending;
};

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_EVENTSTREAM_H
