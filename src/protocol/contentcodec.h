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

/// @param[in] _age How long ago the content was certainly the newest.
std::string encodeContent(const StoreContent& _content, Micros _age);

/// @param[in] _asked When the question was sent; the content counts as confirmed so much before it.
/// @returns nothing where the bytes are no content.
std::optional<StoreContent> decodeContent(std::string_view _bytes, Micros _asked);

std::string encodeUpdate(const ContentUpdate& _update);

/// @returns nothing where the bytes are no update.
std::optional<ContentUpdate> decodeUpdate(std::string_view _bytes);

/// @returns the revision that a path asks for updates from, or nothing where it is not such a path.
std::optional<std::uint64_t> readUpdatePath(std::string_view _path);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_CONTENTCODEC_H
