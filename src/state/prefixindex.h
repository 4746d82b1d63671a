// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Which prompt prefixes a backend server probably has in its cache.
///
/// A prompt is cut into blocks of limits::kPrefixBlockBytes. Each block is named by the
/// hash of all bytes up to its end, so one set lookup per block finds the longest match.
/// As in "Radix prefix cache (block-granular, LRU leaf eviction, locks)", only whole
/// blocks count and the block that holds the last prompt byte never does.

#ifndef BEACONGATE_STATE_PREFIXINDEX_H
#define BEACONGATE_STATE_PREFIXINDEX_H

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Names of a prompt's usable blocks, first block first.
using BlockChain = std::vector<std::uint64_t>;

/// @returns the names of all whole blocks that end before the last byte of the prompt.
BlockChain blockChain(std::string_view _prompt);

/// Bounded set of block names of one backend server, least recently used out first.
class PrefixIndex
{
public:
	/// @returns how many leading blocks of the chain are known.
	std::size_t match(const BlockChain& _chain) const;

	/// Notes that the backend server has computed these blocks.
	void insert(const BlockChain& _chain);

	/// Forgets blocks that the backend server says it evicted.
	void erase(const BlockChain& _blocks);

	/// @returns number of blocks known.
	std::size_t size() const;

private:
	using Recency = std::list<std::uint64_t>;
	Recency m_recency; ///< Front is the most recent.
	std::unordered_map<std::uint64_t, Recency::iterator> m_blocks;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_PREFIXINDEX_H
