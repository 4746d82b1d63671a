// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The soak's proxy keeps bytes in order when its faults change.

#include "soak/faultproxy.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
/// @returns a loopback address derived from the process id, so that concurrent tests do not share ports.
std::string testHost()
{
	const auto pid = static_cast<unsigned>(getpid());
	return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + ".1";
}

sockaddr_in loopback(std::uint16_t _port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_port = htons(_port);
	inet_pton(AF_INET, testHost().c_str(), &address.sin_addr);
	return address;
}
} // namespace

TEST(FaultProxy, keepsOrderWhenDelayEnds)
{
	constexpr std::uint16_t kTarget = 18301;
	constexpr std::uint16_t kProxy = 18302;
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	const int reuse = 1;
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
	sockaddr_in address = loopback(kTarget);
	ASSERT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
	ASSERT_EQ(listen(listener, 1), 0);
	soak::FaultProxy proxy({testHost(), kProxy}, {testHost(), kTarget});
	const int caller = socket(AF_INET, SOCK_STREAM, 0);
	address = loopback(kProxy);
	ASSERT_EQ(connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
	const int target = accept(listener, nullptr, nullptr);
	proxy.setFault(soak::LinkFault::Delays);
	ASSERT_EQ(send(target, "a", 1, 0), 1);
	std::this_thread::sleep_for(std::chrono::milliseconds(50));
	proxy.setFault(soak::LinkFault::None);
	ASSERT_EQ(send(target, "b", 1, 0), 1);
	std::string received;
	while (received.size() < 2)
	{
		char byte = 0;
		ASSERT_EQ(recv(caller, &byte, 1, 0), 1);
		received += byte;
	}
	EXPECT_EQ(received, "ab");
	close(caller);
	close(target);
	close(listener);
}

} // namespace beacongate::test
