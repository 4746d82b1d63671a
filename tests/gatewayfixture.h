// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Fixture that runs whole gateways against stand-ins of the platform, for tests of what callers and workers
/// observe.

#ifndef BEACONGATE_TESTS_GATEWAYFIXTURE_H
#define BEACONGATE_TESTS_GATEWAYFIXTURE_H

#include "await.h"
#include "daemon/clock.h"
#include "gateway/gateway.h"
#include "gateway/memberkeys.h"
#include "platform/names.h"
#include "protocol/json.h"
#include "protocol/usagecodec.h"
#include "standin/platform.h"
#include "standin/platformsite.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::test
{
inline constexpr std::uint16_t kCallerPort = 18100;
inline constexpr std::uint16_t kReadyPort = 18101;
inline constexpr std::uint16_t kControlPort = 18102;
inline constexpr std::uint16_t kGossipPort = 18103;
inline constexpr std::uint16_t kStorePort = 18104;
inline constexpr std::uint16_t kDutyPort = 18105;
inline constexpr std::uint16_t kWorkerPort = 18106;

/// A caller's TCP connection that sends and receives bytes.
class Caller
{
public:
	explicit Caller(const Address& _address) : m_socket(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(_address.port);
		inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr);
		connected = connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
	}

	~Caller()
	{
		disconnect();
	}

	Caller(const Caller&) = delete;
	Caller& operator=(const Caller&) = delete;

	void disconnect()
	{
		if (m_socket >= 0)
		{
			close(m_socket);
			m_socket = -1;
		}
	}

	void sendBytes(const std::string& _bytes) const
	{
		::send(m_socket, _bytes.data(), _bytes.size(), MSG_NOSIGNAL);
	}

	/// Receives until the given text has arrived, the connection ends, or the span is over.
	std::string receiveUntil(const std::string& _until, Micros _span = 10 * kSecond)
	{
		std::string received;
		const Micros end = monotonicNow() + _span;
		while (monotonicNow() < end && (_until.empty() || received.find(_until) == std::string::npos))
		{
			pollfd ready{m_socket, POLLIN, 0};
			if (poll(&ready, 1, 20) != 1)
			{
				continue;
			}
			char buffer[4096];
			const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
			if (count <= 0)
			{
				ended = true;
				wasReset = count < 0;
				break;
			}
			received.append(buffer, static_cast<std::size_t>(count));
		}
		return received;
	}

	bool connected = false;
	bool ended = false;
	bool wasReset = false;

private:
	int m_socket;
};

/// A gateway that runs on its own thread.
class RunningGateway
{
public:
	explicit RunningGateway(const GatewaySettings& _settings)
		: m_gateway(_settings, [_settings] { return _settings; }), m_thread([this] { serve(); })
	{
	}

	~RunningGateway()
	{
		stop();
	}

	void requestStop()
	{
		m_gateway.post([this] { m_gateway.requestStop(); });
	}

	/// Blocks the event loop for a while, as a stall of the process does.
	void stall(Micros _span)
	{
		m_gateway.post([_span] { std::this_thread::sleep_for(std::chrono::microseconds(_span)); });
	}

	void stop()
	{
		if (m_thread.joinable())
		{
			requestStop();
			m_thread.join();
		}
	}

private:
	void serve()
	{
		m_gateway.init();
		m_gateway.run();
	}

	Gateway m_gateway;
	std::thread m_thread;
};

/// Runs the store, the duty API, two workers and as many gateways as a test starts, on loopback addresses of its
/// own.
class GatewayTest : public testing::Test
{
protected:
	GatewayTest()
	{
		std::signal(SIGPIPE, SIG_IGN);
		const auto pid = static_cast<unsigned>(getpid());
		m_net = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + ".";
		store = std::make_unique<standin::PlatformStore>(Address{host(200), kStorePort});
		duties = std::make_unique<standin::PlatformDuties>(Address{host(200), kDutyPort});
		addWorkers(2);
		store->put(platform::kConfigKey, config(1));
	}

	std::string host(unsigned _number) const
	{
		return m_net + std::to_string(_number);
	}

	static std::string workerId(unsigned _number)
	{
		return "w" + std::to_string(_number);
	}

	void registerWorker(unsigned _number, const std::string& _state,
						std::uint64_t _born = standin::kFirstStartTimeMs, const std::string& _version = "v1")
	{
		constexpr unsigned kSlots = 4;
		const Address address{host(100 + _number), kWorkerPort};
		store->put("servers/" + workerId(_number), standin::formatRecord(address, kSlots, _state, _born, _version));
	}

	static std::string config(std::uint64_t _version, const std::vector<std::string>& _keys = {"key"})
	{
		standin::SiteConfig siteConfig;
		siteConfig.version = _version;
		siteConfig.host = "h.example";
		siteConfig.keys = _keys;
		siteConfig.routes = {{"/safe/", "safe", 2},
							 {"/unsafe/", "unsafe", 1},
							 {"/stream/once/", "streaming", 1},
							 {"/stream/again/", "streaming", 2, true},
							 {"/open/", "safe", 2, false, true}};
		return standin::formatConfig(siteConfig);
	}

	GatewaySettings settings(unsigned _number) const
	{
		GatewaySettings gatewaySettings;
		gatewaySettings.name = "g" + std::to_string(_number);
		gatewaySettings.dataCentre = "z1";
		gatewaySettings.callers = {host(_number), kCallerPort};
		gatewaySettings.readiness = {host(_number), kReadyPort};
		gatewaySettings.control = Address{host(_number), kControlPort};
		gatewaySettings.gossipPort = kGossipPort;
		gatewaySettings.seeds = {{host(1), kControlPort}, {host(2), kControlPort}};
		gatewaySettings.store = {host(200), kStorePort};
		gatewaySettings.dutyApi = Address{host(200), kDutyPort};
		gatewaySettings.reportsUsage = true;
		gatewaySettings.grace = 2 * kSecond;
		gatewaySettings.strictRevocation = true;
		gatewaySettings.revocationSpan = 3 * kSecond;
		gatewaySettings.leaseSpan = 2 * kSecond;
		gatewaySettings.usageWindow = kSecond;
		return gatewaySettings;
	}

	/// Adds and registers workers until there are as many as given.
	void addWorkers(unsigned _count)
	{
		for (auto number = static_cast<unsigned>(workers.size()) + 1; number <= _count; ++number)
		{
			const Address address{host(100 + number), kWorkerPort};
			workers.push_back(std::make_unique<standin::PlatformWorker>(workerId(number), address));
			registerWorker(number, "ready");
		}
	}

	void startGateway(const GatewaySettings& _settings)
	{
		gateways.push_back(std::make_unique<RunningGateway>(_settings));
		ASSERT_TRUE(await([&] { return isReady(_settings.readiness); }))
			<< _settings.name << " did not become ready";
	}

	static bool isReady(const Address& _address)
	{
		Caller caller(_address);
		caller.sendBytes("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
		return caller.receiveUntil("\r\n\r\n", kSecond).find("HTTP/1.1 200") == 0;
	}

	static std::string request(const std::string& _method, const std::string& _path, const std::string& _id,
							   const std::string& _headers = "", const std::string& _body = "")
	{
		std::string bytes = _method + ' ' + _path + " HTTP/1.1\r\nHost: h.example\r\n" + platform::kRequestId +
							": " + _id + "\r\n" + platform::kDeadline + ": 5000\r\n" + _headers;
		if (!_body.empty())
		{
			bytes += "Content-Length: " + std::to_string(_body.size()) + "\r\n";
		}
		return bytes + "\r\n" + _body;
	}

	/// Sends one request and receives the whole answer.
	std::string call(const std::string& _method, const std::string& _path, const std::string& _id,
					 const std::string& _key = "key", unsigned _gateway = 1)
	{
		Caller caller({host(_gateway), kCallerPort});
		const std::string header = _key.empty() ? "" : std::string(platform::kApiKey) + ": " + _key + "\r\n";
		caller.sendBytes(
			request(_method, _path, _id, header + "Connection: close\r\n", _method == "POST" ? "body" : ""));
		return caller.receiveUntil("");
	}

	unsigned runsOf(const std::string& _id)
	{
		return workers[0]->runsOf(_id) + workers[1]->runsOf(_id);
	}

	void setFaults(standin::WorkerFault _fault)
	{
		for (auto& worker : workers)
		{
			worker->setFault(_fault);
		}
	}

	static unsigned statusOf(const std::string& _answer)
	{
		return _answer.size() < 12 ? 0 : static_cast<unsigned>(std::atoi(_answer.c_str() + 9));
	}

	/// @returns the events in a chunked answer, without the framing.
	static std::string eventsOf(const std::string& _answer)
	{
		std::string events;
		std::size_t at = _answer.find("\r\n\r\n");
		at = at == std::string::npos ? _answer.size() : at + 4;
		while (at < _answer.size())
		{
			const std::size_t size = std::strtoul(_answer.c_str() + at, nullptr, 16);
			const std::size_t start = _answer.find("\r\n", at);
			if (size == 0 || start == std::string::npos)
			{
				break;
			}
			events += _answer.substr(start + 2, size);
			at = start + 2 + size + 2;
		}
		return events;
	}

	static bool has(const std::string& _answer, const std::string& _text)
	{
		return _answer.find(_text) != std::string::npos;
	}

	std::unique_ptr<standin::PlatformStore> store;
	std::unique_ptr<standin::PlatformDuties> duties;
	std::vector<std::unique_ptr<standin::PlatformWorker>> workers;
	std::vector<std::unique_ptr<RunningGateway>> gateways;

private:
	std::string m_net;
};

using standin::StoreFault;
using standin::WorkerFault;

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_GATEWAYFIXTURE_H
