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
constexpr double kMost = 0.5; ///< Of those that were heard at the same time; one that hears fewer has lost them.
constexpr Micros kRoundsRunning =
	2; ///< Rounds in which a process that runs does something, whatever its timers do.
} // namespace

void FleetLiveness::setMembers(std::size_t _members)
{
	m_members = std::max<std::size_t>(1, _members);
}

Micros FleetLiveness::silence() const
{
	return std::max(kSilenceTimeout, 2 * GossipPlan::propagationDelay(m_members));
}

void FleetLiveness::onTick(Micros _now)
{
	m_stall.onTick(_now, kRoundsRunning * GossipPlan::roundInterval(m_members));
}

Micros FleetLiveness::silentSince(const Word& _word) const
{
	return std::max(_word.proved, m_stall.resumedAt());
}

void FleetLiveness::onHeard(const std::string& _source, Micros _now, Micros _proved, std::size_t _gateways)
{
	Word& word = m_heard[_source];
	word.proved = std::max(word.proved, std::min(_proved, _now));
	word.received = _now;
	word.gateways = _gateways;
	m_gapEnded = m_lastWord != kLongAgo && age(_now) > kGap ? _now : m_gapEnded;
	m_lastWord = _now;
	m_mostHeard = std::max(m_mostHeard, gatewaysHeard(_now));
}

bool FleetLiveness::replacesAnother(const std::string& _group, const std::string& _source) const
{
	const auto collector = m_collectors.find(_group);
	return collector != m_collectors.end() && collector->second != _source && m_heard.count(collector->second) != 0;
}

std::optional<Micros> FleetLiveness::onSums(const std::string& _group, const std::string& _source, Micros _now,
											Micros _proved, std::size_t _gateways)
{
	const std::string before = std::exchange(m_collectors[_group], _source);
	const auto word = m_heard.find(before);
	std::optional<Micros> unreported;
	if (before != _source && word != m_heard.end())
	{
		// What came after the span of silence is recorded as the share of silent gateways.
		const Micros silent = std::max<Micros>(0, _now - silentSince(word->second) - silence());
		unreported = std::clamp<Micros>(_now - word->second.proved - silent, 0, TokenBucket::kHistory);
		m_heard.erase(word);
	}
	onHeard(_source, _now, _proved, _gateways);
	return unreported;
}

std::optional<Micros> FleetLiveness::unheardSince(const std::string& _source, Micros _now) const
{
	const auto word = m_heard.find(_source);
	const bool inGap = m_lastWord != kLongAgo && age(_now) > kGap;
	if (word == m_heard.end() || (!inGap && word->second.received >= m_gapEnded))
	{
		return std::nullopt;
	}
	return word->second.proved;
}

double FleetLiveness::shareOf(const std::string& _source) const
{
	const auto word = m_heard.find(_source);
	const std::size_t gateways = word == m_heard.end() ? 1 : word->second.gateways;
	return std::min(1.0, static_cast<double>(gateways) / static_cast<double>(m_members));
}

std::size_t FleetLiveness::gatewaysHeard(Micros _now) const
{
	std::size_t heard = 1;
	for (const auto& [source, word] : m_heard)
	{
		heard += _now - silentSince(word) <= silence() ? word.gateways : 0;
	}
	return heard;
}

double FleetLiveness::silentShare(Micros _now) const
{
	const std::size_t heard = gatewaysHeard(_now);
	const std::size_t members = std::max(m_members, heard);
	return static_cast<double>(members - heard) / static_cast<double>(members);
}

double FleetLiveness::secondsLeftTo(const std::string& _source, Micros _now) const
{
	const auto word = m_heard.find(_source);
	if (word == m_heard.end())
	{
		return 0.0;
	}
	// What was left to it longer ago is not in the bucket any more, and makes up for nothing: with the whole span,
	// gateways that came back after 12 s took 11.11 of 11.03 million tokens in 8 s, so 10.11 (quotarestarttest).
	const Micros silent =
		std::clamp<Micros>(_now - silentSince(word->second) - silence(), 0, TokenBucket::kHistory);
	return secondsOf(silent) * static_cast<double>(word->second.gateways) / static_cast<double>(m_members);
}

FleetContact FleetLiveness::contact(Micros _now) const
{
	if (m_members <= 1)
	{
		return FleetContact::Whole;
	}
	std::size_t proved = 1;
	for (const auto& [source, word] : m_heard)
	{
		const bool isNew = word.proved >= m_stall.resumedAt() && _now - word.proved <= silence();
		proved += isNew ? word.gateways : 0;
	}
	const double least = kMost * static_cast<double>(std::min(m_mostHeard, m_members));
	if (m_mostHeard > 1 && static_cast<double>(proved) >= least)
	{
		return FleetContact::Whole;
	}
	const bool justWoke = m_stall.resumedAt() != kLongAgo && _now - m_stall.resumedAt() <= kResumeTimeout;
	return justWoke ? FleetContact::Resuming : FleetContact::Lost;
}

Micros FleetLiveness::age(Micros _now) const
{
	return m_lastWord == kLongAgo ? kNever : _now - m_lastWord;
}
} // namespace beacongate
