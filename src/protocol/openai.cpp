// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/openai.h"

#include "beacongate/limits.h"

#include <charconv>

namespace beacongate
{
namespace
{
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kMaxTokensLimit = 131'072;
constexpr Failure kMalformed = Failure::MalformedRequest;
constexpr std::string_view kDone = "[DONE]";

std::string chatPrompt(const Json& _body)
{
	const auto messages = _body.find("messages");
	if (_body.end() == messages || !messages->is_array() || messages->empty())
	{
		throw Error(kMalformed, "body: 'messages' has to be a list with at least one message");
	}
	std::string prompt;
	for (const Json& message : *messages)
	{
		prompt += readMember<std::string>(message, "role", "messages", kMalformed);
		prompt += ": ";
		prompt += readMember<std::string>(message, "content", "messages", kMalformed);
		prompt += '\n';
	}
	return prompt;
}

std::uint32_t readMaxTokens(const Json& _body)
{
	const char* name = _body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
	const auto value = readOr<std::int64_t>(_body, name, kDefaultMaxTokens, "body", kMalformed);
	if (value < 1 || value > kMaxTokensLimit)
	{
		throw Error(kMalformed, std::string("body: '") + name + "' has to be 1 to 131072");
	}
	return static_cast<std::uint32_t>(value);
}

Json chunkBase(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId, bool _stream)
{
	const bool chat = OpenAiEndpoint::Chat == _endpoint;
	const char* object = chat ? (_stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
	return {{"id", _requestId}, {"object", object}, {"model", _model}};
}

Json usage(std::uint64_t _promptTokens, std::uint64_t _completionTokens)
{
	return {{"prompt_tokens", _promptTokens},
			{"completion_tokens", _completionTokens},
			{"total_tokens", _promptTokens + _completionTokens}};
}

std::string dump(const Json& _json)
{
	return _json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

SseEvent readEvent(std::string_view _block)
{
	SseEvent event;
	while (!_block.empty())
	{
		const std::size_t end = std::min(_block.find('\n'), _block.size());
		std::string_view line = _block.substr(0, end);
		_block.remove_prefix(std::min(end + 1, _block.size()));
		const std::size_t colon = line.find(':');
		if (0 == colon || std::string_view::npos == colon)
		{
			continue; // Comment lines and fields without a value are ignored.
		}
		const std::string_view field = line.substr(0, colon);
		std::string_view value = line.substr(colon + 1);
		if (!value.empty() && ' ' == value.front())
		{
			value.remove_prefix(1);
		}
		if ("id" == field)
		{
			event.id = value;
		}
		else if ("event" == field)
		{
			event.event = value;
		}
		else if ("data" == field)
		{
			event.data += event.data.empty() ? "" : "\n";
			event.data += value;
		}
	}
	return event;
}
} // namespace

ModelCall readModelCall(OpenAiEndpoint _endpoint, std::string_view _body)
{
	const Json body = parseJson(_body, kMalformed);
	if (!body.is_object())
	{
		throw Error(kMalformed, "body: has to be an object");
	}
	ModelCall call;
	call.model = readMember<std::string>(body, "model", "body", kMalformed);
	call.stream = readOr<bool>(body, "stream", false, "body", kMalformed);
	call.payload.kind = ServiceKind::Model;
	call.payload.method = "POST";
	call.payload.contentType = "application/json";
	const bool chat = OpenAiEndpoint::Chat == _endpoint;
	call.payload.path = chat ? "/v1/chat/completions" : "/v1/completions";
	call.payload.prompt = chat ? chatPrompt(body) : readMember<std::string>(body, "prompt", "body", kMalformed);
	call.payload.maxTokens = readMaxTokens(body);
	call.payload.body = std::string(_body);
	return call;
}

std::string backendBody(const CallPayload& _payload, const std::vector<std::string>* _delivered, int _priority)
{
	Json body = Json::parse(_payload.body);
	body["stream"] = true;
	body["max_tokens"] = _payload.maxTokens;
	body["priority"] = _priority;
	if (nullptr != _delivered)
	{
		body["beacongate_resume"] = *_delivered;
	}
	return dump(body);
}

std::string tokenEvent(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					   std::uint64_t _offset, std::string_view _token)
{
	Json chunk = chunkBase(_endpoint, _model, _requestId, true);
	Json choice{{"index", 0}, {"finish_reason", nullptr}};
	if (OpenAiEndpoint::Chat == _endpoint)
	{
		choice["delta"] = {{"content", _token}};
	}
	else
	{
		choice["text"] = _token;
	}
	chunk["choices"] = Json::array({std::move(choice)});
	return "id: " + std::to_string(_offset) + "\ndata: " + dump(chunk) + "\n\n";
}

std::string endEvents(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
					  std::uint64_t _promptTokens, std::uint64_t _completionTokens)
{
	Json chunk = chunkBase(_endpoint, _model, _requestId, true);
	Json choice{{"index", 0}, {"finish_reason", "stop"}};
	if (OpenAiEndpoint::Chat == _endpoint)
	{
		choice["delta"] = Json::object();
	}
	else
	{
		choice["text"] = "";
	}
	chunk["choices"] = Json::array({std::move(choice)});
	chunk["usage"] = usage(_promptTokens, _completionTokens);
	return "data: " + dump(chunk) + "\n\ndata: " + std::string(kDone) + "\n\n";
}

std::string errorEvent(const Json& _problem)
{
	return "event: error\ndata: " + dump(_problem) + "\n\n";
}

std::string completionBody(OpenAiEndpoint _endpoint, std::string_view _model, std::string_view _requestId,
						   std::string_view _text, std::uint64_t _promptTokens, std::uint64_t _completionTokens)
{
	Json answer = chunkBase(_endpoint, _model, _requestId, false);
	Json choice{{"index", 0}, {"finish_reason", "stop"}};
	if (OpenAiEndpoint::Chat == _endpoint)
	{
		choice["message"] = {{"role", "assistant"}, {"content", _text}};
	}
	else
	{
		choice["text"] = _text;
	}
	answer["choices"] = Json::array({std::move(choice)});
	answer["usage"] = usage(_promptTokens, _completionTokens);
	return dump(answer);
}

std::vector<SseEvent> SseReader::feed(std::string_view _bytes)
{
	m_buffer.append(_bytes);
	std::vector<SseEvent> events;
	std::size_t begin = 0;
	for (std::size_t end = m_buffer.find("\n\n"); std::string::npos != end; end = m_buffer.find("\n\n", begin))
	{
		events.push_back(readEvent(std::string_view(m_buffer).substr(begin, end - begin)));
		begin = end + 2;
	}
	m_buffer.erase(0, begin);
	if (m_buffer.size() > limits::kAnswerBodyBytes)
	{
		throw Error(Failure::BackendLost, "a server-sent event is too long");
	}
	return events;
}

ModelChunk readChunk(const SseEvent& _event)
{
	ModelChunk chunk;
	if (kDone == _event.data)
	{
		chunk.end = true;
		return chunk;
	}
	const Json json = parseJson(_event.data, Failure::BackendLost);
	const auto choices = json.is_object() ? json.find("choices") : json.end();
	if (!json.is_object() || json.end() == choices || !choices->is_array())
	{
		throw Error(Failure::BackendLost, "stream chunk: no 'choices'");
	}
	if (!_event.id.empty())
	{
		std::uint64_t offset = 0;
		const char* last = _event.id.data() + _event.id.size();
		const auto [end, error] = std::from_chars(_event.id.data(), last, offset);
		if (std::errc{} != error || last != end)
		{
			throw Error(Failure::BackendLost, "stream chunk: the event id is not an offset");
		}
		chunk.offset = offset;
	}
	if (choices->empty())
	{
		return chunk;
	}
	const Json& choice = choices->front();
	const bool finished =
		choice.is_object() && choice.contains("finish_reason") && !choice["finish_reason"].is_null();
	if (finished || !choice.is_object())
	{
		return chunk;
	}
	if (choice.contains("delta"))
	{
		chunk.token = readOr<std::string>(choice["delta"], "content", "", "delta", Failure::BackendLost);
	}
	else
	{
		chunk.token = readOr<std::string>(choice, "text", "", "choice", Failure::BackendLost);
	}
	return chunk;
}

Json problem(Failure _failure, std::string_view _detail, std::string_view _requestId)
{
	const FailureInfo info = failureInfo(_failure);
	return {{"type", "urn:beacongate:problem:" + std::string(info.type)},
			{"title", info.type},
			{"status", info.status},
			{"detail", _detail},
			{"instance", _requestId}};
}

} // namespace beacongate
