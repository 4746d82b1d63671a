// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/startupquery.h"

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "protocol/limitcodec.h"
#include "protocol/slotcodec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace beacongate
{
namespace
{
/// Interval between two questions; an answer within a region takes a few milliseconds.
constexpr Micros kAskInterval = 40 * kMillisecond;
/// Longest wait for an answer. Gateways of an earlier build never answer.
constexpr Micros kMaxWait = 300 * kMillisecond;
/// Gateways that are asked at a time.
constexpr std::size_t kAsked = 3;
} // namespace

StartupQuery::StartupQuery(GatewayContext& _context, Send _send)
	: m_context(_context), m_send(std::move(_send)), m_timer(_context.loop)
{
}

void StartupQuery::init()
{
	ask();
}

void StartupQuery::shutdown()
{
	m_timer.cancel();
}

void StartupQuery::onAnswered()
{
	m_context.startupQueryDone ? void() : settle("answered");
}

void StartupQuery::settle(const char* _outcome)
{
	m_context.startupQueryDone = true;
	m_timer.cancel();
	const Micros waited = m_began == kNever ? 0 : monotonicNow() - m_began;
	logEvent(LogLevel::Info, "startup-query",
			 {{"outcome", _outcome},
			  {"limits", std::to_string(m_context.limits.size())},
			  {"brittle_services", std::to_string(m_context.brittle.size())},
			  {"ms", millisText(waited)}});
}

std::vector<std::string> StartupQuery::otherGateways(Micros _now)
{
	std::vector<std::string> hosts =
		m_context.usesCollectors() ? m_context.relays.allTopMembers() : m_context.peers.targets(_now);
	std::erase(hosts, m_context.settings.callers.host);
	std::shuffle(hosts.begin(), hosts.end(), m_context.random);
	hosts.resize(std::min(hosts.size(), kAsked));
	return hosts;
}

void StartupQuery::ask()
{
	const Micros now = monotonicNow();
	if (m_context.directory.config())
	{
		m_began = std::min(m_began, now);
		const std::vector<std::string> hosts = otherGateways(now);
		if (hosts.empty() || now - m_began > kMaxWait)
		{
			settle(hosts.empty() ? "alone" : "unanswered");
			return;
		}
		for (const std::string& host : hosts)
		{
			m_send(DatagramPurpose::Limit, encodeLimitQuery(), host);
		}
	}
	m_timer.expires_after(std::chrono::microseconds(kAskInterval));
	m_timer.async_wait(
		[this](const boost::system::error_code& _error)
		{
			if (!_error && !m_context.startupQueryDone)
			{
				ask();
			}
		});
}

void StartupQuery::answer(const std::string& _host)
{
	if (!m_context.startupQueryDone)
	{
		return; // This gateway knows no more than the one that asks.
	}
	const Micros agreed = m_context.clock.trueTime(monotonicNow());
	// Brittle services go first, since the report about limits ends the wait.
	std::vector<BrittleServiceRecord> services = m_context.brittle.inForce(agreed);
	services.resize(std::min(services.size(), kMaxBrittleRecords));
	services.empty() ? void() : m_send(DatagramPurpose::Brittle, encodeBrittle(services), _host);
	const std::vector<BackendLimitRecord> limits = m_context.limits.inForce(agreed);
	std::size_t told = 0;
	do
	{
		const std::size_t count = std::min(limits.size() - told, kMaxLimitRecords);
		const auto first = limits.begin() + static_cast<std::ptrdiff_t>(told);
		m_send(DatagramPurpose::Limit, encodeLimits({first, first + static_cast<std::ptrdiff_t>(count)}), _host);
		told += count;
	} while (told < limits.size());
}

} // namespace beacongate
