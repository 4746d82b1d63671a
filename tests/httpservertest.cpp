// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Timeouts of the entry's HTTP server for clients that send slowly.

#include "transport/httpserver.h"
#include "daemon/clock.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
constexpr Micros kHeaderTimeout = 300 * kMillisecond;

/// A server that answers every request with 200.
class HttpServerTest : public testing::Test
{
protected:
	HttpServerTest() : m_server(m_loop, handlers(), 1000, kHeaderTimeout)
	{
		m_server.init({"127.0.0.1", 0});
		m_loop.init();
		m_socket = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(m_server.port());
		target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target), 0);
	}

	~HttpServerTest() override
	{
		close(m_socket);
		m_loop.shutdown();
	}

	void sendBytes(const std::string& _bytes) const
	{
		::send(m_socket, _bytes.data(), _bytes.size(), MSG_NOSIGNAL);
	}

	/// @returns the bytes that arrived before the timeout, or "closed" if the connection ended.
	std::string receive(Micros _timeout) const
	{
		pollfd ready{m_socket, POLLIN, 0};
		if (poll(&ready, 1, static_cast<int>(_timeout / kMillisecond)) != 1)
		{
			return "";
		}
		char buffer[1024];
		const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
		return count <= 0 ? "closed" : std::string(buffer, static_cast<std::size_t>(count));
	}

private:
	HttpServerHandlers handlers()
	{
		HttpServerHandlers handlers;
		handlers.onRequest = [this](ExchangeId _exchange, HttpRequest&&)
		{
			m_server.send(_exchange, HttpAnswer{200, {}, "ok"});
		};
		handlers.onDisconnected = [](ExchangeId) {
		};
		handlers.onMalformed = [](Failure, const std::string&)
		{
			return HttpAnswer{400, {}, ""};
		};
		return handlers;
	}

	IoLoop m_loop;
	HttpServer m_server;
	int m_socket = -1;
};
} // namespace

TEST_F(HttpServerTest, incompleteHeaderTimesOut)
{
	const Micros startedAt = monotonicNow();
	sendBytes("GET / HTTP/1.1\r\nHost: x\r\n");
	EXPECT_EQ(receive(5 * kSecond), "closed");
	EXPECT_GE(monotonicNow() - startedAt, kHeaderTimeout);
}

TEST_F(HttpServerTest, headerTimeoutSparesIdleConnectionsAndSlowBodies)
{
	EXPECT_EQ(receive(3 * kHeaderTimeout), "") << "closed before its first request";
	sendBytes("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
	EXPECT_EQ(receive(3 * kHeaderTimeout), "") << "closed within a body";
	sendBytes("dy");
	EXPECT_EQ(receive(5 * kSecond).substr(0, 12), "HTTP/1.1 200");
	EXPECT_EQ(receive(3 * kHeaderTimeout), "") << "closed between two requests";
	sendBytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(receive(5 * kSecond).substr(0, 12), "HTTP/1.1 200");
}

} // namespace beacongate::test
