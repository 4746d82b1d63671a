// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Timeouts of calls on a persistent connection.

#include "transport/httpchannel.h"
#include "daemon/clock.h"
#include "standin/platform.h"

#include <gtest/gtest.h>

#include <future>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
constexpr std::uint16_t kPort = 18104;
constexpr std::size_t kRate = 500'000;       ///< Bytes per second.
constexpr std::size_t kValueBytes = 150'000; ///< Takes 0.4 s at this rate, in base64.
constexpr Micros kSpan = 150 * kMillisecond; ///< Several parts of the answer arrive within this time.
constexpr Micros kLongest = 2 * kSecond;
constexpr std::size_t kMostBytes = 1u << 20;

/// A store with a limited read rate, and a channel to it.
class HttpChannelTest : public testing::Test
{
protected:
	HttpChannelTest()
		: m_address{"127.77." + std::to_string(getpid() % 250) + ".1", kPort}, m_store(m_address),
		  m_channel(std::make_shared<HttpChannel>(m_loop.context(), m_address, kMostBytes))
	{
		m_store.put("large", std::string(kValueBytes, 'x'));
		m_store.setReadRate(kRate);
	}

	~HttpChannelTest() override
	{
		m_loop.run([this] { m_channel->close(); });
	}

	/// @returns true if the complete answer arrived.
	bool readWithin(Micros _span, Micros _longest)
	{
		ChannelRequest request;
		request.target = "/kv-range?pathPrefix=";
		request.longest = _longest;
		std::promise<bool> whole;
		m_loop.run(
			[&]
			{
				m_channel->call(request, _span,
								[&whole](const std::optional<HttpAnswer>& _answer)
								{ whole.set_value(_answer && _answer->body.size() > kValueBytes); });
			});
		return whole.get_future().get();
	}

	Address m_address;
	standin::PlatformStore m_store;
	standin::LoopThread m_loop;
	std::shared_ptr<HttpChannel> m_channel;
};
} // namespace

TEST_F(HttpChannelTest, aCallEndsWithItsSpanWhereNothingElseIsSaid)
{
	const Micros began = monotonicNow();
	EXPECT_FALSE(readWithin(kSpan, 0));
	EXPECT_LT(monotonicNow() - began, 2 * kSpan);
	m_store.setReadRate(0);
	EXPECT_TRUE(readWithin(kSpan, 0)) << "the next call opens a new connection";
}

TEST_F(HttpChannelTest, anAnswerThatKeepsComingIsGivenMoreTime)
{
	EXPECT_TRUE(readWithin(kSpan, kLongest));
	EXPECT_TRUE(readWithin(kSpan, kLongest)) << "the connection is kept";
}

TEST_F(HttpChannelTest, anAnswerThatKeepsComingEndsAtItsLongestSpan)
{
	const Micros began = monotonicNow();
	EXPECT_FALSE(readWithin(kSpan, kSpan));
	EXPECT_LT(monotonicNow() - began, 3 * kSpan);
}

TEST_F(HttpChannelTest, aServerThatFallsSilentIsGivenNoMoreTime)
{
	m_store.setFault(standin::StoreFault::Silent);
	const Micros began = monotonicNow();
	EXPECT_FALSE(readWithin(kSpan, kLongest));
	EXPECT_LT(monotonicNow() - began, 2 * kSpan);
}

} // namespace beacongate::test
