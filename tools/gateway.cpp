// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-gateway: runs one gateway on a VM of the platform.

#include "gateway/gateway.h"
#include "daemon/logging.h"
#include "daemon/options.h"
#include "platform/settings.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

int main(int _argc, char** _argv)
{
	using namespace beacongate;
	CLI::App app("Forwards callers' requests to backend servers. Runs on a VM of the platform.",
				 "beacongate-gateway");
	std::string path;
	bool checkOnly = false;
	app.add_option("--settings", path, "Settings file; if left out, the platform's environment variable names it");
	app.add_flag("--check", checkOnly, "Check the settings file and exit");
	std::uint16_t metricsPort = 0;
	app.add_option("--metrics-port", metricsPort,
				   "Port on the callers' host that serves metrics; 0 serves none [0]")
		->envname("BEACONGATE_METRICS_PORT");
	FeatureSettings features;
	const auto addFeature = [&app](const char* _name, bool& _enabled, const char* _variable, const char* _what)
	{
		app.add_option_function<std::string>(
			   _name, [&_enabled](const std::string& _value) { _enabled = _value == "auto"; },
			   std::string(_what) + ": auto where the deployment calls for it, or off [auto]")
			->check(CLI::IsMember({"auto", "off"}))
			->envname(_variable);
	};
	addFeature("--server-speeds", features.serverSpeeds, "BEACONGATE_SERVER_SPEEDS",
			   "Use the speeds that backend servers state");
	addFeature("--admission", features.admission, "BEACONGATE_ADMISSION",
			   "Refuse model requests that cannot be answered in time");
	addFeature("--exact-slots", features.exactSlots, "BEACONGATE_EXACT_SLOTS",
			   "Grant the slots of small plain services one by one");
	CLI11_PARSE(app, _argc, _argv);
	std::signal(SIGPIPE, SIG_IGN);
	try
	{
		const std::string settingsFile = path.empty() ? platform::settingsPath() : path;
		const auto load = [settingsFile, metricsPort, features]
		{
			GatewaySettings loaded = platform::loadSettings(settingsFile);
			loaded.metricsPort = metricsPort;
			loaded.features = features;
			return loaded;
		};
		const GatewaySettings settings = load();
		if (checkOnly)
		{
			return kExitOk;
		}
		initStdoutLogging(_argv[0]);
		Gateway gateway(settings, load);
		gateway.init();
		gateway.run();
		flushStdoutLogging();
	}
	catch (const Error& error)
	{
		std::cerr << "beacongate-gateway: " << error.what() << '\n';
		return kExitSettings;
	}
	return kExitOk;
}
