// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/sumsselection.h"

#include <utility>

namespace beacongate
{
namespace
{
constexpr Micros kReceiverTimeout = 60 * kSecond; ///< A gateway that is silent for longer has ended.

bool isBusier(const BackendLoad& _left, const BackendLoad& _right)
{
	return std::pair(_left.inFlight, _left.pendingTokens) > std::pair(_right.inFlight, _right.pendingTokens);
}
} // namespace

void keepBusiest(std::vector<BackendLoad>& _loads, std::size_t _count)
{
	if (_loads.size() > _count)
	{
		std::nth_element(_loads.begin(), _loads.begin() + static_cast<std::ptrdiff_t>(_count), _loads.end(),
						 isBusier);
		_loads.resize(_count);
	}
}

void TeamSelection::onReport(const GossipMessage& _report, Micros _now)
{
	Receiver& receiver = m_receivers[_report.host];
	if (_report.run.incarnation < receiver.incarnation)
	{
		return;
	}
	if (_report.run.incarnation > receiver.incarnation)
	{
		receiver = Receiver();
		receiver.incarnation = _report.run.incarnation;
	}
	receiver.heard = _now;
	receiver.wholeConfirmed = receiver.wholeConfirmed || _report.echo >= receiver.wholeSince;
	for (const QuotaReport& quota : _report.quotas)
	{
		double& counter = receiver.counters[quota.team];
		if (quota.taken > counter)
		{
			counter = quota.taken;
			receiver.servedAt[quota.team] = _now;
		}
	}
	std::erase_if(receiver.servedAt, [_now](const auto& _entry) { return _now - _entry.second > kServedSpan; });
}

std::vector<QuotaReport> TeamSelection::select(const std::string& _host, const std::vector<QuotaReport>& _all,
											   std::size_t _count, Micros _sent)
{
	Receiver& receiver = m_receivers[_host];
	receiver.wholeSince = std::min(receiver.wholeSince, _sent);
	const bool whole = !receiver.wholeConfirmed || receiver.answers < kWholeAnswers;
	++receiver.answers;
	if (whole || _all.size() <= _count)
	{
		return _all;
	}
	std::vector<QuotaReport> selected;
	std::vector<const QuotaReport*> others;
	for (const QuotaReport& quota : _all)
	{
		// A quarter of the answer is left to the teams that are told in turn.
		const bool served = receiver.servedAt.count(quota.team) != 0 && selected.size() < _count * 3 / 4;
		served ? selected.push_back(quota) : others.push_back(&quota);
	}
	const std::size_t room = std::min(_count - selected.size(), others.size());
	for (std::size_t index = 0; index < room; ++index)
	{
		selected.push_back(*others[(receiver.turn + index) % others.size()]);
	}
	receiver.turn = others.empty() ? 0 : (receiver.turn + room) % others.size();
	return selected;
}

void TeamSelection::expire(Micros _now)
{
	std::erase_if(m_receivers,
				  [_now](const auto& _entry) { return _now - _entry.second.heard > kReceiverTimeout; });
}

} // namespace beacongate
