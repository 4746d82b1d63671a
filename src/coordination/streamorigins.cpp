// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/streamorigins.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
std::string_view toString(OriginGrounds _grounds)
{
	switch (_grounds)
	{
	case OriginGrounds::Record:
		return "record";
	case OriginGrounds::OnlyVersion:
		return "only-version";
	case OriginGrounds::None:
		break;
	}
	return "none";
}

void StreamOrigins::store(const StreamOriginRecord& _record, bool _own, Micros _now)
{
	const Micros until = _now + std::clamp(_record.lifetime, kMinLifetime, kMaxLifetime);
	const auto [entry, isNew] = m_streams.insert_or_assign(_record.stream, Entry{_record.version, until, _own});
	if (!isNew)
	{
		return;
	}
	m_order.push_back(_record.stream);
	while (m_order.size() > kMaxStreams)
	{
		m_streams.erase(m_order.front());
		m_order.pop_front();
	}
}

std::optional<VersionKey> StreamOrigins::find(StreamKey _stream, Micros _now) const
{
	const auto entry = m_streams.find(_stream);
	const bool valid = entry != m_streams.end() && _now <= entry->second.until;
	return valid ? std::optional(entry->second.version) : std::nullopt;
}

void StreamOrigins::onBegun(StreamKey _stream, VersionKey _version, Micros _lifetime, Micros _now)
{
	const StreamOriginRecord record{_stream, _version, _lifetime};
	store(record, true, _now);
	++m_begun;
	for (const std::string& host : m_homes.of(_stream.value, kHolders))
	{
		if (host != m_host)
		{
			m_send(host, record);
		}
	}
}

void StreamOrigins::onCompleted(StreamKey _stream)
{
	if (const auto entry = m_streams.find(_stream); entry != m_streams.end())
	{
		entry->second.own = false;
	}
}

std::vector<StreamOriginRecord> StreamOrigins::ownRecords(std::size_t _most, Micros _now) const
{
	std::vector<StreamOriginRecord> records;
	for (auto stream = m_order.rbegin(); stream != m_order.rend() && records.size() < _most; ++stream)
	{
		const auto entry = m_streams.find(*stream);
		if (entry != m_streams.end() && entry->second.own && _now <= entry->second.until &&
			m_history.isOneOfSeveral(entry->second.version))
		{
			records.push_back({*stream, entry->second.version, entry->second.until - _now});
		}
	}
	return records;
}

void StreamOrigins::adopt(const std::vector<StreamOriginRecord>& _records, bool _own, Micros _now)
{
	// The records are given newest first, and the oldest entries give way first.
	for (auto record = _records.rbegin(); record != _records.rend(); ++record)
	{
		if (!m_streams.count(record->stream))
		{
			store(*record, _own, _now);
		}
	}
}

OriginVerdict StreamOrigins::search(OriginTicket& _ticket, StreamKey _stream, ServiceKey _service,
									Micros _contentAge, Micros _now, std::function<void()> _found)
{
	if (_ticket.id == 0 && !find(_stream, _now))
	{
		_ticket.id = ++m_lastId;
		Search& search = m_searches[_ticket.id];
		search.stream = _stream;
		search.service = _service;
		search.started = _now;
		search.silent = m_homes.of(_stream.value, kAsked);
		search.found = std::move(_found);
		std::erase(search.silent, m_host);
		sendQueries(_ticket.id, search);
	}
	if (const auto version = find(_stream, _now))
	{
		abandon(_ticket);
		return {OriginState::Known, *version, OriginGrounds::Record};
	}
	Search& search = m_searches[_ticket.id];
	const Micros elapsed = _now - search.started;
	if (!search.silent.empty() && elapsed < kSearchTimeout)
	{
		if (!search.resent && elapsed >= kResendDelay)
		{
			search.resent = true;
			sendQueries(_ticket.id, search);
		}
		return {};
	}
	const OriginVerdict verdict = conclude(search, _contentAge, _now);
	if (verdict.state != OriginState::Pending)
	{
		abandon(_ticket);
	}
	return verdict;
}

OriginVerdict StreamOrigins::conclude(const Search& _search, Micros _contentAge, Micros _now) const
{
	std::set<VersionKey> possible = _search.recentVersions;
	for (const VersionKey& version : m_history.versionsOf(_search.service))
	{
		possible.insert(version);
	}
	// Other gateways may have started as recently as this one, or be as far behind the store, so their answers do
	// not make up for its own history.
	const bool isOnlyVersion = m_history.isComplete(_now) && possible.size() == 1;
	if (isOnlyVersion)
	{
		if (_contentAge <= _now - _search.started)
		{
			return {OriginState::Known, *possible.begin(), OriginGrounds::OnlyVersion};
		}
		if (_contentAge < kFreshContentAge)
		{
			return {OriginState::Pending, {}, OriginGrounds::None, true, true};
		}
	}
	return {OriginState::Unknown, {}, OriginGrounds::None, isOnlyVersion || !_search.silent.empty()};
}

void StreamOrigins::abandon(OriginTicket& _ticket)
{
	m_searches.erase(std::exchange(_ticket.id, 0));
}

void StreamOrigins::sendQueries(std::uint64_t _id, const Search& _search)
{
	// Where sending delivers at once, an answer changes the search.
	const std::vector<std::string> hosts = _search.silent;
	const StreamOriginQuery query{_id, _search.stream, _search.service};
	for (const std::string& host : hosts)
	{
		m_send(host, query);
	}
}

void StreamOrigins::onMessage(const std::string& _host, const StreamOriginMessage& _message, Micros _now)
{
	if (const auto* record = std::get_if<StreamOriginRecord>(&_message))
	{
		store(*record, false, _now);
	}
	else if (const auto* query = std::get_if<StreamOriginQuery>(&_message))
	{
		onQuery(_host, *query, _now);
	}
	else if (const auto* answer = std::get_if<StreamOriginAnswer>(&_message))
	{
		if (const auto search = m_searches.find(answer->id); answer->version && search != m_searches.end())
		{
			store({search->second.stream, *answer->version, kMinLifetime}, false, _now);
		}
		onAnswer(_host, *answer);
	}
}

void StreamOrigins::onQuery(const std::string& _host, const StreamOriginQuery& _query, Micros _now)
{
	StreamOriginAnswer answer{_query.id, find(_query.stream, _now), {}};
	if (!answer.version)
	{
		answer.recentVersions = m_history.versionsOf(_query.service);
		answer.recentVersions.resize(std::min(answer.recentVersions.size(), StreamOriginAnswer::kMaxVersions));
	}
	m_send(_host, answer);
}

void StreamOrigins::onAnswer(const std::string& _host, const StreamOriginAnswer& _answer)
{
	const auto found = m_searches.find(_answer.id);
	if (found == m_searches.end())
	{
		return;
	}
	Search& search = found->second;
	std::erase(search.silent, _host);
	search.recentVersions.insert(_answer.recentVersions.begin(), _answer.recentVersions.end());
	if (search.silent.empty() || _answer.version)
	{
		// The callback may end the search, so it is copied first.
		const std::function<void()> call = search.found;
		call();
	}
}

void StreamOrigins::expire(Micros _now)
{
	while (!m_order.empty() && !find(m_order.front(), _now))
	{
		m_streams.erase(m_order.front());
		m_order.pop_front();
	}
}

} // namespace beacongate
