// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of StoreSync that gets the first content.

#include "gateway/memberkeys.h"
#include "gateway/storesync.h"
#include "gateway/storesync_p.h"
#include "protocol/contentcodec.h"

namespace beacongate
{
namespace
{
/// A relay that sends nothing of its whole content for this long has failed. It may serve all gateways of its data
/// centre at once.
constexpr Micros kFirstContentTimeout = 400 * kMillisecond;
} // namespace

void StoreSync::continueStart()
{
	const StartStep step =
		m_context.settings.control ? m_startPlan.next(monotonicNow()) : StartStep{StartAction::ReadStore, {}, 0};
	switch (step.action)
	{
	case StartAction::ReadRelays:
		readRelays();
		break;
	case StartAction::AskRelay:
		askForFirstContent(step.relay);
		break;
	case StartAction::ReadStore:
		readStore();
		break;
	case StartAction::Wait:
		m_reading = false;
		scheduleRead(step.pause);
		break;
	}
}

void StoreSync::readRelays()
{
	m_relaysReader->read(m_context.storeReachability.readTimeout(kReadIdleTimeout),
						 [self = shared_from_this()](const std::optional<StoreContent>& _content)
						 {
							 std::vector<std::string> hosts;
							 if (_content)
							 {
								 for (const auto& [key, item] : _content->items)
								 {
									 hosts.push_back(item.value);
								 }
							 }
							 self->m_startPlan.onRelaysRead(std::move(hosts), monotonicNow());
							 self->continueStart();
						 });
}

void StoreSync::askForFirstContent(const std::string& _host)
{
	setRelayChannel(_host);
	ChannelRequest request;
	request.target = std::string(kContentPath);
	request.maxDuration = kMaxReadDuration;
	const Micros requestedAt = monotonicNow();
	m_relayChannel->call(std::move(request), kFirstContentTimeout,
						 [self = shared_from_this(), requestedAt](const std::optional<HttpAnswer>& _answer)
						 {
							 if (self->m_closed)
							 {
								 return;
							 }
							 self->m_reading = false;
							 std::optional<StoreContent> content = freshContent(requestedAt, _answer);
							 if (!content)
							 {
								 self->scheduleRead(kNextRelayDelay);
								 return;
							 }
							 self->apply(std::move(*content), true);
							 self->scheduleRelay();
						 });
}

} // namespace beacongate
