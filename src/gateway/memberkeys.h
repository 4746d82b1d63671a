// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The keys that gateways keep in the store.

#ifndef BEACONGATE_GATEWAY_MEMBERKEYS_H
#define BEACONGATE_GATEWAY_MEMBERKEYS_H

#include "coordination/relaychoice.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace beacongate
{
inline constexpr std::string_view kMemberPrefix = "beacongate/members/"; ///< Then the name; the value is a record.
inline constexpr std::string_view kUsagePrefix = "beacongate/usage/";    ///< Then the window's number.
inline constexpr const char* kHolderKey = "beacongate/holder";           ///< Leased to the holder of the duties.
inline constexpr const char* kFenceKey = "beacongate/fence";             ///< The holder's fencing token.

inline constexpr const char* kLevelsKey = "beacongate/levels"; ///< What is left of the teams' quotas.
inline constexpr const char* kCountsKey = "beacongate/counts"; ///< Usage counts of all gateways.

/// @returns whether a key registers a gateway.
inline bool isMemberKey(std::string_view _key)
{
	return _key.substr(0, kMemberPrefix.size()) == kMemberPrefix;
}

/// @returns the key that registers a gateway.
inline std::string memberKey(const std::string& _name)
{
	return std::string(kMemberPrefix) + _name;
}

/// @returns the value that registers a gateway: its host, a space and its data centre.
inline std::string encodeMember(const MemberRecord& _member)
{
	return _member.host + ' ' + _member.dataCentre;
}

/// @returns the record in a value.
inline MemberRecord decodeMember(const std::string& _value)
{
	const std::size_t space = _value.find(' ');
	return {_value.substr(0, space), space == std::string::npos ? "" : _value.substr(space + 1)};
}

/// @returns the key under which a window's counts are fixed.
inline std::string usageKey(std::uint64_t _window)
{
	return std::string(kUsagePrefix) + std::to_string(_window);
}

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_MEMBERKEYS_H
