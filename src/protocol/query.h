// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The operators' command language, with one grammar for queries and configuration changes.
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
/// Comparison operator of a condition.
enum class Compare
{
	Equal,
	NotEqual,
	Less,
	Greater,
};

/// A condition on a column of a row.
struct Condition
{
	std::string column;
	Compare compare = Compare::Equal;
	std::string value;
};

/// A parsed query.
struct Query
{
	bool explain = false;
	std::string table; ///< "requests" where `explain` is set.
	std::string id;    ///< Request to explain; empty for `show`.
	std::vector<Condition> conditions;
};

/// @returns true if the statement is a query; any other statement is a change.
bool isQuery(std::string_view _statement);

/// Parses a query.
/// @throws Error QueryInvalid that names the wrong word.
Query readQuery(std::string_view _statement);

/// @param[in] _rows A list of objects.
/// @returns the rows that meet all conditions.
/// @throws Error QueryInvalid where there are rows and none has a column that a condition names.
Json select(const Json& _rows, const std::vector<Condition>& _conditions);

/// Applies a change to a configuration document.
/// @returns the changed document, with its version and history as they were.
/// @throws Error QueryInvalid where the statement is wrong, ConfigInvalid where an applied document is not a JSON
/// object, ConfigStale where its version is older than the one in force.
Json applyChange(const Json& _document, std::string_view _statement);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_QUERY_H
