// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/retryafter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace beacongate
{
namespace
{
std::string_view trimmed(std::string_view _text)
{
	const std::size_t first = _text.find_first_not_of(" \t");
	if (first == std::string_view::npos)
	{
		return {};
	}
	return _text.substr(first, _text.find_last_not_of(" \t") - first + 1);
}
} // namespace

std::optional<Micros> parseRetryAfter(std::string_view _text)
{
	const std::string_view text = trimmed(_text);
	double seconds = 0.0;
	const auto [end, error] =
		std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
	const bool isNumber = error == std::errc{} && end == text.data() + text.size();
	// std::from_chars() also accepts "inf" and "nan".
	if (!isNumber || !std::isfinite(seconds) || seconds < 0.0)
	{
		return std::nullopt;
	}
	const double maxSpan = static_cast<double>(kMaxRetryAfter);
	return static_cast<Micros>(std::min(maxSpan, std::ceil(seconds * static_cast<double>(kSecond))));
}

} // namespace beacongate
