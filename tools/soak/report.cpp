// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/report.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>

namespace beacongate::soak
{
namespace
{
constexpr double kWidth = 1100.0;
constexpr double kLatencyHeight = 260.0;
constexpr double kRowHeight = 14.0;
constexpr double kMaxLatencyMillis = 5000.0; ///< Latency at the top of the plot, in milliseconds.
constexpr double kLeft = 120.0;

/// Converts times into horizontal positions.
class TimeAxis
{
public:
	explicit TimeAxis(const Observations& _seen)
	{
		for (const ObservedRequest& request : _seen.requests)
		{
			m_from = std::min(m_from, request.sent);
			m_until = std::max(m_until, request.ended);
		}
	}

	double positionOf(Micros _moment) const
	{
		const Micros inside = std::clamp(_moment, m_from, std::max(m_from, m_until));
		const auto span = static_cast<double>(std::max<Micros>(1, m_until - m_from));
		return kLeft + kWidth * static_cast<double>(inside - m_from) / span;
	}

private:
	Micros m_from = kNever;
	Micros m_until = 0;
};

const char* colourOf(const ObservedRequest& _request)
{
	if (_request.status == 200 && _request.complete)
	{
		return "#2a7";
	}
	if (_request.status == 503 || _request.status == 429 || _request.status == 401)
	{
		return "#e90";
	}
	return "#d22";
}

void writeLatencies(std::ofstream& _page, const Observations& _seen, const TimeAxis& _axis)
{
	_page << "<h2>Latency (log of ms) and outcome: served green, refused orange, failed red</h2>\n<svg width='"
		  << kLeft + kWidth + 20 << "' height='" << kLatencyHeight + 10 << "'>\n";
	for (const ObservedRequest& request : _seen.requests)
	{
		const double millis = std::max(1.0, static_cast<double>(request.ended - request.sent) / 1000.0);
		const double share = std::min(1.0, std::log10(millis) / std::log10(kMaxLatencyMillis));
		_page << "<circle r='2' cx='" << _axis.positionOf(request.sent) << "' cy='"
			  << kLatencyHeight * (1.0 - share) + 4 << "' fill='" << colourOf(request) << "'/>\n";
	}
	_page << "</svg>\n";
}

void writeDisruptions(std::ofstream& _page, const Observations& _seen, const TimeAxis& _axis)
{
	std::map<std::string, std::vector<const Disruption*>> rows;
	for (const Disruption& disruption : _seen.disruptions)
	{
		const std::string where = disruption.gateway ? " g" + std::to_string(*disruption.gateway + 1) : "";
		rows[disruption.what + where].push_back(&disruption);
	}
	_page << "<h2>Injected faults</h2>\n<svg width='" << kLeft + kWidth + 20 << "' height='"
		  << kRowHeight * static_cast<double>(rows.size() + 1) << "'>\n";
	double top = 0.0;
	for (const auto& [name, disruptions] : rows)
	{
		_page << "<text x='0' y='" << top + kRowHeight - 3 << "' font-size='11'>" << name << "</text>\n";
		for (const Disruption* disruption : disruptions)
		{
			const double from = _axis.positionOf(disruption->from);
			_page << "<rect x='" << from << "' y='" << top + 2 << "' width='"
				  << std::max(2.0, _axis.positionOf(disruption->until) - from) << "' height='" << kRowHeight - 4
				  << "' fill='#57a'/>\n";
		}
		top += kRowHeight;
	}
	_page << "</svg>\n";
}
} // namespace

void writeReport(const std::string& _path, std::uint64_t _seed, const Observations& _seen,
				 const std::vector<Finding>& _findings)
{
	std::ofstream page(_path);
	page << "<!doctype html><meta charset='utf-8'><title>soak " << _seed << "</title><h1>Soak, seed " << _seed
		 << "</h1>\n";
	if (!_seen.requests.empty())
	{
		const TimeAxis axis(_seen);
		writeLatencies(page, _seen, axis);
		writeDisruptions(page, _seen, axis);
	}
	page << "<h2>Findings: " << _findings.size() << "</h2>\n<ul>\n";
	for (const Finding& finding : _findings)
	{
		page << "<li>" << toString(finding.promise) << ": " << finding.detail << "</li>\n";
	}
	page << "</ul>\n";
}

} // namespace beacongate::soak
