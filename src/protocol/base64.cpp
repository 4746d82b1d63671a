// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/base64.h"

#include "beacongate/errors.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace beacongate
{
namespace
{
constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char kPadding = '=';
constexpr std::int8_t kInvalidDigit = -1;

constexpr std::array<std::int8_t, 256> makeDecodeTable()
{
	std::array<std::int8_t, 256> table{};
	table.fill(kInvalidDigit);
	for (std::size_t index = 0; index < kAlphabet.size(); ++index)
	{
		table[static_cast<unsigned char>(kAlphabet[index])] = static_cast<std::int8_t>(index);
	}
	return table;
}

constexpr std::array<std::int8_t, 256> kDecodeTable = makeDecodeTable();
} // namespace

std::string toBase64(std::string_view _bytes)
{
	std::string text;
	text.reserve((_bytes.size() + 2) / 3 * 4);
	for (std::size_t start = 0; start < _bytes.size(); start += 3)
	{
		const std::size_t count = std::min<std::size_t>(3, _bytes.size() - start);
		std::uint32_t group = 0;
		for (std::size_t offset = 0; offset < 3; ++offset)
		{
			group = group << 8 | (offset < count ? static_cast<unsigned char>(_bytes[start + offset]) : 0u);
		}
		for (std::size_t digit = 0; digit < 4; ++digit)
		{
			text += digit <= count ? kAlphabet[group >> (18 - 6 * digit) & 63] : kPadding;
		}
	}
	return text;
}

std::string fromBase64(std::string_view _text)
{
	std::string bytes;
	bytes.reserve(_text.size() / 4 * 3);
	std::uint32_t group = 0;
	unsigned bits = 0;
	for (const char c : _text)
	{
		if (c == kPadding)
		{
			break;
		}
		const std::int8_t digit = kDecodeTable[static_cast<unsigned char>(c)];
		if (digit == kInvalidDigit)
		{
			throw Error(Failure::MalformedRequest, "not base64");
		}
		group = group << 6 | static_cast<std::uint32_t>(digit);
		bits += 6;
		if (bits >= 8)
		{
			bits -= 8;
			bytes += static_cast<char>(group >> bits & 255);
		}
	}
	return bytes;
}

} // namespace beacongate
