// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests which gateways count as members of the fleet while the store does not list them.

#include "coordination/retainedmembers.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
const MemberRecord kOwn{"b", "z", 0};
const MemberRecord kFirst{"a", "z", 0};
const MemberRecord kLast{"c", "z", 0};
const MemberRecord kStrong{"d", "z", 50};
} // namespace

TEST(RetainedMembers, membersStayAfterAllLeasesRanOut)
{
	RetainedMembers members(kOwn);
	EXPECT_TRUE(members.update({kFirst, kOwn, kLast}, kSecond));
	EXPECT_FALSE(members.update({}, 2 * kSecond));
	EXPECT_EQ(members.members().size(), 3u);
	EXPECT_FALSE(members.update({kOwn}, 10 * kSecond));
	EXPECT_FALSE(members.expire(2 * kSecond + RetainedMembers::kRetention));
	EXPECT_TRUE(members.expire(2 * kSecond + RetainedMembers::kRetention + 1));
	EXPECT_EQ(members.members(), std::set<MemberRecord>{kOwn});
}

TEST(RetainedMembers, memberThatIsBackStaysFromThenOn)
{
	RetainedMembers members(kOwn);
	members.update({kFirst, kOwn}, 0);
	members.update({kOwn}, kSecond);
	EXPECT_FALSE(members.update({kFirst, kOwn}, 2 * kSecond));
	EXPECT_FALSE(members.expire(2 * RetainedMembers::kRetention));
	EXPECT_EQ(members.members().size(), 2u);
}

TEST(RetainedMembers, memberWithOtherValuesReplacesTheFormerOne)
{
	RetainedMembers members(kOwn);
	members.update({kFirst, kOwn}, 0);
	EXPECT_TRUE(members.update({{kFirst.host, "y", 0}, kOwn}, kSecond));
	EXPECT_EQ(members.members().size(), 2u);
}

TEST(RetainedMembers, membersAreCountedWithThisGatewayInItsPlace)
{
	RetainedMembers members(kOwn);
	EXPECT_EQ(members.count(), 1u);
	members.update({kFirst, kLast, kStrong}, 0);
	EXPECT_EQ(members.count(), 4u);
	EXPECT_EQ(members.index(), 2u); // Members with more processor time rank first.
	members.update({kFirst, kOwn, kLast, kStrong}, kSecond);
	EXPECT_EQ(members.count(), 4u);
	EXPECT_EQ(members.index(), 2u);
}

} // namespace beacongate::test
