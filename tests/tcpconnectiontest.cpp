// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against the end of a broken connection that is reported as an orderly one.

#include "transport/tcpconnection.h"
#include "standin/platform.h"

#include <gtest/gtest.h>

#include <future>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
/// More than what the system buffers for a connection whose other side does not read.
constexpr std::size_t kUnreadBytes = 32u << 20;

/// A connection with unsent bytes, and the socket of its other side.
class TcpConnectionTest : public testing::Test
{
protected:
	struct Result
	{
		std::string received;
		ConnectionEnd end = ConnectionEnd::Closed;
	};

	/// Sends more than the other side reads, lets the other side act, and then runs the loop.
	Result resultOf(const std::function<void(int _peer)>& _act)
	{
		Result result;
		std::promise<void> ended;
		m_loop.run(
			[&]
			{
				boost::asio::ip::tcp::acceptor acceptor(m_loop.context(),
														{boost::asio::ip::address_v4::loopback(), 0});
				TcpConnection::Socket socket(m_loop.context());
				socket.connect(acceptor.local_endpoint());
				const int peer = acceptor.accept().release();
				m_connection = std::make_shared<TcpConnection>(std::move(socket), 2 * kSecond);
				ConnectionHandlers handlers;
				handlers.onBytes = [&](std::string_view _bytes)
				{
					result.received += _bytes;
				};
				handlers.onEnd = [&](ConnectionEnd _end)
				{
					result.end = _end;
					ended.set_value();
				};
				m_connection->start(std::move(handlers));
				m_connection->send(std::string(kUnreadBytes, 'x'));
				EXPECT_GT(m_connection->unsent(), 0u);
				_act(peer);
			});
		ended.get_future().get();
		return result;
	}

	static void sendText(int _peer, const std::string& _text)
	{
		ASSERT_EQ(send(_peer, _text.data(), _text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(_text.size()));
	}

	static void reset(int _peer)
	{
		const linger option{1, 0};
		setsockopt(_peer, SOL_SOCKET, SO_LINGER, &option, sizeof option);
		close(_peer);
	}

	standin::LoopThread m_loop;
	TcpConnection::Ptr m_connection;
};
} // namespace

TEST_F(TcpConnectionTest, resetThatAWriteFindsFirstIsNoOrderlyEnd)
{
	const Result result = resultOf(
		[](int _peer)
		{
			sendText(_peer, "part");
			reset(_peer);
		});
	EXPECT_EQ(result.end, ConnectionEnd::Broken);
	EXPECT_EQ(result.received, "part");
}

TEST_F(TcpConnectionTest, timeoutOfSentBytesIsNoOrderlyEnd)
{
	int silent = -1;
	const Result result = resultOf(
		[&silent](int _peer)
		{
			sendText(_peer, "part");
			silent = _peer;
		});
	EXPECT_EQ(result.end, ConnectionEnd::Broken);
	EXPECT_EQ(result.received, "part");
	close(silent);
}

TEST_F(TcpConnectionTest, resetAfterAnOrderlyEndIsAnOrderlyEnd)
{
	const Result result = resultOf(
		[](int _peer)
		{
			sendText(_peer, "whole");
			shutdown(_peer, SHUT_WR);
			reset(_peer);
		});
	EXPECT_EQ(result.end, ConnectionEnd::Closed);
	EXPECT_EQ(result.received, "whole");
}

} // namespace beacongate::test
