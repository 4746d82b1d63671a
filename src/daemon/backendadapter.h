// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Connects an entry's core to its backend servers: attempts become HTTP calls, answers become events.

#ifndef BEACONGATE_DAEMON_BACKENDADAPTER_H
#define BEACONGATE_DAEMON_BACKENDADAPTER_H

#include "coordination/events.h"
#include "protocol/openai.h"
#include "transport/httpclient.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace beacongate
{
/// Translates between the core's actions and events and one HttpClient. Everything runs on the thread of its loop.
class BackendAdapter
{
public:
	/// @param[in] _submit Passes an event to the core; returns false where the core's ring is full.
	BackendAdapter(IoLoop& _loop, std::function<bool(Event)> _submit);

	/// Starts or cancels an attempt; other actions are ignored.
	void apply(Action& _action, Micros _now);

	/// Submits again the failures that could not be submitted because the ring was full.
	void retrySubmits();

	/// Requests the load reports of backend servers.
	/// @param[in] _backends Their ids and addresses.
	void pollLoad(const std::vector<std::pair<std::string, Address>>& _backends);

private:
	/// State of a running attempt.
	struct Attempt
	{
		bool model = false;
		unsigned status = 0;
		std::uint64_t nextOffset = 0; ///< Offset of the next token, for chunks without an offset.
		std::string errorBody;
		SseReader reader;
	};

	void start(const StartAttempt& _start, Micros _now);
	void onData(AttemptId _id, const std::string& _bytes);
	void onEnd(AttemptId _id, HttpAnswer& _answer);
	void onFail(AttemptId _id, HttpFault _fault);
	void readEvents(AttemptId _id, Attempt& _attempt, const std::string& _bytes);
	void fail(AttemptId _id, AttemptFault _fault, unsigned _status = 0, std::string _body = {});
	void submit(AttemptId _id, Event _event);
	void onLoad(std::uint64_t _call, const HttpAnswer& _answer);

	std::function<bool(Event)> m_submit;
	HttpClient m_client;
	std::unordered_map<AttemptId, Attempt> m_attempts;
	std::deque<AttemptFailed> m_unsubmitted;
	std::unordered_map<std::uint64_t, std::string> m_loadCalls; ///< Backend server's id by call.
	std::uint64_t m_nextLoadCall;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_BACKENDADAPTER_H
