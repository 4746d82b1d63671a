// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace beacongate
{
namespace
{
/// Taken in one step of decompress(), so that a small input cannot claim much memory at once.
constexpr std::size_t kStepBytes = 64u << 10;

Bytef* toZlib(std::string_view _bytes)
{
	// The library does not write there; its interface has no const.
	return reinterpret_cast<Bytef*>(const_cast<char*>(_bytes.data()));
}
} // namespace

std::string compress(std::string_view _bytes)
{
	uLongf size = compressBound(_bytes.size());
	std::string made(size, '\0');
	const int result = compress2(toZlib(made), &size, toZlib(_bytes), _bytes.size(), Z_BEST_SPEED);
	if (result != Z_OK)
	{
		// The buffer is as large as the library asks for, so that only memory can be missing.
		throw std::bad_alloc();
	}
	made.resize(size);
	return made;
}

std::optional<std::string> decompress(std::string_view _bytes, std::size_t _most)
{
	z_stream stream{};
	stream.next_in = toZlib(_bytes);
	stream.avail_in = static_cast<uInt>(_bytes.size());
	if (inflateInit(&stream) != Z_OK)
	{
		return std::nullopt;
	}
	std::string made;
	int result = Z_OK;
	while (result == Z_OK && made.size() <= _most)
	{
		const std::size_t before = made.size();
		made.resize(before + kStepBytes);
		stream.next_out = toZlib(made) + before;
		stream.avail_out = static_cast<uInt>(kStepBytes);
		result = inflate(&stream, Z_NO_FLUSH);
		made.resize(before + kStepBytes - stream.avail_out);
	}
	inflateEnd(&stream);
	const bool whole = result == Z_STREAM_END && stream.avail_in == 0 && made.size() <= _most;
	return whole ? std::optional(std::move(made)) : std::nullopt;
}

} // namespace beacongate
