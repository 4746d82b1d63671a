// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "state/prefixindex.h"

#include "beacongate/limits.h"

#include <xxhash.h>

namespace beacongate
{
BlockChain blockChain(std::string_view _prompt)
{
	BlockChain chain;
	if (_prompt.empty())
	{
		return chain;
	}
	const std::size_t blocks = (_prompt.size() - 1) / limits::kPrefixBlockBytes;
	chain.reserve(blocks);
	std::uint64_t hash = 0;
	for (std::size_t ii = 0; ii < blocks; ++ii)
	{
		hash = XXH64(_prompt.data() + ii * limits::kPrefixBlockBytes, limits::kPrefixBlockBytes, hash);
		chain.push_back(hash);
	}
	return chain;
}

std::size_t PrefixIndex::match(const BlockChain& _chain) const
{
	std::size_t matched = 0;
	while (matched < _chain.size() && m_blocks.contains(_chain[matched]))
	{
		++matched;
	}
	return matched;
}

void PrefixIndex::insert(const BlockChain& _chain)
{
	// The last block is inserted first, so that a chain's tail is evicted before its head.
	for (auto it = _chain.rbegin(); _chain.rend() != it; ++it)
	{
		const auto known = m_blocks.find(*it);
		if (m_blocks.end() != known)
		{
			m_recency.splice(m_recency.begin(), m_recency, known->second);
			continue;
		}
		m_recency.push_front(*it);
		m_blocks.emplace(*it, m_recency.begin());
	}
	while (m_blocks.size() > limits::kPrefixBlocksPerBackend)
	{
		m_blocks.erase(m_recency.back());
		m_recency.pop_back();
	}
}

void PrefixIndex::erase(const BlockChain& _blocks)
{
	for (const std::uint64_t block : _blocks)
	{
		const auto known = m_blocks.find(block);
		if (m_blocks.end() == known)
		{
			continue;
		}
		m_recency.erase(known->second);
		m_blocks.erase(known);
	}
}

std::size_t PrefixIndex::size() const
{
	return m_blocks.size();
}

} // namespace beacongate
