// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Connects callers to an entry's core: HTTP requests become events, the core's answers become HTTP answers.

#ifndef BEACONGATE_DAEMON_CALLERADAPTER_H
#define BEACONGATE_DAEMON_CALLERADAPTER_H

#include "coordination/events.h"
#include "protocol/openai.h"
#include "transport/httpserver.h"

#include <atomic>
#include <functional>
#include <string>
#include <unordered_map>

namespace beacongate
{
/// Translates between one HttpServer and the core's events and actions. Everything runs on the thread of its loop.
class CallerAdapter
{
public:
	/// State of the entry that is reported to callers in addition to their answers.
	struct EntryStatus
	{
		std::atomic<bool> healthy = false;
		std::atomic<std::uint64_t> rosterVersion = 0;
	};

	/// @param[in] _submit Passes an event to the core; returns false where the core's ring is full.
	CallerAdapter(EntryRef _self, const EntryStatus& _entryStatus, std::function<bool(Event)> _submit);

	/// Sets the server that sends the answers.
	void setServer(HttpServer& _server);

	/// Passes a request to the core, or answers it with an error.
	void onRequest(ExchangeId _exchange, HttpRequest&& _request);
	/// Notifies the core that the caller has closed its connection.
	void onDisconnected(ExchangeId _exchange);
	/// @returns the answer to a request that the server could not parse.
	HttpAnswer onMalformed(Failure _failure, const std::string& _detail) const;

	/// Carries out an action of the core; actions that do not concern callers are ignored.
	void apply(Action& _action);

private:
	/// State of one exchange with a caller.
	struct Exchange
	{
		bool model = false;
		bool stream = false;
		bool started = false;
		OpenAiEndpoint endpoint = OpenAiEndpoint::Chat;
		std::string modelName;
		std::string text; ///< Generated so far, where the answer is not streamed.
	};

	CallerRequest readModel(OpenAiEndpoint _endpoint, const HttpRequest& _request, Exchange& _exchange) const;
	CallerRequest readPlain(const HttpRequest& _request) const;
	void on(AnswerTokens& _action);
	void on(AnswerEnd& _action);
	void on(AnswerWhole& _action);
	void on(AnswerMoved& _action);
	void on(AnswerFailure& _action);
	void startStream(ExchangeId _id, Exchange& _exchange);
	HttpAnswer failureAnswer(Failure _failure, Outcome _outcome, const std::string& _detail, Micros _retryAfter,
							 const std::string& _name) const;
	HttpHeaders commonHeaders(const std::string& _name) const;

	EntryRef m_self;
	const EntryStatus& m_entryStatus;
	std::function<bool(Event)> m_submit;
	HttpServer* m_server = nullptr;
	std::unordered_map<ExchangeId, Exchange> m_exchanges;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_CALLERADAPTER_H
