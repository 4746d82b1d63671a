// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-soak: runs gateways as processes under random faults and checks the promises.

#include "soak/soak.h"
#include "beacongate/errors.h"
#include "daemon/options.h"
#include "soak/checker.h"
#include "soak/crashcheck.h"
#include "soak/quotacheck.h"
#include "soak/report.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <map>

namespace
{
using namespace beacongate;

constexpr int kExitBroken = 1;

/// Runs the soak of one seed and prints its findings.
/// @returns true if all promises were kept.
bool runSeed(soak::SoakOptions _options, const std::string& _report)
{
	const std::filesystem::path directory =
		std::filesystem::path(_options.directory) / ("seed-" + std::to_string(_options.seed));
	std::filesystem::remove_all(directory);
	std::filesystem::create_directories(directory);
	_options.directory = directory;
	const soak::Observations seen = soak::Soak(_options).run();
	const std::vector<soak::Finding> findings = soak::check(seen);
	const auto served = std::count_if(seen.requests.begin(), seen.requests.end(),
									  [](const soak::ObservedRequest& _request)
									  { return _request.status == 200 && _request.complete; });
	std::cout << "seed " << _options.seed << ": " << seen.requests.size() << " requests, " << served << " served, "
			  << seen.disruptions.size() << " disruptions, " << seen.stops.size() << " stops, " << seen.replaced
			  << " replaced by another build, " << seen.departures.size() << " departures, " << seen.keys.size()
			  << " configurations, " << seen.reports.size()
			  << " reports: " << (findings.empty() ? "kept" : "BROKEN") << std::endl;
	for (const soak::CrashSummary& crashes : soak::crashesOf(seen))
	{
		std::cout << "  " << crashes.content << ": crashed " << crashes.crashes << ", sent late "
				  << crashes.lateSends << std::endl;
	}
	for (const soak::TeamUsage& use : soak::usageOf(seen))
	{
		std::cout << "  team " << use.team << ": " << use.peak << " of " << use.tolerated
				  << " in 8 s at the most, asked " << use.asked << ", refused " << use.refused
				  << ", below its limit " << use.refusedBelow << " of " << use.askedBelow << std::endl;
	}
	for (const soak::Finding& finding : findings)
	{
		std::cout << "  " << soak::toString(finding.promise) << ": " << finding.detail << std::endl;
	}
	if (!_report.empty())
	{
		soak::writeReport(_report, _options.seed, seen, findings);
	}
	if (findings.empty())
	{
		std::filesystem::remove_all(directory);
	}
	return findings.empty();
}
} // namespace

int main(int _argc, char** _argv)
{
	CLI::App app("Runs gateways as processes under random faults and checks what callers and backend servers see.",
				 "beacongate-soak");
	soak::SoakOptions options;
	unsigned seeds = 1;
	double seconds = 20.0;
	std::string report;
	options.directory = "soak-logs";
	app.add_option("--seed", options.seed, "First seed [1]");
	app.add_option("--seeds", seeds, "Number of consecutive seeds to run [1]")->check(CLI::Range(1u, 1000u));
	const std::map<std::string, soak::SoakProfile> profiles{
		{"mixed", soak::SoakProfile::Mixed},
		{"departures", soak::SoakProfile::Departures},
		{"narrow-departures", soak::SoakProfile::NarrowDepartures},
		{"answers", soak::SoakProfile::Answers},
		{"crashes", soak::SoakProfile::Crashes},
		{"limits", soak::SoakProfile::Limits},
		{"limits-members", soak::SoakProfile::LimitsMembers},
		{"brittle", soak::SoakProfile::Brittle},
		{"brittle-members", soak::SoakProfile::BrittleMembers},
		{"uneven", soak::SoakProfile::Uneven},
		{"quotas", soak::SoakProfile::Quotas},
		{"lowered-quotas", soak::SoakProfile::LoweredQuotas}};
	app.add_option("--profile", options.profile,
				   "Faults to inject: mixed, departures, narrow-departures, answers, crashes, limits, brittle, "
				   "uneven, quotas "
				   "or lowered-quotas [mixed]")
		->transform(CLI::CheckedTransformer(profiles, CLI::ignore_case));
	app.add_option("--gateways", options.gateways, "Number of gateways [3]")
		->check(CLI::Range(1u, soak::Soak::kMaxGateways));
	app.add_option("--callers", options.callers, "Number of callers [6]")->check(CLI::Range(1u, 64u));
	app.add_option("--seconds", seconds, "Seconds in which faults are injected [20]")
		->check(CLI::Range(1.0, 3600.0));
	app.add_option("--gateway-program", options.program, "Path of beacongate-gateway")->required();
	app.add_option(
		"--old-program", options.oldProgram,
		"Path of another build: all gateways start with it, are upgraded one after the other, and half of them "
		"are rolled back");
	app.add_option("--logs", options.directory, "Directory for settings and logs of failed seeds [soak-logs]");
	app.add_option("--report", report, "Path of an HTML page with plots of the last seed");
	CLI11_PARSE(app, _argc, _argv);
	options.span = static_cast<Micros>(seconds * static_cast<double>(kSecond));
	bool kept = true;
	try
	{
		for (unsigned run = 0; run < seeds; ++run)
		{
			kept = runSeed(options, report) && kept;
			++options.seed;
		}
	}
	catch (const Error& error)
	{
		std::cerr << "beacongate-soak: " << error.what() << '\n';
		return kExitSettings;
	}
	return kept ? kExitOk : kExitBroken;
}
