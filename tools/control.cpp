// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-control: runs one control process until a stop signal.

#include "daemon/logging.h"
#include "daemon/options.h"

int main(int _argc, char** _argv)
{
	using namespace beacongate;
	ControlOptions options;
	bool ended = false;
	const int code = readControlOptions(_argc, _argv, options, ended);
	if (ended)
	{
		return code;
	}
	initLogging(_argv[0]);
	blockStopSignals();
	try
	{
		ControlApp app(options);
		app.init();
		while (!waitForStopSignal(kSecond))
		{
		}
		app.shutdown();
		logEvent(LogLevel::Info, "control-stopped", {{"id", options.core.id}});
	}
	catch (const Error& error)
	{
		logEvent(LogLevel::Error, "start-failed", {{"detail", error.what()}});
		return kExitSettings;
	}
	return kExitOk;
}
