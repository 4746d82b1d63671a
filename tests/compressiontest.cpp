// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What gateways send each other of the store's content, where there are thousands of backend servers.

#include "protocol/compression.h"
#include "gateway/bodycache.h"
#include "protocol/contentcodec.h"
#include "standin/platformsite.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace beacongate::test
{
namespace
{
constexpr unsigned kBackends = 3000;
constexpr std::size_t kMost = 1u << 20;

ContentUpdate changedBackends()
{
	std::minstd_rand random(7);
	ContentUpdate update;
	update.since = 10;
	update.revision = 10 + kBackends;
	for (unsigned number = 0; number < kBackends; ++number)
	{
		const Address address{"10." + std::to_string(number % 4 + 1) + ".64." + std::to_string(number % 250), 8222};
		const std::string key = "servers/i-" + std::to_string(random());
		update.items.push_back({key, standin::formatRecord(address, 12, "ready"), 11 + number});
	}
	return update;
}
} // namespace

RC_GTEST_PROP(Compression, whatGoesInComesOut, (const std::string& bytes))
{
	RC_ASSERT(decompress(compress(bytes), kMost) == bytes);
}

RC_GTEST_PROP(Compression, otherBytesAreRefusedOrBounded, (const std::string& bytes))
{
	const auto made = decompress(bytes, 100);
	RC_ASSERT(!made || made->size() <= 100);
}

TEST(Compression, whatWouldGrowTooLargeOrIsCutIsRefused)
{
	const std::string packed = compress(std::string(kMost + 1, 'x'));
	EXPECT_FALSE(decompress(packed, kMost));
	EXPECT_TRUE(decompress(packed, kMost + 1));
	EXPECT_FALSE(decompress(packed.substr(0, packed.size() - 1), 2 * kMost));
	EXPECT_FALSE(decompress(packed + 'x', 2 * kMost));
}

/// 72 gateways asked a relay of 200 Mbit/s for 3,000 changed records at once: 513 kB each are 1.5 s of its link, in
/// which their lists grow too old to send by. All then read the store, whose answers are longer still, and before
/// 3,000 servers 288 gateways served nothing any more. Before: 513 kB. After, compressed: 50 kB, 0.15 s of the
/// link.
TEST(ContentCodec, anUpdateOfThousandsOfBackendsIsSmall)
{
	const ContentUpdate update = changedBackends();
	std::size_t plain = 0;
	for (const KvItem& item : update.items)
	{
		plain += item.key.size() + item.value.size();
	}
	const std::string body = encodeUpdateBody(update);
	EXPECT_GT(plain, 500'000U);
	EXPECT_LT(body.size(), 100'000U);
	const auto decoded = decodeUpdate(encodeUpdate({10, 10 + kBackends, 5, 1}, body));
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->items.size(), kBackends);
	EXPECT_EQ(decoded->items[kBackends - 1].value, update.items[kBackends - 1].value);
}

TEST(BodyCache, aBodyIsMadeOnceForEachRevision)
{
	BodyCache cache;
	unsigned made = 0;
	const auto make = [&made]
	{
		++made;
		return std::to_string(made);
	};
	for (int asked = 0; asked < 72; ++asked)
	{
		EXPECT_EQ(cache.body(5, 9, make), "1");
	}
	EXPECT_EQ(cache.body(6, 9, make), "2");
	EXPECT_EQ(cache.body(5, 10, make), "3");
	for (std::uint64_t since = 100; since < 100 + BodyCache::kMaxBodies - 1; ++since)
	{
		cache.body(since, 10, make);
	}
	const unsigned full = made;
	EXPECT_EQ(cache.body(5, 10, make), "3") << "a full cache made a body anew that it held";
	EXPECT_EQ(made, full);
	for (std::uint64_t since = 1000; since < 2000; ++since)
	{
		cache.body(since, 10, make);
	}
	const std::string again = cache.body(5, 10, make);
	EXPECT_EQ(again, std::to_string(made));
}

} // namespace beacongate::test
