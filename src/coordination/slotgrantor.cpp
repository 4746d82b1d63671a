// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/slotgrantor.h"

#include <algorithm>
#include <unordered_set>

namespace beacongate
{
SlotGrantor::Server& SlotGrantor::serverOf(BackendKey _key, Micros _now)
{
	const auto [entry, isNew] = m_servers.try_emplace(_key);
	if (isNew)
	{
		entry->second.began = _now;
	}
	return entry->second;
}

SlotGrantor::Server& SlotGrantor::serverOf(const SlotRequest& _request, unsigned _reported, Micros _now)
{
	Server& server = serverOf(_request.use.backend, _now);
	server.slots = std::max(1u, _request.slots);
	server.reported = _reported;
	_request.limit ? setPace(server, *_request.limit, _now) : void();
	if (!_request.rejections)
	{
		return server;
	}
	server.rejections = *_request.rejections;
	if (!server.requested)
	{
		server.requested = true;
		// A server that bears no rejection cannot be tried: its slots are taken for its room.
		const auto assumed = static_cast<unsigned>(kAssumedRoom * server.slots);
		server.proven = server.rejections < 1.0
							? server.slots
							: std::clamp(occupied(server, _now), std::max(1u, assumed), server.slots);
		server.trialPause = firstTrialPause(server);
	}
	return server;
}

Micros SlotGrantor::firstTrialPause(const Server& _server)
{
	return static_cast<Micros>(static_cast<double>(kSecond) / std::max(1.0, kTrialsShare * _server.rejections));
}

unsigned SlotGrantor::trialSize(const Server& _server)
{
	return std::max(1u, static_cast<unsigned>(kTrialShare * _server.rejections));
}

void SlotGrantor::noteUse(Server& _server, const SlotUse& _use, const std::string& _host, Micros _now)
{
	Holder& holder = _server.holders[_host];
	holder.inFlight = _use.inFlight;
	holder.heard = _now;
	std::erase_if(holder.unconfirmed, [&_use](const Grant& _grant) { return _grant.number <= _use.lastGrant; });
	if (holder.inFlight == 0 && holder.unconfirmed.empty())
	{
		_server.holders.erase(_host);
	}
}

unsigned SlotGrantor::occupied(const Server& _server, Micros _now)
{
	std::size_t count = 0;
	for (const auto& [host, holder] : _server.holders)
	{
		count += holder.inFlight + holder.unconfirmed.size();
	}
	const bool starting = _now - _server.began < kStartSpan;
	return std::max(static_cast<unsigned>(count), starting ? _server.reported : 0);
}

void SlotGrantor::update(Server& _server, Micros _now)
{
	for (auto& [host, holder] : _server.holders)
	{
		std::erase_if(holder.unconfirmed,
					  [_now](const Grant& _grant) { return _now - _grant.at > kGrantLifetime; });
	}
	std::erase_if(_server.holders,
				  [_now](const auto& _entry)
				  {
					  const Holder& holder = _entry.second;
					  const bool unused = holder.inFlight == 0 && holder.unconfirmed.empty();
					  return unused || _now - holder.heard > kUseLifetime;
				  });
	std::erase_if(_server.queue, [_now](const Waiting& _waiting) { return _waiting.until < _now; });
	while (!_server.rejectedAt.empty() && _server.rejectedAt.front() <= _now - kSecond)
	{
		_server.rejectedAt.pop_front();
	}
	if (_server.tried > 0 && _now - _server.trialAt >= kTrialSpan)
	{
		_server.proven = std::min(_server.slots, _server.proven + _server.tried);
		_server.tried = 0;
		_server.trialPause = firstTrialPause(_server);
	}
}

void SlotGrantor::setPace(Server& _server, double _limit, Micros _now)
{
	_server.pace ? _server.pace->setRate(_limit, _now) : void(_server.pace.emplace(_limit, _now));
}

bool SlotGrantor::mayGrant(const Server& _server, const Waiting& _request, Micros _now)
{
	const bool paced = !_request.needsPace || _server.pace->waitFor(1, _now) == 0;
	return paced && (!_request.needsSlot || hasSlot(_server, _now));
}

bool SlotGrantor::hasSlot(const Server& _server, Micros _now)
{
	const unsigned inUse = occupied(_server, _now);
	if (inUse >= _server.slots)
	{
		return false;
	}
	// One more rejected trial must not make the server fall over.
	const double rejected = static_cast<double>(_server.rejectedAt.size());
	if (rejected > 0.0 && rejected + trialSize(_server) > _server.rejections)
	{
		return false;
	}
	if (inUse < _server.proven)
	{
		return true;
	}
	return _now >= _server.nextTrial && _server.tried < trialSize(_server);
}

SlotAnswer SlotGrantor::grant(Server& _server, BackendKey _key, const Waiting& _request, Micros _now)
{
	_server.pace ? _server.pace->onSent(_now) : void();
	if (_request.needsSlot && occupied(_server, _now) >= _server.proven)
	{
		_server.trialAt = _server.tried == 0 ? _now : _server.trialAt;
		++_server.tried;
	}
	Holder& holder = _server.holders[_request.host];
	holder.heard = _now;
	holder.unconfirmed.push_back({++m_lastGrant, _request.id, _now});
	if (m_notify)
	{
		const auto inUse = holder.inFlight + static_cast<unsigned>(holder.unconfirmed.size());
		const auto limit = _server.pace ? std::optional(_server.pace->rate()) : std::nullopt;
		m_notify({_key, _request.host, inUse, limit}, _now);
	}
	return {_request.id, _key, SlotOutcome::Granted, m_lastGrant};
}

SlotAnswer SlotGrantor::decide(const SlotRequest& _request, const std::string& _host, unsigned _reported,
							   Micros _now)
{
	const BackendKey key = _request.use.backend;
	Server& server = serverOf(_request, _reported, _now);
	noteUse(server, _request.use, _host, _now);
	update(server, _now);
	const Micros startsUntil = server.began + kStartSpan;
	if (_request.rejections && !_request.insists && _now < startsUntil)
	{
		return {_request.id, key, SlotOutcome::Referred, 0, startsUntil - _now};
	}
	// A request that comes again was answered before, and the answer was lost.
	if (const auto holder = server.holders.find(_host); holder != server.holders.end())
	{
		for (const Grant& granted : holder->second.unconfirmed)
		{
			if (granted.request == _request.id)
			{
				return {_request.id, key, SlotOutcome::Granted, granted.number};
			}
		}
	}
	const auto same = [&](const Waiting& _waiting)
	{
		return _waiting.id == _request.id && _waiting.host == _host;
	};
	if (std::any_of(server.queue.begin(), server.queue.end(), same))
	{
		return {_request.id, key, SlotOutcome::Queued, 0};
	}
	serveQueue(key, server, _now);
	const Waiting waiting{_host,
						  _request.id,
						  _request.priority,
						  _now + _request.patience,
						  _request.rejections.has_value(),
						  _request.limit.has_value()};
	if (server.queue.empty() && mayGrant(server, waiting, _now))
	{
		return grant(server, key, waiting, _now);
	}
	const auto isBehind = [&](const Waiting& _waiting)
	{
		return _waiting.priority > _request.priority;
	};
	const auto place = std::find_if(server.queue.begin(), server.queue.end(), isBehind);
	const auto before = static_cast<std::size_t>(std::distance(server.queue.begin(), place));
	const Micros wait = waiting.needsPace ? server.pace->waitFor(before + 1, _now) : 0;
	const bool full = server.queue.size() >= std::size_t{kQueueFactor} * server.slots;
	if (_request.patience <= 0 || full || wait > _request.patience)
	{
		return deny(server, _request, wait, _now);
	}
	server.queue.insert(place, waiting);
	return {_request.id, key, SlotOutcome::Queued, 0};
}

SlotAnswer SlotGrantor::deny(Server& _server, const SlotRequest& _request, Micros _wait, Micros _now)
{
	SlotAnswer answer{_request.id, _request.use.backend, SlotOutcome::Denied, 0};
	if (_request.limit)
	{
		_server.nextAsk = std::clamp(_server.nextAsk + kAskInterval, _now + _wait, _now + _wait + kMaxAskDelay);
		answer.wait = _server.nextAsk - _now;
	}
	return answer;
}

void SlotGrantor::onRejected(Server& _server, Micros _now)
{
	_server.rejectedAt.push_back(_now);
	_server.proven = std::min(_server.proven, std::max(1u, occupied(_server, _now)));
	_server.tried = 0;
	_server.nextTrial = _now + _server.trialPause;
	_server.trialPause = std::min(2 * _server.trialPause, kMaxTrialPause);
}

void SlotGrantor::onReport(const SlotReport& _report, const std::string& _host, Micros _now)
{
	Server& server = serverOf(_report.use.backend, _now);
	noteUse(server, _report.use, _host, _now);
	update(server, _now);
	if (_report.rejected)
	{
		onRejected(server, _now);
		const double rejected = static_cast<double>(server.rejectedAt.size());
		if (m_overloaded && _report.rejections && rejected > *_report.rejections)
		{
			m_overloaded(_report.use.backend, _now);
		}
	}
	if (_report.unused && server.pace)
	{
		server.pace->onReturned(_now);
	}
	serveQueue(_report.use.backend, server, _now);
}

void SlotGrantor::onNotice(const GrantNotice& _notice, Micros _now)
{
	Server& server = serverOf(_notice.backend, _now);
	if (_notice.limit)
	{
		setPace(server, *_notice.limit, _now);
		server.pace->onSent(_now);
	}
	Holder& holder = server.holders[_notice.holder];
	holder.inFlight = _notice.inUse;
	holder.heard = _now;
}

void SlotGrantor::onLimitEnded(BackendKey _key)
{
	const auto server = m_servers.find(_key);
	const auto needsPace = [](const Waiting& _waiting)
	{
		return _waiting.needsPace;
	};
	// Requests that are still queued under the limit need the pace.
	if (server != m_servers.end() &&
		std::none_of(server->second.queue.begin(), server->second.queue.end(), needsPace))
	{
		server->second.pace.reset();
	}
}

void SlotGrantor::serveQueue(BackendKey _key, Server& _server, Micros _now)
{
	while (!_server.queue.empty() && mayGrant(_server, _server.queue.front(), _now))
	{
		const Waiting first = _server.queue.front();
		_server.queue.erase(_server.queue.begin());
		m_send(first.host, grant(_server, _key, first, _now));
	}
}

void SlotGrantor::advance(Micros _now)
{
	for (auto& [key, server] : m_servers)
	{
		if (!server.queue.empty())
		{
			update(server, _now);
			serveQueue(key, server, _now);
		}
	}
}

std::size_t SlotGrantor::queued() const
{
	std::size_t count = 0;
	for (const auto& [key, server] : m_servers)
	{
		count += server.queue.size();
	}
	return count;
}

void SlotGrantor::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_servers, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
