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
/// decompress() grows its output by this many bytes at a time, so that a small input cannot claim much memory at
/// once.
constexpr std::size_t kOutputStepBytes = 64u << 10;

Bytef* toZlib(std::string_view _bytes)
{
	// zlib does not write to its input; its interface only lacks the const qualifier.
	return reinterpret_cast<Bytef*>(const_cast<char*>(_bytes.data()));
}
} // namespace

std::string compress(std::string_view _bytes)
{
	uLongf size = compressBound(_bytes.size());
	std::string compressed(size, '\0');
	const int status = compress2(toZlib(compressed), &size, toZlib(_bytes), _bytes.size(), Z_BEST_SPEED);
	if (status != Z_OK)
	{
		// compressBound() made the buffer large enough, so running out of memory is the only possible failure.
		throw std::bad_alloc();
	}
	compressed.resize(size);
	return compressed;
}

std::optional<std::string> decompress(std::string_view _bytes, std::size_t _maxBytes)
{
	z_stream stream{};
	stream.next_in = toZlib(_bytes);
	stream.avail_in = static_cast<uInt>(_bytes.size());
	if (inflateInit(&stream) != Z_OK)
	{
		return std::nullopt;
	}
	std::string output;
	int status = Z_OK;
	while (status == Z_OK && output.size() <= _maxBytes)
	{
		const std::size_t oldSize = output.size();
		output.resize(oldSize + kOutputStepBytes);
		stream.next_out = toZlib(output) + oldSize;
		stream.avail_out = static_cast<uInt>(kOutputStepBytes);
		status = inflate(&stream, Z_NO_FLUSH);
		output.resize(oldSize + kOutputStepBytes - stream.avail_out);
	}
	inflateEnd(&stream);
	const bool complete = status == Z_STREAM_END && stream.avail_in == 0 && output.size() <= _maxBytes;
	return complete ? std::optional(std::move(output)) : std::nullopt;
}

} // namespace beacongate
