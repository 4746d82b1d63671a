// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/peercodec.h"

#include "protocol/configdoc.h"

namespace beacongate
{
namespace
{
constexpr Failure kMalformed = Failure::MalformedRequest;

Json encode(const EntryRef& _entry)
{
	return Json::array({_entry.id, _entry.incarnation});
}

EntryRef decodeEntry(const Json& _json)
{
	return EntryRef{_json.at(0).get<std::string>(), _json.at(1).get<std::uint64_t>()};
}

Json encode(const ClaimRequestRef& _requestRef)
{
	return Json::array({_requestRef.entry.id, _requestRef.entry.incarnation, _requestRef.number});
}

ClaimRequestRef decodeClaimRequestRef(const Json& _json)
{
	return ClaimRequestRef{decodeEntry(_json), _json.at(2).get<std::uint64_t>()};
}

template <typename Enum> Enum decodeEnum(const Json& _json, Enum _last)
{
	const int value = _json.get<int>();
	if (value < 0 || value > static_cast<int>(_last))
	{
		throw Error(kMalformed, "peer message: a number is out of range");
	}
	return static_cast<Enum>(value);
}

Json encode(const Claim& _claim)
{
	return {{"k", _claim.key},
			{"d", _claim.digest},
			{"x", encode(_claim.executor)},
			{"s", static_cast<int>(_claim.state)},
			{"g", _claim.generation}};
}

Claim decodeClaim(const Json& _json)
{
	Claim claim;
	claim.key = _json.at("k").get<std::string>();
	claim.digest = _json.at("d").get<std::uint64_t>();
	claim.executor = decodeClaimRequestRef(_json.at("x"));
	claim.state = decodeEnum(_json.at("s"), ClaimState::Released);
	claim.generation = _json.at("g").get<std::uint64_t>();
	return claim;
}

/// Bodies and tokens need not be UTF-8, which a JSON string has to be; MessagePack carries them as binary.
Json encodeBytes(const std::string& _bytes)
{
	return Json::binary(std::vector<std::uint8_t>(_bytes.begin(), _bytes.end()));
}

std::string decodeBytes(const Json& _json)
{
	const auto& bytes = _json.get_binary();
	return std::string(bytes.begin(), bytes.end());
}

Json encodeTokens(const std::vector<std::string>& _tokens)
{
	Json list = Json::array();
	for (const std::string& token : _tokens)
	{
		list.push_back(encodeBytes(token));
	}
	return list;
}

std::vector<std::string> decodeTokens(const Json& _json)
{
	std::vector<std::string> tokens;
	for (const Json& item : _json)
	{
		tokens.push_back(decodeBytes(item));
	}
	return tokens;
}

Json encode(const KeptAnswer& _answer)
{
	return {{"status", _answer.status},
			{"type", _answer.contentType},
			{"body", encodeBytes(_answer.body)},
			{"tokens", encodeTokens(_answer.tokens)},
			{"model", _answer.model}};
}

KeptAnswer decodeAnswer(const Json& _json)
{
	KeptAnswer answer;
	answer.status = _json.at("status").get<unsigned>();
	answer.contentType = _json.at("type").get<std::string>();
	answer.body = decodeBytes(_json.at("body"));
	answer.tokens = decodeTokens(_json.at("tokens"));
	answer.model = _json.at("model").get<bool>();
	return answer;
}

Json encodeMessage(const ClaimRequest& _message)
{
	Json json{{"t", "ask"},           {"ask", encode(_message.requestRef)}, {"k", _message.key},
			  {"d", _message.digest}, {"v", _message.rosterVersion},        {"i", _message.issuedVersion}};
	if (_message.released)
	{
		json["r"] = encode(*_message.released);
	}
	return json;
}

Json encodeMessage(const ClaimReply& _message)
{
	return {{"t", "reply"},
			{"ask", encode(_message.requestRef)},
			{"k", _message.key},
			{"w", static_cast<int>(_message.verdict)},
			{"c", encode(_message.claim)},
			{"v", _message.rosterVersion}};
}

Json encodeMessage(const ClaimUpdate& _message)
{
	Json json{{"t", "update"},
			  {"k", _message.key},
			  {"x", encode(_message.executor)},
			  {"f", static_cast<int>(_message.result)}};
	if (_message.answer)
	{
		json["a"] = encode(*_message.answer);
	}
	return json;
}

Json encodeMessage(const Seal& _message)
{
	Json claims = Json::array();
	for (const Claim& claim : _message.claims)
	{
		claims.push_back(encode(claim));
	}
	return {{"t", "seal"}, {"v", _message.version}, {"c", std::move(claims)}};
}

Json encodeMessage(const SealAck& _message)
{
	return {{"t", "sealed"}, {"v", _message.version}};
}

Json encodeMessage(const AttachRequest& _message)
{
	return {{"t", "attach"},
			{"n", _message.attach},
			{"k", _message.key},
			{"x", encode(_message.executor)},
			{"o", _message.offset}};
}

Json encodeMessage(const AttachTokens& _message)
{
	return {{"t", "tokens"}, {"n", _message.attach}, {"o", _message.offset}, {"s", encodeTokens(_message.tokens)}};
}

Json encodeMessage(const AttachEnd& _message)
{
	return {{"t", "end"},
			{"n", _message.attach},
			{"f", static_cast<int>(_message.result)},
			{"kept", _message.kept},
			{"a", encode(_message.answer)},
			{"c", _message.tokenCount}};
}

Json encodeMessage(const RequestHandover& _message)
{
	Json json{{"t", "handover"},
			  {"n", _message.number},
			  {"team", _message.team},
			  {"service", _message.service},
			  {"key", _message.callerKey},
			  {"kind", static_cast<int>(_message.payload.kind)},
			  {"method", _message.payload.method},
			  {"path", _message.payload.path},
			  {"type", _message.payload.contentType},
			  {"body", encodeBytes(_message.payload.body)},
			  {"prompt", encodeBytes(_message.payload.prompt)},
			  {"most", _message.payload.maxTokens},
			  {"ikey", _message.payload.idempotencyKey},
			  {"tokens", encodeTokens(_message.tokens)},
			  {"priority", _message.priority},
			  {"left", _message.deadlineLeft}};
	if (_message.released)
	{
		json["r"] = encode(*_message.released);
	}
	return json;
}

Json encodeMessage(const HandoverAck& _message)
{
	return {{"t", "taken"}, {"n", _message.number}};
}

RequestHandover decodeHandover(const Json& _json)
{
	RequestHandover handover;
	handover.number = _json.at("n").get<std::uint64_t>();
	handover.team = _json.at("team").get<std::string>();
	handover.service = _json.at("service").get<std::string>();
	handover.callerKey = _json.at("key").get<std::string>();
	handover.payload.kind = decodeEnum(_json.at("kind"), ServiceKind::Plain);
	handover.payload.method = _json.at("method").get<std::string>();
	handover.payload.path = _json.at("path").get<std::string>();
	handover.payload.contentType = _json.at("type").get<std::string>();
	handover.payload.body = decodeBytes(_json.at("body"));
	handover.payload.prompt = decodeBytes(_json.at("prompt"));
	handover.payload.maxTokens = _json.at("most").get<std::uint32_t>();
	handover.payload.idempotencyKey = _json.at("ikey").get<std::string>();
	handover.tokens = decodeTokens(_json.at("tokens"));
	handover.priority = _json.at("priority").get<int>();
	handover.deadlineLeft = _json.at("left").get<Micros>();
	if (_json.contains("r"))
	{
		handover.released = decodeClaimRequestRef(_json.at("r"));
	}
	return handover;
}

ClaimRequest decodeClaimRequest(const Json& _json)
{
	ClaimRequest request;
	request.requestRef = decodeClaimRequestRef(_json.at("ask"));
	request.key = _json.at("k").get<std::string>();
	request.digest = _json.at("d").get<std::uint64_t>();
	request.rosterVersion = _json.at("v").get<std::uint64_t>();
	request.issuedVersion = _json.at("i").get<std::uint64_t>();
	if (_json.contains("r"))
	{
		request.released = decodeClaimRequestRef(_json.at("r"));
	}
	return request;
}

ClaimReply decodeClaimReply(const Json& _json)
{
	ClaimReply reply;
	reply.requestRef = decodeClaimRequestRef(_json.at("ask"));
	reply.key = _json.at("k").get<std::string>();
	reply.verdict = decodeEnum(_json.at("w"), ClaimVerdict::Mismatch);
	reply.claim = decodeClaim(_json.at("c"));
	reply.rosterVersion = _json.at("v").get<std::uint64_t>();
	return reply;
}

ClaimUpdate decodeClaimUpdate(const Json& _json)
{
	ClaimUpdate update;
	update.key = _json.at("k").get<std::string>();
	update.executor = decodeClaimRequestRef(_json.at("x"));
	update.result = decodeEnum(_json.at("f"), ExecutionResult::Unknown);
	if (_json.contains("a"))
	{
		update.answer = decodeAnswer(_json.at("a"));
	}
	return update;
}

Seal decodeSeal(const Json& _json)
{
	Seal seal;
	seal.version = _json.at("v").get<std::uint64_t>();
	for (const Json& item : _json.at("c"))
	{
		seal.claims.push_back(decodeClaim(item));
	}
	return seal;
}

AttachRequest decodeAttachRequest(const Json& _json)
{
	AttachRequest request;
	request.attach = _json.at("n").get<std::uint64_t>();
	request.key = _json.at("k").get<std::string>();
	request.executor = decodeClaimRequestRef(_json.at("x"));
	request.offset = _json.at("o").get<std::uint64_t>();
	return request;
}

AttachTokens decodeAttachTokens(const Json& _json)
{
	AttachTokens tokens;
	tokens.attach = _json.at("n").get<std::uint64_t>();
	tokens.offset = _json.at("o").get<std::uint64_t>();
	tokens.tokens = decodeTokens(_json.at("s"));
	return tokens;
}

AttachEnd decodeAttachEnd(const Json& _json)
{
	AttachEnd end;
	end.attach = _json.at("n").get<std::uint64_t>();
	end.result = decodeEnum(_json.at("f"), ExecutionResult::Unknown);
	end.kept = _json.at("kept").get<bool>();
	end.answer = decodeAnswer(_json.at("a"));
	end.tokenCount = _json.at("c").get<std::uint64_t>();
	return end;
}

PeerMessage decodeMessage(const Json& _json)
{
	const std::string type = _json.at("t").get<std::string>();
	if ("ask" == type)
	{
		return decodeClaimRequest(_json);
	}
	if ("reply" == type)
	{
		return decodeClaimReply(_json);
	}
	if ("update" == type)
	{
		return decodeClaimUpdate(_json);
	}
	if ("seal" == type)
	{
		return decodeSeal(_json);
	}
	if ("sealed" == type)
	{
		return SealAck{_json.at("v").get<std::uint64_t>()};
	}
	if ("attach" == type)
	{
		return decodeAttachRequest(_json);
	}
	if ("tokens" == type)
	{
		return decodeAttachTokens(_json);
	}
	if ("end" == type)
	{
		return decodeAttachEnd(_json);
	}
	if ("handover" == type)
	{
		return decodeHandover(_json);
	}
	if ("taken" == type)
	{
		return HandoverAck{_json.at("n").get<std::uint64_t>()};
	}
	throw Error(kMalformed, "peer message: type '" + type + "' is not known");
}

Json encode(const RosterMember& _member)
{
	return {{"entry", encode(_member.entry)},
			{"address", toString(_member.peerAddress)},
			{"control", toString(_member.controlAddress)},
			{"dataCentre", _member.dataCentre},
			{"vm", _member.vm},
			{"joined", _member.joinedVersion}};
}

RosterMember decodeMember(const Json& _json)
{
	RosterMember member;
	member.entry = decodeEntry(_json.at("entry"));
	member.peerAddress = readAddress(_json.at("address").get<std::string>(), "roster", kMalformed);
	member.controlAddress = readAddress(_json.at("control").get<std::string>(), "roster", kMalformed);
	member.dataCentre = _json.at("dataCentre").get<std::string>();
	member.vm = _json.at("vm").get<std::string>();
	member.joinedVersion = _json.at("joined").get<std::uint64_t>();
	return member;
}

/// Runs a decoder and reports a JSON exception as Error MalformedRequest.
template <typename Read> auto decodeChecked(const char* _what, Read _read)
{
	try
	{
		return _read();
	}
	catch (const Json::exception& error)
	{
		throw Error(kMalformed, std::string(_what) + ": " + error.what());
	}
}
} // namespace

std::string encodeEnvelope(const PeerEnvelope& _envelope)
{
	Json messages = Json::array();
	for (const PeerMessage& message : _envelope.messages)
	{
		messages.push_back(std::visit([](const auto& _message) { return encodeMessage(_message); }, message));
	}
	const Json json{{"from", encode(_envelope.from)}, {"to", encode(_envelope.to)}, {"m", std::move(messages)}};
	std::string bytes;
	Json::to_msgpack(json, bytes);
	return bytes;
}

PeerEnvelope decodeEnvelope(std::string_view _bytes)
{
	return decodeChecked("peer envelope",
						 [&]
						 {
							 const Json json = Json::from_msgpack(_bytes.begin(), _bytes.end());
							 PeerEnvelope envelope;
							 envelope.from = decodeEntry(json.at("from"));
							 envelope.to = decodeEntry(json.at("to"));
							 for (const Json& item : json.at("m"))
							 {
								 envelope.messages.push_back(decodeMessage(item));
							 }
							 return envelope;
						 });
}

Json toJson(const Roster& _roster)
{
	Json members = Json::array();
	for (const RosterMember& member : _roster.members)
	{
		members.push_back(encode(member));
	}
	Json departed = Json::array();
	for (const DepartedMember& item : _roster.departed)
	{
		departed.push_back(encode(item.member));
	}
	Json lost = Json::array();
	for (const LostMember& item : _roster.lost)
	{
		lost.push_back({{"entry", encode(item.entry)}, {"joined", item.joinedVersion}, {"lost", item.lostVersion}});
	}
	return {{"version", _roster.version},
			{"members", std::move(members)},
			{"departed", std::move(departed)},
			{"lost", std::move(lost)}};
}

Roster readRoster(const Json& _json)
{
	return decodeChecked("roster",
						 [&]
						 {
							 Roster roster;
							 roster.version = _json.at("version").get<std::uint64_t>();
							 for (const Json& item : _json.at("members"))
							 {
								 roster.members.push_back(decodeMember(item));
							 }
							 for (const Json& item : _json.at("departed"))
							 {
								 roster.departed.push_back(DepartedMember{decodeMember(item)});
							 }
							 for (const Json& item : _json.at("lost"))
							 {
								 LostMember lost;
								 lost.entry = decodeEntry(item.at("entry"));
								 lost.joinedVersion = item.at("joined").get<std::uint64_t>();
								 lost.lostVersion = item.at("lost").get<std::uint64_t>();
								 roster.lost.push_back(std::move(lost));
							 }
							 return roster;
						 });
}

Json toJson(const VmView& _vms)
{
	return {{"leaving", _vms.leaving}, {"gone", _vms.gone}};
}

VmView readVmView(const Json& _json)
{
	return decodeChecked("VM view",
						 [&]
						 {
							 VmView vms;
							 vms.leaving = _json.at("leaving").get<std::map<std::string, Micros>>();
							 vms.gone = _json.at("gone").get<std::set<std::string>>();
							 return vms;
						 });
}

} // namespace beacongate
