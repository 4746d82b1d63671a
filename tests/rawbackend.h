// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A backend server that sends whatever bytes a test gives.

#ifndef BEACONGATE_TESTS_RAWBACKEND_H
#define BEACONGATE_TESTS_RAWBACKEND_H

#include "beacongate/config.h"
#include "platform/names.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace beacongate::test
{
/// Accepts connections, reads the head of one request on each, and answers it with bytes, some of them without end.
class RawBackend
{
public:
	/// How a connection ends after the answer.
	enum class Ending
	{
		Close,         ///< Closed at once, which resets it if a part of the request was not read.
		Reset,         ///< Reset, whatever was read.
		FinishSending, ///< Ended in order; what still arrives is read until the other side closes the connection.
	};
	/// Bytes that answer a request.
	struct Script
	{
		std::string begin;                    ///< Sent once.
		std::string repeat = {};              ///< Sent until the other side closes the connection; empty for none.
		Ending ending = Ending::Close;        ///< Takes effect once all bytes were sent.
		std::function<void()> beforeEnd = {}; ///< Called once all bytes were sent; the connection ends after it.
	};
	/// @returns the answer to a request, given its bytes.
	using Answer = std::function<Script(const std::string& _request)>;

	RawBackend(const Address& _address, Answer _answer)
		: m_answer(std::move(_answer)), m_listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(_address.port);
		inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr);
		const int on = 1;
		setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
		listening = bind(m_listener, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
					listen(m_listener, 64) == 0;
		m_acceptor = std::thread([this] { acceptAll(); });
	}

	~RawBackend()
	{
		m_stopped = true;
		m_acceptor.join();
		for (std::thread& thread : m_threads)
		{
			thread.join();
		}
		close(m_listener);
	}

	RawBackend(const RawBackend&) = delete;
	RawBackend& operator=(const RawBackend&) = delete;

	/// @returns the id of a request.
	static std::string idOf(const std::string& _request)
	{
		const std::string name = std::string(platform::kRequestId) + ": ";
		const std::size_t at = _request.find(name) + name.size();
		return _request.substr(at, _request.find("\r\n", at) - at);
	}

	/// @returns the head of an answer to a request, up to the headers given.
	static std::string head(const std::string& _request, const std::string& _status, const std::string& _more)
	{
		return "HTTP/1.1 " + _status + "\r\n" + platform::kRequestId + ": " + idOf(_request) + "\r\n" +
			   platform::kStamp + ": raw\r\n" + _more + "\r\n";
	}

	std::atomic<unsigned> requests = 0;       ///< Requests that were received.
	std::atomic<unsigned> open = 0;           ///< Connections on which bytes are being sent.
	std::atomic<std::uint64_t> sentBytes = 0; ///< Bytes that the system has accepted.
	bool listening = false;

private:
	void acceptAll()
	{
		while (!m_stopped)
		{
			pollfd ready{m_listener, POLLIN, 0};
			if (poll(&ready, 1, 20) == 1)
			{
				m_threads.emplace_back([this, accepted = accept(m_listener, nullptr, nullptr)]
									   { serve(accepted); });
			}
		}
	}

	void serve(int _socket)
	{
		std::string request;
		char buffer[4096];
		while (!m_stopped && request.find("\r\n\r\n") == std::string::npos)
		{
			pollfd ready{_socket, POLLIN, 0};
			if (poll(&ready, 1, 20) != 1)
			{
				continue;
			}
			const ssize_t count = recv(_socket, buffer, sizeof buffer, 0);
			if (count <= 0)
			{
				close(_socket);
				return;
			}
			request.append(buffer, static_cast<std::size_t>(count));
		}
		if (m_stopped)
		{
			close(_socket);
			return;
		}
		++requests;
		++open;
		const Script script = m_answer(request);
		bool sent = sendAll(_socket, script.begin);
		while (sent && !script.repeat.empty())
		{
			sent = sendAll(_socket, script.repeat);
		}
		if (script.beforeEnd)
		{
			script.beforeEnd();
		}
		--open;
		endConnection(_socket, script.ending);
	}

	void endConnection(int _socket, Ending _ending) const
	{
		if (_ending == Ending::Reset)
		{
			const linger option{1, 0};
			setsockopt(_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
		}
		else if (_ending == Ending::FinishSending)
		{
			shutdown(_socket, SHUT_WR);
			readToEnd(_socket);
		}
		close(_socket);
	}

	void readToEnd(int _socket) const
	{
		std::array<char, 4096> buffer{};
		for (ssize_t count = 1; count > 0 && !m_stopped;)
		{
			pollfd ready{_socket, POLLIN, 0};
			count = poll(&ready, 1, 20) == 1 ? recv(_socket, buffer.data(), buffer.size(), 0) : 1;
		}
	}

	/// @returns false once the other side has closed the connection, or the test ends.
	bool sendAll(int _socket, std::string_view _bytes)
	{
		while (!_bytes.empty() && !m_stopped)
		{
			pollfd ready{_socket, POLLOUT, 0};
			if (poll(&ready, 1, 20) != 1)
			{
				continue;
			}
			const ssize_t count = send(_socket, _bytes.data(), _bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
			if (count <= 0)
			{
				return false;
			}
			sentBytes += static_cast<std::uint64_t>(count);
			_bytes.remove_prefix(static_cast<std::size_t>(count));
		}
		return _bytes.empty();
	}

	Answer m_answer;
	int m_listener;
	std::atomic<bool> m_stopped = false;
	std::list<std::thread> m_threads;
	std::thread m_acceptor;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_RAWBACKEND_H
