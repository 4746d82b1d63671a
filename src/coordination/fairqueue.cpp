// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fairqueue.h"

#include <algorithm>

namespace beacongate
{
FairQueue::TeamQueue& FairQueue::activate(TeamHandle _team, double _weight)
{
	if (m_teamQueues.size() <= _team.idx)
	{
		m_teamQueues.resize(_team.idx + 1);
	}
	TeamQueue& queue = m_teamQueues[_team.idx];
	if (0 == queue.count)
	{
		queue.startTag = std::max(queue.startTag, m_virtualTime);
		queue.weight = _weight;
		m_activeWeight += queue.weight;
		m_order.emplace(queue.startTag, _team.idx);
	}
	return queue;
}

void FairQueue::recordAdded(TeamQueue& _queue, const QueueItem& _item)
{
	_queue.count += 1;
	_queue.cost += _item.cost;
	m_count += 1;
	m_cost += _item.cost;
}

void FairQueue::recordRemoved(TeamHandle _team, TeamQueue& _queue, const QueueItem& _item)
{
	_queue.count -= 1;
	_queue.cost -= _item.cost;
	m_count -= 1;
	m_cost -= _item.cost;
	if (0 == _queue.count)
	{
		m_activeWeight -= _queue.weight;
		m_order.erase({_queue.startTag, _team.idx});
	}
}

void FairQueue::push(TeamHandle _team, double _weight, const QueueItem& _item)
{
	TeamQueue& queue = activate(_team, _weight);
	queue.byPriority[_item.priority].push_back(_item);
	recordAdded(queue, _item);
}

void FairQueue::pushFront(TeamHandle _team, double _weight, const QueueItem& _item)
{
	TeamQueue& queue = activate(_team, _weight);
	QueueItem paid = _item;
	paid.cost = 0.0;
	queue.byPriority[_item.priority].push_front(paid);
	recordAdded(queue, paid);
}

bool FairQueue::pop(QueueItem& _item)
{
	if (m_order.empty())
	{
		return false;
	}
	const auto [start, idx] = *m_order.begin();
	TeamQueue& queue = m_teamQueues[idx];
	const auto first = queue.byPriority.begin();
	_item = first->second.front();
	first->second.pop_front();
	if (first->second.empty())
	{
		queue.byPriority.erase(first);
	}
	m_virtualTime = start;
	m_order.erase(m_order.begin());
	queue.startTag = start + _item.cost / queue.weight;
	if (queue.count > 1)
	{
		m_order.emplace(queue.startTag, idx);
	}
	recordRemoved(TeamHandle{idx}, queue, _item);
	return true;
}

bool FairQueue::remove(TeamHandle _team, const QueueItem& _item)
{
	if (_team.idx >= m_teamQueues.size())
	{
		return false;
	}
	TeamQueue& queue = m_teamQueues[_team.idx];
	const auto level = queue.byPriority.find(_item.priority);
	if (queue.byPriority.end() == level)
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
		queue.byPriority.erase(level);
	}
	recordRemoved(_team, queue, removed);
	return true;
}

std::size_t FairQueue::size() const
{
	return m_count;
}

std::size_t FairQueue::size(TeamHandle _team) const
{
	return _team.idx < m_teamQueues.size() ? m_teamQueues[_team.idx].count : 0;
}

double FairQueue::queuedCost() const
{
	return m_cost;
}

double FairQueue::costAhead(TeamHandle _team, double _weight) const
{
	const TeamQueue* own = _team.idx < m_teamQueues.size() ? &m_teamQueues[_team.idx] : nullptr;
	const double ownCost = nullptr == own ? 0.0 : own->cost;
	const bool active = nullptr != own && 0 < own->count;
	const double others = active ? m_activeWeight - _weight : m_activeWeight;
	const double share = _weight / (others + _weight);
	return std::min(m_cost, ownCost / share);
}

} // namespace beacongate
