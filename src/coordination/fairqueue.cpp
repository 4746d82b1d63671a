// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fairqueue.h"

#include <algorithm>

namespace beacongate
{
FairQueue::Line& FairQueue::activate(TeamHandle _team, double _weight)
{
	if (m_lines.size() <= _team.idx)
	{
		m_lines.resize(_team.idx + 1);
	}
	Line& line = m_lines[_team.idx];
	if (0 == line.count)
	{
		line.start = std::max(line.start, m_virtualTime);
		line.weight = _weight;
		m_activeWeight += line.weight;
		m_order.emplace(line.start, _team.idx);
	}
	return line;
}

void FairQueue::account(Line& _line, const QueueItem& _item)
{
	_line.count += 1;
	_line.cost += _item.cost;
	m_count += 1;
	m_cost += _item.cost;
}

void FairQueue::release(TeamHandle _team, Line& _line, const QueueItem& _item)
{
	_line.count -= 1;
	_line.cost -= _item.cost;
	m_count -= 1;
	m_cost -= _item.cost;
	if (0 == _line.count)
	{
		m_activeWeight -= _line.weight;
		m_order.erase({_line.start, _team.idx});
	}
}

void FairQueue::push(TeamHandle _team, double _weight, const QueueItem& _item)
{
	Line& line = activate(_team, _weight);
	line.byPriority[_item.priority].push_back(_item);
	account(line, _item);
}

void FairQueue::pushFront(TeamHandle _team, double _weight, const QueueItem& _item)
{
	Line& line = activate(_team, _weight);
	QueueItem paid = _item;
	paid.cost = 0.0;
	line.byPriority[_item.priority].push_front(paid);
	account(line, paid);
}

bool FairQueue::pop(QueueItem& _item)
{
	if (m_order.empty())
	{
		return false;
	}
	const auto [start, idx] = *m_order.begin();
	Line& line = m_lines[idx];
	const auto first = line.byPriority.begin();
	_item = first->second.front();
	first->second.pop_front();
	if (first->second.empty())
	{
		line.byPriority.erase(first);
	}
	m_virtualTime = start;
	m_order.erase(m_order.begin());
	line.start = start + _item.cost / line.weight;
	if (line.count > 1)
	{
		m_order.emplace(line.start, idx);
	}
	release(TeamHandle{idx}, line, _item);
	return true;
}

bool FairQueue::remove(TeamHandle _team, const QueueItem& _item)
{
	if (_team.idx >= m_lines.size())
	{
		return false;
	}
	Line& line = m_lines[_team.idx];
	const auto level = line.byPriority.find(_item.priority);
	if (line.byPriority.end() == level)
	{
		return false;
	}
	auto& items = level->second;
	const auto it = std::find_if(items.begin(), items.end(),
								 [&](const QueueItem& _other) { return _other.request == _item.request; });
	if (items.end() == it)
	{
		return false;
	}
	const QueueItem removed = *it;
	items.erase(it);
	if (items.empty())
	{
		line.byPriority.erase(level);
	}
	release(_team, line, removed);
	return true;
}

std::size_t FairQueue::size() const
{
	return m_count;
}

std::size_t FairQueue::size(TeamHandle _team) const
{
	return _team.idx < m_lines.size() ? m_lines[_team.idx].count : 0;
}

double FairQueue::queuedCost() const
{
	return m_cost;
}

double FairQueue::costAhead(TeamHandle _team, double _weight) const
{
	const Line* own = _team.idx < m_lines.size() ? &m_lines[_team.idx] : nullptr;
	const double ownCost = nullptr == own ? 0.0 : own->cost;
	const bool active = nullptr != own && 0 < own->count;
	const double others = active ? m_activeWeight - _weight : m_activeWeight;
	const double share = _weight / (others + _weight);
	return std::min(m_cost, ownCost / share);
}

} // namespace beacongate
