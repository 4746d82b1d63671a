// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The keys that gateways write in the store.

#ifndef BEACONGATE_GATEWAY_MEMBERKEYS_H
#define BEACONGATE_GATEWAY_MEMBERKEYS_H

#include "coordination/kvtypes.h"
#include "coordination/relaychoice.h"

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace beacongate
{
/// The gateway's name follows; the value is a MemberRecord.
inline constexpr std::string_view kMemberPrefix = "beacongate/members/";
inline constexpr std::string_view kUsagePrefix = "beacongate/usage/"; ///< The window's number follows.
inline constexpr const char* kHolderKey = "beacongate/holder";        ///< Held under the lease of the duty holder.
inline constexpr const char* kFenceKey = "beacongate/fence";          ///< The holder's fencing token.

inline constexpr const char* kLevelsKey = "beacongate/levels";     ///< Levels of the teams' quotas.
inline constexpr const char* kCountsKey = "beacongate/counts";     ///< Usage counts of all gateways.
inline constexpr const char* kVersionsKey = "beacongate/versions"; ///< Software versions, see VersionLog.

/// The data centre, a slash and the number of a slot follow; the value is the host of a relay, see RelaySlots.
inline constexpr std::string_view kRelaySlotPrefix = "beacongate/relays/";

/// @returns the prefix of the keys that name the relays of a data centre.
inline std::string relaySlotPrefix(const std::string& _dataCentre)
{
	return std::string(kRelaySlotPrefix) + _dataCentre + '/';
}

/// @returns true if a key registers a gateway.
inline bool isMemberKey(std::string_view _key)
{
	return _key.substr(0, kMemberPrefix.size()) == kMemberPrefix;
}

/// The gateway's name follows; the value lists streams that began there, see OriginLogWriter.
inline constexpr std::string_view kOriginsPrefix = "beacongate/origins/";

/// @returns true if a key holds a gateway's record for its successor, by which nothing is routed.
inline bool isBookkeepingKey(std::string_view _key)
{
	return _key.substr(0, kOriginsPrefix.size()) == kOriginsPrefix || _key == kLevelsKey || _key == kCountsKey ||
		   _key == kFenceKey || _key.substr(0, kUsagePrefix.size()) == kUsagePrefix;
}

/// @returns the key that registers a gateway.
inline std::string memberKey(const std::string& _name)
{
	return std::string(kMemberPrefix) + _name;
}

/// @returns the key under which a gateway records its streams.
inline std::string originsKey(const std::string& _name)
{
	return std::string(kOriginsPrefix) + _name;
}

/// @returns the value that registers a gateway: its host, its data centre and its CPU share, separated by spaces.
inline std::string encodeMember(const MemberRecord& _member)
{
	return _member.host + ' ' + _member.dataCentre + ' ' + std::to_string(_member.cpuPercent);
}

/// @returns the record in a value; missing or invalid fields stay empty.
inline MemberRecord decodeMember(const std::string& _value)
{
	MemberRecord record;
	std::istringstream fields(_value);
	fields >> record.host >> record.dataCentre >> record.cpuPercent;
	return record;
}

/// @returns the host of the duty holder; nothing if the content does not give it.
inline std::optional<std::string> holderHost(const StoreContent& _content)
{
	const auto holder = _content.items.find(kHolderKey);
	if (holder == _content.items.end())
	{
		return std::nullopt;
	}
	const std::string name = holder->second.value.substr(0, holder->second.value.find(' '));
	const auto member = _content.items.find(memberKey(name));
	return member == _content.items.end() ? std::nullopt : std::optional(decodeMember(member->second.value).host);
}

/// @returns the key that holds the final counts of a window.
inline std::string usageKey(std::uint64_t _window)
{
	return std::string(kUsagePrefix) + std::to_string(_window);
}

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_MEMBERKEYS_H
