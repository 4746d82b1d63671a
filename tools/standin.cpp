// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-standin: runs stand-ins for services of the platform, for the demo and for manual tests.

#include "daemon/logging.h"
#include "daemon/options.h"
#include "protocol/configdoc.h"
#include "standin/cloud.h"
#include "standin/engine.h"
#include "standin/platformdemo.h"
#include "standin/service.h"
#include "standin/store.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace
{
using namespace beacongate;

template <typename Standin> int serve(Standin& _standin, IoLoop& _loop, const Address& _address, const char* _kind)
{
	_standin.init(_address);
	_loop.init();
	logEvent(LogLevel::Info, "standin-started", {{"kind", _kind}, {"port", std::to_string(_standin.port())}});
	while (!waitForStopSignal(kSecond))
	{
	}
	_loop.shutdown();
	return kExitOk;
}
} // namespace

int main(int _argc, char** _argv)
{
	CLI::App app("Stand-ins for engines, services, the store, the VM list and the platform; tests only.",
				 "beacongate-standin");
	std::string kind;
	std::string listen;
	app.add_option("kind", kind, "Service to simulate")
		->required()
		->check(CLI::IsMember({"engine", "service", "store", "cloud", "platform"}));
	app.add_option("--listen", listen, "Address")->required();
	CLI11_PARSE(app, _argc, _argv);
	initLogging(_argv[0]);
	blockStopSignals();
	try
	{
		const Address address = readAddress(listen, "--listen", Failure::SettingInvalid);
		if ("platform" == kind)
		{
			const standin::PlatformDemo demo(address);
			logEvent(LogLevel::Info, "standin-started", {{"kind", kind}, {"port", std::to_string(address.port)}});
			while (!waitForStopSignal(kSecond))
			{
			}
			return kExitOk;
		}
		IoLoop loop;
		if ("engine" == kind)
		{
			standin::Engine engine(loop, {});
			return serve(engine, loop, address, "engine");
		}
		if ("service" == kind)
		{
			standin::Service service(loop);
			return serve(service, loop, address, "service");
		}
		if ("store" == kind)
		{
			standin::Store store(loop);
			return serve(store, loop, address, "store");
		}
		standin::Cloud cloud(loop);
		return serve(cloud, loop, address, "cloud");
	}
	catch (const Error& error)
	{
		std::cerr << "beacongate-standin: " << error.what() << '\n';
		return kExitSettings;
	}
}
