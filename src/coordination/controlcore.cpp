// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/controlcore.h"

#include "beacongate/limits.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace beacongate
{
namespace
{
/// Controls to which a change is sent at once. Each of them sends it on likewise, so n controls are reached
/// after about log(n) / log(1 + kPropagationFanOut) rounds.
constexpr std::size_t kPropagationFanOut = 3;
/// Consecutive lists without a VM after which it counts as gone, since the list lags.
constexpr unsigned kListsUntilGone = 3;
/// Timeout of an operator's change.
constexpr Micros kChangeTimeout = 30 * kSecond;
/// A control that is not the leader reads the VM list itself after this long without an exchange.
constexpr Micros kLeaderSilenceTimeout = 5 * kSecond;
} // namespace

std::uint64_t digestOf(const VmView& _vms)
{
	std::uint64_t hash = 0;
	for (const auto& [vm, notice] : _vms.leaving)
	{
		hash = XXH64(vm.data(), vm.size(), hash);
	}
	for (const std::string& vm : _vms.gone)
	{
		hash = XXH64(vm.data(), vm.size(), hash + 1);
	}
	return hash;
}

ControlCore::ControlCore(ControlSettings _settings, DocumentCodec _codec)
	: m_settings(std::move(_settings)), m_codec(std::move(_codec)), m_random(m_settings.seed)
{
}

void ControlCore::handle(ControlEvent _event, Micros _now, ControlActions& _out)
{
	m_now = _now;
	m_out = &_out;
	std::visit([this](auto& _item) { on(_item); }, _event);
	nextStoreOp();
	m_out = nullptr;
}

void ControlCore::on(const ControlTick&)
{
	if (m_now >= m_gossipNext)
	{
		m_gossipNext = m_now + limits::kGossipInterval;
		for (const Address& peer : pickPeers(1))
		{
			exchangeWith(peer, VersionSet{~0ull, ~0ull, digestOf(m_vms)}, false);
		}
	}
	const bool readsList = m_leader || m_now - m_lastExchangeAt > kLeaderSilenceTimeout;
	if (m_settings.hasVmList && readsList && m_now >= m_vmListNext)
	{
		m_vmListNext = m_now + limits::kVmListInterval;
		m_out->push_back(ReadVmList{});
	}
	// A change does not expire while a store operation for it is in flight, since the answer decides whether the
	// change was made.
	while (!m_changes.empty() && m_now >= m_changes.front().deadline && !isChangeInFlight())
	{
		const bool mayBeApplied = m_changes.front().mayBeApplied;
		const Failure failure = mayBeApplied ? Failure::OutcomeUnknown : Failure::StoreUnavailable;
		const std::string id = m_changes.front().request.changeId;
		answerChange(false, failure,
					 mayBeApplied
						 ? "the store's answer was lost; look for change " + id + " in the configuration's history"
						 : "the store did not answer; nothing was changed");
	}
}

void ControlCore::on(VmListArrived& _event)
{
	VmView update;
	for (auto& [vm, missing] : m_vmMissing)
	{
		missing += 1;
	}
	for (const VmListItem& item : _event.items)
	{
		m_vmMissing[item.id] = 0;
		if (item.leaving)
		{
			update.leaving.emplace(item.id, item.notice);
		}
	}
	for (auto it = m_vmMissing.begin(); m_vmMissing.end() != it;)
	{
		const bool gone = it->second >= kListsUntilGone;
		if (gone)
		{
			update.gone.insert(it->first);
		}
		it = gone ? m_vmMissing.erase(it) : std::next(it);
	}
	mergeVms(update);
}

void ControlCore::on(EntryReported& _event)
{
	m_entry = _event;
	const VersionSet own = versions();
	if (_event.versions != own)
	{
		syncEntry();
	}
}

void ControlCore::on(const EntryUnreachable&)
{
	m_entry.reset();
}

void ControlCore::on(OperatorChange& _event)
{
	PendingChange change;
	change.request = std::move(_event);
	change.deadline = m_now + kChangeTimeout;
	m_changes.push_back(std::move(change));
}

void ControlCore::on(PeerExchange& _event)
{
	m_stats.exchanges += 1;
	m_lastExchangeAt = m_now;
	bool changed = false;
	if (!_event.configText.empty())
	{
		changed = adoptConfig(_event.configText) || changed;
	}
	if (!_event.rosterText.empty())
	{
		changed = adoptRoster(_event.rosterText) || changed;
	}
	if (_event.vms.has_value())
	{
		mergeVms(*_event.vms);
	}
	const VersionSet own = versions();
	const bool peerIsBehind = own.config > _event.versions.config || own.roster > _event.versions.roster ||
							  own.vmDigest != _event.versions.vmDigest;
	const bool selfIsBehind = own.config < _event.versions.config || own.roster < _event.versions.roster;
	if (peerIsBehind || (selfIsBehind && !_event.isReply))
	{
		exchangeWith(_event.from, _event.versions, true);
	}
	if (changed)
	{
		propagate();
	}
}

void ControlCore::exchangeWith(const Address& _to, const VersionSet& _peerVersions, bool _reply)
{
	PeerExchange exchange;
	exchange.from = m_settings.controlAddress;
	exchange.versions = versions();
	exchange.isReply = _reply;
	if (exchange.versions.config > _peerVersions.config)
	{
		exchange.configText = m_config.text;
	}
	if (exchange.versions.roster > _peerVersions.roster)
	{
		exchange.rosterText = m_roster.text;
	}
	if (exchange.versions.vmDigest != _peerVersions.vmDigest)
	{
		exchange.vms = m_vms;
	}
	m_out->push_back(SendExchange{_to, std::move(exchange)});
}

void ControlCore::propagate()
{
	syncEntry();
	for (const Address& peer : pickPeers(kPropagationFanOut))
	{
		// The peer answers with its versions and then gets the documents that it lacks.
		exchangeWith(peer, VersionSet{~0ull, ~0ull, digestOf(m_vms)}, false);
	}
}

std::vector<Address> ControlCore::pickPeers(std::size_t _count)
{
	std::vector<Address> peers;
	if (nullptr != m_roster.roster)
	{
		for (const RosterMember& member : m_roster.roster->members)
		{
			peers.push_back(member.controlAddress);
		}
	}
	peers.insert(peers.end(), m_settings.seeds.begin(), m_settings.seeds.end());
	std::sort(peers.begin(), peers.end());
	peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
	std::erase(peers, m_settings.controlAddress);
	std::shuffle(peers.begin(), peers.end(), m_random);
	peers.resize(std::min(peers.size(), _count));
	return peers;
}

bool ControlCore::adoptConfig(const std::string& _text)
{
	try
	{
		ConfigDoc doc = m_codec.readConfig(_text);
		const std::uint64_t own = versions().config;
		if (doc.config->version <= own)
		{
			m_stats.staleRefused += doc.config->version < own ? 1 : 0;
			return false;
		}
		m_config = std::move(doc);
		return true;
	}
	catch (const Error&)
	{
		m_stats.invalidRefused += 1;
		return false;
	}
}

bool ControlCore::adoptRoster(const std::string& _text)
{
	try
	{
		RosterDoc doc = m_codec.readRoster(_text);
		const std::uint64_t own = versions().roster;
		if (doc.roster->version <= own)
		{
			m_stats.staleRefused += doc.roster->version < own ? 1 : 0;
			return false;
		}
		m_roster = std::move(doc);
		m_rosterFresh = false;
		return true;
	}
	catch (const Error&)
	{
		m_stats.invalidRefused += 1;
		return false;
	}
}

bool ControlCore::mergeVms(const VmView& _vms)
{
	if (!m_vms.merge(_vms))
	{
		return false;
	}
	propagate();
	return true;
}

void ControlCore::syncEntry()
{
	if (!m_entry.has_value())
	{
		return;
	}
	const VersionSet own = versions();
	SyncEntry sync;
	if (own.config > m_entry->versions.config)
	{
		sync.configText = m_config.text;
		sync.snapshot.config = m_config.config;
	}
	if (own.roster > m_entry->versions.roster)
	{
		sync.rosterText = m_roster.text;
		sync.snapshot.roster = m_roster.roster;
	}
	sync.snapshot.vms = m_vms;
	m_out->push_back(std::move(sync));
}

bool ControlCore::isLeader() const
{
	return m_leader;
}

std::int64_t ControlCore::fencingToken() const
{
	return m_fencing;
}

bool ControlCore::storeReachable() const
{
	return m_storeReachable;
}

const ControlSettings& ControlCore::settings() const
{
	return m_settings;
}

const ControlStats& ControlCore::stats() const
{
	return m_stats;
}

const ConfigDoc& ControlCore::config() const
{
	return m_config;
}

const RosterDoc& ControlCore::roster() const
{
	return m_roster;
}

const VmView& ControlCore::vms() const
{
	return m_vms;
}

VersionSet ControlCore::versions() const
{
	VersionSet set;
	set.config = nullptr == m_config.config ? 0 : m_config.config->version;
	set.roster = nullptr == m_roster.roster ? 0 : m_roster.roster->version;
	set.vmDigest = digestOf(m_vms);
	return set;
}

const std::optional<EntryReported>& ControlCore::entry() const
{
	return m_entry;
}

} // namespace beacongate
