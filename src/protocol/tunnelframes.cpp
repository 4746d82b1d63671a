// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/tunnelframes.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint32_t kClosedLength = 0;
constexpr std::uint32_t kBrokenLength = 0xffffffff;

std::string formatLength(std::uint32_t _length)
{
	std::string bytes;
	for (std::size_t index = kLengthBytes; index > 0; --index)
	{
		bytes += static_cast<char>(_length >> (kBitsPerByte * (index - 1)) & 0xff);
	}
	return bytes;
}
} // namespace

std::string formatTunnelFrame(std::string_view _bytes)
{
	return formatLength(static_cast<std::uint32_t>(_bytes.size())).append(_bytes);
}

std::string formatTunnelEnd(TunnelEnd _end)
{
	return formatLength(_end == TunnelEnd::Closed ? kClosedLength : kBrokenLength);
}

std::string TunnelFrameReader::consume(std::string_view _bytes)
{
	std::string payload;
	while (!_bytes.empty() && m_end == TunnelEnd::Open)
	{
		if (m_frameRemaining > 0)
		{
			const std::size_t count = std::min(m_frameRemaining, _bytes.size());
			payload.append(_bytes.substr(0, count));
			_bytes.remove_prefix(count);
			m_frameRemaining -= count;
			continue;
		}
		m_length = m_length << kBitsPerByte | static_cast<unsigned char>(_bytes.front());
		_bytes.remove_prefix(1);
		if (++m_lengthBytes == kLengthBytes)
		{
			onLength();
		}
	}
	return payload;
}

void TunnelFrameReader::onLength()
{
	if (m_length == kClosedLength)
	{
		m_end = TunnelEnd::Closed;
	}
	else if (m_length == kBrokenLength)
	{
		m_end = TunnelEnd::Broken;
	}
	else if (m_length > kMaxTunnelFrame)
	{
		m_end = TunnelEnd::Invalid;
	}
	m_frameRemaining = m_end == TunnelEnd::Open ? m_length : 0;
	m_length = 0;
	m_lengthBytes = 0;
}

} // namespace beacongate
