// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongatectl: command-line client with which operators query state and change the configuration.

#include "daemon/clock.h"
#include "daemon/options.h"
#include "protocol/configdoc.h"
#include "protocol/query.h"
#include "protocol/statedump.h"
#include "transport/httpclient.h"
#include "transport/rpc.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace
{
using namespace beacongate;

constexpr Micros kCallTimeout = 5 * kSecond;
constexpr Micros kChangeTimeout = 40 * kSecond;
constexpr std::chrono::milliseconds kPollInterval{50};

/// Thrown when a process does not answer a call.
class UnreachableError : public Error
{
public:
	explicit UnreachableError(const Address& _address)
		: Error(Failure::StoreUnavailable, "no answer from " + toString(_address))
	{
	}
};

std::string callRpc(const Address& _address, const std::string& _method, const std::string& _text)
{
	HttpCall call;
	call.address = _address;
	call.target = "/rpc";
	call.headers.emplace_back("Content-Type", "application/json");
	call.body = rpcRequest(_method, _text);
	call.timeout = kCallTimeout;
	HttpAnswer answer;
	HttpFault fault = HttpFault::Broken;
	if (!callAndWait(call, answer, fault))
	{
		throw UnreachableError(_address);
	}
	const RpcResult result = rpcResult(answer.body);
	if (!result.ok)
	{
		throw Error(Failure::QueryInvalid, result.value);
	}
	return result.value;
}

Json members(const Address& _control)
{
	return Json::parse(callRpc(_control, "members", ""));
}

Address memberAddress(const Json& _member)
{
	return readAddress(_member["address"].get<std::string>(), "members", Failure::Internal);
}

/// Collects the rows of a table from all entries. An entry that does not answer is reported on standard error and
/// left out.
Json collect(const Address& _control, const std::string& _table)
{
	Json rows = Json::array();
	for (const Json& member : members(_control))
	{
		const std::string id = member["id"].get<std::string>();
		try
		{
			const Json state = Json::parse(callRpc(memberAddress(member), "state", ""));
			const Json part = "entries" == _table ? Json::array({state["entry"]}) : state[_table];
			for (Json row : part)
			{
				row["entry"] = id;
				rows.push_back(std::move(row));
			}
		}
		catch (const UnreachableError& error)
		{
			std::cerr << "beacongatectl: entry " << id << ": " << error.what() << '\n';
		}
	}
	return rows;
}

Json explain(const Address& _control, const std::string& _id)
{
	const EntryRef entry = readRequestName(_id).first;
	for (const Json& member : members(_control))
	{
		if (member["id"] == entry.id)
		{
			Json rows = Json::parse(callRpc(memberAddress(member), "explain", _id));
			if (rows.is_null())
			{
				break;
			}
			return rows;
		}
	}
	throw Error(Failure::QueryInvalid, "no entry knows request " + _id);
}

std::string cell(const Json& _value)
{
	return _value.is_string() ? _value.get<std::string>() : _value.dump();
}

void printTable(const Json& _rows)
{
	if (_rows.empty())
	{
		std::cout << "(none)\n";
		return;
	}
	std::vector<std::string> columns;
	std::vector<std::size_t> widths;
	for (const auto& [name, value] : _rows.front().items())
	{
		columns.push_back(name);
		std::size_t width = name.size();
		for (const Json& row : _rows)
		{
			width = std::max(width, row.contains(name) ? cell(row[name]).size() : 0);
		}
		widths.push_back(width);
	}
	const auto printRow = [&](auto _cellOf)
	{
		for (std::size_t ii = 0; ii < columns.size(); ++ii)
		{
			std::string text = _cellOf(columns[ii]);
			text.resize(widths[ii] + 2, ' ');
			std::cout << text;
		}
		std::cout << '\n';
	};
	printRow([](const std::string& _column) { return _column; });
	for (const Json& row : _rows)
	{
		printRow([&](const std::string& _column)
				 { return row.contains(_column) ? cell(row[_column]) : std::string(); });
	}
}

int runQuery(const Address& _control, const std::string& _statement, bool _json)
{
	const Query query = readQuery(_statement);
	if ("config" == query.table)
	{
		const std::string text = callRpc(_control, "config", "");
		std::cout << (text.empty() ? "{}" : Json::parse(text).dump(2)) << '\n';
		return kExitOk;
	}
	const Json rows =
		query.explain ? explain(_control, query.id) : select(collect(_control, query.table), query.conditions);
	if (_json)
	{
		std::cout << rows.dump(2) << '\n';
		return kExitOk;
	}
	printTable(rows);
	return kExitOk;
}

std::string newChangeId()
{
	std::random_device device;
	std::ostringstream text;
	text << std::hex << newIncarnation() << '-' << device();
	return text.str();
}

/// Waits until every entry that answers has applied at least the given configuration version.
/// @returns the exit code of the program.
int waitInForce(const Address& _control, std::uint64_t _version)
{
	const Micros deadline = monotonicNow() + kChangeTimeout;
	while (monotonicNow() < deadline)
	{
		const Json rows = collect(_control, "entries");
		const auto isBehind = [&](const Json& _row)
		{
			return _row["config"].get<std::uint64_t>() < _version;
		};
		if (std::none_of(rows.begin(), rows.end(), isBehind))
		{
			std::cout << "in force at " << rows.size() << " entries\n";
			return kExitOk;
		}
		std::this_thread::sleep_for(kPollInterval);
	}
	std::cerr << "beacongatectl: timeout before the version was in force at all entries; see 'show entries'\n";
	return kExitUnreachable;
}

int runChange(const Address& _control, const std::string& _statement, bool _wait)
{
	const std::string id = newChangeId();
	const std::string number = callRpc(_control, "change", Json{{"statement", _statement}, {"id", id}}.dump());
	const Micros deadline = monotonicNow() + kChangeTimeout;
	while (monotonicNow() < deadline)
	{
		const Json status = Json::parse(callRpc(_control, "change-status", number));
		if (status["pending"].get<bool>())
		{
			std::this_thread::sleep_for(kPollInterval);
			continue;
		}
		const std::uint64_t version = status["version"].get<std::uint64_t>();
		if (status["ok"].get<bool>())
		{
			std::cout << "version " << version << " accepted\n";
			return _wait ? waitInForce(_control, version) : kExitOk;
		}
		const std::string failure = status["failure"].get<std::string>();
		std::cerr << "beacongatectl: refused: " << failure << ": " << status["detail"].get<std::string>()
				  << " (version " << version << " is in force)\n";
		return "outcome-unknown" == failure ? kExitUnknown : kExitRefused;
	}
	std::cerr << "beacongatectl: timeout before the outcome was known; look for change " << id
			  << " in 'show config'\n";
	return kExitUnknown;
}

std::string readFile(const std::string& _path)
{
	std::ifstream stream(_path);
	if (!stream)
	{
		throw Error(Failure::SettingInvalid, "cannot read " + _path);
	}
	std::ostringstream text;
	text << stream.rdbuf();
	return text.str();
}
} // namespace

int main(int _argc, char** _argv)
{
	CLI::App app("Queries the running state and changes the configuration.\n"
				 "Exit codes: 0 done, 1 refused, 2 invalid flags, 3 a process did not answer, 4 outcome unknown.",
				 "beacongatectl");
	app.set_version_flag("--version", "beacongate 0.1.0");
	std::string control;
	std::vector<std::string> words;
	bool json = false;
	bool wait = false;
	app.add_option("--control", control, "Address of any control")->envname("BEACONGATE_CONTROL")->required();
	app.add_flag("--json", json, "Print JSON");
	app.add_flag("--wait", wait, "After a change, wait until it is in force at all entries that answer");
	app.add_option(
		   "statement", words,
		   "show TABLE [where COLUMN = VALUE [and ...]] | explain request ID | set KIND NAME COLUMN VALUE | "
		   "drain backend ID | undrain backend ID | remove KIND NAME | apply FILE | dump")
		->required();
	try
	{
		app.parse(_argc, _argv);
	}
	catch (const CLI::Success& success)
	{
		return app.exit(success);
	}
	catch (const CLI::ParseError& error)
	{
		std::cerr << "beacongatectl: " << error.what() << '\n';
		return kExitSettings;
	}
	std::string statement;
	for (const std::string& word : words)
	{
		statement += statement.empty() ? word : " " + word;
	}
	try
	{
		const Address address = readAddress(control, "--control", Failure::SettingInvalid);
		if ("dump" == statement)
		{
			std::cout << Json::parse(callRpc(address, "state", "")).dump(2) << '\n';
			return kExitOk;
		}
		if (isQuery(statement))
		{
			return runQuery(address, statement, json);
		}
		if ("apply" == words.front() && 2 == words.size())
		{
			statement = "apply " + readFile(words.back());
		}
		return runChange(address, statement, wait);
	}
	catch (const UnreachableError& error)
	{
		std::cerr << "beacongatectl: " << error.what() << '\n';
		return kExitUnreachable;
	}
	catch (const Error& error)
	{
		std::cerr << "beacongatectl: " << failureInfo(error.failure()).type << ": " << error.what() << '\n';
		return Failure::SettingInvalid == error.failure() ? kExitSettings : kExitRefused;
	}
}
