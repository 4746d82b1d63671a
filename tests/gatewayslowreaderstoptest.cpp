// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that stops cutting off answers that callers read slowly.

#include "gatewayfixture.h"
#include "rawbackend.h"

#include <netinet/tcp.h>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kBodyBytes = 1u << 20;
constexpr std::size_t kStepBytes = 16u << 10;
/// A caller reads kStepBytes in this time, so that the whole answer takes about 3 s.
constexpr Micros kStep = 50 * kMillisecond;
constexpr unsigned kRaw = 3;
constexpr unsigned kCallers = 4;

/// A caller with a small receive buffer, which reads at a fixed rate.
class SlowCaller
{
public:
	SlowCaller(const Address& _address, const std::string& _request) : m_socket(socket(AF_INET, SOCK_STREAM, 0))
	{
		const int bytes = 8192;
		const int segment = 1400;
		setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
		setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(_address.port);
		inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr);
		connected = connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
		send(m_socket, _request.data(), _request.size(), MSG_NOSIGNAL);
	}

	~SlowCaller()
	{
		close(m_socket);
	}

	SlowCaller(const SlowCaller&) = delete;
	SlowCaller& operator=(const SlowCaller&) = delete;

	/// @returns all bytes until the connection ends.
	std::string readAll()
	{
		std::string received;
		std::string buffer(kStepBytes, '\0');
		for (ssize_t count = 1; count > 0;)
		{
			count = recv(m_socket, buffer.data(), buffer.size(), MSG_WAITALL);
			received.append(buffer, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
			std::this_thread::sleep_for(std::chrono::microseconds(kStep));
		}
		return received;
	}

	bool connected = false;

private:
	int m_socket;
};
} // namespace

TEST_F(GatewayTest, answersThatAreReadSlowlyAreWholeAfterTheirGatewayWasAskedToStop)
{
	const Address address{host(100 + kRaw), kWorkerPort};
	const std::string body(kBodyBytes, 'b');
	RawBackend backend(address,
					   [&body](const std::string& _request)
					   {
						   std::this_thread::sleep_for(std::chrono::milliseconds(500));
						   const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
						   return RawBackend::Script{RawBackend::head(_request, "200 OK", length) + body, ""};
					   });
	store->remove("servers/" + workerId(1));
	store->remove("servers/" + workerId(2));
	store->put("servers/" + workerId(kRaw), standin::formatRecord(address, kCallers, "ready"));
	GatewaySettings values = settings(1);
	values.grace = 8 * kSecond;
	startGateway(values);
	std::vector<std::unique_ptr<SlowCaller>> callers;
	for (unsigned number = 0; number < kCallers; ++number)
	{
		callers.push_back(std::make_unique<SlowCaller>(
			Address{host(1), kCallerPort},
			request("GET", "/safe/", "a" + std::to_string(number), std::string(platform::kApiKey) + ": key\r\n")));
	}
	for (const auto& caller : callers)
	{
		ASSERT_TRUE(caller->connected);
	}
	ASSERT_TRUE(await([&] { return backend.requests == kCallers; }));
	gateways[0]->requestStop();
	std::vector<std::thread> threads;
	threads.reserve(callers.size());
	std::atomic<unsigned> whole = 0;
	for (auto& caller : callers)
	{
		threads.emplace_back([&] { whole += caller->readAll().ends_with("\r\n\r\n" + body) ? 1 : 0; });
	}
	for (std::thread& thread : threads)
	{
		thread.join();
	}
	EXPECT_EQ(whole, kCallers);
}

} // namespace beacongate::test
