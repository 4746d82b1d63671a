// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests that updates between gateways remove backend servers that the sender never saw.
///
/// Guards against requests that reach backend servers up to 8 s after these have left, although nothing failed.
///
/// How it comes about: a gateway takes the store's content from a relay whose path to the store is slow. While
/// the relay's content is old, the gateway reads the store itself and finds a new backend server. The server
/// leaves before the relay reads again. The relay then sends the changes since the gateway's revision, but it
/// never held that server, so it has no removal to send. A relay that takes itself to know all removals since
/// any revision, though it knows only those of keys that it held, leaves the record on the gateway's list for
/// good, and each of its updates makes that list look new.
///
/// In one run of eight processes, 48 requests reached servers that had left, all by lists that were 140 ms to
/// 890 ms old and named the server as listed. At the two gateways concerned, the log reported the same server
/// missing three and four times, alternating between their own reads and the relay's updates; at the others
/// once.

#include "coordination/contenthistory.h"
#include "coordination/directory.h"
#include "protocol/compression.h"
#include "protocol/contentcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
/// A store that keeps its content at every revision.
class VersionedStore
{
public:
	/// Adds a key, changes it, or removes it.
	void change(unsigned _number)
	{
		StoreContent next = m_contents.back();
		++next.revision;
		const std::string key = "k" + std::to_string(_number % kKeys);
		if (_number / kKeys % 2 == 0)
		{
			next.items[key] = {key, "v", next.revision};
		}
		else
		{
			next.items.erase(key);
		}
		m_contents.push_back(std::move(next));
	}

	const std::vector<StoreContent>& contents() const
	{
		return m_contents;
	}

private:
	static constexpr unsigned kKeys = 3;

	std::vector<StoreContent> m_contents{StoreContent{1, 0, {}}};
};

/// @returns a text like a configuration with 333 teams and 250 routes, larger than a value that is always carried.
std::string configurationText(unsigned _version)
{
	std::minstd_rand random(_version);
	std::string text = "{\"version\":" + std::to_string(_version);
	for (unsigned team = 0; team < 333; ++team)
	{
		text += ",{\"name\":\"team" + std::to_string(team) + "\",\"apiKeys\":[\"" + std::to_string(random()) +
				std::to_string(random()) + "\"],\"ratePerS\":" + std::to_string(random() % 10'000) +
				",\"burst\":12000,\"priority\":3}";
	}
	for (unsigned route = 0; route < 800; ++route)
	{
		text += ",{\"host\":\"h" + std::to_string(route) +
				".example\",\"pathPrefix\":\"/path/\",\"service\":\"model\",\"timeoutMs\":15000,\"kind\":\"safe\"}";
	}
	return text;
}

std::vector<std::string> keysOf(const StoreContent& _content)
{
	std::vector<std::string> keys;
	for (const auto& [key, item] : _content.items)
	{
		keys.push_back(key);
	}
	return keys;
}
} // namespace

TEST(ContentHistory, anUpdateRemovesKeysThatItsSenderNeverHeld)
{
	const StoreContent before{60, 0, {{"a", {"a", "v", 5}}}};
	const StoreContent after{80, 0, {{"a", {"a", "v", 5}}}};
	ContentHistory history;
	history.onReplaced({}, before);
	history.onReplaced(before, after);
	// Added at 62 and removed at 77, between two reads of the sender.
	StoreContent other{66, 0, {{"a", {"a", "v", 5}}, {"b", {"b", "v", 62}}}};
	ASSERT_TRUE(history.covers(other.revision));
	applyUpdate(other, history.updateSince(after, other.revision));
	EXPECT_EQ(keysOf(other), std::vector<std::string>{"a"});
}

RC_GTEST_PROP(ContentHistory, anUpdateGivesTheSendersContentFromEveryCoveredRevision,
			  (const std::vector<std::uint8_t>& changes, const std::vector<std::uint8_t>& steps, std::uint8_t from))
{
	VersionedStore store;
	for (const std::uint8_t number : changes)
	{
		store.change(number);
	}
	// The sender reads at irregular intervals.
	ContentHistory history;
	StoreContent held;
	std::size_t at = 0;
	for (const std::uint8_t step : steps)
	{
		at = std::min(at + step % 8, store.contents().size() - 1);
		history.onReplaced(held, store.contents()[at]);
		held = store.contents()[at];
	}
	const StoreContent start = store.contents()[from % (at + 1)];
	RC_PRE(history.covers(start.revision));
	StoreContent updated = start;
	applyUpdate(updated, history.updateSince(held, start.revision));
	RC_ASSERT(keysOf(updated) == keysOf(held));
	RC_ASSERT(updated.revision == held.revision);
}

/// Guards against updates that make a gateway ask for the whole content. With 986 gateways and 2,996 servers, each
/// change of the configuration then moved 35 MB over the link of each data centre's relay, which also carries the
/// fleet's sums and quota grants.
TEST(ContentHistory, anUpdateOfALargeConfigurationDoesNotGrowWithTheFleet)
{
	std::vector<std::size_t> sizes;
	for (const unsigned servers : {3'000U, 6'000U})
	{
		StoreContent before{100, 0, {}};
		for (unsigned number = 0; number < servers; ++number)
		{
			const std::string key = "servers/i-" + std::to_string(number);
			before.items[key] = {key, std::string(250, 'r') + std::to_string(number), 50};
		}
		before.items["config"] = {"config", configurationText(1), 60};
		before.items["usage"] = {"usage", std::string(200'000, 'u'), 99};
		StoreContent after = before;
		after.revision = 120;
		after.items["config"] = {"config", configurationText(2), 110};
		after.items["usage"].revision = 119;
		ContentHistory history;
		history.onReplaced({}, before);
		history.onReplaced(before, after);
		const UpdateFilter filter{[](const std::string& _key) { return _key == "usage"; },
								  [](const KvItem& _item)
								  {
									  return compress(_item.value).size() <= ContentHistory::kValueBytes;
								  }};
		const ContentUpdate update = history.updateSince(after, before.revision, filter);
		ASSERT_EQ(update.items.size(), 1u);
		EXPECT_EQ(update.items[0].key, "config");
		EXPECT_TRUE(update.leftOut.empty());
		sizes.push_back(encodeUpdateBody(update).size());
		EXPECT_LE(sizes.back(), ContentHistory::kValueBytes);
	}
	EXPECT_EQ(sizes[0], sizes[1]);
}

TEST(ContentHistory, anAppliedUpdateTellsWhatItChanged)
{
	StoreContent content{5, 0, {{"a", {"a", "v", 1}}, {"b", {"b", "v", 2}}, {"c", {"c", "v", 3}}}};
	ContentUpdate update;
	update.since = 5;
	update.revision = 9;
	update.items = {{"a", "w", 6}, {"b", "v", 7}, {"d", "v", 8}};
	update.removed = {"c", "never-held"};
	const AppliedUpdate applied = applyUpdate(content, update);
	EXPECT_EQ(applied.changed, (std::vector<std::string>{"a", "d"}));
	EXPECT_EQ(applied.rewritten, std::vector<std::string>{"b"});
	EXPECT_EQ(applied.removed, std::vector<std::string>{"c"});
	EXPECT_EQ(content.revision, 9u);
}

/// A snapshot without a changed list has the same effect as one with the same list.
RC_GTEST_PROP(Directory, anUnchangedListNeedsNotBeMergedAgain, (const std::vector<std::uint8_t>& steps))
{
	Directory merged;
	Directory skipped;
	std::vector<BackendRecord> records;
	std::uint64_t revision = 1;
	Micros now = kSecond;
	merged.apply({revision, nullptr, records, now}, now);
	skipped.apply({revision, nullptr, records, now}, now);
	for (const std::uint8_t step : steps)
	{
		now += static_cast<Micros>(step) * 20 * kMillisecond;
		const bool changes = step % 3 == 0;
		if (step % 7 == 0)
		{
			merged.onStoreUnreachable(now);
			skipped.onStoreUnreachable(now);
			continue;
		}
		if (changes && step % 2 == 0 && !records.empty())
		{
			records.pop_back();
		}
		else if (changes)
		{
			BackendRecord record;
			record.id = "s" + std::to_string(step % 5);
			record.service = "model";
			record.born = ++revision;
			std::erase_if(records, [&](const BackendRecord& _other) { return _other.id == record.id; });
			records.push_back(record);
		}
		++revision;
		merged.apply({revision, nullptr, records, now}, now);
		changes ? skipped.apply({revision, nullptr, records, now}, now)
				: skipped.applyWithoutList(revision, nullptr, now, now);
		RC_ASSERT(merged.revision() == skipped.revision());
		RC_ASSERT(merged.listAge(now) == skipped.listAge(now));
		for (const auto& [id, known] : merged.backends())
		{
			for (const Micros later : {Micros{0}, kSecond, 3 * kSecond})
			{
				RC_ASSERT(merged.listingState(known.record.identity(), now + later) ==
						  skipped.listingState(known.record.identity(), now + later));
			}
		}
	}
}

} // namespace beacongate::test
