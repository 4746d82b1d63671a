// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/query.h"

#include "protocol/configdoc.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <sstream>

namespace beacongate
{
namespace
{
constexpr std::array<std::string_view, 6> kTables{"backends", "requests", "teams", "services", "entries", "config"};
constexpr std::string_view kApply = "apply ";

[[noreturn]] void reject(const std::string& _what)
{
	throw Error(Failure::QueryInvalid, _what);
}

/// Splits a statement at white space and returns its words in order.
class WordReader
{
public:
	explicit WordReader(std::string_view _statement)
	{
		std::istringstream stream{std::string(_statement)};
		std::string word;
		while (stream >> word)
		{
			m_words.push_back(word);
		}
	}

	bool empty() const
	{
		return m_next == m_words.size();
	}

	std::string take(const char* _what)
	{
		if (empty())
		{
			reject(std::string("the statement ends where ") + _what + " is expected");
		}
		return m_words[m_next++];
	}

	void expect(const char* _word)
	{
		const std::string word = take(_word);
		if (word != _word)
		{
			reject("'" + word + "' was found where '" + _word + "' is expected");
		}
	}

	void expectEnd() const
	{
		if (!empty())
		{
			reject("'" + m_words[m_next] + "' is an unexpected word");
		}
	}

private:
	std::vector<std::string> m_words;
	std::size_t m_next = 0;
};

Compare readCompare(const std::string& _word)
{
	if ("=" == _word)
	{
		return Compare::Equal;
	}
	if ("!=" == _word)
	{
		return Compare::NotEqual;
	}
	if ("<" == _word)
	{
		return Compare::Less;
	}
	if (">" == _word)
	{
		return Compare::Greater;
	}
	reject("'" + _word + "' is not one of =, !=, <, >");
}

std::optional<double> asNumber(const std::string& _text)
{
	double value = 0.0;
	const char* last = _text.data() + _text.size();
	const auto [end, error] = std::from_chars(_text.data(), last, value);
	return std::errc{} == error && last == end && !_text.empty() ? std::optional<double>(value) : std::nullopt;
}

std::string asText(const Json& _value)
{
	return _value.is_string() ? _value.get<std::string>() : _value.dump();
}

bool meetsCondition(const Json& _row, const Condition& _condition)
{
	const std::string cell = _row.contains(_condition.column) ? asText(_row[_condition.column]) : "";
	const std::optional<double> a = asNumber(cell);
	const std::optional<double> b = asNumber(_condition.value);
	const int order = a && b ? (*a < *b ? -1 : (*a > *b ? 1 : 0)) : cell.compare(_condition.value);
	switch (_condition.compare)
	{
	case Compare::Equal:
		return 0 == order;
	case Compare::NotEqual:
		return 0 != order;
	case Compare::Less:
		return order < 0;
	case Compare::Greater:
		return order > 0;
	}
	return false;
}

Json readValue(const std::string& _text)
{
	const Json value = Json::parse(_text, nullptr, false);
	const bool isScalar = value.is_number() || value.is_boolean();
	return isScalar ? value : Json(_text);
}

/// List of the configuration document that holds items of a kind, and the member that identifies an item in it.
struct ItemLocation
{
	std::string list;
	std::string idMember;
};

ItemLocation locationOf(const std::string& _kind)
{
	if ("team" == _kind)
	{
		return {"teams", "name"};
	}
	if ("service" == _kind)
	{
		return {"services", "name"};
	}
	if ("backend" == _kind)
	{
		return {"backends", "id"};
	}
	reject("'" + _kind + "' is not one of team, service, backend");
}

Json::iterator findItem(Json& _document, const ItemLocation& _location, const std::string& _name)
{
	Json& list = _document[_location.list];
	if (!list.is_array())
	{
		list = Json::array();
	}
	const auto it =
		std::find_if(list.begin(), list.end(),
					 [&](const Json& _item)
					 { return _item.is_object() && _item.value(_location.idMember, std::string()) == _name; });
	if (list.end() == it)
	{
		reject("there is no '" + _name + "' in " + _location.list);
	}
	return it;
}

Json replaceDocument(const Json& _document, std::string_view _text)
{
	Json next = parseJson(_text, Failure::ConfigInvalid);
	if (!next.is_object())
	{
		throw Error(Failure::ConfigInvalid, "document: has to be an object");
	}
	const std::uint64_t base = versionOf(_document);
	if (next.contains("version") && versionOf(next) < base)
	{
		throw Error(Failure::ConfigStale, "document: 'version' is " + std::to_string(versionOf(next)) +
											  ", version " + std::to_string(base) + " is in force");
	}
	next["version"] = base;
	next["history"] = _document.value("history", Json::array());
	return next;
}
} // namespace

bool isQuery(std::string_view _statement)
{
	std::istringstream stream{std::string(_statement)};
	std::string first;
	stream >> first;
	return "show" == first || "explain" == first;
}

Query readQuery(std::string_view _statement)
{
	WordReader words(_statement);
	Query query;
	const std::string verb = words.take("'show' or 'explain'");
	if ("explain" == verb)
	{
		words.expect("request");
		query.explain = true;
		query.table = "requests";
		query.id = words.take("a request id");
		words.expectEnd();
		return query;
	}
	if ("show" != verb)
	{
		reject("'" + verb + "' is not a query");
	}
	query.table = words.take("a table");
	if (kTables.end() == std::find(kTables.begin(), kTables.end(), query.table))
	{
		reject("'" + query.table + "' is not one of backends, requests, teams, services, entries, config");
	}
	if (words.empty())
	{
		return query;
	}
	words.expect("where");
	while (true)
	{
		Condition condition;
		condition.column = words.take("a column");
		condition.compare = readCompare(words.take("a comparison"));
		condition.value = words.take("a value");
		query.conditions.push_back(std::move(condition));
		if (words.empty())
		{
			return query;
		}
		words.expect("and");
	}
}

Json select(const Json& _rows, const std::vector<Condition>& _conditions)
{
	for (const Condition& condition : _conditions)
	{
		const auto hasColumn = [&](const Json& _row)
		{
			return _row.contains(condition.column);
		};
		if (!_rows.empty() && std::none_of(_rows.begin(), _rows.end(), hasColumn))
		{
			reject("there is no column '" + condition.column + "'");
		}
	}
	Json chosen = Json::array();
	for (const Json& row : _rows)
	{
		const auto isMet = [&](const Condition& _condition)
		{
			return meetsCondition(row, _condition);
		};
		if (std::all_of(_conditions.begin(), _conditions.end(), isMet))
		{
			chosen.push_back(row);
		}
	}
	return chosen;
}

Json applyChange(const Json& _document, std::string_view _statement)
{
	if (_statement.starts_with(kApply))
	{
		return replaceDocument(_document, _statement.substr(kApply.size()));
	}
	WordReader words(_statement);
	Json next = _document;
	const std::string verb = words.take("a change");
	if ("drain" == verb || "undrain" == verb)
	{
		words.expect("backend");
		const std::string id = words.take("a backend server's id");
		words.expectEnd();
		(*findItem(next, locationOf("backend"), id))["drained"] = "drain" == verb;
		return next;
	}
	if ("remove" == verb)
	{
		const ItemLocation location = locationOf(words.take("team, service or backend"));
		const std::string name = words.take("a name");
		words.expectEnd();
		next[location.list].erase(findItem(next, location, name));
		return next;
	}
	if ("set" == verb)
	{
		const ItemLocation location = locationOf(words.take("team, service or backend"));
		const std::string name = words.take("a name");
		const std::string column = words.take("a column");
		const std::string value = words.take("a value");
		words.expectEnd();
		if (column == location.idMember)
		{
			reject("'" + column + "' identifies the item and cannot be set");
		}
		(*findItem(next, location, name))[column] = readValue(value);
		return next;
	}
	reject("'" + verb + "' is not one of show, explain, set, drain, undrain, remove, apply");
}

} // namespace beacongate
