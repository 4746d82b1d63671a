// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The tokens of one answer, packed to keep the memory of an open stream small.

#ifndef BEACONGATE_COORDINATION_TOKENLOG_H
#define BEACONGATE_COORDINATION_TOKENLOG_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// An append-only list of token texts.
class TokenLog
{
public:
	/// Adds a token at the end.
	void append(std::string_view _token)
	{
		m_text.append(_token);
		m_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
	}

	/// @returns the number of tokens.
	std::uint64_t size() const
	{
		return m_ends.size();
	}

	/// @returns the total size of all tokens in bytes.
	std::size_t bytes() const
	{
		return m_text.size();
	}

	/// @returns the tokens from index _first on; none if it is past the end.
	std::vector<std::string> from(std::uint64_t _first) const
	{
		std::vector<std::string> tokens;
		for (std::uint64_t ii = _first; ii < m_ends.size(); ++ii)
		{
			const std::uint32_t begin = 0 == ii ? 0 : m_ends[ii - 1];
			tokens.emplace_back(m_text, begin, m_ends[ii] - begin);
		}
		return tokens;
	}

private:
	std::string m_text;
	std::vector<std::uint32_t> m_ends;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_TOKENLOG_H
