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
	CLI11_PARSE(app, _argc, _argv);
	std::signal(SIGPIPE, SIG_IGN);
	try
	{
		const std::string settingsFile = path.empty() ? platform::settingsPath() : path;
		const auto load = [settingsFile]
		{
			return platform::loadSettings(settingsFile);
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
