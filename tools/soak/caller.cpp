// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/caller.h"

#include "daemon/clock.h"
#include "platform/names.h"
#include "standin/platform.h"
#include "transport/messageparser.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::soak
{
namespace
{
constexpr std::size_t kHeaderBytes = 64u << 10;
constexpr std::size_t kBodyBytes = 1u << 20;
constexpr int kDeadlineMillis = 3000;
constexpr unsigned kOk = 200;

bool waitFor(int _socket, short _events, Micros _until)
{
	const Micros left = _until - monotonicNow();
	pollfd ready{_socket, _events, 0};
	return left > 0 && poll(&ready, 1, static_cast<int>(left / kMillisecond) + 1) == 1;
}

std::string expectedBody(const ObservedRequest& _request)
{
	return isStream(_request.kind) ? standin::PlatformWorker::wholeStream(_request.id)
								   : standin::PlatformWorker::wholeCall(_request.id);
}
} // namespace

const char* pathOf(RequestKind _kind)
{
	switch (_kind)
	{
	case RequestKind::Safe:
		return "/safe/";
	case RequestKind::Unsafe:
		return "/unsafe/";
	case RequestKind::StreamOnce:
		return "/stream/once/";
	case RequestKind::StreamAgain:
		return "/stream/again/";
	}
	return "/";
}

CallerConnection::CallerConnection(const Address& _gateway)
{
	sockaddr_in target{};
	target.sin_family = AF_INET;
	target.sin_port = htons(_gateway.port);
	inet_pton(AF_INET, _gateway.host.c_str(), &target.sin_addr);
	m_socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	const int connecting = connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
	int failed = connecting == 0 || errno == EINPROGRESS ? 0 : errno;
	if (failed == 0 && !waitFor(m_socket, POLLOUT, monotonicNow() + kConnectTimeout))
	{
		failed = ETIMEDOUT;
	}
	socklen_t size = sizeof failed;
	if (failed == 0)
	{
		getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failed, &size);
	}
	if (failed != 0)
	{
		close();
	}
}

CallerConnection::~CallerConnection()
{
	close();
}

void CallerConnection::close()
{
	if (m_socket >= 0)
	{
		::close(m_socket);
		m_socket = -1;
	}
}

bool CallerConnection::sendAll(const std::string& _bytes, Micros _until)
{
	std::size_t sent = 0;
	while (sent < _bytes.size())
	{
		const ssize_t count = ::send(m_socket, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
		if (count > 0)
		{
			sent += static_cast<std::size_t>(count);
		}
		else if (errno != EAGAIN || !waitFor(m_socket, POLLOUT, _until))
		{
			return false;
		}
	}
	return true;
}

void CallerConnection::exchange(ObservedRequest& _request)
{
	const bool hasBody = _request.kind != RequestKind::Safe;
	std::string bytes = std::string(hasBody ? "POST " : "GET ") + pathOf(_request.kind) +
						" HTTP/1.1\r\nHost: h.example\r\n" + platform::kRequestId + ": " + _request.id + "\r\n" +
						platform::kDeadline + ": " + std::to_string(kDeadlineMillis) + "\r\n" + platform::kApiKey +
						": " + _request.key + "\r\n";
	if (_request.tokens > 0.0)
	{
		bytes += std::string(platform::kTokenCounts) + ": " +
				 std::to_string(static_cast<std::uint64_t>(_request.tokens)) + ",0\r\n";
	}
	bytes +=
		hasBody ? "Content-Length: " + std::to_string(_request.body.size()) + "\r\n\r\n" + _request.body : "\r\n";
	const Micros until = monotonicNow() + kAnswerTimeout;
	_request.connected = true;
	const bool sent = sendAll(bytes, until);
	_request.sent = monotonicNow();
	if (sent)
	{
		readAnswer(_request, until);
	}
	_request.ended = monotonicNow();
	if (!_request.complete)
	{
		close();
	}
}

void CallerConnection::readAnswer(ObservedRequest& _request, Micros _until)
{
	MessageParser parser(MessageKind::Answer, kHeaderBytes, kBodyBytes);
	std::string body;
	while (!parser.done() && parser.fault() == ParseFault::None)
	{
		if (!waitFor(m_socket, POLLIN, _until))
		{
			_request.abandoned = true;
			break;
		}
		char buffer[4096];
		const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
		if (count < 0)
		{
			break;
		}
		if (count == 0)
		{
			parser.finishAtEnd();
			break;
		}
		m_input.append(buffer, static_cast<std::size_t>(count));
		m_input.erase(0, parser.consume(m_input, body));
	}
	if (!parser.headDone())
	{
		return;
	}
	const MessageHead& head = parser.head();
	_request.status = head.status;
	_request.complete = parser.done();
	const bool own = findHeader(head.headers, platform::kRequestId) == _request.id;
	const bool stamped = !findHeader(head.headers, platform::kStamp).empty();
	_request.backend = findHeader(head.headers, platform::kStamp);
	_request.namesLimit = !findHeader(head.headers, platform::kLimit).empty();
	_request.announcesLeaving = findHeader(head.headers, platform::kLeaving) == "1";
	_request.correct = own && (head.status != kOk || (stamped && body == expectedBody(_request)));
	// Bytes after the end of an answer belong to no request, which makes the answer wrong.
	_request.correct = _request.correct && m_input.empty();
	if (_request.complete && !head.keepAlive)
	{
		close();
	}
}

} // namespace beacongate::soak
