// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/registration.h"

#include "coordination/registrationspread.h"
#include "coordination/storerevision.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "platform/storecalls.h"

namespace beacongate
{
namespace
{
/// A gateway that ends without notice stays registered for this long. Meanwhile it keeps its share of quotas and
/// of the retry budget, and its peers skip it because it is silent.
constexpr Micros kLeaseSpan = 40 * kSecond;
/// Jitter lengthens or shortens the interval by up to a quarter. When a renewal fails, at least half of the lease
/// is left, in which the renewal is repeated after each kRetryInterval. Each renewal is a call to the store from
/// every gateway: 20 a second with 295 of them.
constexpr Micros kRenewInterval = 15 * kSecond;
constexpr Micros kRetryInterval = 1 * kSecond;
constexpr Micros kCallTimeout = 1 * kSecond;
constexpr std::size_t kAnswerBytes = 64u << 10;
} // namespace

Registration::Registration(GatewayContext& _context)
	: m_context(_context),
	  m_channel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kAnswerBytes)),
	  m_timer(_context.loop)
{
}

void Registration::init()
{
	requestLease();
}

void Registration::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_channel->close();
}

void Registration::onStoreRestored()
{
	// The lease's number may have been given to another gateway.
	registerAgain();
}

void Registration::onMembersRead()
{
	const StoreContent& content = m_context.content;
	const bool isCurrent = m_entryWritten && content.revision >= m_entryRevision;
	if (m_closed || m_context.stopping || !isCurrent || content.items.count(memberKey(m_context.settings.name)))
	{
		return;
	}
	logEvent(LogLevel::Warning, "registration-lost",
			 {{"revision", StoreRevision::text(content.revision)}, {"next", "this gateway registers again"}});
	registerAgain();
}

void Registration::registerAgain()
{
	m_context.registrationLease = 0;
	m_entryWritten = false;
	// The same has happened to all gateways, if the store was restored or out of reach.
	wait(RegistrationSpread::draw(m_context.members.count(), m_context.random));
}

void Registration::schedule(Micros _span)
{
	wait(m_context.jittered(_span));
}

void Registration::wait(Micros _span)
{
	m_timer.expires_after(std::chrono::microseconds(_span));
	m_timer.async_wait(
		[self = shared_from_this()](const boost::system::error_code& _error)
		{
			if (_error || self->m_closed)
			{
				return;
			}
			if (self->m_context.registrationLease == 0)
			{
				self->requestLease();
			}
			else if (!self->m_entryWritten)
			{
				self->writeEntry();
			}
			else
			{
				self->renew();
			}
		});
}

void Registration::requestLease()
{
	m_context.traffic.onStoreCall(StorePurpose::Registration);
	m_channel->call(
		platform::leaseCall(kLeaseSpan), kCallTimeout,
		[self = shared_from_this(), restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
		{
			if (metRestore(self->m_context, _answer, restores))
			{
				return;
			}
			const auto lease = platform::readLease(_answer);
			if (!lease)
			{
				self->schedule(kRetryInterval);
				return;
			}
			self->m_context.registrationLease = lease->id;
			self->writeEntry();
		});
}

void Registration::writeEntry()
{
	// Only this gateway writes its entry, so a delayed put without a condition changes nothing.
	KvTransaction change;
	const MemberRecord record{m_context.settings.callers.host, m_context.settings.dataCentre,
							  m_context.settings.cpuPercent};
	change.puts.push_back({memberKey(m_context.settings.name), encodeMember(record), m_context.registrationLease});
	m_context.traffic.onStoreCall(StorePurpose::Registration);
	m_channel->call(
		platform::transactionCall(change), kCallTimeout,
		[self = shared_from_this(), restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
		{
			if (metRestore(self->m_context, _answer, restores))
			{
				return;
			}
			const KvResult result = platform::readTransaction(_answer);
			self->m_entryWritten = result.outcome == KvOutcome::Done;
			self->m_entryRevision = self->m_entryWritten ? result.revision : self->m_entryRevision;
			if (result.outcome == KvOutcome::LeaseGone)
			{
				self->m_context.registrationLease = 0;
			}
			self->schedule(self->m_entryWritten ? kRenewInterval : kRetryInterval);
		});
}

void Registration::renew()
{
	m_context.traffic.onStoreCall(StorePurpose::Registration);
	m_channel->call(
		platform::renewCall(m_context.registrationLease), kCallTimeout,
		[self = shared_from_this(), restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
		{
			if (metRestore(self->m_context, _answer, restores))
			{
				return;
			}
			const platform::RenewedLease renewal = platform::readRenewal(_answer);
			if (renewal.gone)
			{
				self->m_context.registrationLease = 0;
				self->m_entryWritten = false;
			}
			// The entry may have been found missing during the call.
			self->schedule(renewal.renewed && self->m_entryWritten ? kRenewInterval : kRetryInterval);
		});
}

} // namespace beacongate
