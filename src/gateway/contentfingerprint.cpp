// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/contentfingerprint.h"

#include "gateway/memberkeys.h"

#include <xxhash.h>

namespace beacongate
{
std::uint64_t fingerprintOf(const StoreContent& _content)
{
	std::uint64_t fingerprint = 0;
	for (const auto& [key, item] : _content.items)
	{
		if (!isBookkeepingKey(key))
		{
			fingerprint ^= XXH64(key.data(), key.size(), item.revision);
		}
	}
	return fingerprint;
}

} // namespace beacongate
