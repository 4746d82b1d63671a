// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// OpenAI-compatible requests, stream chunks and answers, and server-sent events.

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
/// Endpoint that received a request.
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

/// Parses and validates a request body.
/// @throws Error MalformedRequest with the position in the body and the cause.
ModelCall readModelCall(OpenAiEndpoint _endpoint, std::string_view _body);

/// Builds the request body for a backend server, which always asks for a stream.
/// @param[in] _delivered Tokens that the caller already has; null for none.
/// @remarks `beacongate_resume` carries these tokens; the engine prefills the prompt and the tokens and generates
/// from there on.
std::string backendBody(const CallPayload& _payload, const std::vector<std::string>* _delivered, int _priority);

/// @returns one server-sent event: a chunk with the token, and its offset as the event's id.
std::string tokenEvent(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					   std::uint64_t _offset, std::string_view _token);

/// @returns the terminal events of a stream: a chunk with the finish reason and the usage, then [DONE].
std::string endEvents(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					  std::uint64_t _promptTokens, std::uint64_t _completionTokens);

/// @returns the event that ends a stream whose request failed.
std::string errorEvent(const Json& _problem);

/// @returns the body of the answer to a caller that did not ask for a stream.
std::string completionBody(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
						   std::string_view _text, std::uint64_t _promptTokens, std::uint64_t _completionTokens);

/// One server-sent event.
struct SseEvent
{
	std::string id;
	std::string event;
	std::string data;
};

/// Parses a byte stream into server-sent events.
class SseReader
{
public:
	/// Appends bytes to the buffer.
	/// @returns the events that are complete now.
	/// @throws Error BackendLost where an incomplete event exceeds limits::kAnswerBodyBytes.
	std::vector<SseEvent> feed(std::string_view _bytes);

private:
	std::string m_buffer;
};

/// Content of one stream chunk from a backend server.
struct ModelChunk
{
	std::optional<std::uint64_t> offset; ///< From the event's id.
	std::optional<std::string> token;
	bool end = false; ///< This is the terminal event.
};

/// Decodes a stream chunk.
/// @throws Error BackendLost where the event is not a valid chunk.
ModelChunk readChunk(const SseEvent& _event);

/// @returns the body of an error answer in application/problem+json.
Json problem(Failure _failure, std::string_view _detail, std::string_view _requestId);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_OPENAI_H
