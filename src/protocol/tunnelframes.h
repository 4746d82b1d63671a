// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Framing of the bytes that come from a backend server through a tunnel. The last frame says how the server's
/// connection ended, so that the loss of the gateway that provides the tunnel is not taken for the server's own
/// end.
///
/// A frame is a length of four bytes, the highest first, and as many bytes. Two lengths stand for an end.

#ifndef BEACONGATE_PROTOCOL_TUNNELFRAMES_H
#define BEACONGATE_PROTOCOL_TUNNELFRAMES_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace beacongate
{
/// How the backend server's connection ended, as far as the frames tell.
enum class TunnelEnd
{
	Open,    ///< No last frame has arrived.
	Closed,  ///< The backend server closed its connection in order.
	Broken,  ///< The connection was reset or timed out.
	Invalid, ///< The bytes are not valid frames.
};

/// Most bytes in one frame.
inline constexpr std::size_t kMaxTunnelFrame = 1u << 20;

/// @returns bytes of the backend server as a frame.
/// @param[in] _bytes At least one byte and at most kMaxTunnelFrame.
std::string formatTunnelFrame(std::string_view _bytes);

/// @returns the last frame.
/// @param[in] _end Closed or Broken.
std::string formatTunnelEnd(TunnelEnd _end);

/// Takes frames apart as their bytes arrive.
class TunnelFrameReader
{
public:
	/// @param[in] _bytes Received bytes, in their order.
	/// @returns the backend server's bytes among them.
	std::string consume(std::string_view _bytes);

	/// @returns how the backend server's connection ended.
	TunnelEnd end() const
	{
		return m_end;
	}

private:
	void onLength();

	std::uint32_t m_length = 0;       ///< The part of the length that has arrived.
	std::size_t m_lengthBytes = 0;    ///< Bytes of the length that have arrived.
	std::size_t m_frameRemaining = 0; ///< Bytes of the present frame that have not arrived.
	TunnelEnd m_end = TunnelEnd::Open;
};

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_TUNNELFRAMES_H
