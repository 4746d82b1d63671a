// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stored datagrams of earlier builds.

#ifndef BEACONGATE_TESTS_GOLDEN_H
#define BEACONGATE_TESTS_GOLDEN_H

#include <cstddef>
#include <fstream>
#include <string>

namespace beacongate::test
{
/// @returns the bytes of a stored datagram.
/// @param[in] _name Its file in tests/golden, without extension.
inline std::string readGoldenDatagram(const std::string& _name)
{
	std::ifstream stream(std::string(BEACONGATE_TESTS) + "/golden/" + _name + ".hex");
	std::string digits;
	stream >> digits;
	std::string bytes;
	for (std::size_t index = 0; index + 1 < digits.size(); index += 2)
	{
		bytes.push_back(static_cast<char>(std::stoi(digits.substr(index, 2), nullptr, 16)));
	}
	return bytes;
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_GOLDEN_H
