// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-in for the platform's key-value service, for tests only. It speaks the etcd v3 JSON mapping with
/// compare-and-swap transactions and leases, and keeps all data in memory.

#ifndef BEACONGATE_TOOLS_STANDIN_STORE_H
#define BEACONGATE_TOOLS_STANDIN_STORE_H

#include "protocol/json.h"
#include "transport/httpserver.h"

#include <map>
#include <string>

namespace beacongate::standin
{
/// How the store answers calls.
enum class StoreMode
{
	Up,
	Down, ///< Connections are closed without an answer and calls are not executed.
	Lose, ///< Calls are executed and connections are closed without an answer.
};

/// Serves the key-value API over HTTP on an event loop.
/// @remarks POST /standin sets {"mode": "up" | "down" | "lose", "delayMs": delay before an answer in milliseconds,
/// "put": {key: value}}. Its answer holds the counts of reads and writes and the revision.
class Store
{
public:
	explicit Store(IoLoop& _loop);

	/// Binds the listening socket. Must be called before the loop's init().
	void init(const Address& _address);
	std::uint16_t port() const;

private:
	struct Value
	{
		std::string bytes;
		std::int64_t createRevision = 0;
		std::int64_t modRevision = 0;
		std::int64_t lease = 0;
	};

	void onRequest(ExchangeId _exchange, HttpRequest&& _request);
	Json call(const std::string& _path, const Json& _body);
	Json range(const Json& _body) const;
	Json txn(const Json& _body);
	Json grant(const Json& _body);
	Json keepAlive(const Json& _body);
	Json control(const Json& _body);
	void put(const std::string& _key, const std::string& _bytes, std::int64_t _lease);
	void expire();

	IoLoop& m_loop;
	HttpServer m_server;
	StoreMode m_mode = StoreMode::Up;
	Micros m_delay = 0;
	std::map<std::string, Value> m_values;
	std::map<std::int64_t, Micros> m_leaseExpiries; ///< Expiry time by lease.
	std::map<std::int64_t, Micros> m_leaseDurations;
	std::int64_t m_revision = 1;
	std::int64_t m_nextLease = 1;
	std::uint64_t m_reads = 0;
	std::uint64_t m_writes = 0;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_STORE_H
