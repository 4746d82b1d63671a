// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The JSON codec of the documents that a control process reads and writes.

#ifndef BEACONGATE_PROTOCOL_DOCUMENTS_H
#define BEACONGATE_PROTOCOL_DOCUMENTS_H

#include "coordination/controlcore.h"

namespace beacongate
{
/// @returns the DocumentCodec for configuration documents and rosters in JSON.
DocumentCodec jsonDocumentCodec();

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_DOCUMENTS_H
