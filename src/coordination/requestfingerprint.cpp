// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/requestfingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace beacongate
{
namespace
{
struct StateDeleter
{
	void operator()(XXH3_state_t* _state) const
	{
		XXH3_freeState(_state);
	}
};

/// Adds a field and its length, so that bytes cannot move from one field to the next without a different hash.
void addField(XXH3_state_t* _state, std::string_view _field)
{
	const std::uint64_t length = _field.size();
	XXH3_128bits_update(_state, &length, sizeof length);
	XXH3_128bits_update(_state, _field.data(), _field.size());
}

template <typename Number> bool parseHex(std::string_view _digits, Number& _number)
{
	const auto [end, error] = std::from_chars(_digits.data(), _digits.data() + _digits.size(), _number, 16);
	return error == std::errc{} && end == _digits.data() + _digits.size();
}
/// Value of `high` in the fingerprint of a part. A request has it with a probability of 2^-64.
constexpr std::uint64_t kPartMarker = 0x70726F6D70742D70;
/// The same in the fingerprint of an overload.
constexpr std::uint64_t kOverloadMarker = 0x6F7665726C6F6164;
} // namespace

RequestFingerprint partFingerprintOf(std::uint32_t _teamHash, std::uint64_t _part)
{
	return {_teamHash, kPartMarker, _part};
}

bool isPart(const RequestFingerprint& _fingerprint)
{
	return _fingerprint.high == kPartMarker;
}

RequestFingerprint overloadFingerprintOf(BackendKey _backend)
{
	return {0, kOverloadMarker, _backend.value};
}

bool isOverload(const RequestFingerprint& _fingerprint)
{
	return _fingerprint.high == kOverloadMarker;
}

RequestFingerprint fingerprintOf(const RequestContent& _content)
{
	const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
	XXH3_128bits_reset(state.get());
	for (const std::string_view field : {_content.host, _content.method, _content.target, _content.body})
	{
		addField(state.get(), field);
	}
	if (!_content.prompt.empty())
	{
		addField(state.get(), _content.prompt);
	}
	const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
	return {XXH32(_content.team.data(), _content.team.size(), 0), hash.high64, hash.low64};
}

std::string toString(const RequestFingerprint& _fingerprint)
{
	std::array<char, 41> text{};
	std::snprintf(text.data(), text.size(), "%08x%016llx%016llx", _fingerprint.team,
				  static_cast<unsigned long long>(_fingerprint.high),
				  static_cast<unsigned long long>(_fingerprint.low));
	return text.data();
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view _text)
{
	constexpr std::size_t kTeamDigits = 8;
	constexpr std::size_t kHashDigits = 16;
	RequestFingerprint fingerprint;
	if (_text.size() != kTeamDigits + 2 * kHashDigits ||
		!parseHex(_text.substr(0, kTeamDigits), fingerprint.team) ||
		!parseHex(_text.substr(kTeamDigits, kHashDigits), fingerprint.high) ||
		!parseHex(_text.substr(kTeamDigits + kHashDigits), fingerprint.low))
	{
		return std::nullopt;
	}
	return fingerprint;
}

} // namespace beacongate
