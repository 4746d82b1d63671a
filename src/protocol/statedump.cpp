// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/statedump.h"

#include "protocol/configdoc.h"
#include "protocol/peercodec.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace beacongate
{
namespace
{
const char* nameOf(Phase _phase)
{
	switch (_phase)
	{
	case Phase::AwaitClaim:
		return "await-claim";
	case Phase::Attached:
		return "attached";
	case Phase::Queued:
		return "queued";
	case Phase::Running:
		return "running";
	case Phase::Finished:
		return "finished";
	}
	return "finished";
}

const char* nameOf(DecisionKind _kind)
{
	switch (_kind)
	{
	case DecisionKind::Accepted:
		return "accepted";
	case DecisionKind::AskedHome:
		return "asked-home";
	case DecisionKind::ClaimGranted:
		return "claim-granted";
	case DecisionKind::AttachedTo:
		return "attached-to";
	case DecisionKind::Queued:
		return "queued";
	case DecisionKind::Dispatched:
		return "dispatched";
	case DecisionKind::Retried:
		return "retried";
	case DecisionKind::Moved:
		return "moved";
	case DecisionKind::Finished:
		return "finished";
	case DecisionKind::GivenUp:
		return "given-up";
	}
	return "given-up";
}

const char* backendState(const Backend& _backend, Micros _now)
{
	if (_backend.gone)
	{
		return "gone";
	}
	if (_backend.leaving)
	{
		return "leaving";
	}
	if (!_backend.configured)
	{
		return "removed";
	}
	if (_backend.config.drained)
	{
		return "drained";
	}
	return _now < _backend.backoffUntil ? "failing" : "ready";
}

Json backendRows(const EntryCore& _core, Micros _now)
{
	Json rows = Json::array();
	for (std::uint32_t ii = 0; ii < _core.backends().size(); ++ii)
	{
		const Backend& backend = _core.backends().at(BackendHandle{ii});
		rows.push_back({{"id", backend.config.id},
						{"service", backend.config.service},
						{"address", toString(backend.config.address)},
						{"vm", backend.config.vm},
						{"dataCentre", backend.config.dataCentre},
						{"state", backendState(backend, _now)},
						{"active", backend.active},
						{"slots", backend.config.slots},
						{"prefillTokens", backend.prefillTokens},
						{"prefixBlocks", backend.prefixes.size()}});
	}
	return rows;
}

Json requestRows(const EntryCore& _core, Micros _now)
{
	Json rows = Json::array();
	for (const auto& [id, request] : _core.requests())
	{
		if (Phase::Finished == request->phase)
		{
			continue;
		}
		const bool isDispatched = 0 != request->attempt;
		rows.push_back({{"id", requestName(_core.settings().self, id)},
						{"team", _core.catalog().at(request->team).config.name},
						{"service", _core.catalog().at(request->service).config.name},
						{"state", nameOf(request->phase)},
						{"backend", isDispatched ? _core.backends().at(request->backend).config.id : ""},
						{"attempts", request->attempts},
						{"tokens", request->tokens.size()},
						{"priority", request->priority},
						{"ageMs", (_now - request->arrived) / kMillisecond}});
	}
	std::sort(rows.begin(), rows.end(), [](const Json& _a, const Json& _b) { return _a["id"] < _b["id"]; });
	return rows;
}

Json teamRows(const EntryCore& _core)
{
	std::map<std::string, std::pair<std::size_t, std::size_t>> counts;
	for (const auto& [id, request] : _core.requests())
	{
		if (Phase::Finished == request->phase)
		{
			continue;
		}
		auto& [queued, running] = counts[_core.catalog().at(request->team).config.name];
		(Phase::Queued == request->phase ? queued : running) += 1;
	}
	Json rows = Json::array();
	for (std::uint32_t ii = 0; ii < _core.catalog().teamCount(); ++ii)
	{
		const TeamRow& team = _core.catalog().at(TeamHandle{ii});
		if (team.configured)
		{
			const auto& [queued, running] = counts[team.config.name];
			rows.push_back({{"name", team.config.name},
							{"weight", team.config.weight},
							{"maxQueued", team.config.maxQueued},
							{"queued", queued},
							{"running", running}});
		}
	}
	return rows;
}

Json serviceRows(const EntryCore& _core)
{
	Json rows = Json::array();
	for (std::uint32_t ii = 0; ii < _core.catalog().serviceCount(); ++ii)
	{
		const ServiceRow& service = _core.catalog().at(ServiceHandle{ii});
		if (service.configured)
		{
			rows.push_back({{"name", service.config.name},
							{"kind", ServiceKind::Model == service.config.kind ? "model" : "plain"},
							{"repeatable", service.config.repeatable},
							{"targetFirstTokenMs", service.config.targetFirstToken / kMillisecond},
							{"queued", _core.queued(ServiceHandle{ii})}});
		}
	}
	return rows;
}

Json statsJson(const EntryStats& _stats)
{
	return {{"accepted", _stats.accepted},
			{"done", _stats.done},
			{"notRun", _stats.notRun},
			{"unknown", _stats.unknown},
			{"attempts", _stats.attempts},
			{"retries", _stats.retries},
			{"moves", _stats.moves},
			{"framesDropped", _stats.framesDropped},
			{"tokens", _stats.tokens},
			{"recomputedTokens", _stats.recomputedTokens},
			{"savedTokens", _stats.savedTokens}};
}

Json toJson(const VersionSet& _versions)
{
	return {{"config", _versions.config}, {"roster", _versions.roster}, {"vms", _versions.vmDigest}};
}

VersionSet readVersions(const Json& _json)
{
	return VersionSet{_json.at("config").get<std::uint64_t>(), _json.at("roster").get<std::uint64_t>(),
					  _json.at("vms").get<std::uint64_t>()};
}

template <typename Read> auto decodeChecked(const char* _what, const std::string& _text, Read _read)
{
	const Json json = parseJson(_text, Failure::MalformedRequest);
	try
	{
		return _read(json);
	}
	catch (const Json::exception& error)
	{
		throw Error(Failure::MalformedRequest, std::string(_what) + ": " + error.what());
	}
}
} // namespace

Json dumpEntry(const EntryCore& _core, Micros _now)
{
	const auto& roster = _core.home().roster();
	Json entry{{"id", _core.settings().self.id},
			   {"incarnation", _core.settings().self.incarnation},
			   {"dataCentre", _core.settings().dataCentre},
			   {"config", _core.configVersion()},
			   {"roster", nullptr == roster ? 0 : roster->version},
			   {"sealed", _core.home().complete()},
			   {"claims", _core.home().size()},
			   {"healthy", _core.healthy()},
			   {"active", _core.activeRequests()}};
	return {{"entry", std::move(entry)},
			{"stats", statsJson(_core.stats())},
			{"backends", backendRows(_core, _now)},
			{"requests", requestRows(_core, _now)},
			{"teams", teamRows(_core)},
			{"services", serviceRows(_core)}};
}

Json dumpControl(const ControlCore& _core)
{
	const ControlStats& stats = _core.stats();
	const VersionSet versions = _core.versions();
	return {{"id", _core.settings().id},
			{"dataCentre", _core.settings().dataCentre},
			{"leader", _core.isLeader()},
			{"fencingToken", _core.fencingToken()},
			{"storeReachable", _core.storeReachable()},
			{"config", versions.config},
			{"roster", nullptr == _core.roster().roster ? Json() : toJson(*_core.roster().roster)},
			{"vms", toJson(_core.vms())},
			{"stats",
			 {{"storeReads", stats.storeReads},
			  {"storeWrites", stats.storeWrites},
			  {"storeFailures", stats.storeFailures},
			  {"exchanges", stats.exchanges},
			  {"staleRefused", stats.staleRefused},
			  {"invalidRefused", stats.invalidRefused}}}};
}

std::optional<Json> explainRequest(const EntryCore& _core, RequestId _request)
{
	const std::vector<Decision>* decisions = _core.explain(_request);
	if (nullptr == decisions)
	{
		return std::nullopt;
	}
	Json rows = Json::array();
	for (const Decision& decision : *decisions)
	{
		rows.push_back({{"atMs", (decision.at - decisions->front().at) / kMillisecond},
						{"decision", nameOf(decision.kind)},
						{"subject", decision.subject},
						{"weighed", decision.weighed},
						{"tokens", decision.value}});
	}
	return rows;
}

std::pair<EntryRef, RequestId> readRequestName(const std::string& _name)
{
	const std::size_t last = _name.rfind(':');
	const std::size_t first = std::string::npos == last || 0 == last ? last : _name.rfind(':', last - 1);
	std::pair<EntryRef, RequestId> parsed;
	const auto parseNumber = [&](std::size_t _from, std::size_t _to, std::uint64_t& _value)
	{
		const char* end = _name.data() + _to;
		const auto [parseEnd, error] = std::from_chars(_name.data() + _from, end, _value);
		return std::errc{} == error && end == parseEnd;
	};
	const bool isValid = std::string::npos != first && first < last &&
						 parseNumber(first + 1, last, parsed.first.incarnation) &&
						 parseNumber(last + 1, _name.size(), parsed.second);
	if (!isValid)
	{
		throw Error(Failure::QueryInvalid, "'" + _name + "' is not a request id (entry:incarnation:number)");
	}
	parsed.first.id = _name.substr(0, first);
	return parsed;
}

std::string formatEntryMetrics(const EntryCore& _core)
{
	std::ostringstream text;
	const Json stats = statsJson(_core.stats());
	for (const auto& [name, value] : stats.items())
	{
		text << "# TYPE beacongate_" << name << "_total counter\n";
		text << "beacongate_" << name << "_total " << value << '\n';
	}
	text << "# TYPE beacongate_active_requests gauge\nbeacongate_active_requests " << _core.activeRequests()
		 << '\n';
	text << "# TYPE beacongate_claims gauge\nbeacongate_claims " << _core.home().size() << '\n';
	text << "# TYPE beacongate_config_version gauge\nbeacongate_config_version " << _core.configVersion() << '\n';
	return text.str();
}

Json toJson(const EntryReported& _report)
{
	return {{"id", _report.entry.id},
			{"incarnation", _report.entry.incarnation},
			{"versions", toJson(_report.versions)},
			{"stopping", _report.stopping},
			{"drained", _report.drained}};
}

EntryReported readEntryReport(const std::string& _text)
{
	return decodeChecked("entry report", _text,
						 [](const Json& _json)
						 {
							 EntryReported report;
							 report.entry.id = _json.at("id").get<std::string>();
							 report.entry.incarnation = _json.at("incarnation").get<std::uint64_t>();
							 report.versions = readVersions(_json.at("versions"));
							 report.stopping = _json.at("stopping").get<bool>();
							 report.drained = _json.at("drained").get<bool>();
							 return report;
						 });
}

Json toJson(const PeerExchange& _exchange)
{
	Json json{{"from", toString(_exchange.from)},
			  {"versions", toJson(_exchange.versions)},
			  {"config", _exchange.configText},
			  {"roster", _exchange.rosterText},
			  {"reply", _exchange.isReply}};
	if (_exchange.vms.has_value())
	{
		json["vms"] = toJson(*_exchange.vms);
	}
	return json;
}

PeerExchange readExchange(const std::string& _text)
{
	return decodeChecked("exchange", _text,
						 [](const Json& _json)
						 {
							 PeerExchange exchange;
							 exchange.from = readAddress(_json.at("from").get<std::string>(), "exchange",
														 Failure::MalformedRequest);
							 exchange.versions = readVersions(_json.at("versions"));
							 exchange.configText = _json.at("config").get<std::string>();
							 exchange.rosterText = _json.at("roster").get<std::string>();
							 exchange.isReply = _json.at("reply").get<bool>();
							 if (_json.contains("vms"))
							 {
								 exchange.vms = readVmView(_json.at("vms"));
							 }
							 return exchange;
						 });
}

} // namespace beacongate
