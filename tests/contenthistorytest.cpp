// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The incident "requests reached backend servers that had left, on real processes", its second cause.
///
/// What users saw: requests reached backend servers up to 8 s after these had left, though nothing had failed.
///
/// Order of events: a gateway takes the store's content from another one, its relay, whose way to the store is
/// slow. While the relay's content is old, the gateway reads the store itself, and finds a backend server that has
/// just come. The server leaves before the relay reads again. The relay then tells what changed since the gateway's
/// revision: it has never seen that server, so it has no removal to tell.
///
/// Cause: a relay took it that it knows all removals since any revision, though it knows those alone of what it
/// held itself. The record stayed on the gateway's list for good, and each word of the relay made that list look
/// new.
///
/// Evidence: 48 late requests of one run of eight processes, all standing=listed by lists 140 ms to 890 ms old, at
/// the two gateways whose log found the same server missing three and four times, in turns with its own and its
/// relay's words; at the other gateways it went once.

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
/// A store that remembers its content at every revision.
class RememberedStore
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

TEST(ContentHistory, anUpdateRemovesWhatItsSenderNeverSaw)
{
	const StoreContent before{60, 0, {{"a", {"a", "v", 5}}}};
	const StoreContent after{80, 0, {{"a", {"a", "v", 5}}}};
	ContentHistory history;
	history.onReplaced({}, before);
	history.onReplaced(before, after);
	// Added at 62, removed at 77: between two reads of the sender.
	StoreContent other{66, 0, {{"a", {"a", "v", 5}}, {"b", {"b", "v", 62}}}};
	ASSERT_TRUE(history.covers(other.revision));
	applyUpdate(other, history.updateSince(after, other.revision));
	EXPECT_EQ(keysOf(other), std::vector<std::string>{"a"});
}

RC_GTEST_PROP(ContentHistory, anUpdateLeadsToTheSendersContentFromEveryRevisionThatItCovers,
			  (const std::vector<std::uint8_t>& changes, const std::vector<std::uint8_t>& steps, std::uint8_t from))
{
	RememberedStore store;
	for (const std::uint8_t number : changes)
	{
		store.change(number);
	}
	// The sender reads now and then.
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
	StoreContent reached = start;
	applyUpdate(reached, history.updateSince(held, start.revision));
	RC_ASSERT(keysOf(reached) == keysOf(held));
	RC_ASSERT(reached.revision == held.revision);
}

} // namespace beacongate::test
