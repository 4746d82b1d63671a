// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/documents.h"

#include "beacongate/limits.h"
#include "protocol/configdoc.h"
#include "protocol/peercodec.h"
#include "protocol/query.h"

namespace beacongate
{
namespace
{
ConfigDoc makeConfigDoc(const Json& _json, std::string _text)
{
	if (_text.size() > limits::kConfigBytes)
	{
		throw Error(Failure::ConfigInvalid,
					"document: larger than " + std::to_string(limits::kConfigBytes) + " bytes");
	}
	ConfigDoc doc;
	doc.config = std::make_shared<const Config>(readConfig(_json));
	for (const Json& item : _json.value("history", Json::array()))
	{
		doc.history.push_back(item.is_string() ? item.get<std::string>() : "");
	}
	doc.text = std::move(_text);
	return doc;
}

ConfigDoc readConfigText(const std::string& _text)
{
	return makeConfigDoc(parseJson(_text, Failure::ConfigInvalid), _text);
}

ConfigDoc editConfigText(const std::string& _base, const std::string& _statement, const std::string& _changeId)
{
	const Json base = _base.empty() ? Json::object() : parseJson(_base, Failure::ConfigInvalid);
	Json next = applyChange(base, _statement);
	recordChange(next, _changeId);
	return makeConfigDoc(next, next.dump());
}

RosterDoc readRosterText(const std::string& _text)
{
	RosterDoc doc;
	doc.roster = std::make_shared<const Roster>(readRoster(parseJson(_text, Failure::MalformedRequest)));
	doc.text = _text;
	return doc;
}

std::string writeRosterText(const Roster& _roster)
{
	return toJson(_roster).dump();
}
} // namespace

DocumentCodec jsonDocumentCodec()
{
	return DocumentCodec{readConfigText, editConfigText, readRosterText, writeRosterText};
}

} // namespace beacongate
