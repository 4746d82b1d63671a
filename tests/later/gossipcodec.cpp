// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Gossip encoder of a simulated later build: the current encoder, with the next format number and one more field.

// Renames the current encoder; this file replaces the library's gossipcodec.cpp in the program.
#define encodeGossip encodeCurrentGossip
#include "protocol/gossipcodec.cpp" // NOLINT(bugprone-suspicious-include): the encoder has to be compiled under another name.
#undef encodeGossip

namespace beacongate
{
std::string encodeGossip(const GossipMessage& _message);

std::string encodeGossip(const GossipMessage& _message)
{
	Json fields = Json::from_msgpack(encodeCurrentGossip(_message));
	fields[0] = kFormat + 1;
	fields.push_back("a field that is not known yet");
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	return bytes;
}

} // namespace beacongate
