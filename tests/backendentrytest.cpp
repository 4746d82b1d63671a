// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of backend servers' entries in the store that are invalid or were written by another writer: they are
/// ignored, and the other entries stay valid.

#include "gateway/backendrecords.h"
#include "gatewayfixture.h"
#include "platform/documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace beacongate::test
{
namespace
{
constexpr unsigned kFuzzedEntries = 20'000;

Json validEntry()
{
	return {
		{"service", "s"},   {"address", "10.0.0.1:80"}, {"zone", "z1"},  {"version", "v1"},          {"slots", 4},
		{"state", "ready"}, {"coldRemainingMs", 0},     {"sequence", 3}, {"born", 1'700'000'000'000}};
}

bool isReadable(const std::string& _text, const std::string& _id = "w1")
{
	try
	{
		platform::readBackend(_id, _text);
		return true;
	}
	catch (const Error&)
	{
		return false;
	}
}

Json entryWith(const char* _name, const Json& _value)
{
	Json entry = validEntry();
	entry[_name] = _value;
	return entry;
}

KvItem itemOf(const std::string& _key, const std::string& _value, std::uint64_t _revision)
{
	return {_key, _value, _revision};
}
} // namespace

TEST(BackendEntry, eachFieldIsChecked)
{
	EXPECT_TRUE(isReadable(validEntry().dump()));
	for (const char* name :
		 {"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence"})
	{
		Json entry = validEntry();
		entry.erase(name);
		EXPECT_FALSE(isReadable(entry.dump())) << name << " is missing";
		for (const Json& value : {Json(nullptr), Json(true), Json(Json::array({1})), Json(Json::object())})
		{
			EXPECT_FALSE(isReadable(entryWith(name, value).dump())) << name << " is " << value.dump();
		}
	}
	for (const char* name : {"slots", "sequence", "born"})
	{
		for (const Json& value : {Json(-1), Json(1.5), Json("7"), Json(1e300), Json(18'446'744'073'709'551'615U)})
		{
			EXPECT_FALSE(isReadable(entryWith(name, value).dump())) << name << " is " << value.dump();
		}
	}
	for (const char* name : {"coldRemainingMs", "leaves_ms"})
	{
		for (const Json& value : {Json(-1), Json("7"), Json(1e300)})
		{
			EXPECT_FALSE(isReadable(entryWith(name, value).dump())) << name << " is " << value.dump();
		}
	}
	EXPECT_FALSE(isReadable(entryWith("state", "resting").dump()));
	EXPECT_FALSE(isReadable(entryWith("address", "nowhere").dump()));
	EXPECT_FALSE(isReadable(entryWith("slots", 0).dump()));
	EXPECT_FALSE(isReadable(entryWith("spot", "yes").dump()));
	EXPECT_TRUE(isReadable(entryWith("born", nullptr).dump()));
	EXPECT_EQ(platform::readBackend("w1", validEntry().dump()).born, 1'700'000'000'000U);
}

TEST(BackendEntry, invalidJsonIsRefused)
{
	EXPECT_FALSE(isReadable(""));
	EXPECT_FALSE(isReadable("null"));
	EXPECT_FALSE(isReadable("[]"));
	EXPECT_FALSE(isReadable("\xff\xfe\x01"));
	EXPECT_FALSE(isReadable(entryWith("zone", "z").dump().replace(2, 1, "\xc3")));
	EXPECT_FALSE(isReadable(std::string(limits::kBackendRecordBytes / 2, '[')));
	EXPECT_FALSE(isReadable(entryWith("zone", std::string(1u << 20, 'z')).dump()));
}

TEST(BackendEntry, idThatCouldEndAHeaderIsRefused)
{
	for (const std::string& id : {std::string(), std::string("a\r\nX: y"), std::string("a b"),
								  std::string("\xc3\xa9"), std::string(limits::kBackendIdBytes + 1, 'a')})
	{
		EXPECT_FALSE(isReadable(validEntry().dump(), id));
	}
}

TEST(BackendEntry, otherEntriesStayValid)
{
	BackendRecords records;
	std::map<std::string, KvItem> items;
	items["servers/sound"] = itemOf("servers/sound", validEntry().dump(), 1);
	for (std::uint64_t revision = 2; revision < 5002; ++revision)
	{
		items["servers/torn"] = itemOf("servers/torn", "{\"service\":", revision);
		const BackendEntries entries = records.read(items);
		ASSERT_EQ(entries.records.size(), 1u);
		ASSERT_EQ(entries.records[0].id, "sound");
		ASSERT_EQ(entries.unreadable, std::vector<std::string>{"torn"});
	}
	EXPECT_EQ(records.refusals(), 5000u);
	items["servers/torn"] = itemOf("servers/torn", validEntry().dump(), 6000);
	EXPECT_EQ(records.read(items).records.size(), 2u);
}

TEST(BackendEntry, entryWithoutStartTimeIsExcludedIfMostHaveOne)
{
	BackendRecords records;
	std::map<std::string, KvItem> items;
	Json withoutStartTime = validEntry();
	withoutStartTime.erase("born");
	items["servers/a"] = itemOf("servers/a", withoutStartTime.dump(), 1);
	items["servers/b"] = itemOf("servers/b", withoutStartTime.dump(), 2);
	items["servers/c"] = itemOf("servers/c", validEntry().dump(), 3);
	EXPECT_EQ(records.read(items).records.size(), 3u) << "one entry with a start time must not exclude the others";
	items["servers/d"] = itemOf("servers/d", validEntry().dump(), 4);
	items["servers/e"] = itemOf("servers/e", validEntry().dump(), 5);
	EXPECT_EQ(records.read(items).records.size(), 3u);
	EXPECT_EQ(records.read(items).unreadable, (std::vector<std::string>{"a", "b"}));
}

/// An entry with a few bytes changed, truncated, inserted or swapped is read or refused, and does not disturb the
/// reader.
TEST(BackendEntry, corruptedEntryIsReadOrRefused)
{
	std::minstd_rand random(20'261'203);
	const std::string valid = entryWith("leaves_ms", 2500).dump();
	unsigned refused = 0;
	for (unsigned number = 0; number < kFuzzedEntries; ++number)
	{
		std::string text = valid;
		for (unsigned change = random() % 4 + 1; change > 0 && !text.empty(); --change)
		{
			const std::size_t position = random() % text.size();
			switch (random() % 4)
			{
			case 0:
				text[position] = static_cast<char>(random());
				break;
			case 1:
				text.resize(position);
				break;
			case 2:
				text.insert(position, text.substr(0, random() % 40));
				break;
			default:
				std::swap(text[position], text[random() % text.size()]);
				break;
			}
		}
		refused += isReadable(text) ? 0 : 1;
	}
	EXPECT_GT(refused, kFuzzedEntries / 2);
}

TEST(BackendEntry, serverTakesWorkAgainAfterAnInvalidEntry)
{
	BackendRecord record = platform::readBackend("w1", validEntry().dump());
	Directory directory;
	directory.applyList({1, {record}, kSecond}, kSecond);
	directory.applyList({2, {}, kSecond, {"w1"}}, kSecond);
	EXPECT_TRUE(directory.usableOf("s", kSecond).empty());
	EXPECT_FALSE(directory.takesWork(record.identity(), kSecond));
	EXPECT_TRUE(directory.departures().since(0).empty()) << "peers would learn that it is leaving, which is final";
	directory.applyList({3, {record}, 2 * kSecond}, 2 * kSecond);
	EXPECT_EQ(directory.usableOf("s", 2 * kSecond).size(), 1u);
}

TEST_F(GatewayTest, serverTakesWorkAgainWhenItsOverwrittenEntryIsRestored)
{
	startGateway(settings(1));
	startGateway(settings(2));
	store->remove("servers/" + workerId(2));
	for (const std::string& invalidEntry : {std::string(1u << 20, 'x'), std::string("\xff\xfe"),
											validEntry().dump(), entryWith("state", "resting").dump()})
	{
		store->put("servers/" + workerId(1), invalidEntry);
		store->put("servers/another\r\nX: y", validEntry().dump());
		std::this_thread::sleep_for(std::chrono::milliseconds(1200));
		registerWorker(1, "ready");
		for (const unsigned gateway : {1u, 2u})
		{
			EXPECT_TRUE(
				await([&] { return statusOf(call("GET", "/safe/", "back", "key", gateway)) == 200; }, 2 * kSecond))
				<< invalidEntry.substr(0, 40) << " at gateway " << gateway;
		}
	}
}

} // namespace beacongate::test
