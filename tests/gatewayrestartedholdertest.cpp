// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that starts after a restore of the store reporting usage windows again with other
/// counts, because it has not seen that the store was restored.

#include "gatewayfixture.h"
#include "protocol/json.h"

#include <atomic>
#include <chrono>
#include <set>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 3;
constexpr Micros kWindow = 4 * kSecond;
/// The copy of the store is made so long before a window ends.
constexpr Micros kCopyLead = 800 * kMillisecond;
constexpr Micros kOutage = 300 * kMillisecond;
constexpr Micros kReportTimeout = 12 * kSecond;

Micros wallClockNow()
{
	using std::chrono::duration_cast;
	return duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void pause(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// Three gateways that report usage, and a store that is restored from a copy which lacks the last report.
class GatewayRestartedHolderTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(gatewaySettings(number, true));
		}
		m_traffic = std::thread([this] { callUntilStopped(); });
		ASSERT_TRUE(await([&] { return !reports().empty(); }, 3 * kReportTimeout));
	}

	void TearDown() override
	{
		m_stopped = true;
		m_traffic.join();
	}

	GatewaySettings gatewaySettings(unsigned _number, bool _firstStart) const
	{
		GatewaySettings values = settings(_number);
		values.usageWindow = kWindow;
		values.firstStart = _firstStart;
		return values;
	}

	void callUntilStopped()
	{
		for (unsigned number = 0; !m_stopped; ++number)
		{
			call("GET", "/safe/", "t" + std::to_string(number), "key", 1 + number % kGateways);
			pause(10 * kMillisecond);
		}
	}

	/// @returns the different counts that were reported for each window.
	std::map<std::uint64_t, std::set<std::string>> reports()
	{
		std::map<std::uint64_t, std::set<std::string>> counts;
		for (const standin::DutyCall& made : duties->calls())
		{
			if (made.target.find("usage") != std::string::npos)
			{
				const Json report = Json::parse(made.body);
				counts[report.at("windowId").get<std::uint64_t>()].insert(report.at("counts").dump());
			}
		}
		return counts;
	}

	/// Restores the store from a copy that was made shortly before the end of a window that was reported since.
	/// @returns that window.
	std::uint64_t restoreAfterReport()
	{
		const auto window = static_cast<std::uint64_t>(wallClockNow() / kWindow) + 1;
		pause(static_cast<Micros>(window + 1) * kWindow - kCopyLead - wallClockNow());
		store->takeCopy();
		EXPECT_TRUE(await([&] { return reports().count(window) != 0; }, kReportTimeout));
		store->setFault(StoreFault::Silent);
		pause(kOutage);
		store->restoreCopy();
		store->setFault(StoreFault::None);
		pause(kOutage);
		return window;
	}

	void expectEachWindowReportedOnce(std::uint64_t _window)
	{
		EXPECT_TRUE(await([&] { return reports().rbegin()->first > _window + 2; }, 3 * kReportTimeout))
			<< "later windows are reported";
		for (const auto& [number, counts] : reports())
		{
			EXPECT_EQ(counts.size(), 1u) << "window " << number << ": " << testing::PrintToString(counts);
		}
	}

private:
	std::thread m_traffic;
	std::atomic<bool> m_stopped = false;
};

TEST_F(GatewayRestartedHolderTest, holderThatStartsAgainAfterARestoreReportsNoWindowTwice)
{
	const std::uint64_t window = restoreAfterReport();
	const auto holder = static_cast<unsigned>(std::atoi(duties->calls().back().holder.c_str() + 1));
	gateways[holder - 1].reset();
	gateways[holder - 1] = std::make_unique<RunningGateway>(gatewaySettings(holder, false));
	expectEachWindowReportedOnce(window);
}

TEST_F(GatewayRestartedHolderTest, gatewaysThatAllStartAgainAfterARestoreReportNoWindowTwice)
{
	const std::uint64_t window = restoreAfterReport();
	for (auto& gateway : gateways)
	{
		gateway->requestStop();
	}
	gateways.clear();
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		startGateway(gatewaySettings(number, false));
	}
	expectEachWindowReportedOnce(window);
}

TEST_F(GatewayRestartedHolderTest, gatewaysThatAllStartAgainWithoutARestoreReportEachWindow)
{
	const std::uint64_t last = reports().rbegin()->first;
	for (auto& gateway : gateways)
	{
		gateway->requestStop();
	}
	gateways.clear();
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		startGateway(gatewaySettings(number, false));
	}
	expectEachWindowReportedOnce(last);
	const auto counts = reports();
	for (std::uint64_t window = last; window <= last + 2; ++window)
	{
		EXPECT_EQ(counts.count(window), 1u) << window;
	}
}

} // namespace beacongate::test
