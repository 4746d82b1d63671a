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

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
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

} // namespace beacongate::test
