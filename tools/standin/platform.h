// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-ins for the platform's store, its workers and the receiver of duty calls, which speak the platform's
/// published protocol.

#ifndef BEACONGATE_TOOLS_STANDIN_PLATFORM_H
#define BEACONGATE_TOOLS_STANDIN_PLATFORM_H

#include "standin/workerpace.h"
#include "transport/serversession.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace beacongate::standin
{
/// Runs an event loop on its own thread.
class LoopThread
{
public:
	LoopThread();
	~LoopThread();
	LoopThread(const LoopThread&) = delete;
	LoopThread& operator=(const LoopThread&) = delete;

	/// Runs a function on the loop's thread and waits until it returns.
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

/// Opens an acceptor at an address, also if it was open there before.
void listenAt(boost::asio::ip::tcp::acceptor& _acceptor, const Address& _address);

/// Fault that the store simulates.
enum class StoreFault
{
	None,
	Busy,        ///< Every call is answered with 503.
	Silent,      ///< Calls are neither executed nor answered.
	LosesWrites, ///< Writes and lease calls are executed and not answered.
};

/// Key-value service with revisions, watches, leases and conditional transactions.
class PlatformStore
{
public:
	explicit PlatformStore(const Address& _address);
	~PlatformStore();

	/// Writes a key as an operator or a worker would.
	void put(const std::string& _key, const std::string& _value);

	/// Removes a key as an operator or a worker would.
	void remove(const std::string& _key);

	/// @returns the value of a key, or an empty string if the key is missing.
	std::string get(const std::string& _key);

	/// @returns the revision of the last write of a key, or 0 if the key is missing.
	std::uint64_t revisionOf(const std::string& _key);

	/// @returns the keys that begin with a prefix.
	std::vector<std::string> keys(const std::string& _prefix);

	/// Sets the fault that later calls meet.
	void setFault(StoreFault _fault);

	/// Sets a key whose writes are answered with 503 and not done; an empty one ends that.
	void rejectWritesOf(const std::string& _key);

	/// Limits the rate of each answer to a range read, to simulate a slow link.
	/// @param[in] _bytesPerSecond Rate of each answer in bytes per second; 0 is no limit.
	void setReadRate(std::size_t _bytesPerSecond);

	/// Drops the event history and closes the open watches. Watches from an earlier revision are answered with 410.
	void compactHistory();

	/// Ends all leases at once, as an outage that is longer than they last.
	void endLeases();

	/// Copies the store's state.
	void takeCopy();

	/// Goes back to the last copy: what was written since is gone, revisions and lease ids are given out again, and
	/// the era rises by one.
	void restoreCopy();

	/// @returns the number of calls received.
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
		bool removed = false;
	};

	struct Watch
	{
		ServerSessionPtr session;
		std::string prefix;
		std::uint64_t since = 0;
	};

	void onRequest(const ServerSessionPtr& _session, const IncomingRequest& _request);
	/// State that a copy holds.
	struct Copy
	{
		std::map<std::string, Item> items;
		std::map<std::uint64_t, std::pair<Micros, Micros>> leases;
		std::uint64_t revision = 0;
		std::uint64_t nextLease = 1;
	};

	/// Answers a call, and names the era.
	void answer(const ServerSessionPtr& _session, HttpAnswer _answer) const;
	void answerRead(const ServerSessionPtr& _session, HttpAnswer _answer);
	void sendRemaining(const ServerSessionPtr& _session, std::string _remaining);
	HttpAnswer range(const std::string& _prefix, const std::string& _after);
	HttpAnswer transact(const std::string& _body);
	HttpAnswer openLease(const std::string& _body);
	HttpAnswer renewLease(std::uint64_t _lease);
	void watch(const ServerSessionPtr& _session, const std::string& _prefix, std::uint64_t _since, Micros _span);
	HttpAnswer eventsSince(const std::string& _prefix, std::uint64_t _since) const;
	void change(const std::string& _key, const std::string* _value, std::uint64_t _lease);
	void answerWatches();
	void expireLeases();
	void scheduleExpiry();

	LoopThread m_loop;
	std::shared_ptr<ServerContext> m_context;
	std::unique_ptr<ServerListener> m_listener;
	boost::asio::steady_timer m_timer;
	std::map<std::string, Item> m_items;
	std::map<std::uint64_t, std::pair<Micros, Micros>> m_leases; ///< Expiry time and duration by lease.
	std::vector<Event> m_events;
	std::vector<Watch> m_watches;
	std::uint64_t m_revision = 0;
	std::uint64_t m_historyStart = 0;
	std::uint64_t m_nextLease = 1;
	std::uint64_t m_era = 1;
	Copy m_copy;
	StoreFault m_fault = StoreFault::None;
	std::string m_rejectedKey;  ///< Writes of this key are answered with 503.
	std::size_t m_readRate = 0; ///< Rate of each answer to a range read in bytes per second; 0 is no limit.
	std::atomic<unsigned> m_calls = 0;
};

/// Fault that a worker simulates.
enum class WorkerFault
{
	None,
	Rejects,        ///< Answers 503 and marks the request as not executed.
	RejectsSome,    ///< Rejects every third request in this way.
	Fails,          ///< Runs the request and answers 500.
	Resets,         ///< Runs the request and resets the connection.
	Hangs,          ///< Runs the request and does not answer.
	WrongId,        ///< Answers with the id of another request.
	CutsStream,     ///< Closes the connection in the middle of an event.
	Unframed,       ///< Sends an answer without a length and resets the connection.
	UnframedStream, ///< Sends streams without a length or chunks, which end with the connection.
	CutsUnframed,   ///< The same, and closes the connection in the middle of an event.
	Misdirected,    ///< Answers 421, as if the request was meant for another worker.
};

/// A worker's reaction to some requests: it crashes a while after it has begun to run one of them.
struct WorkerCrashRule
{
	std::vector<std::string> bodies; ///< Bodies of the requests that crash the worker.
	std::vector<std::string> parts =
		{};                             ///< Parts of prompts that crash it once it has begun to answer, as hex ids.
	Micros delay = 60 * kMillisecond;   ///< Time from the start of the request until the crash.
	Micros downtime = 3 * kSecond;      ///< Time for which connections are refused.
	std::function<void()> onCrash = {}; ///< Called on the worker's thread when it crashes.
	std::function<void()> onRestart = {}; ///< Called on the worker's thread when it accepts connections again.
};

/// A crash of a worker.
struct WorkerCrash
{
	Micros at = 0;
	std::string content; ///< Path and body of the request that caused it; empty if none did.
};

/// A request that a worker ran, as received.
struct WorkerRun
{
	std::string id;
	std::string method;
	std::string target;
	std::string body;
	HttpHeaders headers;
	Micros began = 0;
	bool ended = false; ///< The connection ended before the answer was complete.

	/// @returns path and body, which are the same for each attempt of a caller.
	std::string content() const
	{
		return target + ' ' + body;
	}
};

/// A request that a worker received, run or rejected, and the backoff that its answer asked for.
struct WorkerArrival
{
	std::string id;
	Micros at = 0;
	Micros requestedBackoff = 0; ///< Retry-After value of a rejection; 0 if there was none.
};

/// A worker that serves plain calls and event streams.
class PlatformWorker
{
public:
	/// Number of events in a stream.
	static constexpr unsigned kEvents = 8;
	/// Interval between two events of a stream.
	static constexpr Micros kEventPause = 20 * kMillisecond;

	/// @returns the complete body of the answer to a call.
	static std::string wholeCall(const std::string& _requestId);

	/// @returns all events of a complete stream.
	static std::string wholeStream(const std::string& _requestId);

	PlatformWorker(std::string _id, const Address& _address);
	~PlatformWorker();

	/// Sets the fault that later requests meet.
	void setFault(WorkerFault _fault);

	/// Sets the Retry-After header of rejections.
	/// @param[in] _retryAfter Value of the header; if empty, the header is left out.
	void setRetryAfter(const std::string& _retryAfter);

	/// Sets the rate that later answers name as the worker's limit.
	/// @param[in] _limit Value of the header; if empty, the header is left out.
	void setLimit(const std::string& _limit);

	/// Sets how many requests the worker runs at once; it rejects more. 0 for any number.
	void setRoom(unsigned _room);

	/// Makes the worker brittle: its answers say so, and it crashes for a while when it has rejected more requests
	/// for want of room within a second.
	/// @param[in] _rejections Rejections that it bears; a negative number ends it.
	/// @param[in] _grace Time in which it bears any number, so that gateways can learn of it.
	void setBrittle(int _rejections, Micros _grace = 0);

	/// Sets whether later answers say that the worker is draining.
	void setLeaving(bool _leaving);

	/// Sets which requests crash the worker.
	void setCrashRule(const WorkerCrashRule& _rule);

	/// Crashes the worker, as one of the crash rule's requests does.
	void crashNow();

	/// Sets the time that the worker takes to answer a call.
	void setCallTime(Micros _time);

	/// Sets the worker's speed and the load that it states. With a speed for prompts, the worker reads the prompts
	/// of streams one after the other, and sends the head of a stream with its first event.
	void setPace(const WorkerPace& _pace);

	/// @returns the crashes of the worker.
	std::vector<WorkerCrash> crashes();

	/// @returns the requests received that were addressed to this worker.
	std::vector<WorkerArrival> arrivals();

	/// @returns the requests that the worker ran.
	std::vector<WorkerRun> runs();

	/// @returns how often the worker ran the request with the given id.
	unsigned runsOf(const std::string& _id);

private:
	struct Connection;
	using ConnectionPtr = std::shared_ptr<Connection>;

	void listen();
	void accept();
	void onBytes(const ConnectionPtr& _connection, std::string_view _bytes);
	void onRequest(const ConnectionPtr& _connection);
	void answerCall(const ConnectionPtr& _connection);
	/// @param[in] _content See WorkerCrash.
	void crash(const std::string& _content);
	/// Sends the head of a stream and begins to send its events.
	void beginStream(const ConnectionPtr& _connection);
	/// Reads the next prompt whose caller still waits.
	void readNextPrompt();
	std::size_t running() const;
	/// Calls a function after a span.
	void schedule(Micros _span, std::function<void()> _function);
	bool rejectsNext();
	bool holdsCrashingPart(const MessageHead& _request) const;
	/// Notes a rejection for want of room. A brittle worker that had too many crashes.
	void onNoRoom();
	void stream(const ConnectionPtr& _connection, unsigned _next);
	/// @returns true if streams have no length and no chunks.
	bool sendsUnframed() const;
	/// Sends part of a stream, as a chunk unless streams are unframed.
	void sendPart(const ConnectionPtr& _connection, const std::string& _bytes) const;
	static std::string formatEvent(const std::string& _requestId, unsigned _number);
	std::string head(const ConnectionPtr& _connection, unsigned _status, const std::string& _more);

	std::string m_id;
	Address m_address;
	LoopThread m_loop;
	boost::asio::ip::tcp::acceptor m_acceptor;
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< Reset when the worker is destroyed.
	std::set<ConnectionPtr> m_connections;
	WorkerCrashRule m_crashRule;
	Micros m_callTime = 0;
	WorkerPace m_pace;
	std::deque<ConnectionPtr> m_prompts; ///< Prompts that wait to be read, in order of arrival.
	bool m_reading = false;
	WorkerFault m_fault = WorkerFault::None;
	std::string m_retryAfter;
	std::string m_limit;
	unsigned m_room = 0;              ///< 0 for any number of requests.
	int m_brittle = -1;               ///< Rejections that it bears in a second; negative if any number.
	Micros m_brittleFrom = 0;         ///< From when on rejections count.
	std::deque<Micros> m_noRoomTimes; ///< Rejections for want of room within the last second.
	bool m_leaving = false;
	unsigned m_arrived = 0; ///< Requests that RejectsSome has counted since the fault was set.
	std::mutex m_mutex;
	std::vector<WorkerRun> m_runs;
	std::vector<WorkerArrival> m_arrivals;
	std::vector<WorkerCrash> m_crashes;
};

/// A call that only the current holder of a duty may make, as received.
struct DutyCall
{
	std::string target;
	std::string holder;
	std::uint64_t fence = 0;
	std::string body;
};

/// Receives duty calls such as usage reports and records them.
class PlatformDuties
{
public:
	explicit PlatformDuties(const Address& _address);
	~PlatformDuties();

	/// @returns the calls received so far.
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
