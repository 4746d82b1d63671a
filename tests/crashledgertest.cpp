// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The ledger of crashes: what blocks a request and what unblocks it, and that copies agree.

#include "coordination/crashledger.h"
#include "coordination/suspectplacement.h"
#include "step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace beacongate::test
{
namespace
{
constexpr RequestFingerprint kRequest{1, 2, 3};
constexpr RequestFingerprint kOther{1, 2, 4};

BackendKey server(unsigned _number)
{
	return BackendKey("s" + std::to_string(_number));
}

void crash(CrashLedger& _ledger, const RequestFingerprint& _request, std::initializer_list<unsigned> _servers,
		   Micros _now = 0)
{
	for (const unsigned number : _servers)
	{
		_ledger.onCrash(_request, server(number), _now);
	}
}

constexpr std::uint64_t kSharedPart = 50;
constexpr std::uint64_t kGuiltyPart = 60;

/// @returns a request of one team with these parts in its prompt.
CrashSubjects requestWith(std::uint64_t _number, const std::vector<std::uint64_t>& _parts)
{
	CrashSubjects subjects{{1, 0, _number}};
	for (const std::uint64_t part : _parts)
	{
		subjects.parts.push_back(partFingerprintOf(1, part));
	}
	return subjects;
}

void crash(CrashLedger& _ledger, const CrashSubjects& _subjects, unsigned _server, Micros _now = 0)
{
	_ledger.onCrash(_subjects, _ledger.nextCrashKeys(_subjects, server(_server)), _now);
}

/// Copies all records of one ledger to another.
void copy(const CrashLedger& _from, CrashLedger& _to, Micros _now = 0)
{
	_to.merge(_from.records(_now), _now);
}

RequestFingerprint fingerprint(const std::string& _team, const std::string& _target, const std::string& _body)
{
	return fingerprintOf({_team, "h.example", "POST", _target, _body});
}
} // namespace

TEST(CrashLedger, crashesOfOverloadedServersAreNotCharged)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2, 3});
	ASSERT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	ledger.onOverloaded(server(1), 0);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected);
	ledger.onOverloaded(server(2), 0);
	ledger.onOverloaded(server(3), 0);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::None);
	// The server is back, and its record is not renewed yet.
	ledger.onCrash(kRequest, ledger.nextCrashKey(kRequest, server(1)), 0);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::None);
	crash(ledger, kRequest, {4, 5, 6});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	EXPECT_EQ(ledger.countOf(Suspicion::Suspected), 0u) << "an overload is under no suspicion itself";
}

TEST(CrashLedger, overloadIsToldToOtherGateways)
{
	CrashLedger home;
	CrashLedger other;
	crash(other, kRequest, {1, 2, 3});
	home.onOverloaded(server(1), 0);
	other.merge(home.takeChanges(false, 8, 0), 0);
	EXPECT_EQ(other.suspicionOf(kRequest), Suspicion::Suspected);
}

TEST(CrashLedger, blocksARequestAfterThreeCrashes)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected);
	crash(ledger, kRequest, {2});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected);
	crash(ledger, kRequest, {3});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(kOther), Suspicion::None);
}

TEST(CrashLedger, countsOneCrashOfAServerOnce)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 1, 1, 1});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected);
}

TEST(CrashLedger, countsAServerThatIsBackUnderTheSameRecordAgain)
{
	CrashLedger ledger;
	EXPECT_EQ(ledger.nextCrashKey(kRequest, server(1)), server(1));
	for (unsigned round = 0; round < 3; ++round)
	{
		EXPECT_NE(ledger.suspicionOf(kRequest), Suspicion::Blocked);
		ledger.onCrash(kRequest, ledger.nextCrashKey(kRequest, server(1)), 0);
	}
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
}

TEST(CrashLedger, requestThatEndedWellIsNotSuspected)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2});
	ledger.onCompleted(kRequest);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::None);
	crash(ledger, kRequest, {1, 2, 3});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected) << "crashes from before count again";
}

TEST(CrashLedger, blockedRequestTakesTheBlameForCrashesThatItShares)
{
	CrashLedger ledger;
	crash(ledger, kOther, {1, 2, 3});
	crash(ledger, kRequest, {1, 2, 3});
	crash(ledger, kRequest, {4});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(kOther), Suspicion::Suspected);
}

TEST(CrashLedger, twoRequestsThatCrashTheSameServersAreBothBlocked)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2, 3});
	crash(ledger, kOther, {1, 2, 3, 4, 5});
	EXPECT_NE(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	crash(ledger, kRequest, {6, 7});
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(kOther), Suspicion::Blocked);
}

TEST(CrashLedger, blocksAPartThatUnlikeRequestsHaveInCommon)
{
	CrashLedger ledger;
	for (unsigned number = 1; number <= 3; ++number)
	{
		EXPECT_NE(ledger.suspicionOf(requestWith(100 + number, {kGuiltyPart})), Suspicion::Blocked);
		crash(ledger, requestWith(number, {kGuiltyPart}), number);
	}
	EXPECT_EQ(ledger.suspicionOf(requestWith(200, {kGuiltyPart})), Suspicion::Suspected);
	ledger.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(200, {kGuiltyPart})), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(requestWith(201, {kSharedPart})), Suspicion::None);
	EXPECT_EQ(ledger.suspicionOf(CrashSubjects{{2, 0, 202}, {partFingerprintOf(2, kGuiltyPart)}}), Suspicion::None)
		<< "no team blocks another one's requests";
}

TEST(CrashLedger, partThatWasAnsweredLatelyIsNotSuspected)
{
	CrashLedger ledger;
	ledger.onCompleted(requestWith(1, {kSharedPart}), 0);
	for (unsigned number = 2; number <= 5; ++number)
	{
		crash(ledger, requestWith(number, {kSharedPart, kGuiltyPart}), number);
		EXPECT_EQ(ledger.suspicionOf(requestWith(100, {kSharedPart})), Suspicion::None);
	}
	ledger.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(200, {kSharedPart, kGuiltyPart})), Suspicion::Blocked);
}

TEST(CrashLedger, partsWithTheSameCrashesAreToldApartByAnAnswer)
{
	CrashLedger ledger;
	for (unsigned number = 1; number <= 4; ++number)
	{
		crash(ledger, requestWith(number, {kSharedPart, kGuiltyPart}), number);
	}
	ledger.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(100, {kSharedPart})), Suspicion::Suspected);
	EXPECT_EQ(ledger.suspicionOf(requestWith(101, {kGuiltyPart})), Suspicion::Suspected);
	EXPECT_EQ(ledger.suspicionOf(requestWith(105, {kGuiltyPart, kSharedPart})), Suspicion::Blocked);
	ledger.onCompleted(requestWith(102, {kSharedPart}), CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(103, {kSharedPart})), Suspicion::None);
	EXPECT_EQ(ledger.suspicionOf(requestWith(104, {kGuiltyPart})), Suspicion::Blocked);
}

TEST(CrashLedger, partThatTurnsBadIsBlockedOnceItsAnswersAreLongAgo)
{
	CrashLedger ledger;
	ledger.onCompleted(requestWith(1, {kGuiltyPart}), 0);
	const Micros later = SoundParts::kSpan + kSecond;
	for (unsigned number = 2; number <= 4; ++number)
	{
		crash(ledger, requestWith(number, {kGuiltyPart}), number, later);
	}
	ledger.expire(later + CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(100, {kGuiltyPart})), Suspicion::Blocked);
}

TEST(CrashLedger, partOfAGroupIsBlockedAloneOnceItHasMoreCrashes)
{
	CrashLedger ledger;
	for (unsigned number = 1; number <= 3; ++number)
	{
		crash(ledger, requestWith(number, {kSharedPart, kGuiltyPart}), number);
	}
	crash(ledger, requestWith(4, {kGuiltyPart}), 4);
	ledger.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(100, {kGuiltyPart})), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(requestWith(101, {kSharedPart})), Suspicion::None);
}

TEST(CrashLedger, requestIsBlamedBeforeItsParts)
{
	CrashLedger ledger;
	for (unsigned number = 1; number <= 3; ++number)
	{
		crash(ledger, requestWith(1, {kSharedPart}), number);
	}
	ledger.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(ledger.suspicionOf(requestWith(1, {kSharedPart})), Suspicion::Blocked);
	EXPECT_NE(ledger.suspicionOf(requestWith(2, {kSharedPart})), Suspicion::Blocked);
}

TEST(CrashLedger, partsTravelWithTheRecordsOfRequests)
{
	CrashLedger ledger;
	CrashLedger other;
	for (unsigned number = 1; number <= 3; ++number)
	{
		crash(ledger, requestWith(number, {kGuiltyPart}), number);
	}
	copy(ledger, other);
	other.expire(CrashLedger::kPartConfirmation);
	EXPECT_EQ(other.suspicionOf(requestWith(100, {kGuiltyPart})), Suspicion::Blocked);
	EXPECT_EQ(other.digest(), ledger.digest());
	EXPECT_TRUE(other.release(partFingerprintOf(1, kGuiltyPart)));
	EXPECT_EQ(other.suspicionOf(requestWith(100, {kGuiltyPart})), Suspicion::None);
}

TEST(SoundParts, memoryIsBounded)
{
	SoundParts parts;
	for (std::uint64_t part = 0; part < 3 * SoundParts::kMaxParts; ++part)
	{
		parts.note(part, 0);
	}
	EXPECT_FALSE(parts.isSound(0, 0));
	EXPECT_TRUE(parts.isSound(3 * SoundParts::kMaxParts - 1, 0));
	EXPECT_FALSE(parts.isSound(3 * SoundParts::kMaxParts - 1, SoundParts::kSpan + 1));
}

TEST(CrashLedger, operatorReleasesARequest)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2, 3});
	CrashLedger peer;
	copy(ledger, peer);
	EXPECT_TRUE(ledger.release(kRequest));
	EXPECT_FALSE(ledger.release(kRequest));
	copy(ledger, peer);
	EXPECT_EQ(peer.suspicionOf(kRequest), Suspicion::None);
}

TEST(CrashLedger, blockedRequestGetsOneTrialAfterRetention)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2, 3, 4});
	crash(ledger, kOther, {9});
	ledger.expire(CrashLedger::kRetention);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	ledger.expire(CrashLedger::kRetention + 1);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Suspected);
	EXPECT_EQ(ledger.suspicionOf(kOther), Suspicion::None);
	crash(ledger, kRequest, {5}, CrashLedger::kRetention + 2);
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
}

TEST(CrashLedger, oldestSuspicionGivesWayToNewOnesAndBlockedRequestsStay)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1, 2, 3});
	crash(ledger, kOther, {4}, 1);
	for (std::uint64_t number = 0; number < 2 * CrashLedger::kMaxRequests; ++number)
	{
		ledger.onCrash({2, number, 0}, server(5), 2 + static_cast<Micros>(number));
	}
	EXPECT_EQ(ledger.suspicionOf(kRequest), Suspicion::Blocked);
	EXPECT_EQ(ledger.suspicionOf(kOther), Suspicion::None);
	EXPECT_EQ(ledger.countOf(Suspicion::Suspected) + 1, CrashLedger::kMaxRequests);
	EXPECT_EQ(ledger.records(0).size(), CrashLedger::kMaxReported);
	EXPECT_EQ(ledger.records(0).front().request, kRequest);
}

TEST(CrashLedger, reportsEachChangeSeveralTimesAndThoseOfOthersOnlyIfItRelays)
{
	CrashLedger ledger;
	crash(ledger, kRequest, {1});
	CrashLedger peer;
	peer.merge(ledger.takeChanges(false, 16, 0), 0);
	EXPECT_EQ(peer.suspicionOf(kRequest), Suspicion::Suspected);
	EXPECT_TRUE(peer.takeChanges(false, 16, 0).empty());
	EXPECT_EQ(peer.takeChanges(true, 16, 0).size(), 1u);
	for (unsigned round = 1; round < CrashLedger::kReportRounds; ++round)
	{
		EXPECT_EQ(ledger.takeChanges(false, 16, 0).size(), 1u);
	}
	EXPECT_TRUE(ledger.takeChanges(false, 16, 0).empty());
}

/// Copies that received the same reports in any order, any number of times, agree.
RC_GTEST_PROP(CrashLedger, copiesAgreeInWhateverOrderReportsArrive, (const std::vector<Step>& _steps))
{
	constexpr unsigned kLedgers = 3;
	std::vector<CrashLedger> ledgers(kLedgers);
	std::vector<std::vector<CrashRecord>> sent;
	for (const Step& step : _steps)
	{
		CrashLedger& ledger = ledgers[step.a % kLedgers];
		const RequestFingerprint request{1, 0, step.b % 4u};
		switch (step.kind % 4)
		{
		case 0:
			ledger.onCompleted(request);
			break;
		case 1:
			if (!sent.empty())
			{
				ledger.merge(sent[step.b % sent.size()], 0);
			}
			break;
		default:
			// No request gets more crashes than are kept.
			ledger.onCrash(request, server(step.b / 4u % CrashLedger::kMaxCrashes), 0);
			break;
		}
		sent.push_back(ledger.records(0));
	}
	for (unsigned from = 0; from < kLedgers; ++from)
	{
		for (unsigned to = 0; to < kLedgers; ++to)
		{
			copy(ledgers[from], ledgers[to]);
		}
	}
	for (unsigned to = 0; to < kLedgers; ++to)
	{
		copy(ledgers[kLedgers - 1], ledgers[to]);
		RC_ASSERT(ledgers[to].digest() == ledgers[0].digest());
		for (std::uint64_t number = 0; number < 4; ++number)
		{
			RC_ASSERT(ledgers[to].weightOf(RequestFingerprint{1, 0, number}) ==
					  ledgers[0].weightOf(RequestFingerprint{1, 0, number}));
		}
	}
}

TEST(RequestFingerprint, differsByEachFieldAndByItsBounds)
{
	const RequestFingerprint base = fingerprint("a", "/p", "body");
	// Requests with equal bodies whose headers name different prompts are different requests.
	const RequestFingerprint prompt = fingerprintOf({"a", "h.example", "POST", "/p", "body", "1050,7:800"});
	EXPECT_NE(prompt, base);
	EXPECT_NE(prompt, fingerprintOf({"a", "h.example", "POST", "/p", "body", "1050,8:800"}));
	EXPECT_EQ(prompt, fingerprintOf({"a", "h.example", "POST", "/p", "body", "1050,7:800"}));
	EXPECT_EQ(base, fingerprint("a", "/p", "body"));
	EXPECT_NE(base, fingerprint("a", "/p", "bodx"));
	EXPECT_NE(base, fingerprint("a", "/q", "body"));
	EXPECT_NE(base, fingerprint("a", "/pb", "ody"));
	EXPECT_NE(base.team, fingerprint("b", "/p", "body").team);
}

TEST(RequestFingerprint, isReadFromItsText)
{
	const RequestFingerprint base = fingerprint("a", "/p", "body");
	EXPECT_EQ(parseFingerprint(toString(base)), base);
	EXPECT_FALSE(parseFingerprint(""));
	EXPECT_FALSE(parseFingerprint(toString(base).substr(1)));
	EXPECT_FALSE(parseFingerprint(std::string(40, 'g')));
}

/// Requests on two servers, as one gateway places them.
class SuspectPlacementTest : public testing::Test
{
protected:
	SuspectPlacementTest()
	{
		for (unsigned number = 0; number < 8; ++number)
		{
			backends[number].key = server(number);
			candidates.push_back(&backends[number]);
		}
	}

	CrashLedger ledger;
	SuspectPlacement placement{ledger};
	std::array<KnownBackend, 8> backends;
	std::vector<const KnownBackend*> candidates;
};

TEST_F(SuspectPlacementTest, suspectsRunOnDifferentServersAndOthersAvoidThem)
{
	crash(ledger, kRequest, {100});
	crash(ledger, kOther, {100});
	const auto first = placement.preferred(candidates, CrashSubjects{kRequest}, true);
	ASSERT_EQ(first.size(), 1u);
	placement.onPlaced(CrashSubjects{kRequest}, first.front()->key);
	const auto second = placement.preferred(candidates, CrashSubjects{kOther}, true);
	ASSERT_EQ(second.size(), 1u);
	EXPECT_NE(second.front(), first.front());
	const auto others = placement.preferred(candidates, CrashSubjects{{9, 9, 9}}, false);
	EXPECT_EQ(others.size(), candidates.size() - 1);
	EXPECT_EQ(std::count(others.begin(), others.end(), first.front()), 0);
	placement.onEnded(CrashSubjects{kRequest}, first.front()->key);
	EXPECT_EQ(placement.preferred(candidates, CrashSubjects{{9, 9, 9}}, false).size(), candidates.size());
}

TEST_F(SuspectPlacementTest, gatewaysChooseTheSameServerForASuspect)
{
	CrashLedger otherLedger;
	SuspectPlacement otherPlacement(otherLedger);
	std::vector<const KnownBackend*> reversed(candidates.rbegin(), candidates.rend());
	EXPECT_EQ(placement.preferred(candidates, CrashSubjects{kRequest}, true),
			  otherPlacement.preferred(reversed, CrashSubjects{kRequest}, true));
}

TEST_F(SuspectPlacementTest, suspectIsPlacedAlthoughAllServersRunSuspects)
{
	crash(ledger, kOther, {100});
	for (const KnownBackend* backend : candidates)
	{
		placement.onPlaced(CrashSubjects{kOther}, backend->key);
	}
	EXPECT_EQ(placement.preferred(candidates, CrashSubjects{kRequest}, true).size(), candidates.size());
}

TEST_F(SuspectPlacementTest, secondCopyOfASuspectWaitsUntilTheFirstHasEnded)
{
	placement.onPlaced(CrashSubjects{kRequest}, server(1));
	EXPECT_FALSE(placement.mustWait(CrashSubjects{kRequest}));
	crash(ledger, kRequest, {100});
	EXPECT_TRUE(placement.mustWait(CrashSubjects{kRequest}));
	placement.onEnded(CrashSubjects{kRequest}, server(1));
	EXPECT_FALSE(placement.mustWait(CrashSubjects{kRequest}));
}

} // namespace beacongate::test
