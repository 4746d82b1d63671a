// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway on a VM that was suspended taking what it knew before for recent: the monotonic clock
/// does not count the time of a suspension.

#include "gatewayfixture.h"

#include "coordination/dutylease.h"

#include <atomic>
#include <ctime>
#include <sys/syscall.h>

namespace
{
/// Time for which the VM of this test was suspended.
std::atomic<beacongate::Micros> s_suspended = 0;
} // namespace

/// Replaces the C library's clock for this program: only the clocks that count suspensions are moved forward.
extern "C" int clock_gettime(clockid_t _clock, timespec* _time)
{
	const auto result = static_cast<int>(syscall(SYS_clock_gettime, _clock, _time));
	if (_clock == CLOCK_BOOTTIME || _clock == CLOCK_REALTIME)
	{
		constexpr beacongate::Micros kNanosPerMicro = 1000;
		const beacongate::Micros micros = _time->tv_nsec / kNanosPerMicro + s_suspended;
		_time->tv_sec += micros / beacongate::kSecond;
		_time->tv_nsec = (micros % beacongate::kSecond) * kNanosPerMicro;
	}
	return result;
}

namespace beacongate::test
{
namespace
{
constexpr Micros kSuspension = 8 * kSecond;
}

/// One gateway, and a store that stops answering.
class GatewaySuspendTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		startGateway(settings(1));
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first")) == 200; }));
	}

	static void suspend(Micros _span)
	{
		s_suspended += _span;
	}
};

TEST_F(GatewaySuspendTest, keyIsNotAcceptedAfterASuspensionUntilTheStoreConfirmsIt)
{
	store->setFault(StoreFault::Silent);
	suspend(kSuspension);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "a")), 503u);
	EXPECT_EQ(runsOf("a"), 0u);
	store->setFault(StoreFault::None);
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "a2")) == 200; }));
}

TEST_F(GatewaySuspendTest, gatewayIsNotReadyAfterASuspensionUntilTheStoreConfirmsItsConfiguration)
{
	store->setFault(StoreFault::Silent);
	suspend(kSuspension);
	EXPECT_FALSE(isReady(settings(1).readiness));
	store->setFault(StoreFault::None);
	EXPECT_TRUE(await([&] { return isReady(settings(1).readiness); }));
}

TEST_F(GatewaySuspendTest, dutyIsNotCarriedOutUnderALeaseThatEndedDuringASuspension)
{
	DutyLease lease;
	lease.onAcquired(1, monotonicNow(), kSuspension / 2);
	ASSERT_TRUE(lease.mayAct(monotonicNow()));
	suspend(kSuspension);
	EXPECT_FALSE(lease.mayAct(monotonicNow()));
}

} // namespace beacongate::test
