// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/clock.h"
#include "platform/names.h"
#include "standin/platform.h"
#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

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
	bool asked = false;
	bool ended = false;
};

PlatformWorker::PlatformWorker(std::string id, const Address& address)
	: m_id(std::move(id)), m_acceptor(m_loop.context())
{
	m_loop.run(
		[&]
		{
			const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
			m_acceptor.open(endpoint.protocol());
			m_acceptor.set_option(tcp::acceptor::reuse_address(true));
			m_acceptor.bind(endpoint);
			m_acceptor.listen();
			accept();
		});
}

PlatformWorker::~PlatformWorker()
{
	m_loop.run(
		[this]
		{
			BoostError ignored;
			m_acceptor.close(ignored);
		});
}

void PlatformWorker::setFault(WorkerFault fault)
{
	m_loop.run([&] { m_fault = fault; });
}

std::vector<WorkerRun> PlatformWorker::runs()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_runs;
}

unsigned PlatformWorker::runsOf(const std::string& id)
{
	unsigned count = 0;
	for (const WorkerRun& run : runs())
	{
		count += run.id == id ? 1 : 0;
	}
	return count;
}

void PlatformWorker::accept()
{
	m_acceptor.async_accept(
		[this](const BoostError& error, tcp::socket socket)
		{
			if (error)
			{
				return;
			}
			const auto connection = std::make_shared<Connection>();
			connection->tcp = std::make_shared<TcpConnection>(std::move(socket), kUserTimeout);
			connection->parser = std::make_unique<MessageParser>(MessageKind::Request, kHeaderBytes, kBodyBytes);
			ConnectionHandlers handlers;
			handlers.onBytes = [this, connection](std::string_view bytes)
			{
				onBytes(connection, bytes);
			};
			handlers.onEnd = [this, connection](ConnectionEnd)
			{
				const std::lock_guard<std::mutex> guard(m_mutex);
				if (connection->asked && !connection->ended)
				{
					m_runs[connection->run].ended = true;
				}
				connection->ended = true;
			};
			connection->tcp->start(std::move(handlers));
			accept();
		});
}

void PlatformWorker::onBytes(const ConnectionPtr& connection, std::string_view bytes)
{
	connection->input.append(bytes);
	const std::size_t consumed = connection->parser->consume(connection->input, connection->body);
	connection->input.erase(0, consumed);
	if (connection->parser->done() && !connection->asked)
	{
		onRequest(connection);
	}
}

std::string PlatformWorker::head(const ConnectionPtr& connection, unsigned status, const std::string& more)
{
	const std::string id = m_fault == WorkerFault::WrongId ? "another" : connection->requestId;
	return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + platform::kRequestId + ": " + id + "\r\n" +
		   platform::kStamp + ": " + m_id + "\r\n" + more + "\r\n";
}

void PlatformWorker::onRequest(const ConnectionPtr& connection)
{
	const MessageHead& request = connection->parser->head();
	connection->requestId = std::string(findHeader(request.headers, platform::kRequestId));
	const bool misdirected =
		m_fault == WorkerFault::Misdirected || findHeader(request.headers, platform::kTarget) != m_id;
	if (misdirected || m_fault == WorkerFault::Rejects)
	{
		connection->ended = true;
		const unsigned status = misdirected ? 421 : 503;
		connection->tcp->send(
			head(connection, status, std::string(platform::kNotExecuted) + ": 1\r\nContent-Length: 0\r\n"));
		return;
	}
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		connection->asked = true;
		connection->run = m_runs.size();
		m_runs.push_back({connection->requestId, request.method, request.target, connection->body, request.headers,
						  monotonicNow()});
	}
	if (m_fault == WorkerFault::Hangs)
	{
		return;
	}
	if (m_fault == WorkerFault::Resets)
	{
		connection->tcp->reset();
		return;
	}
	if (m_fault == WorkerFault::Unframed)
	{
		connection->tcp->send(head(connection, 200, "") + "half of it");
		asio::post(m_loop.context(), [connection] { connection->tcp->reset(); });
		return;
	}
	if (request.target.starts_with("/stream/") && m_fault != WorkerFault::Fails)
	{
		const std::string_view last = findHeader(request.headers, platform::kLastEvent);
		connection->tcp->send(
			head(connection, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
		stream(connection, last.empty() ? 1 : std::atoi(std::string(last).c_str()) + 1);
		return;
	}
	connection->ended = true;
	const unsigned status = m_fault == WorkerFault::Fails ? 500 : 200;
	const std::string body = wholeCall(connection->requestId);
	const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
	connection->tcp->send(head(connection, status, length) + body);
}

std::string PlatformWorker::wholeCall(const std::string& requestId)
{
	return "ok " + requestId;
}

std::string PlatformWorker::formatEvent(const std::string& requestId, unsigned number)
{
	return "id: " + std::to_string(number) + "\ndata: piece " + requestId + "\n\n";
}

std::string PlatformWorker::wholeStream(const std::string& requestId)
{
	std::string events;
	for (unsigned number = 1; number <= kEvents; ++number)
	{
		events += formatEvent(requestId, number);
	}
	return events;
}

void PlatformWorker::stream(const ConnectionPtr& connection, unsigned next)
{
	if (connection->ended)
	{
		return;
	}
	if (next > kEvents)
	{
		connection->ended = true;
		connection->tcp->send("0\r\n\r\n");
		return;
	}
	const std::string event = formatEvent(connection->requestId, next);
	char size[16];
	std::snprintf(size, sizeof size, "%zx\r\n", event.size());
	if (m_fault == WorkerFault::CutsStream && next > kEvents / 2)
	{
		connection->ended = true;
		connection->tcp->send(size + event.substr(0, event.size() / 2));
		connection->tcp->closeAfterSending();
		return;
	}
	connection->tcp->send(size + event + "\r\n");
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(kEventPause));
	timer->async_wait([this, timer, connection, next](const BoostError&) { stream(connection, next + 1); });
}

} // namespace beacongate::standin
