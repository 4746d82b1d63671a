// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Starts this project's programs as processes of a test, each on its own address, and ends them with the test.

#ifndef BEACONGATE_TESTS_PROCESSES_H
#define BEACONGATE_TESTS_PROCESSES_H

#include "await.h"
#include "daemon/clock.h"
#include "protocol/configdoc.h"
#include "protocol/json.h"
#include "transport/httpclient.h"

#include <csignal>
#include <fcntl.h>
#include <functional>
#include <map>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace beacongate::test
{
/// Result of an HTTP call: the answer, or the fault where there is none.
struct Reply
{
	bool answered = false;
	HttpFault fault = HttpFault::Broken;
	HttpAnswer answer;

	/// @returns the value of the Beacongate-Outcome header.
	std::string outcome() const
	{
		return std::string(findHeader(answer.headers, "Beacongate-Outcome"));
	}
};

/// Makes an HTTP call and waits for its answer.
inline Reply request(const Address& _address, const std::string& _method, const std::string& _target,
					 const std::string& _body = {}, const HttpHeaders& _headers = {})
{
	HttpCall call;
	call.address = _address;
	call.method = _method;
	call.target = _target;
	call.body = _body;
	call.headers = _headers;
	call.timeout = 30 * kSecond;
	Reply reply;
	reply.answered = callAndWait(call, reply.answer, reply.fault);
	return reply;
}

/// Processes of one test. The loopback address is derived from the test's process id, so that tests that run at the
/// same time do not use the same addresses.
class Processes
{
public:
	Processes()
	{
		const unsigned pid = static_cast<unsigned>(getpid());
		m_host = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + ".1";
	}

	~Processes()
	{
		for (const auto& [name, pid] : m_pids)
		{
			::kill(pid, SIGCONT);
			::kill(pid, SIGKILL);
			waitpid(pid, nullptr, 0);
		}
	}

	Processes(const Processes&) = delete;
	Processes& operator=(const Processes&) = delete;

	/// @returns the address of the named process, which stays the same during the test.
	Address addressOf(const std::string& _name)
	{
		const auto next = static_cast<std::uint16_t>(20000 + m_ports.size());
		return Address{m_host, m_ports.emplace(_name, next).first->second};
	}

	/// Starts a program.
	/// @param[in] _name Name of the process in this test.
	void start(const std::string& _name, const std::string& _program, std::vector<std::string> _arguments)
	{
		const std::string path = std::string(BEACONGATE_BIN) + "/" + _program;
		_arguments.insert(_arguments.begin(), path);
		std::vector<char*> pointers;
		pointers.reserve(_arguments.size() + 1);
		for (std::string& argument : _arguments)
		{
			pointers.push_back(argument.data());
		}
		pointers.push_back(nullptr);
		posix_spawn_file_actions_t actions;
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", O_WRONLY, 0);
		pid_t pid = 0;
		posix_spawn(&pid, path.c_str(), &actions, nullptr, pointers.data(), environ);
		posix_spawn_file_actions_destroy(&actions);
		m_pids[_name] = pid;
	}

	/// Starts a stand-in of a kind that beacongate-standin offers.
	void startStandin(const std::string& _name, const std::string& _kind)
	{
		start(_name, "beacongate-standin", {_kind, "--listen", toString(addressOf(_name))});
	}

	/// Starts the entry eN and the control process ceN in data centre dcN, where N is the number.
	void startEntryAndControl(int _number)
	{
		startEntry(_number);
		const std::string id = "e" + std::to_string(_number);
		std::vector<std::string> arguments{
			"--id", id, "--region", "r", "--data-centre", "dc" + std::to_string(_number), "--vm", "vm-" + id};
		arguments.insert(arguments.end(),
						 {"--listen", toString(addressOf("c" + id)), "--entry", toString(addressOf("i" + id))});
		arguments.insert(arguments.end(),
						 {"--store", toString(addressOf("store")), "--vm-list", toString(addressOf("cloud"))});
		start("c" + id, "beacongate-control", arguments);
	}

	/// Starts the entry eN in data centre dcN, where N is the number.
	void startEntry(int _number)
	{
		const std::string id = "e" + std::to_string(_number);
		start(id, "beacongate-entry",
			  {"--id", id, "--data-centre", "dc" + std::to_string(_number), "--listen", toString(addressOf(id)),
			   "--internal", toString(addressOf("i" + id)), "--stop-grace-ms", "300", "--stop-notice-ms", "20000"});
	}

	/// Sends a signal to a process.
	void signal(const std::string& _name, int _signal)
	{
		::kill(m_pids.at(_name), _signal);
	}

	/// Stops a process with SIGSTOP and waits until all its threads are stopped.
	void freeze(const std::string& _name)
	{
		signal(_name, SIGSTOP);
		waitpid(m_pids.at(_name), nullptr, WUNTRACED);
	}

	/// Waits for the end of a process.
	/// @returns its exit code, the negated number of the signal that ended it, or -1000 where it did not end in
	/// time.
	int waitFor(const std::string& _name)
	{
		int status = 0;
		const pid_t pid = m_pids.at(_name);
		if (!await([&] { return pid == waitpid(pid, &status, WNOHANG); }))
		{
			return -1000;
		}
		m_pids.erase(_name);
		return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
	}

	/// @returns the state of an entry ("ie1") or a control process ("ce1"); null where it does not answer.
	Json state(const std::string& _name)
	{
		const Reply reply = request(addressOf(_name), "GET", "/debug/state");
		return reply.answered ? Json::parse(reply.answer.body, nullptr, false) : Json();
	}

	/// Starts the stand-ins, two entries and their control processes, and waits until both entries serve. `ready`
	/// says whether they do.
	void startAll()
	{
		for (const auto& [name, kind] : std::map<std::string, std::string>{{"store", "store"},
																		   {"cloud", "cloud"},
																		   {"engine1", "engine"},
																		   {"engine2", "engine"},
																		   {"log", "service"}})
		{
			startStandin(name, kind);
		}
		await([&] { return request(addressOf("store"), "POST", "/standin", "{}").answered; });
		Json config = Json::parse(R"({"version": 1, "teams": [{"name": "a", "token": "ta"}],
			"services": [{"name": "m", "kind": "model"}, {"name": "log", "kind": "plain"}]})");
		config["backends"] = Json::array({backend("engine1", "m"), backend("engine2", "m"), backend("log", "log")});
		const Json body{{"put", {{"/beacongate/config", config.dump()}}}};
		request(addressOf("store"), "POST", "/standin", body.dump());
		startEntryAndControl(1);
		startEntryAndControl(2);
		ready = await([&] { return sealed("ie1", 2) && sealed("ie2", 2); });
	}

	/// @returns true if an entry has a configuration and all seals of a roster with this number of members.
	bool sealed(const std::string& _entry, std::size_t _members)
	{
		const Json state = this->state(_entry);
		if (!state.is_object() || !state["entry"]["sealed"].get<bool>() || 0 == state["entry"]["config"])
		{
			return false;
		}
		const Json control = this->state("c" + _entry.substr(1));
		return control.is_object() && control["roster"].is_object() &&
			   _members == control["roster"]["members"].size() &&
			   control["roster"]["version"] == state["entry"]["roster"];
	}

	/// @returns how often a key was executed by the stand-in service.
	int executions(const std::string& _key)
	{
		return Json::parse(request(addressOf("log"), "GET", "/executions").answer.body).value(_key, 0);
	}

	/// Calls the plain service with an idempotency key.
	Reply call(const std::string& _entry, const std::string& _key)
	{
		return request(
			addressOf(_entry), "POST", "/services/log/write", "{}",
			{{"Authorization", "Bearer ta"}, {"Idempotency-Key", _key}, {"Beacongate-Issued-Version", "2"}});
	}

	/// Requests a streamed completion.
	Reply stream(const std::string& _entry, int _tokens, const std::string& _key = {})
	{
		const Json body{{"model", "m"}, {"prompt", "tell me"}, {"max_tokens", _tokens}, {"stream", true}};
		HttpHeaders headers{{"Authorization", "Bearer ta"}, {"Content-Type", "application/json"}};
		if (!_key.empty())
		{
			headers.emplace_back("Idempotency-Key", _key);
		}
		return request(addressOf(_entry), "POST", "/v1/completions", body.dump(), headers);
	}

	bool ready = false;

private:
	Json backend(const std::string& _id, const std::string& _service)
	{
		return {{"id", _id},
				{"service", _service},
				{"address", toString(addressOf(_id))},
				{"vm", "vm-" + _id},
				{"dataCentre", "dc1"}};
	}

	std::string m_host;
	std::map<std::string, std::uint16_t> m_ports;
	std::map<std::string, pid_t> m_pids;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_PROCESSES_H
