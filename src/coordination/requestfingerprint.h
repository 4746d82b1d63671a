// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Identifies the content of a request, so that a request is recognised when it is sent again under another id.

#ifndef BEACONGATE_COORDINATION_REQUESTFINGERPRINT_H
#define BEACONGATE_COORDINATION_REQUESTFINGERPRINT_H

#include "coordination/backendkey.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// The fields of a request that decide what a backend server computes.
struct RequestContent
{
	std::string_view team; ///< Empty for anonymous callers.
	std::string_view host;
	std::string_view method;
	std::string_view target; ///< Path and query.
	std::string_view body;
	std::string_view prompt = {}; ///< Description of the prompt, where headers tell prompts apart.
};

/// Hash of a request's content. The hash of the team is a field of its own: no content of one team's request,
/// however it is chosen, gives the fingerprint of another team's request.
struct RequestFingerprint
{
	std::uint32_t team = 0;
	std::uint64_t high = 0;
	std::uint64_t low = 0;

	auto operator<=>(const RequestFingerprint&) const = default;
	bool operator==(const RequestFingerprint&) const = default;
};

/// What a crash can be charged to: a request, and the parts of its prompt that it may share with others.
struct CrashSubjects
{
	/// Parts that are considered, which bounds the work for each request.
	static constexpr std::size_t kMaxParts = 16;

	RequestFingerprint request;
	std::vector<RequestFingerprint> parts = {}; ///< See partFingerprintOf().
};

/// @returns a stand-in for all requests of one team that have a part in their prompts. The team is a field of its
/// own, so that no team can have another one's requests blocked.
RequestFingerprint partFingerprintOf(std::uint32_t _teamHash, std::uint64_t _part);

/// @returns true if partFingerprintOf() returned a fingerprint; its field `low` is then the part's id.
bool isPart(const RequestFingerprint& _fingerprint);

/// @returns a stand-in for the overload of an incarnation of a backend server, for which a ledger of crashes keeps
/// a record. No request has it.
RequestFingerprint overloadFingerprintOf(BackendKey _backend);

/// @returns true if overloadFingerprintOf() returned a fingerprint.
bool isOverload(const RequestFingerprint& _fingerprint);

/// @returns the fingerprint of a request.
RequestFingerprint fingerprintOf(const RequestContent& _content);

/// @returns the fingerprint as 40 hexadecimal digits, for logs and operators.
std::string toString(const RequestFingerprint& _fingerprint);

/// @returns the fingerprint with this text; nullopt if it is none.
std::optional<RequestFingerprint> parseFingerprint(std::string_view _text);

/// Hash function for hash tables; the fingerprint is a hash already.
struct RequestFingerprintHash
{
	std::size_t operator()(const RequestFingerprint& _fingerprint) const
	{
		return static_cast<std::size_t>(_fingerprint.low);
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_REQUESTFINGERPRINT_H
