// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of StoreSync that applies content to the other parts of the gateway.

#include "beacongate/errors.h"
#include "coordination/storerevision.h"
#include "daemon/logging.h"
#include "gateway/contentfingerprint.h"
#include "gateway/memberkeys.h"
#include "gateway/storesync.h"
#include "platform/documents.h"
#include "protocol/usagecodec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beacongate
{
namespace
{
/// Size of an item as the store sends it, without its key and its value.
constexpr std::uint64_t kItemOverheadBytes = 80;

/// @returns the size of a read of the content; values are sent in base64.
std::uint64_t contentReadBytes(const StoreContent& _content)
{
	std::uint64_t bytes = 0;
	for (const auto& [key, item] : _content.items)
	{
		bytes += key.size() + item.value.size() * 4 / 3 + kItemOverheadBytes;
	}
	return bytes;
}

/// @returns true if a predicate holds for any of the keys.
template <typename Predicate> bool anyKey(const std::vector<std::string>& _keys, const Predicate& _predicate)
{
	return std::any_of(_keys.begin(), _keys.end(), _predicate);
}
} // namespace

RoutingConfigPtr StoreSync::parseConfig(const KvItem& _item)
{
	if (_item.revision == m_parsedRevision || _item.revision == m_rejectedRevision)
	{
		return m_parsedConfig;
	}
	try
	{
		m_parsedConfig = platform::readConfig(_item.value);
		m_parsedRevision = _item.revision;
	}
	catch (const std::exception& error)
	{
		m_rejectedRevision = _item.revision;
		logEvent(LogLevel::Error, "config-refused",
				 {{"revision", StoreRevision::text(_item.revision)}, {"detail", error.what()}});
	}
	return m_parsedConfig;
}

void StoreSync::adoptMembers()
{
	std::set<MemberRecord> members;
	std::set<std::string> hosts;
	for (auto item = m_context.content.items.lower_bound(std::string(kMemberPrefix));
		 item != m_context.content.items.end() && isMemberKey(item->first); ++item)
	{
		const MemberRecord member = decodeMember(item->second.value);
		hosts.insert(member.host);
		members.insert(member);
	}
	m_context.relays.setMembers(members);
	m_context.origins.setMembers(members);
	m_context.members.update(members, monotonicNow()) ? m_context.shareOutAmongMembers() : void();
	m_context.peers.setRegistered(std::move(hosts));
	m_context.onMembersRead ? m_context.onMembersRead() : void();
}

void StoreSync::loadBookkeeping(const StoreContent& _content)
{
	if (const auto levels = _content.items.find(kLevelsKey); levels != _content.items.end())
	{
		loadQuotaLevels(levels->second);
	}
	if (const auto counts = _content.items.find(kCountsKey); counts != _content.items.end())
	{
		loadUsageCounts(counts->second);
	}
}

RoutingConfigPtr StoreSync::configIn(const StoreContent& _content)
{
	const auto config = _content.items.find(platform::configKey());
	return config == _content.items.end() ? nullptr : parseConfig(config->second);
}

void StoreSync::apply(StoreContent _content, bool _fromPeer)
{
	const Micros now = monotonicNow();
	m_context.onStoreEra(StoreRevision::eraOf(_content.revision));
	loadBookkeeping(_content);
	StoreSnapshot snapshot;
	snapshot.revision = _content.revision;
	snapshot.confirmed = _content.confirmed;
	snapshot.config = configIn(_content);
	if (_content.revision < m_context.directory.revision())
	{
		m_context.directory.apply(snapshot, now);
		m_context.content.confirmed = std::max(m_context.content.confirmed, _content.confirmed);
		return;
	}
	BackendEntries entries = m_context.backendRecords.read(_content.items);
	snapshot.backends = std::move(entries.records);
	snapshot.unreadable = std::move(entries.unreadable);
	m_context.history.onReplaced(m_context.content, _content);
	_content.confirmed = std::max(_content.confirmed, m_context.content.confirmed);
	m_context.content = std::move(_content);
	adoptMembers();
	const bool newConfig = m_context.directory.apply(snapshot, now);
	onBackendsApplied();
	onApplied(newConfig, _fromPeer, now);
}

void StoreSync::applyChanges(const ContentUpdate& _update, Micros _confirmed)
{
	const Micros now = monotonicNow();
	m_context.onStoreEra(StoreRevision::eraOf(_update.revision));
	StoreContent& content = m_context.content;
	const AppliedUpdate applied = applyUpdate(content, _update);
	m_context.history.onUpdated(applied.removed, content.revision);
	content.confirmed = std::max(content.confirmed, _confirmed);
	const auto isBackend = [](const std::string& _key)
	{
		return _key.starts_with(platform::backendPrefix());
	};
	if (anyKey(applied.changed, isMemberKey) || anyKey(applied.removed, isMemberKey))
	{
		adoptMembers();
	}
	const bool bookkeepingChanged = anyKey(applied.changed, isBookkeepingKey);
	bookkeepingChanged ? loadBookkeeping(content) : void();
	// A record that was written again with the same value may have been missing in a list that was read meanwhile.
	const bool backendsChanged = anyKey(applied.changed, isBackend) || anyKey(applied.rewritten, isBackend) ||
								 anyKey(applied.removed, isBackend);
	const RoutingConfigPtr config = configIn(content);
	bool newConfig = false;
	if (backendsChanged)
	{
		BackendEntries entries = m_context.backendRecords.read(content.items);
		newConfig = m_context.directory.apply(
			{content.revision, config, std::move(entries.records), _confirmed, std::move(entries.unreadable)}, now);
		onBackendsApplied();
	}
	else
	{
		newConfig = m_context.directory.applyWithoutList(content.revision, config, _confirmed, now);
	}
	onApplied(newConfig, true, now);
}

void StoreSync::onBackendsApplied()
{
	const auto& known = m_context.directory.backends();
	m_context.balancer.retain(known);
	m_context.speeds.retain(known);
	m_context.backoffs.retain(known);
	m_context.limits.retain(known);
	m_context.slots.retain(known);
	m_context.slotGrantor.retain(known);
}

void StoreSync::onApplied(bool _newConfig, bool _fromPeer, Micros _now)
{
	const StoreContent& content = m_context.content;
	m_context.relays.setDutyHolder(holderHost(content));
	if (_newConfig)
	{
		m_context.quotas.setMembers(m_context.peers.memberCount(_now));
		m_context.quotas.configure(*m_context.directory.config(), _now);
		m_context.admission.onLimitsChanged();
		logEvent(LogLevel::Info, "config-in-force",
				 {{"version", std::to_string(m_context.directory.config()->version)},
				  {"revision", StoreRevision::text(content.revision)},
				  {"from", _fromPeer ? "peer" : "store"},
				  {"backends", std::to_string(m_context.directory.backends().size())}});
	}
	m_context.contentFingerprint = fingerprintOf(content);
	m_context.contentBytes = contentReadBytes(content);
	if (m_context.onDirectoryChanged)
	{
		m_context.onDirectoryChanged();
	}
}

void StoreSync::loadQuotaLevels(const KvItem& _item)
{
	try
	{
		m_context.quotas.setStoredLevels(decodeTotals(_item.value));
	}
	catch (const Error& error)
	{
		logEvent(LogLevel::Warning, "quota-levels-unreadable", {{"detail", error.what()}});
	}
}

void StoreSync::loadUsageCounts(const KvItem& _item)
{
	if (_item.revision == m_countsRevision)
	{
		return;
	}
	m_countsRevision = _item.revision;
	for (const auto& [run, count] : decodeRunCounts(_item.value))
	{
		m_context.usage.onReport(run, count);
	}
}

} // namespace beacongate
