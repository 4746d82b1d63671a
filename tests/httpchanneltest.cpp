// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Timeouts and broken answers of calls on a persistent connection.

#include "transport/httpchannel.h"
#include "daemon/clock.h"
#include "rawbackend.h"
#include "standin/platform.h"

#include <gtest/gtest.h>

#include <future>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
constexpr std::uint16_t kPort = 18104;
constexpr std::size_t kReadRate = 500'000;          ///< Bytes per second.
constexpr std::size_t kValueBytes = 150'000;        ///< Takes 0.4 s at this rate, in base64.
constexpr Micros kCallTimeout = 150 * kMillisecond; ///< Several parts of the answer arrive within this time.
constexpr Micros kMaxDuration = 2 * kSecond;
constexpr std::size_t kMaxAnswerBytes = 1u << 20;
/// More than what the system buffers on the way to a server that does not read.
constexpr std::size_t kUploadBytes = 7u << 20;

/// A store with a limited read rate, and a channel to it.
class HttpChannelTest : public testing::Test
{
protected:
	HttpChannelTest()
		: m_address{"127.77." + std::to_string(getpid() % 250) + ".1", kPort}, m_store(m_address),
		  m_channel(std::make_shared<HttpChannel>(m_loop.context(), m_address, kMaxAnswerBytes))
	{
		m_store.put("large", std::string(kValueBytes, 'x'));
		m_store.setReadRate(kReadRate);
	}

	~HttpChannelTest() override
	{
		m_loop.run([this] { m_channel->close(); });
	}

	/// @returns true if the complete answer arrived.
	bool readStore(Micros _timeout, Micros _maxDuration)
	{
		ChannelRequest request;
		request.target = "/kv-range?pathPrefix=";
		request.maxDuration = _maxDuration;
		std::promise<bool> complete;
		m_loop.run(
			[&]
			{
				m_channel->call(request, _timeout,
								[&complete](const std::optional<HttpAnswer>& _answer)
								{ complete.set_value(_answer && _answer->body.size() > kValueBytes); });
			});
		return complete.get_future().get();
	}

	Address m_address;
	standin::PlatformStore m_store;
	standin::LoopThread m_loop;
	std::shared_ptr<HttpChannel> m_channel;
};
} // namespace

TEST_F(HttpChannelTest, callTimesOutWithoutExtension)
{
	const Micros startedAt = monotonicNow();
	EXPECT_FALSE(readStore(kCallTimeout, 0));
	EXPECT_LT(monotonicNow() - startedAt, 2 * kCallTimeout);
	m_store.setReadRate(0);
	EXPECT_TRUE(readStore(kCallTimeout, 0)) << "the next call opens a new connection";
}

TEST_F(HttpChannelTest, arrivingBytesExtendTheTimeout)
{
	EXPECT_TRUE(readStore(kCallTimeout, kMaxDuration));
	EXPECT_TRUE(readStore(kCallTimeout, kMaxDuration)) << "the connection is kept";
}

TEST_F(HttpChannelTest, extensionEndsAtTheMaximumDuration)
{
	const Micros startedAt = monotonicNow();
	EXPECT_FALSE(readStore(kCallTimeout, kCallTimeout));
	EXPECT_LT(monotonicNow() - startedAt, 3 * kCallTimeout);
}

TEST_F(HttpChannelTest, silentServerGetsNoExtension)
{
	m_store.setFault(standin::StoreFault::Silent);
	const Micros startedAt = monotonicNow();
	EXPECT_FALSE(readStore(kCallTimeout, kMaxDuration));
	EXPECT_LT(monotonicNow() - startedAt, 2 * kCallTimeout);
}

TEST_F(HttpChannelTest, answerThatIsResetDuringTheUploadIsNotComplete)
{
	const Address address{m_address.host, kPort + 1};
	RawBackend server(address,
					  [](const std::string&) {
						  return RawBackend::Script{"HTTP/1.1 200 OK\r\n\r\nbroken", {}, RawBackend::Ending::Reset};
					  });
	ASSERT_TRUE(server.listening);
	const auto channel = std::make_shared<HttpChannel>(m_loop.context(), address, kMaxAnswerBytes);
	std::promise<bool> answered;
	m_loop.run(
		[&]
		{
			ChannelRequest request;
			request.method = "POST";
			request.target = "/";
			request.body = std::string(kUploadBytes, 'x');
			channel->call(std::move(request), kMaxDuration,
						  [&answered](const std::optional<HttpAnswer>& _answer)
						  { answered.set_value(_answer.has_value()); });
		});
	EXPECT_FALSE(answered.get_future().get());
	m_loop.run([&] { channel->close(); });
}

} // namespace beacongate::test
