// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/eventstream.h"

#include <charconv>

namespace beacongate
{
namespace
{
/// @returns the length of the first event including its blank line; 0 where it is incomplete.
std::size_t firstEventLength(std::string_view _text)
{
	std::size_t lineStart = 0;
	while (lineStart < _text.size())
	{
		const std::size_t lineEnd = _text.find('\n', lineStart);
		if (lineEnd == std::string_view::npos)
		{
			return 0;
		}
		const std::string_view line = _text.substr(lineStart, lineEnd - lineStart);
		const bool blank = line.empty() || line == "\r";
		if (blank)
		{
			return lineEnd + 1;
		}
		lineStart = lineEnd + 1;
	}
	return 0;
}

std::optional<std::uint64_t> eventId(std::string_view _event)
{
	constexpr std::string_view kField = "id:";
	std::size_t start = 0;
	while (start < _event.size())
	{
		std::size_t end = _event.find('\n', start);
		end = end == std::string_view::npos ? _event.size() : end;
		std::string_view line = _event.substr(start, end - start);
		start = end + 1;
		if (line.substr(0, kField.size()) != kField)
		{
			continue;
		}
		line.remove_prefix(kField.size());
		while (!line.empty() && line.front() == ' ')
		{
			line.remove_prefix(1);
		}
		std::uint64_t id = 0;
		const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
		if (error == std::errc{})
		{
			return id;
		}
	}
	return std::nullopt;
}
} // namespace

std::vector<StreamEvent> EventSplitter::add(std::string_view _bytes)
{
	m_pending += _bytes;
	std::vector<StreamEvent> events;
	std::size_t consumed = 0;
	while (const std::size_t length = firstEventLength(std::string_view(m_pending).substr(consumed)))
	{
		StreamEvent event;
		event.bytes = m_pending.substr(consumed, length);
		event.id = eventId(event.bytes);
		events.push_back(std::move(event));
		consumed += length;
	}
	m_pending.erase(0, consumed);
	return events;
}

} // namespace beacongate
