// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Small stand-ins that speak the users' platform's published protocol: its store, its workers, its duty calls.

#ifndef BEACONGATE_TOOLS_STANDIN_PLATFORM_H
#define BEACONGATE_TOOLS_STANDIN_PLATFORM_H

#include "transport/serversession.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace beacongate::standin
{
/// An event loop on a thread of its own.
class LoopThread
{
public:
	LoopThread();
	~LoopThread();
	LoopThread(const LoopThread&) = delete;
	LoopThread& operator=(const LoopThread&) = delete;

	/// Runs a function on the loop's thread and waits for it.
	void run(const std::function<void()>& _function);

	boost::asio::io_context& context()
	{
		return m_context;
	}

private:
	boost::asio::io_context m_context{1};
	boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
	std::thread m_thread;
};

/// How the store fails.
enum class StoreFault
{
	None,
	Busy,        ///< 503 to everything.
	Silent,      ///< No answer.
	LosesWrites, ///< Writes are done and not answered.
};

/// Key-value service with revisions, watches, leases and conditional changes.
class PlatformStore
{
public:
	explicit PlatformStore(const Address& _address);
	~PlatformStore();

	/// Writes as an operator or a worker.
	void put(const std::string& _key, const std::string& _value);

	/// Removes as an operator or a worker.
	void remove(const std::string& _key);

	/// @returns a key's value, or an empty text.
	std::string get(const std::string& _key);

	/// @returns keys that begin so.
	std::vector<std::string> keys(const std::string& _prefix);

	/// Changes how the store fails from now on.
	void setFault(StoreFault _fault);

	/// Limits how fast answers to reads go out, as a narrow link does.
	/// @param[in] bytesPerSecond Of each answer; 0 is no limit.
	void setReadRate(std::size_t _bytesPerSecond);

	/// Forgets the history: watches from before get 410.
	void forgetHistory();

	/// @returns calls that came.
	unsigned calls() const
	{
		return m_calls;
	}

private:
	struct Item
	{
		std::string value;
		std::uint64_t revision = 0;
		std::uint64_t lease = 0;
	};

	struct Event
	{
		std::string key;
		std::string value;
		std::uint64_t revision = 0;
		bool gone = false;
	};

	struct Watch
	{
		ServerSessionPtr session;
		std::string prefix;
		std::uint64_t since = 0;
	};

	void onRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	void answerRead(const ServerSessionPtr& _session, const HttpAnswer& _answer);
	void sendRest(const ServerSessionPtr& _session, std::string _rest);
	HttpAnswer range(const std::string& _prefix, const std::string& _after);
	HttpAnswer transact(const std::string& _body);
	HttpAnswer openLease(const std::string& _body);
	HttpAnswer renewLease(std::uint64_t _lease);
	void watch(const ServerSessionPtr& _session, const std::string& _prefix, std::uint64_t _since, Micros _span);
	HttpAnswer eventsSince(const std::string& _prefix, std::uint64_t _since) const;
	void change(const std::string& _key, const std::string* _value, std::uint64_t _lease);
	void wakeWatches();
	void expireLeases();
	void scheduleExpiry();

	LoopThread m_loop;
	std::shared_ptr<ServerContext> m_context;
	std::unique_ptr<ServerListener> m_listener;
	boost::asio::steady_timer m_timer;
	std::map<std::string, Item> m_items;
	std::map<std::uint64_t, std::pair<Micros, Micros>> m_leases; ///< End and span.
	std::vector<Event> m_events;
	std::vector<Watch> m_watches;
	std::uint64_t m_revision = 0;
	std::uint64_t m_historyStart = 0;
	std::uint64_t m_nextLease = 1;
	StoreFault m_fault = StoreFault::None;
	std::size_t m_readRate = 0; ///< Bytes a second of each answer to a read; 0 is no limit.
	std::atomic<unsigned> m_calls = 0;
};

/// What a worker does with a request.
enum class WorkerFault
{
	None,
	Rejects,     ///< 503 that says that it did not run.
	RejectsSome, ///< The same for every third request.
	Fails,       ///< Runs and answers 500.
	Resets,      ///< Runs and resets the connection.
	Hangs,       ///< Runs and says nothing.
	WrongId,     ///< Answers another request.
	CutsStream,  ///< Ends the connection inside an event.
	Unframed,    ///< An answer without a length, reset halfway.
	Misdirected, ///< Says that it is another worker.
};

/// A request as a worker got it.
struct WorkerRun
{
	std::string id;
	std::string method;
	std::string target;
	std::string body;
	HttpHeaders headers;
	Micros began = 0;
	bool ended = false; ///< Its caller closed the connection before the answer was whole.
};

/// A request that came, be it that it was turned away, and what its answer said of the worker.
struct WorkerArrival
{
	std::string id;
	Micros at = 0;
	Micros backoffAsked = 0; ///< For how long nothing more was asked for, 0 where nothing was said of it.
};

/// A worker of plain calls and of event streams.
class PlatformWorker
{
public:
	/// Events of a stream.
	static constexpr unsigned kEvents = 8;
	/// Pause between two events.
	static constexpr Micros kEventPause = 20 * kMillisecond;

	/// @returns the body of a whole answer to a call.
	static std::string wholeCall(const std::string& _requestId);

	/// @returns the events of a whole stream.
	static std::string wholeStream(const std::string& _requestId);

	PlatformWorker(std::string _id, const Address& _address);
	~PlatformWorker();

	/// Changes what it does with requests from now on.
	void setFault(WorkerFault _fault);

	/// Changes what it adds to each answer that turns a request away.
	/// @param[in] _retryAfter The header's value; empty for none.
	void setRetryAfter(const std::string& _retryAfter);

	/// Says in all answers from now on whether it takes no new work any more.
	void setLeaving(bool _leaving);

	/// @returns requests that came and were meant for it.
	std::vector<WorkerArrival> arrivals();

	/// @returns requests that it ran.
	std::vector<WorkerRun> runs();

	/// @returns requests that it ran, by the id that their caller gave.
	unsigned runsOf(const std::string& _id);

private:
	struct Connection;
	using ConnectionPtr = std::shared_ptr<Connection>;

	void accept();
	void onBytes(const ConnectionPtr& _connection, std::string_view _bytes);
	void onRequest(const ConnectionPtr& _connection);
	bool turnsAwayNext();
	void stream(const ConnectionPtr& _connection, unsigned _next);
	static std::string formatEvent(const std::string& _requestId, unsigned _number);
	std::string head(const ConnectionPtr& _connection, unsigned _status, const std::string& _more);

	std::string m_id;
	LoopThread m_loop;
	boost::asio::ip::tcp::acceptor m_acceptor;
	WorkerFault m_fault = WorkerFault::None;
	std::string m_retryAfter;
	bool m_leaving = false;
	unsigned m_arrived = 0; ///< Requests since its fault was set.
	std::mutex m_mutex;
	std::vector<WorkerRun> m_runs;
	std::vector<WorkerArrival> m_arrivals;
};

/// A call that only the holder of the duties may make.
struct DutyCall
{
	std::string target;
	std::string holder;
	std::uint64_t fence = 0;
	std::string body;
};

/// Takes usage reports and orders.
class PlatformDuties
{
public:
	explicit PlatformDuties(const Address& _address);
	~PlatformDuties();

	/// @returns the calls so far.
	std::vector<DutyCall> calls();

private:
	LoopThread m_loop;
	std::shared_ptr<ServerContext> m_context;
	std::unique_ptr<ServerListener> m_listener;
	std::mutex m_mutex;
	std::vector<DutyCall> m_calls;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_PLATFORM_H
