// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the order of the store's revisions over restores, and what the directory keeps of a store that was
/// restored.

#include "coordination/storerevision.h"
#include "coordination/directory.h"
#include "platform/names.h"
#include "platform/storecalls.h"
#include "protocol/json.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
HttpAnswer rangeAnswer(const std::string& _era)
{
	HttpAnswer answer;
	answer.status = 200;
	answer.headers = {{platform::kStoreEra, _era}};
	answer.body = R"({"items":[{"key":"a","value":"","revision":53}],"more":false,"at":60})";
	return answer;
}

BackendRecord recordOf(const std::string& _id)
{
	BackendRecord record;
	record.id = _id;
	record.born = 7;
	record.service = "s";
	return record;
}

RoutingConfigPtr configOf(std::uint64_t _version)
{
	auto config = std::make_shared<RoutingConfig>();
	config->version = _version;
	return config;
}

const std::uint64_t kBefore = StoreRevision::make(1, 82);
const std::uint64_t kRestored = StoreRevision::make(2, 53);
constexpr Micros kStart = 100 * kSecond;
} // namespace

TEST(StoreRevision, laterEraIsNewerWhateverItsRevisions)
{
	EXPECT_LT(StoreRevision::make(1, 1'000'000), StoreRevision::make(2, 1));
	EXPECT_LT(StoreRevision::make(2, 1), StoreRevision::make(2, 2));
	EXPECT_EQ(StoreRevision::make(0, 82), 82u);
	EXPECT_EQ(StoreRevision::make(5, 0), 0u);
	EXPECT_EQ(StoreRevision::eraOf(kRestored), 2u);
	EXPECT_EQ(StoreRevision::inStore(kRestored), 53u);
	EXPECT_EQ(StoreRevision::text(kRestored), "2.53");
}

TEST(StoreRevision, isReadFromAnswersAndNotSentToTheStore)
{
	const auto page = platform::readRange(rangeAnswer("2"));
	ASSERT_TRUE(page);
	EXPECT_EQ(page->revision, StoreRevision::make(2, 60));
	EXPECT_EQ(page->items.front().revision, kRestored);
	KvTransaction change;
	change.conditions = {{"a", kRestored}};
	const Json body = Json::parse(platform::transactionCall(change).body);
	EXPECT_EQ(body.at("expectedRevision").at(0).at("revision"), 53);
	const std::string target = platform::watchCall("a", kRestored, kSecond).target;
	EXPECT_NE(target.find("sinceRevision=53&"), std::string::npos) << target;
}

TEST(StoreRevision, eraThatIsNoNumberIsNone)
{
	for (const char* era : {"", "x", "-1", "2x", "1.5"})
	{
		EXPECT_EQ(platform::readEra(rangeAnswer(era)), 0u) << era;
	}
	EXPECT_EQ(platform::readEra(std::nullopt), 0u);
	EXPECT_EQ(platform::readEra(rangeAnswer("17")), 17u);
}

TEST(RestoredDirectory, listAndConfigurationOfALaterEraAreAdopted)
{
	Directory directory;
	directory.apply({kBefore, configOf(14), {recordOf("a")}, kStart, {}}, kStart);
	directory.apply({kRestored, configOf(21), {recordOf("a"), recordOf("b")}, kStart + kSecond, {}},
					kStart + kSecond);
	EXPECT_EQ(directory.config()->version, 21u);
	EXPECT_EQ(directory.usableOf("s", kStart + kSecond).size(), 2u);
	directory.apply({kBefore, configOf(14), {recordOf("a")}, kStart, {}}, kStart + 2 * kSecond);
	EXPECT_EQ(directory.usableOf("s", kStart + 2 * kSecond).size(), 2u) << "a late answer of the era before";
}

TEST(RestoredDirectory, configurationThatTheStoreLostStaysAndIsNotConfirmedMeanwhile)
{
	Directory directory;
	directory.apply({kBefore, configOf(18), {}, kStart, {}}, kStart);
	const Micros later = kStart + kSecond;
	directory.apply({kRestored, configOf(14), {}, later, {}}, later);
	EXPECT_EQ(directory.config()->version, 18u);
	EXPECT_EQ(directory.age(later), kSecond);
	directory.apply({kRestored + 1, configOf(18), {}, later, {}}, later);
	EXPECT_EQ(directory.age(later), 0);
}

TEST(RestoredDirectory, serverThatTheStoreLostIsUsedUntilItIsListedAgain)
{
	Directory directory;
	directory.apply({kBefore, nullptr, {recordOf("a"), recordOf("b")}, kStart, {}}, kStart);
	const Micros later = kStart + kSecond;
	directory.apply({kRestored, nullptr, {recordOf("a")}, later, {}}, later);
	EXPECT_EQ(directory.listingState(recordOf("b").identity(), later + kSecond), ListingState::Lapsed);
	EXPECT_EQ(directory.listingState(recordOf("b").identity(), later + Directory::kLapsedGrace),
			  ListingState::Gone);
	directory.apply({kRestored + 1, nullptr, {recordOf("a"), recordOf("b")}, later, {}}, later + kSecond);
	EXPECT_EQ(directory.listingState(recordOf("b").identity(), later + kSecond), ListingState::Listed);
}

TEST(RestoredDirectory, serverThatHadLeftIsNotUsedAgainUntilItsRecordHasOutlivedItsLease)
{
	Directory directory;
	directory.apply({kBefore, nullptr, {recordOf("a"), recordOf("b")}, kStart, {}}, kStart);
	directory.apply({kBefore + 1, nullptr, {recordOf("a")}, kStart + kSecond, {}}, kStart + kSecond);
	const Micros later = kStart + 3 * kSecond;
	directory.apply({kRestored, nullptr, {recordOf("a"), recordOf("b")}, later, {}}, later);
	EXPECT_EQ(directory.listingState(recordOf("b").identity(), later), ListingState::Gone);
	const Micros end = later + Directory::kRestoredSpan;
	directory.apply({kRestored + 1, nullptr, {recordOf("a"), recordOf("b")}, end, {}}, end);
	EXPECT_EQ(directory.listingState(recordOf("b").identity(), end), ListingState::Listed);
}

TEST(RestoredDirectory, serverThatSaidItLeavesStaysLeaving)
{
	Directory directory;
	BackendRecord leaving = recordOf("a");
	leaving.draining = true;
	directory.apply({kBefore, nullptr, {leaving, recordOf("b")}, kStart, {}}, kStart);
	directory.apply({kRestored, nullptr, {recordOf("a"), recordOf("b")}, kStart + kSecond, {}}, kStart + kSecond);
	EXPECT_EQ(directory.listingState(recordOf("a").identity(), kStart + kSecond), ListingState::Gone);
}

} // namespace beacongate::test
