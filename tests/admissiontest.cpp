// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests which services are under admission, whose slots are granted one by one, and what refused callers are told.

#include "coordination/admission/admissionrules.h"
#include "coordination/admission/shortageretry.h"
#include "coordination/admission/slotrules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kTarget = 800 * kMillisecond;
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();

Route routeTo(const std::vector<std::string>& _services, Micros _timeout, Micros _target, unsigned _priority)
{
	Route route;
	route.kind = RouteKind::Stream;
	route.timeout = _timeout;
	route.targetLatency = _target;
	route.priority = _priority;
	for (const std::string& service : _services)
	{
		route.split.push_back({service, 1});
	}
	return route;
}

/// @returns a configuration with the engine services "large" and "small" and the plain service "plain".
RoutingConfigPtr configOf(const std::vector<Route>& _routes)
{
	const auto config = std::make_shared<RoutingConfig>();
	config->routes = _routes;
	for (const std::string name : {"large", "small", "plain"})
	{
		PooledService service;
		service.name = name;
		service.engine = name == "plain" ? std::nullopt : std::optional(EngineSettings{});
		config->services.push_back(service);
	}
	config->buildIndex();
	return config;
}

AdmissionRules rulesOf(const std::vector<Route>& _routes)
{
	AdmissionRules rules;
	rules.configure(configOf(_routes));
	return rules;
}

/// Backend servers as a gateway knows them.
struct Servers
{
	KnownBackend& add(const std::string& _service, unsigned _slots, bool _statesSpeed)
	{
		const std::string id = _service + std::to_string(backends.size());
		KnownBackend& backend = backends[id];
		backend.record.id = id;
		backend.record.service = _service;
		backend.record.slots = _slots;
		backend.key = BackendKey(id, 1);
		_statesSpeed ? speeds.onLoad(backend.key, {0, 0, _slots, 1.0}, kSecond) : void();
		return backend;
	}

	SlotRules rules(const std::vector<Route>& _routes, std::size_t _gateways) const
	{
		const RoutingConfigPtr config = configOf(_routes);
		AdmissionRules admission;
		admission.configure(config);
		SlotRules rules;
		rules.update(*config, admission, speeds, backends, _gateways);
		return rules;
	}

	std::map<std::string, KnownBackend> backends;
	ServerSpeeds speeds;
};
} // namespace

// Guards against admission at services whose callers can wait for the end of a burst.
TEST(AdmissionRules, needDeadlineBelowTenTargets)
{
	EXPECT_EQ(rulesOf({routeTo({"large"}, 10 * kTarget - 1, kTarget, 0)}).targetOf("large"), kTarget);
	EXPECT_FALSE(rulesOf({routeTo({"large"}, 10 * kTarget, kTarget, 0)}).targetOf("large"));
	EXPECT_FALSE(rulesOf({routeTo({"large"}, 10 * kTarget - 1, kTarget, 0)}).targetOf("small"));
}

TEST(AdmissionRules, followTheMostUrgentRoute)
{
	const Route urgent = routeTo({"large"}, 3 * kSecond, kTarget, 1);
	const Route patient = routeTo({"large"}, 60 * kSecond, kSecond, 4);
	EXPECT_EQ(rulesOf({urgent, patient}).targetOf("large"), kTarget);
	EXPECT_EQ(rulesOf({patient, urgent}).targetOf("large"), kTarget);
	const Route mostUrgent = routeTo({"large"}, 60 * kSecond, kSecond, 0);
	EXPECT_FALSE(rulesOf({urgent, mostUrgent}).targetOf("large"));
	EXPECT_FALSE(rulesOf({mostUrgent, urgent}).targetOf("large"));
}

// Prompts of all routes are read one after the other, so that the strictest target bounds them.
TEST(AdmissionRules, giveTheSmallestTargetOfAllStreamingRoutes)
{
	const Route urgent = routeTo({"large"}, 3 * kSecond, kTarget, 1);
	const Route strict = routeTo({"large"}, 15 * kSecond, kTarget / 2, 4);
	EXPECT_EQ(rulesOf({urgent, strict}).targetOf("large"), kTarget / 2);
}

TEST(AdmissionRules, ignoreOtherServicesAndRoutes)
{
	Route call = routeTo({"large"}, kSecond, kTarget, 0);
	call.kind = RouteKind::Safe;
	EXPECT_FALSE(rulesOf({call}).targetOf("large"));
	EXPECT_FALSE(rulesOf({routeTo({"plain"}, 3 * kSecond, kTarget, 0)}).targetOf("plain"));
	EXPECT_FALSE(rulesOf({routeTo({"unknown"}, 3 * kSecond, kTarget, 0)}).targetOf("unknown"));
	EXPECT_FALSE(rulesOf({routeTo({"large"}, 3 * kSecond, 0, 0)}).targetOf("large"));
	EXPECT_FALSE(AdmissionRules().targetOf("large"));
	// An urgent route that does not stream does not hide the streaming one.
	call.timeout = 60 * kSecond;
	EXPECT_EQ(rulesOf({call, routeTo({"large"}, 3 * kSecond, kTarget, 1)}).targetOf("large"), kTarget);
}

TEST(AdmissionRules, countEachPartOfSplitTraffic)
{
	const AdmissionRules rules =
		rulesOf({routeTo({"large", "small"}, 3 * kSecond, kTarget, 1), routeTo({"small"}, 60 * kSecond, kSecond, 0),
				 routeTo({"large", "plain"}, 5 * kSecond, kSecond, 2)});
	EXPECT_EQ(rules.targetOf("large"), kTarget);
	EXPECT_FALSE(rules.targetOf("small"));
	EXPECT_FALSE(rules.targetOf("plain"));
}

TEST(AdmissionRules, followNewConfiguration)
{
	AdmissionRules rules = rulesOf({routeTo({"large"}, 3 * kSecond, kTarget, 0)});
	rules.configure(configOf({routeTo({"small"}, 3 * kSecond, kTarget / 2, 0)}));
	EXPECT_FALSE(rules.targetOf("large"));
	EXPECT_EQ(rules.targetOf("small"), kTarget / 2);
	rules.configure(configOf({}));
	EXPECT_FALSE(rules.targetOf("small"));
}

// Guards against refusals after a longer wait, which cost callers more, and against the loss of work that was done.
RC_GTEST_PROP(HoldLeft, endsSoThatTheNextDecisionIsWithinAnEighthOfTheTarget, ())
{
	const Micros received = *rc::gen::inRange<Micros>(0, kSecond);
	const Micros target = *rc::gen::inRange<Micros>(1, 10 * kSecond);
	const Micros waited = *rc::gen::inRange<Micros>(0, 2 * target + 1);
	const Micros left = holdLeft({received + waited, received, target, false});
	const Micros whole = holdLeft({received, received, target, false});
	RC_ASSERT(whole == std::max(target / 8 / 2, target / 8 - kHeldInterval));
	RC_ASSERT(left == std::max<Micros>(0, whole - waited));
	RC_ASSERT(holdLeft({received + waited, received, target, true}) == kNever);
}

TEST(HoldLeft, leavesTimeForOneMoreDecision)
{
	EXPECT_EQ(holdLeft({kSecond, kSecond, kTarget, false}), 90 * kMillisecond);
	EXPECT_EQ(holdLeft({kSecond + 89 * kMillisecond, kSecond, kTarget, false}), kMillisecond);
	EXPECT_EQ(holdLeft({kSecond + 90 * kMillisecond, kSecond, kTarget, false}), 0);
	EXPECT_EQ(holdLeft({kSecond + kTarget, kSecond, kTarget, false}), 0);
	EXPECT_GT(holdLeft({kSecond, kSecond, 40 * kMillisecond, false}), 0) << "no home could answer in time";
}

TEST(IsReturning, needsLessThan95PercentOfTheTime)
{
	EXPECT_FALSE(isReturning(std::nullopt, 3 * kSecond));
	EXPECT_FALSE(isReturning(4 * kSecond, 3 * kSecond));
	EXPECT_FALSE(isReturning(3 * kSecond, 3 * kSecond));
	EXPECT_FALSE(isReturning(2850 * kMillisecond, 3 * kSecond));
	EXPECT_TRUE(isReturning(2850 * kMillisecond - 1, 3 * kSecond));
	EXPECT_TRUE(isReturning(0, 3 * kSecond));
}

RC_GTEST_PROP(QueueRank, ordersByPriorityThenReturningCallers, (bool _returning, bool _otherReturning))
{
	const auto priority = *rc::gen::inRange(0U, 1000U);
	const auto other = *rc::gen::inRange(0U, 1000U);
	constexpr double kNotRaised = 0.5;
	const bool before = queueRank(priority, _returning, kNotRaised) < queueRank(other, _otherReturning, kNotRaised);
	RC_ASSERT(before == (priority < other || (priority == other && _returning && !_otherReturning)));
}

// Guards against priorities that leave nothing to the least urgent requests.
TEST(QueueRank, raisesAShareOfTheRequests)
{
	EXPECT_EQ(queueRank(9, false, 0.2), queueRank(0, false, 0.9));
	EXPECT_EQ(queueRank(9, true, 0.2), queueRank(0, true, 0.9));
	EXPECT_GT(queueRank(9, false, 0.3), queueRank(0, false, 0.9));
}

TEST(SlotRules, grantPromptsOfServicesUnderAdmission)
{
	Servers servers;
	const BackendKey admitted = servers.add("large", 64, false).key;
	const BackendKey other = servers.add("small", 64, true).key;
	const SlotRules rules = servers.rules({routeTo({"large"}, 3 * kSecond, kTarget, 0)}, 1000);
	EXPECT_TRUE(rules.grantsPrompts("large"));
	EXPECT_TRUE(rules.grantsPrompts(admitted));
	EXPECT_FALSE(rules.grantsPrompts("small"));
	EXPECT_FALSE(rules.grantsPrompts(other));
	EXPECT_EQ(rules.rejectionsOf("large"), 0.0);
	EXPECT_FALSE(rules.rejectionsOf("small"));
	EXPECT_FALSE(rules.rejectionsOf("unknown"));
	EXPECT_FALSE(rules.empty());
}

TEST(SlotRules, grantSlotsOfPlainServicesWithFewerSlotsThanGateways)
{
	Servers servers;
	for (unsigned number = 0; number < 6; ++number)
	{
		servers.add("plain", 6, true);
	}
	EXPECT_EQ(servers.rules({}, 37).rejectionsOf("plain"), SlotRules::kPlainRejections);
	EXPECT_FALSE(servers.rules({}, 37).grantsPrompts("plain"));
	EXPECT_TRUE(servers.rules({}, 36).empty());
	servers.add("plain", 6, true).record.draining = true;
	servers.add("plain", 6, true).vanishedAt = kSecond;
	EXPECT_TRUE(servers.rules({}, 37).rejectionsOf("plain")) << "servers that take no work add no slots";
}

TEST(SlotRules, leavePlainServicesThatStateNoSpeedAsTheyAre)
{
	Servers servers;
	servers.add("plain", 6, false);
	EXPECT_TRUE(servers.rules({}, 1000).empty());
}

// Guards against a large service that counts as small while a gateway has had answers of only a few of its servers.
TEST(SlotRules, countSlotsOfServersThatHaveNotAnsweredYet)
{
	Servers servers;
	servers.add("plain", 6, true);
	for (unsigned number = 0; number < 19; ++number)
	{
		servers.add("plain", 6, false);
	}
	EXPECT_FALSE(servers.rules({}, 86).rejectionsOf("plain"));
}

TEST(SlotRules, forgetFormerConfiguration)
{
	Servers servers;
	const BackendKey key = servers.add("large", 64, false).key;
	SlotRules rules = servers.rules({routeTo({"large"}, 3 * kSecond, kTarget, 0)}, 10);
	rules.update(*configOf({}), AdmissionRules(), servers.speeds, servers.backends, 10);
	EXPECT_TRUE(rules.empty());
	EXPECT_FALSE(rules.grantsPrompts(key));
	EXPECT_FALSE(rules.rejectionsOf("large"));
}

TEST(PromptSlots, areThoseReadInHalfOfTheTarget)
{
	EXPECT_EQ(SlotRules::promptSlots(kTarget, 80.0, 64), 5U);
	EXPECT_EQ(SlotRules::promptSlots(kTarget, 100.0, 64), 4U);
	EXPECT_EQ(SlotRules::promptSlots(kTarget, 1000.0, 64), 1U);
	EXPECT_EQ(SlotRules::promptSlots(kTarget, 2.0, 64), 64U);
}

// Guards against a server that gets no request at all, or any number, because of an estimate that makes no sense.
TEST(PromptSlots, areBoundedForAnyEstimate)
{
	for (const double millis : {0.0, -0.0, -1.0, 1e-300, 1e300, kNaN, kInfinity, -kInfinity})
	{
		for (const Micros target : {Micros{0}, Micros{-1}, Micros{1}, kTarget, kNever})
		{
			for (const unsigned slots : {0U, 1U, 64U, std::numeric_limits<unsigned>::max()})
			{
				const unsigned granted = SlotRules::promptSlots(target, millis, slots);
				EXPECT_GE(granted, 1U) << millis << " ms, " << target << " us, " << slots << " slots";
				EXPECT_LE(granted, std::max(1U, slots)) << millis << " ms, " << target << " us";
			}
		}
	}
	EXPECT_EQ(SlotRules::promptSlots(kTarget, 0.0, 64), 64U);
	EXPECT_EQ(SlotRules::promptSlots(kTarget, kNaN, 64), 1U);
	EXPECT_EQ(SlotRules::promptSlots(kTarget, kInfinity, 64), 1U);
}

RC_GTEST_PROP(PromptSlots, areFewerForLongerPrompts, ())
{
	const auto slots = *rc::gen::inRange(1U, 1000U);
	const auto target = *rc::gen::inRange<Micros>(1, 20 * kSecond);
	const auto shorter = *rc::gen::inRange(0, 5000);
	const auto longer = *rc::gen::inRange(shorter, 5001);
	RC_ASSERT(SlotRules::promptSlots(target, longer, slots) <= SlotRules::promptSlots(target, shorter, slots));
}

TEST(ShortageMeter, measuresTheRefusedShare)
{
	ShortageMeter meter;
	EXPECT_EQ(meter.refusedShare("large"), 0.0);
	for (Micros now = 0; now < 10 * kSecond; now += 10 * kMillisecond)
	{
		meter.onDecided("large", now / (10 * kMillisecond) % 4 == 0, now);
	}
	EXPECT_NEAR(meter.refusedShare("large"), 0.25, 0.02);
	EXPECT_EQ(meter.refusedShare("small"), 0.0);
}

// Guards against callers that are told to wait for a shortage that has ended.
TEST(ShortageMeter, forgetsWithinSeconds)
{
	ShortageMeter meter;
	Micros now = 0;
	for (; now < 5 * kSecond; now += 10 * kMillisecond)
	{
		meter.onDecided("large", true, now);
	}
	EXPECT_NEAR(meter.refusedShare("large"), 1.0, 0.02);
	for (const Micros end = now + 5 * kSecond; now < end; now += 10 * kMillisecond)
	{
		meter.onDecided("large", false, now);
	}
	EXPECT_LT(meter.refusedShare("large"), 0.02);
}

// Guards against an average that grows without end, or is lost for good, after a step of the clock.
RC_GTEST_PROP(ShortageMeter, staysInRangeWhateverTheClockDoes, (const std::vector<bool>& _refused))
{
	ShortageMeter meter;
	for (const bool refused : _refused)
	{
		meter.onDecided("large", refused, *rc::gen::inRange<Micros>(-1000 * kSecond, 1000 * kSecond));
		const double share = meter.refusedShare("large");
		RC_ASSERT(share >= 0.0);
		RC_ASSERT(share <= 1.0);
	}
	const Micros from = *rc::gen::inRange<Micros>(-1000 * kSecond, 1000 * kSecond);
	for (Micros now = from; now < from + 10 * kSecond; now += 20 * kMillisecond)
	{
		meter.onDecided("large", true, now);
	}
	RC_ASSERT(meter.refusedShare("large") > 0.95);
}

TEST(RetryAfterShortage, isAtLeast100Milliseconds)
{
	EXPECT_EQ(retryAfterShortage(0.0, 3 * kSecond, 1.0), 100 * kMillisecond);
	EXPECT_EQ(retryAfterShortage(1.0, 3 * kSecond, 1.0), kSecond);
	EXPECT_EQ(retryAfterShortage(1.0, 3 * kSecond, 0.0), 600 * kMillisecond);
	EXPECT_EQ(retryAfterShortage(1.0, 0, 1.0), 100 * kMillisecond);
	EXPECT_EQ(retryAfterShortage(1.0, -kSecond, 1.0), 100 * kMillisecond);
}

// Guards against a delay beyond what callers honour.
RC_GTEST_PROP(RetryAfterShortage, staysWithinAThirdOfTheTimeLeft, ())
{
	const double share = *rc::gen::inRange(-100, 1100) / 1000.0;
	const double spread = *rc::gen::inRange(-100, 1100) / 1000.0;
	const Micros left = *rc::gen::inRange<Micros>(-kSecond, 30 * kSecond);
	const Micros delay = retryAfterShortage(share, left, spread);
	RC_ASSERT(delay >= 100 * kMillisecond);
	RC_ASSERT(delay <= std::max(100 * kMillisecond, left / 3));
}

RC_GTEST_PROP(RetryAfterShortage, growsWithTheRefusedShare, ())
{
	const int smaller = *rc::gen::inRange(0, 1000);
	const int larger = *rc::gen::inRange(smaller, 1001);
	const double spread = *rc::gen::inRange(0, 1001) / 1000.0;
	const Micros left = *rc::gen::inRange<Micros>(0, 30 * kSecond);
	RC_ASSERT(retryAfterShortage(smaller / 1000.0, left, spread) <=
			  retryAfterShortage(larger / 1000.0, left, spread));
}

} // namespace beacongate::test
