// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that takes more memory than its VM has, since many callers read large answers slowly.

#include "gatewayfixture.h"
#include "rawbackend.h"

#include <fstream>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kBodyBytes = 4u << 20;
constexpr std::size_t kPartBytes = 16u << 10; ///< The backend server holds no more of a body at once.
constexpr unsigned kRaw = 3;
constexpr unsigned kSlowCallers = 60;
/// For how long callers do not read, of the 2 s that the route allows.
constexpr Micros kSilentSpan = 700 * kMillisecond;
constexpr std::size_t kMebibyte = 1u << 20;
/// Memory of a small VM, without what this process needs for the test itself: buffers and stand-ins.
constexpr std::size_t kMaxGrowth = 200 * kMebibyte;

/// @returns the resident memory of this process in bytes.
std::size_t residentBytes()
{
	std::ifstream file("/proc/self/statm");
	std::size_t total = 0;
	std::size_t resident = 0;
	file >> total >> resident;
	return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}
} // namespace

TEST_F(GatewayTest, memoryIsBoundedWhileManyCallersReadLargeAnswersSlowly)
{
	const Address address{host(100 + kRaw), kWorkerPort};
	const std::string body(kBodyBytes, 'b');
	const std::string part(kPartBytes, 'b');
	RawBackend backend(address,
					   [&body, &part](const std::string& _request)
					   {
						   const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
						   const bool large = _request.find("large") != std::string::npos;
						   return large ? RawBackend::Script{RawBackend::head(_request, "200 OK", length), part}
										: RawBackend::Script{
											  RawBackend::head(_request, "200 OK", "Content-Length: 2\r\n") + "ok",
											  ""};
					   });
	store->remove("servers/" + workerId(1));
	store->remove("servers/" + workerId(2));
	store->put("servers/" + workerId(kRaw), standin::formatRecord(address, 2 * kSlowCallers, "ready"));
	startGateway(settings(1));
	const std::size_t before = residentBytes();
	std::vector<std::unique_ptr<Caller>> callers;
	for (unsigned number = 0; number < kSlowCallers; ++number)
	{
		callers.push_back(std::make_unique<Caller>(Address{host(1), kCallerPort}));
		callers.back()->sendBytes(request("GET", "/safe/large", "a" + std::to_string(number),
										  std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n"));
	}
	std::size_t largest = 0;
	unsigned served = 0;
	unsigned small = 0;
	for (const Micros end = monotonicNow() + kSilentSpan; monotonicNow() < end; ++small)
	{
		largest = std::max(largest, residentBytes() - before);
		served += statusOf(call("GET", "/safe/small", "b" + std::to_string(small))) == 200 ? 1 : 0;
		std::this_thread::sleep_for(std::chrono::milliseconds(20));
	}
	EXPECT_LT(largest, kMaxGrowth);
	EXPECT_EQ(served, small) << "small answers are not delayed";
	std::vector<std::thread> readers;
	readers.reserve(callers.size());
	std::atomic<unsigned> whole = 0;
	for (auto& caller : callers)
	{
		readers.emplace_back([&] { whole += caller->receiveUntil("", 5 * kSecond).ends_with(body) ? 1 : 0; });
	}
	for (std::thread& reader : readers)
	{
		reader.join();
	}
	EXPECT_GE(whole, kSlowCallers / 2) << "callers that read get their answers";
}

} // namespace beacongate::test
