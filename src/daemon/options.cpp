// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/options.h"

#include "protocol/configdoc.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <ctime>
#include <iostream>

namespace beacongate
{
namespace
{
constexpr const char* kVersion = "beacongate 0.1.0";

/// Adds an option that is parsed as "IP:port".
CLI::Option* addAddress(CLI::App& _app, const std::string& _flag, Address& _address, const std::string& _help)
{
	const CLI::callback_t read = [&_address, _flag](const CLI::results_t& _values)
	{
		try
		{
			_address = readAddress(_values.front(), _flag, Failure::SettingInvalid);
		}
		catch (const Error& error)
		{
			throw CLI::ValidationError(error.what());
		}
		return true;
	};
	return _app.add_option(_flag, read, _help)->type_name("IP:PORT");
}

/// Adds an option that is parsed as a number of milliseconds.
CLI::Option* addMillis(CLI::App& _app, const std::string& _flag, Micros& _span, const std::string& _help)
{
	const CLI::callback_t read = [&_span, _flag](const CLI::results_t& _values)
	{
		std::int64_t millis = 0;
		if (!CLI::detail::lexical_cast(_values.front(), millis) || millis < 0 || millis > 3'600'000)
		{
			throw CLI::ValidationError(_flag + ": has to be 0 to 3600000");
		}
		_span = millis * kMillisecond;
		return true;
	};
	return _app.add_option(_flag, read, _help)->type_name("MILLISECONDS");
}

int parse(CLI::App& _app, int _argc, const char* const* _argv, bool& _shouldExit)
{
	_shouldExit = false;
	try
	{
		_app.parse(_argc, _argv);
		return kExitOk;
	}
	catch (const CLI::Success& success)
	{
		_shouldExit = true;
		return _app.exit(success);
	}
	catch (const CLI::ParseError& error)
	{
		_shouldExit = true;
		std::cerr << _app.get_name() << ": " << error.what() << '\n';
		return kExitSettings;
	}
}

void requireName(const std::string& _flag, const std::string& _value)
{
	const auto isNameChar = [](char _c)
	{
		return std::isalnum(static_cast<unsigned char>(_c)) || '-' == _c || '_' == _c || '.' == _c;
	};
	if (_value.empty() || _value.size() > 64 || !std::all_of(_value.begin(), _value.end(), isNameChar))
	{
		throw Error(Failure::SettingInvalid, _flag + ": has to be 1 to 64 letters, digits, '-', '_' or '.'");
	}
}

/// Runs a check of settings and prints its error as one line.
template <typename Check> int validate(const CLI::App& _app, bool& _shouldExit, Check _check)
{
	try
	{
		_check();
		return kExitOk;
	}
	catch (const Error& error)
	{
		_shouldExit = true;
		std::cerr << _app.get_name() << ": " << error.what() << '\n';
		return kExitSettings;
	}
}
} // namespace

int readEntryOptions(int _argc, const char* const* _argv, EntryOptions& _options, bool& _shouldExit)
{
	CLI::App app("Accepts callers' requests and forwards them to backend servers.", "beacongate-entry");
	app.set_version_flag("--version", kVersion);
	app.add_option("--id", _options.id, "Id of this entry, unchanged by a restart")
		->envname("BEACONGATE_ID")
		->required();
	app.add_option("--data-centre", _options.dataCentre, "Data centre of this VM")
		->envname("BEACONGATE_DATA_CENTRE")
		->required();
	addAddress(app, "--listen", _options.listen, "Address for callers")->envname("BEACONGATE_LISTEN")->required();
	addAddress(app, "--internal", _options.internal, "Address for control, other entries and operators")
		->envname("BEACONGATE_INTERNAL")
		->required();
	addMillis(app, "--stop-grace-ms", _options.stopGrace,
			  "How long requests are still accepted after SIGTERM [2000]")
		->envname("BEACONGATE_STOP_GRACE_MS");
	addMillis(app, "--stop-notice-ms", _options.stopNotice, "Time limit of a stop after SIGTERM [30000]")
		->envname("BEACONGATE_STOP_NOTICE_MS");
	app.add_option("--seed", _options.seed, "Seed of the random generator [1]")->envname("BEACONGATE_SEED");
	const int code = parse(app, _argc, _argv, _shouldExit);
	if (_shouldExit)
	{
		return code;
	}
	return validate(app, _shouldExit,
					[&]
					{
						requireName("--id", _options.id);
						requireName("--data-centre", _options.dataCentre);
						if (_options.stopGrace > _options.stopNotice)
						{
							throw Error(Failure::SettingInvalid,
										"--stop-grace-ms: is larger than --stop-notice-ms");
						}
						if (_options.listen == _options.internal && 0 != _options.listen.port)
						{
							throw Error(Failure::SettingInvalid, "--internal: is the same address as --listen");
						}
					});
}

int readControlOptions(int _argc, const char* const* _argv, ControlOptions& _options, bool& _shouldExit)
{
	CLI::App app("Provides the entry on this VM with configuration, roster and VM list.", "beacongate-control");
	app.set_version_flag("--version", kVersion);
	ControlSettings& core = _options.core;
	Address vmList;
	std::vector<std::string> seeds;
	app.add_option("--id", core.id, "Id of the entry on this VM")->envname("BEACONGATE_ID")->required();
	app.add_option("--region", core.region, "Region of this VM")->envname("BEACONGATE_REGION")->required();
	app.add_option("--data-centre", core.dataCentre, "Data centre of this VM")
		->envname("BEACONGATE_DATA_CENTRE")
		->required();
	app.add_option("--vm", core.vm, "Id of this VM in the VM list")->envname("BEACONGATE_VM")->required();
	addAddress(app, "--listen", _options.listen, "Address for other controls and operators")
		->envname("BEACONGATE_CONTROL_LISTEN")
		->required();
	addAddress(app, "--entry", _options.entry, "Internal address of the entry on this VM")
		->envname("BEACONGATE_ENTRY")
		->required();
	addAddress(app, "--store", _options.store, "Address of the key-value service")
		->envname("BEACONGATE_STORE")
		->required();
	CLI::Option* list =
		addAddress(app, "--vm-list", vmList, "Address of the VM list")->envname("BEACONGATE_VM_LIST");
	app.add_option("--peer", seeds, "Address of another control, used until there is a roster")
		->type_name("IP:PORT")
		->envname("BEACONGATE_PEERS");
	app.add_option("--seed", core.seed, "Seed of the random generator [1]")->envname("BEACONGATE_SEED");
	const int code = parse(app, _argc, _argv, _shouldExit);
	if (_shouldExit)
	{
		return code;
	}
	return validate(app, _shouldExit,
					[&]
					{
						requireName("--id", core.id);
						requireName("--region", core.region);
						requireName("--data-centre", core.dataCentre);
						requireName("--vm", core.vm);
						for (const std::string& seed : seeds)
						{
							core.seeds.push_back(readAddress(seed, "--peer", Failure::SettingInvalid));
						}
						if (_options.listen == _options.entry)
						{
							throw Error(Failure::SettingInvalid, "--entry: is the same address as --listen");
						}
						if (list->count() > 0)
						{
							_options.vmList = vmList;
						}
						core.hasVmList = _options.vmList.has_value();
						core.peerAddress = _options.entry;
						core.controlAddress = _options.listen;
					});
}

void blockStopSignals()
{
	sigset_t set;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, nullptr);
	std::signal(SIGPIPE, SIG_IGN);
}

bool waitForStopSignal(Micros _span)
{
	sigset_t set;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	timespec span{};
	span.tv_sec = _span / kSecond;
	span.tv_nsec = _span % kSecond * 1000;
	return 0 < sigtimedwait(&set, nullptr, &span);
}

} // namespace beacongate
