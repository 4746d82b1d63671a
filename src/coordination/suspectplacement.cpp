// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/suspectplacement.h"

#include <algorithm>

namespace beacongate
{
void SuspectPlacement::onPlaced(const CrashSubjects& _subjects, BackendKey _backend)
{
	add(_subjects.request, _backend);
	for (const RequestFingerprint& part : _subjects.parts)
	{
		add(part, _backend);
	}
}

void SuspectPlacement::onEnded(const CrashSubjects& _subjects, BackendKey _backend)
{
	remove(_subjects.request, _backend);
	for (const RequestFingerprint& part : _subjects.parts)
	{
		remove(part, _backend);
	}
}

void SuspectPlacement::add(const RequestFingerprint& _subject, BackendKey _backend)
{
	++m_running[_backend][_subject];
	++m_copies[_subject];
}

void SuspectPlacement::remove(const RequestFingerprint& _subject, BackendKey _backend)
{
	const auto backend = m_running.find(_backend);
	if (backend == m_running.end())
	{
		return;
	}
	const auto running = backend->second.find(_subject);
	if (running == backend->second.end())
	{
		return;
	}
	if (--running->second == 0)
	{
		backend->second.erase(running);
	}
	if (backend->second.empty())
	{
		m_running.erase(backend);
	}
	if (--m_copies[_subject] == 0)
	{
		m_copies.erase(_subject);
	}
}

bool SuspectPlacement::mustWait(const CrashSubjects& _subjects) const
{
	const RequestFingerprint suspect = m_ledger.mostSuspected(_subjects);
	return m_ledger.suspicionOf(_subjects) == Suspicion::Suspected && m_copies.count(suspect) != 0;
}

bool SuspectPlacement::runsSuspect(BackendKey _backend) const
{
	const auto backend = m_running.find(_backend);
	return backend != m_running.end() &&
		   std::any_of(backend->second.begin(), backend->second.end(),
					   [this](const auto& _running)
					   { return m_ledger.suspicionOf(_running.first) != Suspicion::None; });
}

std::vector<const KnownBackend*> SuspectPlacement::preferred(const std::vector<const KnownBackend*>& _candidates,
															 const CrashSubjects& _subjects, bool _suspected) const
{
	if (!_suspected && m_ledger.countOf(Suspicion::Suspected) == 0)
	{
		return _candidates;
	}
	std::vector<const KnownBackend*> apart;
	std::copy_if(_candidates.begin(), _candidates.end(), std::back_inserter(apart),
				 [this](const KnownBackend* _backend) { return !runsSuspect(_backend->key); });
	if (apart.empty())
	{
		return _candidates;
	}
	if (!_suspected)
	{
		return apart;
	}
	const RequestFingerprint suspect = m_ledger.mostSuspected(_subjects);
	const auto rank = [&suspect](const KnownBackend* _backend)
	{
		return XXH3_64bits_withSeed(&_backend->key.value, sizeof _backend->key.value, suspect.low);
	};
	return {*std::max_element(apart.begin(), apart.end(),
							  [&rank](const KnownBackend* _left, const KnownBackend* _right)
							  { return rank(_left) < rank(_right); })};
}

} // namespace beacongate
