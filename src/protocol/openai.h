// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// OpenAI-style requests, stream chunks and answers, and server-sent events.

#ifndef BEACONGATE_PROTOCOL_OPENAI_H
#define BEACONGATE_PROTOCOL_OPENAI_H

#include "coordination/events.h"
#include "protocol/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Which of the two published endpoints a request came in on.
enum class OpenAiEndpoint
{
	Chat,        ///< /v1/chat/completions
	Completions, ///< /v1/completions
};

/// A model request as its caller sent it.
struct ModelCall
{
	std::string model;
	bool stream = false;
	CallPayload payload;
};

/// Reads and checks a request body.
/// @throws Error MalformedRequest with the place and the cause.
ModelCall readModelCall(OpenAiEndpoint _endpoint, std::string_view _body);

/// Builds the body for a backend server: always streamed, resuming after `_delivered`.
/// @remarks `beacongate_resume` lists the tokens that are already with the caller; the
/// engine prefills prompt and tokens, and generates from there on.
std::string backendBody(const CallPayload& _payload, const std::vector<std::string>* _delivered, int _priority);

/// @returns one server-sent event: a chunk with the token at that offset.
std::string tokenEvent(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					   std::uint64_t _offset, std::string_view _token);

/// @returns the terminal events: a chunk with the finish reason and usage, then [DONE].
std::string endEvents(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					  std::uint64_t _promptTokens, std::uint64_t _completionTokens);

/// @returns the event that ends a stream whose request failed.
std::string errorEvent(const Json& _problem);

/// @returns the whole answer for a caller that did not ask for a stream.
std::string completionBody(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
						   std::string_view _text, std::uint64_t _promptTokens, std::uint64_t _completionTokens);

/// One server-sent event.
struct SseEvent
{
	std::string id;
	std::string event;
	std::string data;
};

/// Splits a byte stream into server-sent events.
class SseReader
{
public:
	/// Takes in bytes.
	/// @returns the events that are whole now.
	/// @throws Error BackendLost where an event grows past limits::kAnswerBodyBytes.
	std::vector<SseEvent> feed(std::string_view _bytes);

private:
	std::string m_rest;
};

/// What a stream chunk from a backend server says.
struct ModelChunk
{
	std::optional<std::uint64_t> offset; ///< From the event's id.
	std::optional<std::string> token;
	bool end = false; ///< The terminal event.
};

/// @throws Error BackendLost where the event is no chunk.
ModelChunk readChunk(const SseEvent& _event);

/// @returns the body of an error answer, application/problem+json.
Json problem(Failure _failure, std::string_view _detail, std::string_view _requestId);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_OPENAI_H
