// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Compares transcripts of whole scenarios with the files in tests/golden. BEACONGATE_UPDATE_GOLDEN=1 rewrites the
/// files.

#include "fleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace beacongate::test
{
namespace
{
void expectGolden(const Fleet& _fleet, const std::string& _name)
{
	const std::string path = std::string(BEACONGATE_TESTS) + "/golden/" + _name + ".txt";
	std::string text;
	for (const std::string& line : _fleet.transcript)
	{
		text += line + '\n';
	}
	if (nullptr != std::getenv("BEACONGATE_UPDATE_GOLDEN"))
	{
		std::ofstream(path) << text;
		return;
	}
	std::ifstream stream(path);
	std::ostringstream expected;
	expected << stream.rdbuf();
	EXPECT_EQ(expected.str(), text);
}

void announceLeaving(Fleet& _fleet, const std::string& _vm, Micros _notice)
{
	Snapshot snapshot;
	snapshot.vms.leaving.emplace(_vm, _notice);
	_fleet.note("the VM list shows " + _vm + " as leaving");
	for (std::size_t ii = 0; ii < _fleet.nodes.size(); ++ii)
	{
		_fleet.send(ii, SnapshotArrived{snapshot});
	}
}

void deliverAll(Fleet& _fleet)
{
	while (!_fleet.messages.empty())
	{
		_fleet.deliver(0);
	}
}

std::size_t homeNode(const Fleet& _fleet, const std::string& _key)
{
	return static_cast<std::size_t>(homeOf(_key, _fleet.roster())->entry.id.back() - '0');
}
} // namespace

TEST(Golden, aReclaimedEnginesStreamResumesOnAnother)
{
	Fleet fleet(1, 2);
	fleet.transcript.clear();
	fleet.call(0, "m", "intake", "", 0, 20 * kSecond, 4, 0);
	fleet.end(0, Ending::Token);
	fleet.end(0, Ending::Token);
	announceLeaving(fleet, "vm0", 0);
	fleet.end(1, Ending::Token);
	fleet.end(0, Ending::Token);
	fleet.end(1, Ending::Answer);
	expectGolden(fleet, "reclaim");
}

TEST(Golden, aRequestIsSentTwiceAndItsHomeIsLost)
{
	Fleet fleet(3, 1);
	fleet.transcript.clear();
	const std::size_t home = homeNode(fleet, "a/log/pallet-7");
	const std::size_t first = (home + 1) % 3;
	const std::size_t second = (home + 2) % 3;
	fleet.call(first, "log", "pallet-7", 3);
	deliverAll(fleet);
	fleet.call(second, "log", "pallet-7", 3);
	deliverAll(fleet);
	fleet.note("the home is killed and its VM ends");
	fleet.kill(home);
	fleet.changeRoster(withLost(fleet.roster(), fleet.self(home)));
	fleet.giveRoster(first, fleet.rosters.size() - 1);
	fleet.giveRoster(second, fleet.rosters.size() - 1);
	deliverAll(fleet);
	fleet.end(0, Ending::Answer);
	deliverAll(fleet);
	fleet.call(second, "log", "pallet-7", 3);
	deliverAll(fleet);
	fleet.call(second, "log", "pallet-8", 3);
	deliverAll(fleet);
	fleet.call(second, "log", "pallet-9", 4);
	deliverAll(fleet);
	expectGolden(fleet, "reservation");
}

TEST(Golden, anEntryStopsBeforeItsStreamEnds)
{
	Fleet fleet(2, 2);
	fleet.transcript.clear();
	const ExchangeId exchange = fleet.call(0, "m", "script", "", 2, 60 * kSecond, 5, 0);
	fleet.end(0, Ending::Token);
	fleet.end(0, Ending::Token);
	fleet.note("e0 is told to stop within 4 s");
	fleet.send(0, StopRequested{4 * kSecond});
	fleet.changeRoster(withDeparted(fleet.roster(), fleet.self(0)));
	fleet.giveRoster(0, fleet.rosters.size() - 1);
	fleet.giveRoster(1, fleet.rosters.size() - 1);
	deliverAll(fleet);
	fleet.tick(2 * kSecond);
	deliverAll(fleet);
	fleet.call(1, "m", "script", fleet.callers[exchange].movedKey, 2, 60 * kSecond, 5,
			   fleet.callers[exchange].next);
	deliverAll(fleet);
	fleet.end(1, Ending::Answer);
	expectGolden(fleet, "stop");
}

} // namespace beacongate::test
