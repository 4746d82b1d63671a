// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/slotexchange.h"

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "gateway/fleettargets.h"
#include "protocol/slotcodec.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace beacongate
{
namespace
{
/// Interval at which queued requests are looked at; a trial of more slots ends between two messages.
constexpr Micros kQueueInterval = 20 * kMillisecond;
} // namespace

SlotExchange::SlotExchange(GatewayContext& _context, Send _send)
	: m_context(_context), m_send(std::move(_send)), m_timer(_context.loop)
{
}

void SlotExchange::init()
{
	m_context.slots.setSend([this](const std::string& _host, const SlotMessage& _message)
							{ sendSlot(_message, _host); });
	m_context.slots.setTakeTurn(
		[this](BackendKey _key)
		{ return m_context.limits.takeTurn(_key, m_context.clock.trueTime(monotonicNow())); });
	m_context.slotGrantor.setNotify([this](const GrantNotice& _notice, Micros _now)
									{ m_context.slots.tellHomes(_notice, _now); });
	m_context.slotGrantor.setOverloaded(
		[this](BackendKey _key, Micros _now)
		{
			logEvent(LogLevel::Warning, "backend-overloaded",
					 {{"backend_key", std::to_string(_key.value)},
					  {"next", "what ran there when it ends is not charged with a crash"}});
			m_context.crashes.onOverloaded(_key, _now);
		});
	m_context.slotGrantor.setSend(
		[this](const std::string& _host, const SlotAnswer& _answer)
		{
			if (_host != m_context.settings.callers.host)
			{
				sendSlot(_answer, _host);
				return;
			}
			// A request of this gateway may send its own reports at once, while the grantor is still at work.
			boost::asio::post(m_context.loop,
							  [this, _host, _answer] { m_context.slots.onAnswer(_host, _answer, monotonicNow()); });
		});
}

void SlotExchange::shutdown()
{
	m_timer.cancel();
}

void SlotExchange::sendSlot(const SlotMessage& _message, const std::string& _host)
{
	m_send(DatagramPurpose::SlotGrant, encodeSlot(_message), _host);
}

void SlotExchange::tick(bool _collector, Micros _now)
{
	m_context.brittle.expire(m_context.clock.trueTime(_now));
	sendStatements(_collector, _now);
	reportUse(_now);
	watchQueue();
}

void SlotExchange::sendStatements(bool _collector, Micros _now)
{
	const auto records = m_context.brittle.takeChanges(relaysChanges(m_context, _collector), kMaxBrittleRecords,
													   m_context.clock.trueTime(_now));
	if (records.empty())
	{
		return;
	}
	const std::string bytes = encodeBrittle(records);
	for (const std::string& host : changeTargets(m_context, _collector, _now))
	{
		m_send(DatagramPurpose::Brittle, bytes, host);
	}
}

void SlotExchange::reportUse(Micros _now)
{
	if (m_context.brittle.size() == 0 && m_context.slotRules.empty())
	{
		return;
	}
	std::vector<BackendKey> keys;
	for (const auto& [id, known] : m_context.directory.backends())
	{
		if (m_context.bearableRejections(known.record.service, _now))
		{
			keys.push_back(known.key);
		}
	}
	m_context.slots.report(keys, _now);
}

void SlotExchange::watchQueue()
{
	if (m_watching || m_context.slotGrantor.queued() == 0)
	{
		return;
	}
	m_watching = true;
	m_timer.expires_after(std::chrono::microseconds(kQueueInterval));
	m_timer.async_wait(
		[this](const boost::system::error_code& _error)
		{
			m_watching = false;
			if (!_error)
			{
				m_context.slotGrantor.advance(monotonicNow());
				watchQueue();
			}
		});
}

bool SlotExchange::onSlotDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<SlotMessage> message = decodeSlot(_bytes);
	if (!message)
	{
		return false;
	}
	m_context.traffic.onReceived(DatagramPurpose::SlotGrant, _bytes.size());
	const Micros now = monotonicNow();
	m_context.slots.onHeard(_sender);
	if (const auto* request = std::get_if<SlotRequest>(&*message))
	{
		// Load reports count requests in flight, and do not tell how many prompts are read.
		const BackendKey backend = request->use.backend;
		const unsigned reported =
			m_context.slotRules.grantsPrompts(backend) ? 0 : m_context.balancer.totalInFlight(backend);
		sendSlot(m_context.slotGrantor.decide(*request, _sender, reported, now), _sender);
		watchQueue();
	}
	else if (const auto* answer = std::get_if<SlotAnswer>(&*message))
	{
		m_context.slots.onAnswer(_sender, *answer, now);
	}
	else if (const auto* report = std::get_if<SlotReport>(&*message))
	{
		m_context.slotGrantor.onReport(*report, _sender, now);
	}
	else if (const auto* notice = std::get_if<GrantNotice>(&*message))
	{
		m_context.slotGrantor.onNotice(*notice, now);
	}
	return true;
}

bool SlotExchange::onBrittleDatagram(std::string_view _bytes, const std::string& _sender)
{
	const auto records = decodeBrittle(_bytes);
	if (!records)
	{
		return false;
	}
	m_context.traffic.onReceived(DatagramPurpose::Brittle, _bytes.size());
	for (const BrittleServiceRecord& added :
		 m_context.brittle.merge(*records, m_context.clock.trueTime(monotonicNow())))
	{
		logEvent(LogLevel::Info, "service-brittle",
				 {{"service_key", std::to_string(added.service.value)},
				  {"rejections_per_s", std::to_string(added.rejections)},
				  {"from", _sender}});
	}
	return true;
}

} // namespace beacongate
