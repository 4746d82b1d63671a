// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Index of the prompt prefixes that a backend server probably has in its cache.
///
/// A prompt is split into blocks of limits::kPrefixBlockBytes. Each block is identified by the hash of
/// all bytes up to its end, so one set lookup per block finds the longest match.
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
/// Block hashes of a prompt, first block first.
using BlockChain = std::vector<std::uint64_t>;

/// @returns the hashes of all whole blocks that end before the last byte of the prompt.
BlockChain blockChain(std::string_view _prompt);

/// Bounded set of block hashes of one backend server, with least-recently-used eviction.
class PrefixIndex
{
public:
	/// @returns the number of leading blocks of the chain that are in the index.
	std::size_t match(const BlockChain& _chain) const;

	/// Records that the backend server has computed these blocks.
	void insert(const BlockChain& _chain);

	/// Removes blocks that the backend server reported as evicted.
	void erase(const BlockChain& _blocks);

	/// @returns the number of blocks in the index.
	std::size_t size() const;

private:
	using Recency = std::list<std::uint64_t>;
	Recency m_recency; ///< Most recently used first.
	std::unordered_map<std::uint64_t, Recency::iterator> m_blocks;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_PREFIXINDEX_H
