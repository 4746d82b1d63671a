// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/clock.h"
#include "platform/names.h"
#include "protocol/retryafter.h"
#include "standin/platform.h"
#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace beacongate::standin
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kUserTimeout = 5 * kSecond;
constexpr std::size_t kHeaderBytes = 64u << 10;
constexpr std::size_t kBodyBytes = 8u << 20;
} // namespace

struct PlatformWorker::Connection
{
	TcpConnection::Ptr tcp;
	std::unique_ptr<MessageParser> parser;
	std::string input;
	std::string body;
	std::size_t run = 0;
	std::string requestId;
	bool requestReceived = false;
	bool ended = false;
};

void listenAt(tcp::acceptor& _acceptor, const Address& _address)
{
	const tcp::endpoint endpoint(asio::ip::make_address(_address.host), _address.port);
	_acceptor.open(endpoint.protocol());
	_acceptor.set_option(tcp::acceptor::reuse_address(true));
	_acceptor.bind(endpoint);
	_acceptor.listen();
}

PlatformWorker::PlatformWorker(std::string _id, const Address& _address)
	: m_id(std::move(_id)), m_address(_address), m_acceptor(m_loop.context())
{
	m_loop.run([this] { listen(); });
}

void PlatformWorker::listen()
{
	listenAt(m_acceptor, m_address);
	accept();
}

PlatformWorker::~PlatformWorker()
{
	m_loop.run(
		[this]
		{
			m_alive = nullptr;
			BoostError ignored;
			m_acceptor.close(ignored);
		});
}

void PlatformWorker::setFault(WorkerFault _fault)
{
	m_loop.run(
		[&]
		{
			m_fault = _fault;
			m_arrived = 0;
		});
}

void PlatformWorker::setRetryAfter(const std::string& _retryAfter)
{
	m_loop.run([&] { m_retryAfter = _retryAfter; });
}

void PlatformWorker::setLimit(const std::string& _limit)
{
	m_loop.run([&] { m_limit = _limit; });
}

void PlatformWorker::setRoom(unsigned _room)
{
	m_loop.run([&] { m_room = _room; });
}

void PlatformWorker::setBrittle(int _rejections, Micros _grace)
{
	m_loop.run(
		[&]
		{
			m_brittle = _rejections;
			m_brittleFrom = monotonicNow() + _grace;
			m_noRoomTimes.clear();
		});
}

void PlatformWorker::onNoRoom()
{
	const Micros now = monotonicNow();
	if (m_brittle < 0 || now < m_brittleFrom)
	{
		return;
	}
	m_noRoomTimes.push_back(now);
	while (m_noRoomTimes.front() <= now - kSecond)
	{
		m_noRoomTimes.pop_front();
	}
	if (m_noRoomTimes.size() > static_cast<std::size_t>(m_brittle))
	{
		m_noRoomTimes.clear();
		schedule(0, [this] { crash(""); });
	}
}

void PlatformWorker::setLeaving(bool _leaving)
{
	m_loop.run([&] { m_leaving = _leaving; });
}

void PlatformWorker::setCrashRule(const WorkerCrashRule& _rule)
{
	m_loop.run([&] { m_crashRule = _rule; });
}

void PlatformWorker::setCallTime(Micros _time)
{
	m_loop.run([&] { m_callTime = _time; });
}

void PlatformWorker::setPace(const WorkerPace& _pace)
{
	m_loop.run([&] { m_pace = _pace; });
}

void PlatformWorker::crashNow()
{
	m_loop.run([this] { crash(""); });
}

std::vector<WorkerCrash> PlatformWorker::crashes()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_crashes;
}

std::vector<WorkerArrival> PlatformWorker::arrivals()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_arrivals;
}

std::vector<WorkerRun> PlatformWorker::runs()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_runs;
}

unsigned PlatformWorker::runsOf(const std::string& _id)
{
	unsigned count = 0;
	for (const WorkerRun& run : runs())
	{
		count += run.id == _id ? 1 : 0;
	}
	return count;
}

void PlatformWorker::accept()
{
	m_acceptor.async_accept(
		[this](const BoostError& _error, tcp::socket _socket)
		{
			if (_error)
			{
				return;
			}
			const auto connection = std::make_shared<Connection>();
			connection->tcp = std::make_shared<TcpConnection>(std::move(_socket), kUserTimeout);
			connection->parser = std::make_unique<MessageParser>(MessageKind::Request, kHeaderBytes, kBodyBytes);
			ConnectionHandlers handlers;
			handlers.onBytes = [this, connection](std::string_view _bytes)
			{
				onBytes(connection, _bytes);
			};
			handlers.onEnd = [this, connection](ConnectionEnd)
			{
				m_connections.erase(connection);
				const std::lock_guard<std::mutex> guard(m_mutex);
				if (connection->requestReceived && !connection->ended)
				{
					m_runs[connection->run].ended = true;
				}
				connection->ended = true;
			};
			m_connections.insert(connection);
			connection->tcp->start(std::move(handlers));
			accept();
		});
}

void PlatformWorker::schedule(Micros _span, std::function<void()> _function)
{
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(_span));
	timer->async_wait(
		[timer, alive = std::weak_ptr<bool>(m_alive), function = std::move(_function)](const BoostError&)
		{
			if (!alive.expired())
			{
				function();
			}
		});
}

void PlatformWorker::crash(const std::string& _content)
{
	if (!m_acceptor.is_open())
	{
		return;
	}
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		m_crashes.push_back({monotonicNow(), _content});
	}
	BoostError ignored;
	m_acceptor.close(ignored);
	if (m_crashRule.onCrash)
	{
		m_crashRule.onCrash();
	}
	const std::set<ConnectionPtr> connections = std::move(m_connections);
	m_connections.clear();
	for (const ConnectionPtr& connection : connections)
	{
		if (connection->requestReceived && !connection->ended)
		{
			const std::lock_guard<std::mutex> guard(m_mutex);
			m_runs[connection->run].ended = true;
		}
		connection->ended = true;
		connection->tcp->reset();
	}
	schedule(m_crashRule.downtime,
			 [this]
			 {
				 listen();
				 if (m_crashRule.onRestart)
				 {
					 m_crashRule.onRestart();
				 }
			 });
}

void PlatformWorker::onBytes(const ConnectionPtr& _connection, std::string_view _bytes)
{
	_connection->input.append(_bytes);
	const std::size_t consumed = _connection->parser->consume(_connection->input, _connection->body);
	_connection->input.erase(0, consumed);
	if (_connection->parser->done() && !_connection->requestReceived)
	{
		onRequest(_connection);
	}
}

std::string PlatformWorker::head(const ConnectionPtr& _connection, unsigned _status, const std::string& _more)
{
	const std::string id = m_fault == WorkerFault::WrongId ? "another" : _connection->requestId;
	const std::string load = m_pace.load(running(), m_prompts.size(), monotonicNow());
	return "HTTP/1.1 " + std::to_string(_status) + " X\r\n" + platform::kRequestId + ": " + id + "\r\n" +
		   platform::kStamp + ": " + m_id + "\r\n" +
		   (m_leaving ? platform::kLeaving + std::string(": 1\r\n") : "") +
		   (load.empty() ? "" : platform::kLoad + (": " + load) + "\r\n") +
		   (m_limit.empty() ? "" : platform::kLimit + (": " + m_limit) + "\r\n") +
		   (m_brittle < 0 ? "" : platform::kBrittle + (": " + std::to_string(m_brittle)) + "\r\n") + _more + "\r\n";
}

std::size_t PlatformWorker::running() const
{
	return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
												  [](const ConnectionPtr& _other)
												  { return _other->requestReceived && !_other->ended; }));
}

bool PlatformWorker::rejectsNext()
{
	constexpr unsigned kRejectionPeriod = 3;
	return m_fault == WorkerFault::Rejects ||
		   (m_fault == WorkerFault::RejectsSome && m_arrived++ % kRejectionPeriod == 0);
}

bool PlatformWorker::holdsCrashingPart(const MessageHead& _request) const
{
	const std::string parts = "," + std::string(findHeader(_request.headers, platform::kPromptParts));
	return std::any_of(m_crashRule.parts.begin(), m_crashRule.parts.end(),
					   [&parts](const std::string& _part)
					   { return parts.find("," + _part + ":") != std::string::npos; });
}

void PlatformWorker::onRequest(const ConnectionPtr& _connection)
{
	const MessageHead& request = _connection->parser->head();
	_connection->requestId = std::string(findHeader(request.headers, platform::kRequestId));
	const bool misdirected =
		m_fault == WorkerFault::Misdirected || findHeader(request.headers, platform::kTarget) != m_id;
	const bool noRoom = !misdirected && m_room > 0 && running() >= m_room;
	const bool rejects = !misdirected && (noRoom || rejectsNext());
	if (noRoom)
	{
		onNoRoom();
	}
	if (!misdirected)
	{
		const Micros backoff = rejects ? parseRetryAfter(m_retryAfter).value_or(0) : 0;
		const std::lock_guard<std::mutex> guard(m_mutex);
		m_arrivals.push_back({_connection->requestId, monotonicNow(), backoff});
	}
	if (misdirected || rejects)
	{
		_connection->ended = true;
		const unsigned status = misdirected ? 421 : 503;
		std::string more = std::string(platform::kNotExecuted) + ": 1\r\nContent-Length: 0\r\n";
		if (rejects && !m_retryAfter.empty())
		{
			more += std::string(platform::kRetryAfter) + ": " + m_retryAfter + "\r\n";
		}
		_connection->tcp->send(head(_connection, status, more));
		return;
	}
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		_connection->requestReceived = true;
		_connection->run = m_runs.size();
		m_runs.push_back({_connection->requestId, request.method, request.target, _connection->body,
						  request.headers, monotonicNow()});
	}
	const std::vector<std::string>& crashing = m_crashRule.bodies;
	const bool partCrashes = holdsCrashingPart(request);
	const bool crashes =
		partCrashes || std::find(crashing.begin(), crashing.end(), _connection->body) != crashing.end();
	if (partCrashes)
	{
		_connection->tcp->send(
			head(_connection, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
	}
	if (crashes)
	{
		schedule(m_crashRule.delay, [this, run = _connection->run] { crash(m_runs[run].content()); });
	}
	if (crashes || m_fault == WorkerFault::Hangs)
	{
		return;
	}
	if (m_fault == WorkerFault::Resets)
	{
		_connection->tcp->reset();
		return;
	}
	if (m_fault == WorkerFault::Unframed)
	{
		_connection->tcp->send(head(_connection, 200, "") + "half of it");
		asio::post(m_loop.context(), [_connection] { _connection->tcp->reset(); });
		return;
	}
	if (request.target.starts_with("/stream/") && m_fault != WorkerFault::Fails)
	{
		if (m_pace.tokensPerMilli <= 0.0)
		{
			beginStream(_connection);
			return;
		}
		m_prompts.push_back(_connection);
		m_reading ? void() : readNextPrompt();
		return;
	}
	if (m_callTime > 0)
	{
		schedule(m_pace.scaled(m_callTime, monotonicNow()), [this, _connection] { answerCall(_connection); });
		return;
	}
	answerCall(_connection);
}

void PlatformWorker::beginStream(const ConnectionPtr& _connection)
{
	const std::string_view last = findHeader(_connection->parser->head().headers, platform::kLastEvent);
	_connection->tcp->send(
		head(_connection, 200,
			 std::string("Content-Type: text/event-stream\r\n") +
				 (sendsUnframed() ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n")));
	stream(_connection, last.empty() ? 1 : std::atoi(std::string(last).c_str()) + 1);
}

void PlatformWorker::readNextPrompt()
{
	std::erase_if(m_prompts, [](const ConnectionPtr& _prompt) { return _prompt->ended; });
	m_reading = !m_prompts.empty();
	if (!m_reading)
	{
		return;
	}
	const ConnectionPtr next = m_prompts.front();
	m_prompts.pop_front();
	const std::string counts(findHeader(next->parser->head().headers, platform::kTokenCounts));
	schedule(m_pace.readTime(std::strtod(counts.c_str(), nullptr), monotonicNow()),
			 [this, next]
			 {
				 next->ended ? void() : beginStream(next);
				 readNextPrompt();
			 });
}

void PlatformWorker::answerCall(const ConnectionPtr& _connection)
{
	if (_connection->ended)
	{
		return;
	}
	_connection->ended = true;
	const unsigned status = m_fault == WorkerFault::Fails ? 500 : 200;
	const std::string body = wholeCall(_connection->requestId);
	const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
	_connection->tcp->send(head(_connection, status, length) + body);
}

std::string PlatformWorker::wholeCall(const std::string& _requestId)
{
	return "ok " + _requestId;
}

std::string PlatformWorker::formatEvent(const std::string& _requestId, unsigned _number)
{
	return "id: " + std::to_string(_number) + "\ndata: piece " + _requestId + "\n\n";
}

std::string PlatformWorker::wholeStream(const std::string& _requestId)
{
	std::string events;
	for (unsigned number = 1; number <= kEvents; ++number)
	{
		events += formatEvent(_requestId, number);
	}
	return events;
}

bool PlatformWorker::sendsUnframed() const
{
	return m_fault == WorkerFault::UnframedStream || m_fault == WorkerFault::CutsUnframed;
}

void PlatformWorker::sendPart(const ConnectionPtr& _connection, const std::string& _bytes) const
{
	if (sendsUnframed())
	{
		_connection->tcp->send(_bytes);
		return;
	}
	char size[16];
	std::snprintf(size, sizeof size, "%zx\r\n", _bytes.size());
	_connection->tcp->send(size + _bytes + "\r\n");
}

void PlatformWorker::stream(const ConnectionPtr& _connection, unsigned _next)
{
	if (_connection->ended)
	{
		return;
	}
	if (_next > kEvents)
	{
		_connection->ended = true;
		sendsUnframed() ? _connection->tcp->closeAfterSending() : _connection->tcp->send("0\r\n\r\n");
		return;
	}
	const std::string event = formatEvent(_connection->requestId, _next);
	const bool cuts = m_fault == WorkerFault::CutsStream || m_fault == WorkerFault::CutsUnframed;
	if (cuts && _next > kEvents / 2)
	{
		_connection->ended = true;
		sendPart(_connection, event.substr(0, event.size() / 2));
		_connection->tcp->closeAfterSending();
		return;
	}
	sendPart(_connection, event);
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(kEventPause));
	timer->async_wait([this, timer, _connection, _next](const BoostError&) { stream(_connection, _next + 1); });
}

} // namespace beacongate::standin
