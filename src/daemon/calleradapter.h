// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The callers' side of an entry: HTTP requests become events, answers become HTTP.

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
/// Translates for one HttpServer; everything runs on its loop's thread.
class CallerAdapter
{
public:
	/// What the entry tells callers beside their answers.
	struct EntryStatus
	{
		std::atomic<bool> healthy = false;
		std::atomic<std::uint64_t> rosterVersion = 0;
	};

	/// @param[in] _submit Hands an event to the core; false where its ring is full.
	CallerAdapter(EntryRef _self, const EntryStatus& _entryStatus, std::function<bool(Event)> _submit);

	/// Sets the server that answers go to.
	void setServer(HttpServer& _server);

	void onRequest(ExchangeId _exchange, HttpRequest&& _request);
	void onDisconnected(ExchangeId _exchange);
	HttpAnswer onMalformed(Failure _failure, const std::string& _detail) const;

	/// Carries out an action; those that are not for callers are ignored.
	void apply(Action& _action);

private:
	/// How one exchange has to be answered.
	struct Exchange
	{
		bool model = false;
		bool stream = false;
		bool started = false;
		OpenAiEndpoint endpoint = OpenAiEndpoint::Chat;
		std::string modelName;
		std::string text; ///< Of an answer that is not streamed.
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
