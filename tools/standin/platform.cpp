// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/platform.h"

#include "daemon/clock.h"
#include "platform/names.h"
#include "protocol/base64.h"
#include "protocol/json.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace beacongate::standin
{
namespace asio = boost::asio;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kExpiryInterval = 20 * kMillisecond;
constexpr Micros kPartInterval = 20 * kMillisecond; ///< Interval between two parts of a rate-limited answer.
constexpr std::size_t kHeaderBytes = 64u << 10;
constexpr std::size_t kBodyBytes = 8u << 20;

HttpAnswer jsonAnswer(unsigned _status, const Json& _body)
{
	return HttpAnswer{_status, {{"Content-Type", "application/json"}}, _body.dump()};
}

std::string queryField(const std::string& _target, const std::string& _name)
{
	const std::string assignment = _name + "=";
	std::size_t at = _target.find('?');
	while (at != std::string::npos)
	{
		const std::size_t start = at + 1;
		at = _target.find('&', start);
		if (_target.compare(start, assignment.size(), assignment) == 0)
		{
			return _target.substr(start + assignment.size(),
								  at == std::string::npos ? at : at - start - assignment.size());
		}
	}
	return "";
}

std::uint64_t numberAfter(const std::string& _target, const std::string& _prefix)
{
	return std::strtoull(_target.c_str() + _prefix.size(), nullptr, 10);
}

std::shared_ptr<ServerContext>
makeContext(const std::function<void(const ServerSessionPtr&, const IncomingRequest&)>& _onRequest)
{
	auto context = std::make_shared<ServerContext>();
	context->onRequest = [_onRequest](const ServerSessionPtr& _session, IncomingRequest&& _request)
	{
		_onRequest(_session, _request);
	};
	context->onMalformed = [](ParseFault)
	{
		return HttpAnswer{400, {}, ""};
	};
	context->onTimeout = []
	{
		return HttpAnswer{408, {}, ""};
	};
	context->limits = []
	{
		RequestLimits limits;
		limits.headerBytes = kHeaderBytes;
		limits.bodyBytes = kBodyBytes;
		return limits;
	};
	context->now = monotonicNow;
	return context;
}
} // namespace

LoopThread::LoopThread() : m_work(asio::make_work_guard(m_context)), m_thread([this] { m_context.run(); })
{
}

LoopThread::~LoopThread()
{
	m_work.reset();
	m_context.stop();
	m_thread.join();
}

void LoopThread::run(const std::function<void()>& _function)
{
	std::promise<void> done;
	asio::post(m_context,
			   [&]
			   {
				   _function();
				   done.set_value();
			   });
	done.get_future().wait();
}

PlatformStore::PlatformStore(const Address& _address) : m_timer(m_loop.context())
{
	m_context = makeContext([this](const ServerSessionPtr& _session, const IncomingRequest& _request)
							{ onRequest(_session, _request); });
	m_loop.run(
		[&]
		{
			m_listener = std::make_unique<ServerListener>(m_loop.context(), _address, m_context);
			scheduleExpiry();
		});
}

PlatformStore::~PlatformStore()
{
	m_loop.run(
		[this]
		{
			m_timer.cancel();
			m_listener->close();
			m_watches.clear();
		});
}

void PlatformStore::put(const std::string& _key, const std::string& _value)
{
	m_loop.run(
		[&]
		{
			change(_key, &_value, 0);
			answerWatches();
		});
}

void PlatformStore::remove(const std::string& _key)
{
	m_loop.run(
		[&]
		{
			change(_key, nullptr, 0);
			answerWatches();
		});
}

std::string PlatformStore::get(const std::string& _key)
{
	std::string value;
	m_loop.run([&] { value = m_items.count(_key) ? m_items.at(_key).value : ""; });
	return value;
}

std::uint64_t PlatformStore::revisionOf(const std::string& _key)
{
	std::uint64_t revision = 0;
	m_loop.run([&] { revision = m_items.count(_key) ? m_items.at(_key).revision : 0; });
	return revision;
}

std::vector<std::string> PlatformStore::keys(const std::string& _prefix)
{
	std::vector<std::string> found;
	m_loop.run(
		[&]
		{
			for (const auto& [key, item] : m_items)
			{
				if (key.starts_with(_prefix))
				{
					found.push_back(key);
				}
			}
		});
	return found;
}

void PlatformStore::setFault(StoreFault _fault)
{
	m_loop.run([&] { m_fault = _fault; });
}

void PlatformStore::rejectWritesOf(const std::string& _key)
{
	m_loop.run([&] { m_rejectedKey = _key; });
}

void PlatformStore::setReadRate(std::size_t _bytesPerSecond)
{
	m_loop.run([&] { m_readRate = _bytesPerSecond; });
}

void PlatformStore::takeCopy()
{
	m_loop.run([this] { m_copy = {m_items, m_leases, m_revision, m_nextLease}; });
}

void PlatformStore::restoreCopy()
{
	m_loop.run(
		[this]
		{
			m_items = m_copy.items;
			m_leases = m_copy.leases;
			for (auto& [lease, times] : m_leases)
			{
				times.first = monotonicNow() + times.second;
			}
			m_revision = m_copy.revision;
			m_nextLease = m_copy.nextLease;
			m_historyStart = m_revision;
			m_events.clear();
			++m_era;
			for (const Watch& watch : m_watches)
			{
				watch.session->abort();
			}
			m_watches.clear();
		});
}

void PlatformStore::answer(const ServerSessionPtr& _session, HttpAnswer _answer) const
{
	_answer.headers.emplace_back(platform::kStoreEra, std::to_string(m_era));
	_session->answer(_answer);
}

void PlatformStore::answerRead(const ServerSessionPtr& _session, HttpAnswer _answer)
{
	if (m_readRate == 0)
	{
		answer(_session, std::move(_answer));
		return;
	}
	_answer.headers.emplace_back(platform::kStoreEra, std::to_string(m_era));
	_session->startAnswer(_answer.status, _answer.headers, "");
	sendRemaining(_session, _answer.body);
}

void PlatformStore::sendRemaining(const ServerSessionPtr& _session, std::string _remaining)
{
	const std::size_t partBytes = std::max<std::size_t>(1, m_readRate * kPartInterval / kSecond);
	_session->sendBodyPart(std::string_view(_remaining).substr(0, partBytes));
	_remaining.erase(0, partBytes);
	if (_remaining.empty())
	{
		_session->finishAnswer();
		return;
	}
	const auto timer = std::make_shared<asio::steady_timer>(m_loop.context());
	timer->expires_after(std::chrono::microseconds(kPartInterval));
	timer->async_wait(
		[this, timer, _session, remaining = std::move(_remaining)](const BoostError& _error)
		{
			if (!_error)
			{
				sendRemaining(_session, remaining);
			}
		});
}

void PlatformStore::compactHistory()
{
	m_loop.run(
		[this]
		{
			m_historyStart = m_revision;
			m_events.clear();
			for (const Watch& watch : m_watches)
			{
				watch.session->abort();
			}
			m_watches.clear();
		});
}

void PlatformStore::onRequest(const ServerSessionPtr& _session, const IncomingRequest& _request)
{
	++m_calls;
	const std::string& target = _request.head.target;
	if (m_fault == StoreFault::Silent)
	{
		return;
	}
	if (m_fault == StoreFault::Busy)
	{
		answer(_session, HttpAnswer{503, {}, ""});
		return;
	}
	if (target.starts_with("/kv-watch"))
	{
		watch(_session, queryField(target, "pathPrefix"),
			  std::strtoull(queryField(target, "sinceRevision").c_str(), nullptr, 10),
			  std::strtoll(queryField(target, "waitMs").c_str(), nullptr, 10) * kMillisecond);
		return;
	}
	if (target.starts_with("/kv-range"))
	{
		answerRead(_session, range(queryField(target, "pathPrefix"), queryField(target, "sinceRevision")));
		return;
	}
	HttpAnswer result{404, {}, ""};
	if (target == "/kv-txn")
	{
		result = transact(_request.body);
	}
	else if (target == "/kv-lease")
	{
		result = openLease(_request.body);
	}
	else if (target.starts_with("/kv-keep/"))
	{
		result = renewLease(numberAfter(target, "/kv-keep/"));
	}
	if (m_fault != StoreFault::LosesWrites)
	{
		answer(_session, std::move(result));
	}
}

HttpAnswer PlatformStore::range(const std::string& _prefix, const std::string& _after)
{
	Json items = Json::array();
	for (const auto& [key, item] : m_items)
	{
		if (key.starts_with(_prefix) && key > _after)
		{
			items.push_back({{"key", key}, {"value", toBase64(item.value)}, {"revision", item.revision}});
		}
	}
	return jsonAnswer(200, {{"items", items}, {"more", false}, {"at", m_revision}});
}

HttpAnswer PlatformStore::transact(const std::string& _body)
{
	const Json root = parseJson(_body, Failure::MalformedRequest);
	for (const Json& entry : root.at("put"))
	{
		if (!m_rejectedKey.empty() && entry.at("key") == m_rejectedKey)
		{
			return HttpAnswer{503, {}, ""};
		}
	}
	Json found = Json::array();
	bool holds = true;
	for (const Json& condition : root.at("expectedRevision"))
	{
		const std::string key = condition.at("key").get<std::string>();
		const auto it = m_items.find(key);
		const std::uint64_t revision = it == m_items.end() ? 0 : it->second.revision;
		holds = holds && revision == condition.at("revision").get<std::uint64_t>();
		found.push_back({{"key", key},
						 {"revision", revision},
						 {"value", toBase64(it == m_items.end() ? "" : it->second.value)}});
	}
	if (!holds)
	{
		return jsonAnswer(412, {{"items", found}});
	}
	for (const Json& entry : root.at("put"))
	{
		const std::uint64_t lease = entry.value("lease", std::uint64_t{0});
		if (lease != 0 && !m_leases.count(lease))
		{
			return HttpAnswer{404, {}, ""};
		}
	}
	for (const Json& entry : root.at("put"))
	{
		const std::string value = fromBase64(entry.at("value").get<std::string>());
		change(entry.at("key").get<std::string>(), &value, entry.value("lease", std::uint64_t{0}));
	}
	for (const Json& key : root.at("remove"))
	{
		change(key.get<std::string>(), nullptr, 0);
	}
	answerWatches();
	return jsonAnswer(200, {{"revision", m_revision}});
}

HttpAnswer PlatformStore::openLease(const std::string& _body)
{
	const Micros span = parseJson(_body, Failure::MalformedRequest).at("ttl_ms").get<Micros>() * kMillisecond;
	const std::uint64_t lease = m_nextLease++;
	m_leases[lease] = {monotonicNow() + span, span};
	return jsonAnswer(200, {{"lease", lease}, {"ttl_ms", span / kMillisecond}});
}

HttpAnswer PlatformStore::renewLease(std::uint64_t _lease)
{
	const auto it = m_leases.find(_lease);
	if (it == m_leases.end())
	{
		return HttpAnswer{404, {}, ""};
	}
	it->second.first = monotonicNow() + it->second.second;
	return jsonAnswer(200, {{"ttl_ms", it->second.second / kMillisecond}});
}

void PlatformStore::change(const std::string& _key, const std::string* _value, std::uint64_t _lease)
{
	++m_revision;
	if (_value)
	{
		m_items[_key] = {*_value, m_revision, _lease};
		m_events.push_back({_key, *_value, m_revision, false});
		return;
	}
	m_items.erase(_key);
	m_events.push_back({_key, "", m_revision, true});
}

HttpAnswer PlatformStore::eventsSince(const std::string& _prefix, std::uint64_t _since) const
{
	Json events = Json::array();
	for (const Event& event : m_events)
	{
		if (event.revision <= _since || !event.key.starts_with(_prefix))
		{
			continue;
		}
		Json entry{{"key", event.key}, {"revision", event.revision}};
		if (event.removed)
		{
			entry["gone"] = true;
		}
		else
		{
			entry["value"] = toBase64(event.value);
		}
		events.push_back(std::move(entry));
	}
	return jsonAnswer(200, {{"events", events}, {"at", m_revision}});
}

void PlatformStore::watch(const ServerSessionPtr& _session, const std::string& _prefix, std::uint64_t _since,
						  Micros _span)
{
	if (_since < m_historyStart || _since > m_revision)
	{
		answer(_session, HttpAnswer{410, {}, ""});
		return;
	}
	m_watches.push_back({_session, _prefix, _since});
	answerWatches();
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(_span));
	timer->async_wait(
		[this, timer, _session, _prefix, _since](const BoostError& _error)
		{
			const auto isSameSession = [&](const Watch& _watch)
			{
				return _watch.session == _session;
			};
			if (!_error && std::erase_if(m_watches, isSameSession) > 0)
			{
				answer(_session, eventsSince(_prefix, _since));
			}
		});
}

void PlatformStore::answerWatches()
{
	std::vector<Watch> unanswered;
	for (const Watch& watch : m_watches)
	{
		const auto matches = [&](const Event& _event)
		{
			return _event.revision > watch.since && _event.key.starts_with(watch.prefix);
		};
		if (std::any_of(m_events.begin(), m_events.end(), matches))
		{
			answer(watch.session, eventsSince(watch.prefix, watch.since));
		}
		else
		{
			unanswered.push_back(watch);
		}
	}
	m_watches = std::move(unanswered);
}

void PlatformStore::scheduleExpiry()
{
	m_timer.expires_after(std::chrono::microseconds(kExpiryInterval));
	m_timer.async_wait(
		[this](const BoostError& _error)
		{
			if (!_error)
			{
				expireLeases();
				scheduleExpiry();
			}
		});
}

void PlatformStore::endLeases()
{
	m_loop.run(
		[&]
		{
			for (auto& [number, lease] : m_leases)
			{
				lease.first = 0;
			}
			expireLeases();
		});
}

void PlatformStore::expireLeases()
{
	const Micros now = monotonicNow();
	for (auto lease = m_leases.begin(); lease != m_leases.end();)
	{
		if (lease->second.first > now)
		{
			++lease;
			continue;
		}
		std::vector<std::string> expiredKeys;
		for (const auto& [key, item] : m_items)
		{
			if (item.lease == lease->first)
			{
				expiredKeys.push_back(key);
			}
		}
		for (const std::string& key : expiredKeys)
		{
			change(key, nullptr, 0);
		}
		lease = m_leases.erase(lease);
		answerWatches();
	}
}

PlatformDuties::PlatformDuties(const Address& _address)
{
	m_context = makeContext(
		[this](const ServerSessionPtr& _session, const IncomingRequest& _request)
		{
			DutyCall call;
			call.target = _request.head.target;
			call.holder = std::string(findHeader(_request.head.headers, platform::kDutyHolder));
			call.fence = std::strtoull(std::string(findHeader(_request.head.headers, platform::kFence)).c_str(),
									   nullptr, 10);
			call.body = _request.body;
			{
				const std::lock_guard<std::mutex> guard(m_mutex);
				m_calls.push_back(std::move(call));
			}
			_session->answer(HttpAnswer{200, {}, ""});
		});
	m_loop.run([&] { m_listener = std::make_unique<ServerListener>(m_loop.context(), _address, m_context); });
}

PlatformDuties::~PlatformDuties()
{
	m_loop.run([this] { m_listener->close(); });
}

std::vector<DutyCall> PlatformDuties::calls()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_calls;
}

} // namespace beacongate::standin
