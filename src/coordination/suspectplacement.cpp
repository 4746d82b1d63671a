// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/suspectplacement.h"

#include <algorithm>

namespace beacongate
{
void SuspectPlacement::onPlaced(const RequestFingerprint& _request, BackendKey _backend)
{
	++m_running[_backend][_request];
	++m_copies[_request];
}

void SuspectPlacement::onEnded(const RequestFingerprint& _request, BackendKey _backend)
{
	const auto backend = m_running.find(_backend);
	if (backend == m_running.end())
	{
		return;
	}
	const auto running = backend->second.find(_request);
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
	if (--m_copies[_request] == 0)
	{
		m_copies.erase(_request);
	}
}

bool SuspectPlacement::mustWait(const RequestFingerprint& _request) const
{
	return m_ledger.suspicionOf(_request) == Suspicion::Suspected && m_copies.count(_request) != 0;
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
															 const RequestFingerprint& _request,
															 bool _suspected) const
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
	const auto rank = [&_request](const KnownBackend* _backend)
	{
		return XXH3_64bits_withSeed(&_backend->key.value, sizeof _backend->key.value, _request.low);
	};
	return {*std::max_element(apart.begin(), apart.end(),
							  [&rank](const KnownBackend* _left, const KnownBackend* _right)
							  { return rank(_left) < rank(_right); })};
}

} // namespace beacongate
