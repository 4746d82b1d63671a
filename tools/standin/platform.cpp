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
constexpr Micros kPieceInterval = 20 * kMillisecond; ///< Between two pieces of an answer whose rate is limited.
constexpr std::size_t kHeaderBytes = 64u << 10;
constexpr std::size_t kBodyBytes = 8u << 20;

HttpAnswer jsonAnswer(unsigned status, const Json& body)
{
	return HttpAnswer{status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::string queryField(const std::string& target, const std::string& name)
{
	const std::string marked = name + "=";
	std::size_t at = target.find('?');
	while (at != std::string::npos)
	{
		const std::size_t start = at + 1;
		at = target.find('&', start);
		if (target.compare(start, marked.size(), marked) == 0)
		{
			return target.substr(start + marked.size(), at == std::string::npos ? at : at - start - marked.size());
		}
	}
	return "";
}

std::uint64_t numberAfter(const std::string& target, const std::string& prefix)
{
	return std::strtoull(target.c_str() + prefix.size(), nullptr, 10);
}

std::shared_ptr<ServerContext>
makeContext(const std::function<void(const ServerSessionPtr&, const IncomingRequest&)>& onRequest)
{
	auto context = std::make_shared<ServerContext>();
	context->onRequest = [onRequest](const ServerSessionPtr& session, IncomingRequest&& request)
	{
		onRequest(session, request);
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

void LoopThread::run(const std::function<void()>& function)
{
	std::promise<void> done;
	asio::post(m_context,
			   [&]
			   {
				   function();
				   done.set_value();
			   });
	done.get_future().wait();
}

PlatformStore::PlatformStore(const Address& address) : m_timer(m_loop.context())
{
	m_context = makeContext([this](const ServerSessionPtr& session, const IncomingRequest& request)
							{ onRequest(session, request); });
	m_loop.run(
		[&]
		{
			m_listener = std::make_unique<ServerListener>(m_loop.context(), address, m_context);
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

void PlatformStore::put(const std::string& key, const std::string& value)
{
	m_loop.run(
		[&]
		{
			change(key, &value, 0);
			wakeWatches();
		});
}

void PlatformStore::remove(const std::string& key)
{
	m_loop.run(
		[&]
		{
			change(key, nullptr, 0);
			wakeWatches();
		});
}

std::string PlatformStore::get(const std::string& key)
{
	std::string value;
	m_loop.run([&] { value = m_items.count(key) ? m_items.at(key).value : ""; });
	return value;
}

std::vector<std::string> PlatformStore::keys(const std::string& prefix)
{
	std::vector<std::string> found;
	m_loop.run(
		[&]
		{
			for (const auto& [key, item] : m_items)
			{
				if (key.starts_with(prefix))
				{
					found.push_back(key);
				}
			}
		});
	return found;
}

void PlatformStore::setFault(StoreFault fault)
{
	m_loop.run([&] { m_fault = fault; });
}

void PlatformStore::setReadRate(std::size_t bytesPerSecond)
{
	m_loop.run([&] { m_readRate = bytesPerSecond; });
}

void PlatformStore::answerRead(const ServerSessionPtr& session, const HttpAnswer& answer)
{
	if (m_readRate == 0)
	{
		session->answer(answer);
		return;
	}
	session->startAnswer(answer.status, answer.headers, "");
	sendRest(session, answer.body);
}

void PlatformStore::sendRest(const ServerSessionPtr& session, std::string rest)
{
	const std::size_t piece = std::max<std::size_t>(1, m_readRate * kPieceInterval / kSecond);
	session->sendPiece(std::string_view(rest).substr(0, piece));
	rest.erase(0, piece);
	if (rest.empty())
	{
		session->finishAnswer();
		return;
	}
	const auto timer = std::make_shared<asio::steady_timer>(m_loop.context());
	timer->expires_after(std::chrono::microseconds(kPieceInterval));
	timer->async_wait(
		[this, timer, session, rest = std::move(rest)](const BoostError& error)
		{
			if (!error)
			{
				sendRest(session, rest);
			}
		});
}

void PlatformStore::forgetHistory()
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

void PlatformStore::onRequest(const ServerSessionPtr& session, const IncomingRequest& request)
{
	++m_calls;
	const std::string& target = request.head.target;
	if (m_fault == StoreFault::Silent)
	{
		return;
	}
	if (m_fault == StoreFault::Busy)
	{
		session->answer(HttpAnswer{503, {}, ""});
		return;
	}
	if (target.starts_with("/kv-watch"))
	{
		watch(session, queryField(target, "pathPrefix"),
			  std::strtoull(queryField(target, "sinceRevision").c_str(), nullptr, 10),
			  std::strtoll(queryField(target, "waitMs").c_str(), nullptr, 10) * kMillisecond);
		return;
	}
	if (target.starts_with("/kv-range"))
	{
		answerRead(session, range(queryField(target, "pathPrefix"), queryField(target, "sinceRevision")));
		return;
	}
	HttpAnswer answer{404, {}, ""};
	if (target == "/kv-txn")
	{
		answer = transact(request.body);
	}
	else if (target == "/kv-lease")
	{
		answer = openLease(request.body);
	}
	else if (target.starts_with("/kv-keep/"))
	{
		answer = renewLease(numberAfter(target, "/kv-keep/"));
	}
	if (m_fault != StoreFault::LosesWrites)
	{
		session->answer(answer);
	}
}

HttpAnswer PlatformStore::range(const std::string& prefix, const std::string& after)
{
	Json items = Json::array();
	for (const auto& [key, item] : m_items)
	{
		if (key.starts_with(prefix) && key > after)
		{
			items.push_back({{"key", key}, {"value", toBase64(item.value)}, {"revision", item.revision}});
		}
	}
	return jsonAnswer(200, {{"items", items}, {"more", false}, {"at", m_revision}});
}

HttpAnswer PlatformStore::transact(const std::string& body)
{
	const Json root = parseJson(body, Failure::MalformedRequest);
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
	wakeWatches();
	return jsonAnswer(200, {{"revision", m_revision}});
}

HttpAnswer PlatformStore::openLease(const std::string& body)
{
	const Micros span = parseJson(body, Failure::MalformedRequest).at("ttl_ms").get<Micros>() * kMillisecond;
	const std::uint64_t lease = m_nextLease++;
	m_leases[lease] = {monotonicNow() + span, span};
	return jsonAnswer(200, {{"lease", lease}, {"ttl_ms", span / kMillisecond}});
}

HttpAnswer PlatformStore::renewLease(std::uint64_t lease)
{
	const auto it = m_leases.find(lease);
	if (it == m_leases.end())
	{
		return HttpAnswer{404, {}, ""};
	}
	it->second.first = monotonicNow() + it->second.second;
	return jsonAnswer(200, {{"ttl_ms", it->second.second / kMillisecond}});
}

void PlatformStore::change(const std::string& key, const std::string* value, std::uint64_t lease)
{
	++m_revision;
	if (value)
	{
		m_items[key] = {*value, m_revision, lease};
		m_events.push_back({key, *value, m_revision, false});
		return;
	}
	m_items.erase(key);
	m_events.push_back({key, "", m_revision, true});
}

HttpAnswer PlatformStore::eventsSince(const std::string& prefix, std::uint64_t since) const
{
	Json events = Json::array();
	for (const Event& event : m_events)
	{
		if (event.revision <= since || !event.key.starts_with(prefix))
		{
			continue;
		}
		Json entry{{"key", event.key}, {"revision", event.revision}};
		if (event.gone)
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

void PlatformStore::watch(const ServerSessionPtr& session, const std::string& prefix, std::uint64_t since,
						  Micros span)
{
	if (since < m_historyStart)
	{
		session->answer(HttpAnswer{410, {}, ""});
		return;
	}
	m_watches.push_back({session, prefix, since});
	wakeWatches();
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(span));
	timer->async_wait(
		[this, timer, session, prefix, since](const BoostError& error)
		{
			const auto waits = [&](const Watch& watch)
			{
				return watch.session == session;
			};
			if (!error && std::erase_if(m_watches, waits) > 0)
			{
				session->answer(eventsSince(prefix, since));
			}
		});
}

void PlatformStore::wakeWatches()
{
	std::vector<Watch> waiting;
	for (const Watch& watch : m_watches)
	{
		const auto news = [&](const Event& event)
		{
			return event.revision > watch.since && event.key.starts_with(watch.prefix);
		};
		if (std::any_of(m_events.begin(), m_events.end(), news))
		{
			watch.session->answer(eventsSince(watch.prefix, watch.since));
		}
		else
		{
			waiting.push_back(watch);
		}
	}
	m_watches = std::move(waiting);
}

void PlatformStore::scheduleExpiry()
{
	m_timer.expires_after(std::chrono::microseconds(kExpiryInterval));
	m_timer.async_wait(
		[this](const BoostError& error)
		{
			if (!error)
			{
				expireLeases();
				scheduleExpiry();
			}
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
		std::vector<std::string> held;
		for (const auto& [key, item] : m_items)
		{
			if (item.lease == lease->first)
			{
				held.push_back(key);
			}
		}
		for (const std::string& key : held)
		{
			change(key, nullptr, 0);
		}
		lease = m_leases.erase(lease);
		wakeWatches();
	}
}

PlatformDuties::PlatformDuties(const Address& address)
{
	m_context = makeContext(
		[this](const ServerSessionPtr& session, const IncomingRequest& request)
		{
			DutyCall call;
			call.target = request.head.target;
			call.holder = std::string(findHeader(request.head.headers, platform::kDutyHolder));
			call.fence =
				std::strtoull(std::string(findHeader(request.head.headers, platform::kFence)).c_str(), nullptr, 10);
			call.body = request.body;
			{
				const std::lock_guard<std::mutex> guard(m_mutex);
				m_calls.push_back(std::move(call));
			}
			session->answer(HttpAnswer{200, {}, ""});
		});
	m_loop.run([&] { m_listener = std::make_unique<ServerListener>(m_loop.context(), address, m_context); });
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
