// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/tunnelcodec.h"

#include "protocol/json.h"

#include <algorithm>
#include <array>

namespace beacongate
{
namespace
{
/// Longest connection timeout that is accepted from another gateway.
constexpr Micros kMaxConnectSpan = 2 * kSecond;
constexpr std::string_view kPlainTunnel = "beacongate-tunnel";
constexpr std::string_view kFramedTunnel = "beacongate-framed-tunnel";

struct VerdictStatus
{
	TunnelVerdict verdict;
	unsigned status;
	std::string_view name;
};

constexpr std::array kStatuses = {
	VerdictStatus{TunnelVerdict::Connected, 101, "connected"},
	VerdictStatus{TunnelVerdict::Refused, 502, "refused"},
	VerdictStatus{TunnelVerdict::Unreachable, 504, "unreachable"},
	VerdictStatus{TunnelVerdict::Unlisted, 404, "unlisted"},
	VerdictStatus{TunnelVerdict::Unable, 503, "unable"},
};

const VerdictStatus& find(TunnelVerdict _verdict)
{
	return *std::find_if(kStatuses.begin(), kStatuses.end(),
						 [_verdict](const VerdictStatus& _entry) { return _entry.verdict == _verdict; });
}
} // namespace

std::string_view toString(TunnelVerdict _verdict)
{
	return find(_verdict).name;
}

unsigned statusOf(TunnelVerdict _verdict)
{
	return find(_verdict).status;
}

TunnelVerdict tunnelVerdictOf(unsigned _status)
{
	const auto* entry = std::find_if(kStatuses.begin(), kStatuses.end(),
									 [_status](const VerdictStatus& _entry) { return _entry.status == _status; });
	return entry == kStatuses.end() ? TunnelVerdict::Unable : entry->verdict;
}

std::string formatTunnelRequest(const BackendIdentity& _backend, Micros _connectSpan)
{
	const Json fields = {{"backend", _backend.id},
						 {"born", _backend.born},
						 {"connect_ms", _connectSpan / kMillisecond},
						 {"frames", true}};
	const std::string body = fields.dump(-1, ' ', false, Json::error_handler_t::replace);
	return "POST " + std::string(kTunnelPath) +
		   " HTTP/1.1\r\nHost: gateway\r\nConnection: Upgrade\r\nUpgrade: " + std::string(kPlainTunnel) +
		   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string formatTunnelOpened(bool _frames)
{
	return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " +
		   std::string(_frames ? kFramedTunnel : kPlainTunnel) + "\r\n\r\n";
}

bool announcesFrames(std::string_view _upgrade)
{
	return _upgrade == kFramedTunnel;
}

std::optional<TunnelRequest> parseTunnelRequest(std::string_view _body)
{
	try
	{
		const Json fields = parseJson(_body, Failure::MalformedRequest);
		TunnelRequest request;
		request.backend.id = readMember<std::string>(fields, "backend", "tunnel", Failure::MalformedRequest);
		request.backend.born = readMember<std::uint64_t>(fields, "born", "tunnel", Failure::MalformedRequest);
		const auto millis = readMember<std::int64_t>(fields, "connect_ms", "tunnel", Failure::MalformedRequest);
		request.connectSpan = std::clamp<std::int64_t>(millis, 1, kMaxConnectSpan / kMillisecond) * kMillisecond;
		request.frames = fields.contains("frames") && fields["frames"] == true;
		return request;
	}
	catch (const Error&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
