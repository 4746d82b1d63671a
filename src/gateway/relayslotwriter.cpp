// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/relayslotwriter.h"

#include "coordination/relayslots.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "gateway/storesync_p.h"
#include "platform/storecalls.h"

namespace beacongate
{
namespace
{
constexpr Micros kCheckInterval = 1 * kSecond;
constexpr Micros kCallTimeout = 1 * kSecond;
constexpr std::size_t kAnswerBytes = 64u << 10;
} // namespace

RelaySlotWriter::RelaySlotWriter(GatewayContext& _context)
	: m_context(_context),
	  m_channel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kAnswerBytes)),
	  m_timer(_context.loop)
{
}

void RelaySlotWriter::init()
{
	schedule();
}

void RelaySlotWriter::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_channel->close();
}

void RelaySlotWriter::schedule()
{
	after(m_timer, m_context.jittered(kCheckInterval), [self = shared_from_this()] { self->check(); });
}

void RelaySlotWriter::check()
{
	if (m_closed || m_context.stopping)
	{
		return;
	}
	if (const auto key = staleSlot(); key && !m_writing)
	{
		write(*key);
	}
	schedule();
}

std::optional<std::string> RelaySlotWriter::staleSlot() const
{
	const std::string& dataCentre = m_context.settings.dataCentre;
	const std::string& host = m_context.settings.callers.host;
	const auto slot = RelaySlots::slotOf(m_context.relays.topMembers(dataCentre, RelaySlots::kCount), host,
										 m_context.relays.memberCount(), m_context.contentBytes);
	if (!slot || !m_context.settings.control)
	{
		return std::nullopt;
	}
	const std::string key = relaySlotPrefix(dataCentre) + std::to_string(*slot);
	const auto current = m_context.content.items.find(key);
	const bool named = current != m_context.content.items.end() && current->second.value == host;
	return named ? std::nullopt : std::optional(key);
}

void RelaySlotWriter::write(const std::string& _key)
{
	m_writing = true;
	KvTransaction change;
	// A put without a condition: gateways that disagree on their ranks for a moment write again until they agree.
	change.puts.push_back({_key, m_context.settings.callers.host, 0});
	m_context.traffic.onStoreCall(StorePurpose::RelaySlot);
	m_channel->call(platform::transactionCall(change), kCallTimeout,
					[self = shared_from_this(), _key](const std::optional<HttpAnswer>& _answer)
					{
						self->m_writing = false;
						noteStoreEra(self->m_context, _answer);
						const bool written = platform::readTransaction(_answer).outcome == KvOutcome::Done;
						logEvent(written ? LogLevel::Info : LogLevel::Warning, "relay-slot",
								 {{"key", _key}, {"written", written ? "yes" : "no"}});
					});
}

} // namespace beacongate
