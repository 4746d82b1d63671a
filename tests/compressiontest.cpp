// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Size and caching of the store content that gateways send each other, with thousands of backend servers.

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
constexpr std::size_t kMaxBytes = 1u << 20;

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

RC_GTEST_PROP(Compression, roundTripsAnyBytes, (const std::string& bytes))
{
	RC_ASSERT(decompress(compress(bytes), kMaxBytes) == bytes);
}

RC_GTEST_PROP(Compression, rejectsOrBoundsArbitraryBytes, (const std::string& bytes))
{
	const auto content = decompress(bytes, 100);
	RC_ASSERT(!content || content->size() <= 100);
}

TEST(Compression, rejectsOversizedAndTruncatedData)
{
	const std::string compressed = compress(std::string(kMaxBytes + 1, 'x'));
	EXPECT_FALSE(decompress(compressed, kMaxBytes));
	EXPECT_TRUE(decompress(compressed, kMaxBytes + 1));
	EXPECT_FALSE(decompress(compressed.substr(0, compressed.size() - 1), 2 * kMaxBytes));
	EXPECT_FALSE(decompress(compressed + 'x', 2 * kMaxBytes));
}

/// Guards against updates that overload a relay's link. When 72 gateways request 3,000 changed records at the same
/// time from a relay with 200 Mbit/s, uncompressed updates of 513 kB each occupy its link for 1.5 s, in which the
/// gateways' lists become too old to send requests by. All gateways then read the store, whose answers are larger
/// still, and with 3,000 servers 288 gateways stopped serving. Compressed updates of 50 kB occupy the link for 0.15
/// s.
TEST(ContentCodec, compressesAnUpdateOfThousandsOfBackends)
{
	const ContentUpdate update = changedBackends();
	std::size_t uncompressedBytes = 0;
	for (const KvItem& item : update.items)
	{
		uncompressedBytes += item.key.size() + item.value.size();
	}
	const std::string body = encodeUpdateBody(update);
	EXPECT_GT(uncompressedBytes, 500'000U);
	EXPECT_LT(body.size(), 100'000U);
	const auto decoded = decodeUpdate(encodeUpdate({10, 10 + kBackends, 5, 1}, body));
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->items.size(), kBackends);
	EXPECT_EQ(decoded->items[kBackends - 1].value, update.items[kBackends - 1].value);
}

TEST(BodyCache, encodesABodyOncePerRevision)
{
	BodyCache cache;
	unsigned encodeCount = 0;
	const auto encode = [&encodeCount]
	{
		++encodeCount;
		return std::to_string(encodeCount);
	};
	for (int request = 0; request < 72; ++request)
	{
		EXPECT_EQ(cache.body(5, 9, encode), "1");
	}
	EXPECT_EQ(cache.body(6, 9, encode), "2");
	EXPECT_EQ(cache.body(5, 10, encode), "3");
	for (std::uint64_t since = 100; since < 100 + BodyCache::kMaxBodies - 1; ++since)
	{
		cache.body(since, 10, encode);
	}
	const unsigned encodesWhenFull = encodeCount;
	EXPECT_EQ(cache.body(5, 10, encode), "3") << "a full cache encoded again a body that it held";
	EXPECT_EQ(encodeCount, encodesWhenFull);
	for (std::uint64_t since = 1000; since < 2000; ++since)
	{
		cache.body(since, 10, encode);
	}
	const std::string encodedAgain = cache.body(5, 10, encode);
	EXPECT_EQ(encodedAgain, std::to_string(encodeCount));
}

} // namespace beacongate::test
