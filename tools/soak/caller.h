// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A caller that sends requests over kept connections and notes what it got.

#ifndef BEACONGATE_TOOLS_SOAK_CALLER_H
#define BEACONGATE_TOOLS_SOAK_CALLER_H

#include "beacongate/config.h"
#include "soak/observations.h"

#include <string>

namespace beacongate::soak
{
/// One connection to a gateway.
class CallerConnection
{
public:
	/// Time for a connection to come up, and for an answer.
	static constexpr Micros kConnectSpan = 1 * kSecond;
	static constexpr Micros kAnswerSpan = 5 * kSecond;

	explicit CallerConnection(const Address& _gateway);
	~CallerConnection();
	CallerConnection(const CallerConnection&) = delete;
	CallerConnection& operator=(const CallerConnection&) = delete;

	/// @returns whether a request can be sent.
	bool open() const
	{
		return m_socket >= 0;
	}

	/// Sends a request and reads its answer.
	/// @param[in,out] _request Id, kind and key are given; the rest is filled in.
	void exchange(ObservedRequest& _request);

	/// Closes the connection.
	void close();

private:
	bool sendAll(const std::string& _bytes, Micros _until);
	void readAnswer(ObservedRequest& _request, Micros _until);

	int m_socket = -1;
	std::string m_input;
};

/// @returns the path that requests of a kind are sent to.
const char* pathOf(RequestKind _kind);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_CALLER_H
