// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-entry: runs one entry until a stop signal, then drains it and shuts it down.

#include "daemon/logging.h"
#include "daemon/options.h"

int main(int _argc, char** _argv)
{
	using namespace beacongate;
	EntryOptions options;
	bool ended = false;
	const int code = readEntryOptions(_argc, _argv, options, ended);
	if (ended)
	{
		return code;
	}
	initLogging(_argv[0]);
	blockStopSignals();
	try
	{
		EntryApp app(options);
		app.init();
		while (!waitForStopSignal(kSecond))
		{
		}
		app.requestStop();
		while (!app.stopped())
		{
			waitForStopSignal(10 * kMillisecond);
		}
		app.linger(2 * kSecond);
		app.shutdown();
		logEvent(LogLevel::Info, "entry-stopped", {{"id", options.id}});
	}
	catch (const Error& error)
	{
		logEvent(LogLevel::Error, "start-failed", {{"detail", error.what()}});
		return kExitSettings;
	}
	return kExitOk;
}
