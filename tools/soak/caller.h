// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A caller that sends requests over persistent connections and records the outcomes.

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
	/// Timeouts for establishing a connection and for receiving an answer.
	static constexpr Micros kConnectTimeout = 1 * kSecond;
	static constexpr Micros kAnswerTimeout = 5 * kSecond;

	explicit CallerConnection(const Address& _gateway);
	~CallerConnection();
	CallerConnection(const CallerConnection&) = delete;
	CallerConnection& operator=(const CallerConnection&) = delete;

	/// @returns true if a request can be sent.
	bool open() const
	{
		return m_socket >= 0;
	}

	/// Sends a request and reads its answer.
	/// @param[in,out] _request Request with id, kind and key set; the outcome is filled in.
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
