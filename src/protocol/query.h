// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The operators' language: one grammar for queries and for changes.
///
///     statement  = query | change
///     query      = "show" table [ "where" condition { "and" condition } ]
///                | "explain" "request" id
///     table      = "backends" | "requests" | "teams" | "services" | "entries" | "config"
///     condition  = column ( "=" | "!=" | "<" | ">" ) value
///     change     = "set" ("team" | "service" | "backend") name column value
///                | ("drain" | "undrain") "backend" id
///                | "remove" ("team" | "service" | "backend") name
///                | "apply" document

#ifndef BEACONGATE_PROTOCOL_QUERY_H
#define BEACONGATE_PROTOCOL_QUERY_H

#include "protocol/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
enum class Compare
{
	Equal,
	NotEqual,
	Less,
	Greater,
};

/// One condition on a row.
struct Condition
{
	std::string column;
	Compare compare = Compare::Equal;
	std::string value;
};

/// A query that was read.
struct Query
{
	bool explain = false;
	std::string table; ///< Explain: "requests".
	std::string id;    ///< Explain: which request.
	std::vector<Condition> conditions;
};

/// @returns whether a statement asks and does not change.
bool isQuery(std::string_view _statement);

/// @throws Error QueryInvalid with the word that is wrong.
Query readQuery(std::string_view _statement);

/// @returns rows that meet all conditions.
/// @param[in] _rows A list of objects.
/// @throws Error QueryInvalid where no row has such a column.
Json select(const Json& _rows, const std::vector<Condition>& _conditions);

/// Applies a change to a configuration document.
/// @throws Error QueryInvalid or ConfigInvalid.
Json applyChange(const Json& _document, std::string_view _statement);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_QUERY_H
