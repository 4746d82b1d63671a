// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The store's content as gateways hand it to each other, in MessagePack.

#ifndef BEACONGATE_PROTOCOL_CONTENTCODEC_H
#define BEACONGATE_PROTOCOL_CONTENTCODEC_H

#include "coordination/contenthistory.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
inline constexpr std::string_view kContentPath = "/content";       ///< Of the whole content.
inline constexpr std::string_view kUpdatePath = "/content/since/"; ///< Then the revision that is known.

/// @returns the part of a whole content that all who ask get alike, compressed: 3,000 records of backend servers
/// are 50 kB in place of 513 kB (compressiontest).
std::string encodeContentBody(const StoreContent& _content);

/// @param[in] _age How long ago the content was certainly the newest.
/// @param[in] _body As encodeContentBody() made it.
std::string encodeContent(std::uint64_t _revision, Micros _age, const std::string& _body);

/// @param[in] _asked When the question was sent; the content counts as confirmed so much before it.
/// @returns nothing where the bytes are no content.
std::optional<StoreContent> decodeContent(std::string_view _bytes, Micros _asked);

/// @returns the part of an update that all who ask for it get alike, compressed.
std::string encodeUpdateBody(const ContentUpdate& _update);

/// What an answer says of an update besides its body.
struct UpdateHeader
{
	std::uint64_t since = 0;
	std::uint64_t revision = 0;
	Micros age = kNever; ///< How long ago that revision was certainly the newest.
	std::uint64_t configVersion = 0;
};

/// @param[in] _body As encodeUpdateBody() made it.
std::string encodeUpdate(const UpdateHeader& _head, const std::string& _body);

/// @returns nothing where the bytes are no update.
std::optional<ContentUpdate> decodeUpdate(std::string_view _bytes);

/// @returns the revision that a path asks for updates from, or nothing where it is not such a path.
std::optional<std::uint64_t> readUpdatePath(std::string_view _path);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_CONTENTCODEC_H
