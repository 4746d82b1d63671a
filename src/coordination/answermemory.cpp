// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/answermemory.h"

#include <utility>

namespace beacongate
{
bool AnswerMemory::Share::add(std::size_t _bytes, std::function<void()> _resume)
{
	m_bytes += _bytes;
	m_memory.m_bytes += _bytes;
	if (m_memory.m_bytes <= kMaxBytes || m_bytes <= kSmallBytes || m_memory.m_favoured == m_id)
	{
		return true;
	}
	if (m_memory.m_favoured == 0)
	{
		m_memory.m_favoured = m_id;
		return true;
	}
	m_memory.m_waiting[m_id] = std::move(_resume);
	return false;
}

void AnswerMemory::release(const Share& _share)
{
	m_bytes -= _share.m_bytes;
	m_waiting.erase(_share.m_id);
	m_favoured = m_favoured == _share.m_id ? 0 : m_favoured;
	resume();
}

void AnswerMemory::resume()
{
	while (!m_waiting.empty() && (m_bytes <= kMaxBytes || m_favoured == 0))
	{
		const auto first = m_waiting.begin();
		const std::function<void()> call = std::move(first->second);
		m_favoured = m_bytes > kMaxBytes ? first->first : m_favoured;
		m_waiting.erase(first);
		call();
	}
}

} // namespace beacongate
