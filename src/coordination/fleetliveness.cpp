// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fleetliveness.h"

#include "coordination/gossipplan.h"
#include "coordination/tokenbucket.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
/// Smallest share of m_maxHeard. A gateway that hears fewer has lost contact with the others.
constexpr double kMinHeardShare = 0.5;
/// Rounds within which a running process ticks at least once, whatever its timers do.
constexpr Micros kMaxTickRounds = 2;
} // namespace

void FleetLiveness::setMembers(std::size_t _members)
{
	m_members = std::max<std::size_t>(1, _members);
}

Micros FleetLiveness::silenceTimeout() const
{
	return std::max(kSilenceTimeout, 2 * GossipPlan::propagationDelay(m_members));
}

void FleetLiveness::onTick(Micros _now)
{
	m_stall.onTick(_now, kMaxTickRounds * GossipPlan::roundInterval(m_members));
}

Micros FleetLiveness::silentSince(const SourceState& _state) const
{
	return std::max(_state.confirmedAt, m_stall.resumedAt());
}

void FleetLiveness::onHeard(const std::string& _source, Micros _now, Micros _confirmedAt, std::size_t _gateways)
{
	SourceState& state = m_heard[_source];
	state.confirmedAt = std::max(state.confirmedAt, std::min(_confirmedAt, _now));
	state.receivedAt = _now;
	state.gateways = _gateways;
	m_gapEnded = m_lastHeard != kLongAgo && age(_now) > kReportGap ? _now : m_gapEnded;
	m_lastHeard = _now;
	m_maxHeard = std::max(m_maxHeard, gatewaysHeard(_now));
}

bool FleetLiveness::replacesAnother(const std::string& _group, const std::string& _source) const
{
	const auto collector = m_collectors.find(_group);
	return collector != m_collectors.end() && collector->second != _source && m_heard.count(collector->second) != 0;
}

std::optional<Micros> FleetLiveness::onSums(const std::string& _group, const std::string& _source, Micros _now,
											Micros _confirmedAt, std::size_t _gateways)
{
	const std::string previous = std::exchange(m_collectors[_group], _source);
	const auto state = m_heard.find(previous);
	std::optional<Micros> unreported;
	if (previous != _source && state != m_heard.end())
	{
		// Usage after the silence timeout is already recorded as the share of silent gateways.
		const Micros silent = std::max<Micros>(0, _now - silentSince(state->second) - silenceTimeout());
		unreported = std::clamp<Micros>(_now - state->second.confirmedAt - silent, 0, TokenBucket::kHistory);
		m_heard.erase(state);
	}
	onHeard(_source, _now, _confirmedAt, _gateways);
	return unreported;
}

std::optional<Micros> FleetLiveness::unreportedSince(const std::string& _source, Micros _now) const
{
	const auto state = m_heard.find(_source);
	const bool inGap = m_lastHeard != kLongAgo && age(_now) > kReportGap;
	if (state == m_heard.end() || (!inGap && state->second.receivedAt >= m_gapEnded))
	{
		return std::nullopt;
	}
	return state->second.confirmedAt;
}

double FleetLiveness::gatewayShareOf(const std::string& _source) const
{
	const auto state = m_heard.find(_source);
	const std::size_t gateways = state == m_heard.end() ? 1 : state->second.gateways;
	return std::min(1.0, static_cast<double>(gateways) / static_cast<double>(m_members));
}

std::size_t FleetLiveness::gatewaysHeard(Micros _now) const
{
	std::size_t heard = 1;
	for (const auto& [source, state] : m_heard)
	{
		heard += _now - silentSince(state) <= silenceTimeout() ? state.gateways : 0;
	}
	return heard;
}

double FleetLiveness::silentShare(Micros _now) const
{
	const std::size_t heard = gatewaysHeard(_now);
	const std::size_t members = std::max(m_members, heard);
	return static_cast<double>(members - heard) / static_cast<double>(members);
}

double FleetLiveness::reservedRateSeconds(const std::string& _source, Micros _now) const
{
	const auto state = m_heard.find(_source);
	if (state == m_heard.end())
	{
		return 0.0;
	}
	// Reservations older than the bucket's history no longer count in the bucket, so they must not offset usage.
	// With the whole span, gateways that reconnected after 12 s took 11.11 of 11.03 million tokens in 8 s; with
	// this bound they took 10.11 million (quotarestarttest).
	const Micros silent =
		std::clamp<Micros>(_now - silentSince(state->second) - silenceTimeout(), 0, TokenBucket::kHistory);
	return secondsOf(silent) * static_cast<double>(state->second.gateways) / static_cast<double>(m_members);
}

FleetContact FleetLiveness::contact(Micros _now) const
{
	if (m_members <= 1)
	{
		return FleetContact::Established;
	}
	std::size_t confirmed = 1;
	for (const auto& [source, state] : m_heard)
	{
		const bool isNew = state.confirmedAt >= m_stall.resumedAt() && _now - state.confirmedAt <= silenceTimeout();
		confirmed += isNew ? state.gateways : 0;
	}
	const double minConfirmed = kMinHeardShare * static_cast<double>(std::min(m_maxHeard, m_members));
	if (m_maxHeard > 1 && static_cast<double>(confirmed) >= minConfirmed)
	{
		return FleetContact::Established;
	}
	const bool justResumed = m_stall.resumedAt() != kLongAgo && _now - m_stall.resumedAt() <= kResumeTimeout;
	return justResumed ? FleetContact::Resuming : FleetContact::Lost;
}

Micros FleetLiveness::age(Micros _now) const
{
	return m_lastHeard == kLongAgo ? kNever : _now - m_lastHeard;
}
} // namespace beacongate
