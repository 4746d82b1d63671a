// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The DocumentCodec that a control works with.

#ifndef BEACONGATE_PROTOCOL_DOCUMENTS_H
#define BEACONGATE_PROTOCOL_DOCUMENTS_H

#include "coordination/controlcore.h"

namespace beacongate
{
/// @returns the codec for this project's JSON documents.
DocumentCodec jsonDocumentCodec();

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_DOCUMENTS_H
