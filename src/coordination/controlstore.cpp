// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Store operations of ControlCore: one at a time, the most urgent first.

#include "beacongate/limits.h"
#include "coordination/controlcore.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr const char* kConfigKey = "/beacongate/config";
constexpr Micros kStoreBackoffBase = 200 * kMillisecond;
constexpr unsigned kMaxDoublings = 6;
/// Renewals of a lease within its time to live.
constexpr Micros kRenewalsPerLease = 3;
/// Checks for a vacant leadership per data centre within a lease's time to live.
constexpr std::size_t kLeaderReadsPerLease = 3;
/// A control that is not the leader reads the store itself after this long without an exchange.
constexpr Micros kLeaderSilenceTimeout = 5 * kSecond;
} // namespace

std::string ControlCore::leaderKey() const
{
	return "/beacongate/leader/" + m_settings.dataCentre;
}

Micros ControlCore::leaderReadDelay()
{
	// All controls of a data centre together read the leader key about kLeaderReadsPerLease times per lease.
	std::size_t controls = 0;
	if (nullptr != m_roster.roster)
	{
		const auto& members = m_roster.roster->members;
		controls = static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
														  [&](const RosterMember& _member)
														  { return _member.dataCentre == m_settings.dataCentre; }));
	}
	const Micros span =
		limits::kLeaseTtl * static_cast<Micros>(std::max<std::size_t>(1, controls / kLeaderReadsPerLease));
	return span / 2 + static_cast<Micros>(m_random() % static_cast<std::uint64_t>(span));
}

std::string ControlCore::rosterKey() const
{
	return "/beacongate/roster/" + m_settings.region;
}

void ControlCore::nextStoreOp()
{
	if (0 != m_opInFlight || m_now < m_storeNotBefore)
	{
		return;
	}
	if (!m_changes.empty())
	{
		storeRead(m_changes.front().mayBeApplied ? Purpose::ReadBackChange : Purpose::ReadForChange, kConfigKey);
		return;
	}
	if (nextRoster().has_value())
	{
		if (!m_rosterFresh)
		{
			storeRead(Purpose::ReadRoster, rosterKey());
			return;
		}
		storeSwap(Purpose::SwapRoster, rosterKey(), m_rosterRevision, m_codec.writeRoster(*nextRoster()), 0);
		return;
	}
	if (m_leader && m_now >= m_leaseRenewNext)
	{
		m_leaseRenewNext = m_now + limits::kLeaseTtl / kRenewalsPerLease;
		m_opInFlight = m_nextOp++;
		m_purpose = Purpose::RenewLease;
		m_stats.storeWrites += 1;
		m_out->push_back(StoreLeaseRenew{m_opInFlight, m_lease});
		return;
	}
	if (!m_leader && m_leaderVacant)
	{
		if (0 != m_lease)
		{
			storeSwap(Purpose::TakeLeadership, leaderKey(), 0, m_settings.id, m_lease);
			return;
		}
		m_opInFlight = m_nextOp++;
		m_purpose = Purpose::GrantLease;
		m_stats.storeWrites += 1;
		m_out->push_back(StoreLeaseGrant{m_opInFlight, limits::kLeaseTtl});
		return;
	}
	if (!m_leader && m_now >= m_leaderReadNext)
	{
		m_leaderReadNext = m_now + leaderReadDelay();
		storeRead(Purpose::ReadLeader, leaderKey());
		return;
	}
	const bool readsStore = m_leader || m_now - m_lastExchangeAt > kLeaderSilenceTimeout;
	if (!readsStore)
	{
		return;
	}
	if (m_configRead < 0 || m_now >= m_configRead + limits::kStorePollInterval)
	{
		m_configRead = m_now;
		storeRead(Purpose::ReadConfig, kConfigKey);
		return;
	}
	if (m_rosterRead < 0 || m_now >= m_rosterRead + limits::kStorePollInterval)
	{
		m_rosterRead = m_now;
		storeRead(Purpose::ReadRoster, rosterKey());
	}
}

std::optional<Roster> ControlCore::nextRoster() const
{
	const Roster empty;
	const Roster& current = nullptr == m_roster.roster ? empty : *m_roster.roster;
	if (m_entry.has_value())
	{
		const EntryReported& entry = *m_entry;
		if (!entry.stopping)
		{
			RosterMember member;
			member.entry = entry.entry;
			member.peerAddress = m_settings.peerAddress;
			member.controlAddress = m_settings.controlAddress;
			member.dataCentre = m_settings.dataCentre;
			member.vm = m_settings.vm;
			if (std::optional<Roster> joined = withJoined(current, member))
			{
				return joined;
			}
		}
		else if (std::optional<Roster> departed = withDeparted(current, entry.entry))
		{
			return departed;
		}
		if (entry.drained)
		{
			if (std::optional<Roster> retired = withRetired(current, entry.entry))
			{
				return retired;
			}
		}
	}
	if (!m_leader)
	{
		return std::nullopt;
	}
	const auto ended = [&](const RosterMember& _member)
	{
		return m_vms.gone.contains(_member.vm);
	};
	for (const RosterMember& member : current.members)
	{
		if (ended(member))
		{
			return withLost(current, member.entry);
		}
	}
	for (const DepartedMember& item : current.departed)
	{
		if (ended(item.member))
		{
			return withLost(current, item.member.entry);
		}
	}
	return std::nullopt;
}

void ControlCore::storeRead(Purpose _purpose, const std::string& _key)
{
	m_opInFlight = m_nextOp++;
	m_purpose = _purpose;
	m_stats.storeReads += 1;
	m_out->push_back(StoreGet{m_opInFlight, _key});
}

void ControlCore::storeSwap(Purpose _purpose, const std::string& _key, std::int64_t _expected, std::string _text,
							std::int64_t _lease)
{
	m_opInFlight = m_nextOp++;
	m_purpose = _purpose;
	m_stats.storeWrites += 1;
	m_out->push_back(StoreSwap{m_opInFlight, _key, _expected, std::move(_text), _lease});
}

void ControlCore::onStoreFailure()
{
	m_stats.storeFailures += 1;
	m_storeReachable = false;
	const Micros span =
		std::min(kStoreBackoffBase << std::min(m_storeFailures, kMaxDoublings), limits::kStoreBackoffMax);
	m_storeFailures += 1;
	// Half of the delay is jitter, so that controls do not retry at the same time.
	m_storeNotBefore =
		m_now + span / 2 + static_cast<Micros>(m_random() % static_cast<std::uint64_t>(span / 2 + 1));
}

void ControlCore::on(StoreAnswered& _event)
{
	if (_event.op != m_opInFlight)
	{
		return; // Answer to an abandoned operation.
	}
	m_opInFlight = 0;
	const bool failed = StoreStatus::Failed == _event.status || StoreStatus::Lost == _event.status;
	if (failed)
	{
		onStoreFailure();
	}
	else
	{
		m_storeReachable = true;
		m_storeFailures = 0;
	}
	switch (m_purpose)
	{
	case Purpose::ReadConfig:
		onReadConfig(_event);
		break;
	case Purpose::ReadRoster:
		onReadRoster(_event);
		break;
	case Purpose::ReadLeader:
		onReadLeader(_event);
		break;
	case Purpose::GrantLease:
	case Purpose::RenewLease:
		onLease(_event);
		break;
	case Purpose::TakeLeadership:
		onLeadership(_event);
		break;
	case Purpose::SwapRoster:
		onRosterSwapped(_event);
		break;
	case Purpose::ReadForChange:
		onChangeRead(_event);
		break;
	case Purpose::SwapForChange:
		onChangeSwapped(_event);
		break;
	case Purpose::ReadBackChange:
		onChangeReadBack(_event);
		break;
	}
}

void ControlCore::onReadConfig(const StoreAnswered& _event)
{
	if (StoreStatus::Ok == _event.status && _event.value.exists && adoptConfig(_event.value.text))
	{
		propagate();
	}
}

void ControlCore::onReadRoster(const StoreAnswered& _event)
{
	if (StoreStatus::Ok != _event.status)
	{
		return;
	}
	m_rosterRevision = _event.value.modRevision;
	if (_event.value.exists && adoptRoster(_event.value.text))
	{
		propagate();
	}
	// Only the value that the store holds now may be the base of a swap.
	m_rosterFresh = !_event.value.exists ? nullptr == m_roster.roster : m_roster.text == _event.value.text;
}

void ControlCore::onReadLeader(const StoreAnswered& _event)
{
	m_leaderVacant = StoreStatus::Ok == _event.status && !_event.value.exists;
}

void ControlCore::onLease(const StoreAnswered& _event)
{
	const bool renewal = Purpose::RenewLease == m_purpose;
	if (StoreStatus::Ok == _event.status)
	{
		m_lease = _event.lease;
		return;
	}
	const bool refused = StoreStatus::CompareFailed == _event.status;
	if (renewal && refused)
	{
		// The lease had expired; another control may be the leader.
		m_leader = false;
		m_fencing = 0;
		m_lease = 0;
		m_leaderReadNext = 0;
	}
}

void ControlCore::onLeadership(const StoreAnswered& _event)
{
	m_leaderVacant = false;
	if (StoreStatus::Ok == _event.status)
	{
		m_leader = true;
		m_fencing = _event.revision;
		m_leaseRenewNext = m_now + limits::kLeaseTtl / kRenewalsPerLease;
		return;
	}
	// The lease is also given up if the answer was lost: the leader key may then be bound to this lease, which is
	// not renewed, and expires with it.
	m_lease = 0;
	m_leaderReadNext = m_now + limits::kLeaseTtl;
}

void ControlCore::onRosterSwapped(const StoreAnswered& _event)
{
	m_rosterFresh = false;
	m_rosterRead = -1;
	if (StoreStatus::Ok == _event.status)
	{
		storeRead(Purpose::ReadRoster, rosterKey());
	}
}

bool ControlCore::isChangeInFlight() const
{
	const bool forChange = Purpose::ReadForChange == m_purpose || Purpose::SwapForChange == m_purpose ||
						   Purpose::ReadBackChange == m_purpose;
	return 0 != m_opInFlight && forChange;
}

void ControlCore::onChangeRead(const StoreAnswered& _event)
{
	if (m_changes.empty())
	{
		return;
	}
	PendingChange& change = m_changes.front();
	if (StoreStatus::Ok != _event.status)
	{
		answerChange(false, Failure::StoreUnavailable, "the store did not answer; nothing was changed");
		return;
	}
	try
	{
		change.edited = m_codec.editConfig(_event.value.text, change.request.statement, change.request.changeId);
	}
	catch (const Error& error)
	{
		answerChange(false, error.failure(), error.what());
		return;
	}
	if (change.edited.config->version <= versions().config)
	{
		// The store has lost changes that are in force here; an older configuration must not be distributed.
		answerChange(false, Failure::ConfigStale, "the store holds an older configuration than the one in force");
		return;
	}
	change.base = _event.value.modRevision;
	storeSwap(Purpose::SwapForChange, kConfigKey, change.base, change.edited.text, 0);
}

void ControlCore::onChangeSwapped(const StoreAnswered& _event)
{
	if (m_changes.empty())
	{
		return;
	}
	PendingChange& change = m_changes.front();
	switch (_event.status)
	{
	case StoreStatus::Ok:
		adoptConfig(change.edited.text);
		propagate();
		answerChange(true, Failure::Internal, "in force from this version on");
		break;
	case StoreStatus::CompareFailed:
		if (_event.value.exists && adoptConfig(_event.value.text))
		{
			propagate();
		}
		answerChange(false, Failure::ConfigConflict, "another change came first");
		break;
	case StoreStatus::Failed:
	case StoreStatus::Lost:
		change.mayBeApplied = true;
		break;
	}
}

void ControlCore::onChangeReadBack(const StoreAnswered& _event)
{
	if (m_changes.empty() || StoreStatus::Ok != _event.status)
	{
		return;
	}
	PendingChange& change = m_changes.front();
	if (_event.value.modRevision == change.base)
	{
		// The swap is not applied yet. The same swap is sent again; only one of the two can find this revision.
		storeSwap(Purpose::SwapForChange, kConfigKey, change.base, change.edited.text, 0);
		return;
	}
	ConfigDoc current;
	try
	{
		current = m_codec.readConfig(_event.value.text);
	}
	catch (const Error& error)
	{
		answerChange(false, Failure::OutcomeUnknown, error.what());
		return;
	}
	if (adoptConfig(_event.value.text))
	{
		propagate();
	}
	const auto found = std::find(current.history.begin(), current.history.end(), change.request.changeId);
	const bool done = current.history.end() != found;
	answerChange(done, Failure::ConfigConflict, done ? "in force" : "another change came first");
}

void ControlCore::answerChange(bool _ok, Failure _failure, const std::string& _detail)
{
	AnswerOperator answer;
	answer.requestNumber = m_changes.front().request.requestNumber;
	answer.ok = _ok;
	answer.failure = _failure;
	answer.detail = _detail;
	answer.version = versions().config;
	m_changes.pop_front();
	m_out->push_back(std::move(answer));
}

} // namespace beacongate
