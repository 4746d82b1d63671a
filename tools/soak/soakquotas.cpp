// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Teams with limits, and the faults that a soak of quotas injects.

#include "daemon/clock.h"
#include "soak/soak_p.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace beacongate::soak
{
namespace
{
/// A team's limit and the size of its requests.
struct TeamShape
{
	const char* name;
	double ratePerSecond;
	double meanTokens; ///< Mean tokens of a request; 0 if the limit counts requests.
	double slack;      ///< Amount that may run in a window in addition to the tolerance, unless limits are lowered.
};

/// The teams have many, few and very few requests a second per gateway. A burst equals the amount of one second.
/// Deployments tolerate 140,000 additional tokens of a team, with a smallest limit of 36,000 a second; the small
/// team has slack in that proportion, the others none.
constexpr std::array kShapes = {TeamShape{"calls", 60.0, 0.0, 0.0}, TeamShape{"tokens", 40'000.0, 400.0, 0.0},
								TeamShape{"small", 8'000.0, 1'000.0, 30'000.0}};
/// Demand of teams as a multiple of their limits: below the limit, or several times as much.
constexpr std::array kDemands = {0.3, 0.6, 0.6, 4.0, 8.0};
/// Shares of the first limits; all limits are lowered to one of them.
constexpr std::array kLoweredTo = {0.04, 0.07, 0.1};
/// Demand of the team that stays below its limit, as a share of the lowered limit.
constexpr double kBelowLowered = 0.5;
/// Demand of the other teams at that time, as a multiple of their first limits.
constexpr std::array kLoweredDemands = {0.6, 4.0, 6.0};
/// Slack in requests of mean size: half of what deployments tolerate, whose 140,000 tokens are 30 requests.
constexpr double kLoweredSlack = 15.0;
constexpr Micros kBeforeLowered = 5 * kSecond;

const TeamShape& shapeOf(const standin::SiteTeam& _team)
{
	return *std::find_if(kShapes.begin(), kShapes.end(),
						 [&](const TeamShape& _shape) { return _shape.name == _team.name; });
}

double requestsAtLimit(const standin::SiteTeam& _team)
{
	const TeamShape& shape = shapeOf(_team);
	return shape.meanTokens > 0.0 ? _team.ratePerSecond / shape.meanTokens : _team.ratePerSecond;
}
} // namespace

bool Soak::hasTeamLimits() const
{
	return m_options.profile == SoakProfile::Quotas || m_options.profile == SoakProfile::LoweredQuotas;
}

double Soak::slackOf(const standin::SiteTeam& _team) const
{
	const TeamShape& shape = shapeOf(_team);
	return m_options.profile == SoakProfile::LoweredQuotas ? kLoweredSlack * shape.meanTokens : shape.slack;
}

void Soak::startLoad()
{
	std::vector<Address> gateways;
	for (unsigned number = 1; number <= m_options.gateways; ++number)
	{
		gateways.push_back({host(number), kCallerPort});
	}
	const auto startOf = [this](unsigned _gateway)
	{
		return m_gateways[_gateway]->process->starts();
	};
	m_load = std::make_unique<OpenLoad>(std::move(gateways), startOf, m_options.seed);
}

void Soak::startTeams()
{
	startLoad();
	for (const TeamShape& shape : kShapes)
	{
		standin::SiteTeam team;
		team.name = shape.name;
		team.key = std::string("key-") + shape.name;
		team.ratePerSecond = shape.ratePerSecond;
		team.burst = shape.ratePerSecond;
		team.countsTokens = shape.meanTokens > 0.0;
		m_teams.push_back(team);
	}
}

void Soak::recordLimits(Micros _now)
{
	for (const standin::SiteTeam& team : m_teams)
	{
		if (team.ratePerSecond <= 0.0)
		{
			continue;
		}
		const auto open = [&](const TeamLimit& _limit)
		{
			return _limit.team == team.name && _limit.until == kNever;
		};
		const auto known = std::find_if(m_seen.limits.begin(), m_seen.limits.end(), open);
		if (known != m_seen.limits.end() && known->ratePerSecond == team.ratePerSecond)
		{
			continue;
		}
		if (known != m_seen.limits.end())
		{
			known->until = _now;
		}
		m_seen.limits.push_back(
			{team.name, team.ratePerSecond, team.burst, team.countsTokens, slackOf(team), _now});
	}
}

void Soak::changeLoad()
{
	if (isUneven())
	{
		changeUnevenLoad(false);
		return;
	}
	for (const standin::SiteTeam& team : m_teams)
	{
		const double demand = kDemands[drawIndex(kDemands.size())];
		m_load->set({team.name, team.key, demand * requestsAtLimit(team), shapeOf(team).meanTokens});
	}
}

void Soak::changeLimit()
{
	constexpr std::array kFactors = {0.4, 0.7, 1.0, 1.5};
	standin::SiteTeam& team = m_teams[drawIndex(m_teams.size())];
	team.ratePerSecond = kFactors[drawIndex(kFactors.size())] * shapeOf(team).ratePerSecond;
	team.burst = team.ratePerSecond;
	const std::lock_guard<std::mutex> guard(m_mutex);
	putConfig();
	recordLimits(monotonicNow());
}

void Soak::lowerLimits()
{
	const double part = kLoweredTo[drawIndex(kLoweredTo.size())];
	const std::size_t below = drawIndex(m_teams.size());
	for (std::size_t index = 0; index < m_teams.size(); ++index)
	{
		const standin::SiteTeam& team = m_teams[index];
		const double demand =
			index == below ? kBelowLowered * part : kLoweredDemands[drawIndex(kLoweredDemands.size())];
		m_load->set({team.name, team.key, demand * requestsAtLimit(team), shapeOf(team).meanTokens});
	}
	runUntil(monotonicNow() + kBeforeLowered);
	for (standin::SiteTeam& team : m_teams)
	{
		team.ratePerSecond = part * shapeOf(team).ratePerSecond;
		team.burst = team.ratePerSecond;
	}
	const std::lock_guard<std::mutex> guard(m_mutex);
	putConfig();
	recordLimits(monotonicNow());
}

void Soak::injectFaultsAfterLowering(Micros _until)
{
	while (monotonicNow() < _until)
	{
		injectQuotaFault();
		runUntil(std::min(_until, monotonicNow() + drawSpan(300 * kMillisecond, 3 * kSecond)));
	}
}

void Soak::pauseGateways(double _share, Micros _span)
{
	std::vector<unsigned> numbers;
	for (unsigned number = 0; number < m_gateways.size(); ++number)
	{
		const Gateway& gateway = *m_gateways[number];
		if (!gateway.stopRequested && !gateway.paused && gateway.process->running())
		{
			numbers.push_back(number);
		}
	}
	std::shuffle(numbers.begin(), numbers.end(), m_random);
	const auto count = static_cast<std::size_t>(_share * static_cast<double>(m_gateways.size()));
	numbers.resize(std::min(numbers.size(), std::max<std::size_t>(1, count)));
	for (const unsigned number : numbers)
	{
		m_gateways[number]->paused = true;
		const std::size_t disruption = beginDisruption("pause", number);
		m_gateways[number]->process->signal(SIGSTOP);
		schedule(_span,
				 [this, number, disruption]
				 {
					 m_gateways[number]->paused = false;
					 m_gateways[number]->process->signal(SIGCONT);
					 endDisruption(disruption);
				 });
	}
}

void Soak::injectQuotaFault()
{
	const auto number = static_cast<unsigned>(drawIndex(m_gateways.size()));
	const Gateway& gateway = *m_gateways[number];
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	switch (drawIndex(12))
	{
	case 0:
	case 1:
		pauseGateways(0.3, drawSpan(1500 * kMillisecond, 3 * kSecond));
		break;
	case 2:
		pauseGateways(0.5, drawSpan(300 * kMillisecond, 1200 * kMillisecond));
		break;
	case 3:
		pauseGateways(1.0, drawSpan(300 * kMillisecond, 2 * kSecond));
		break;
	case 4:
		m_options.profile == SoakProfile::Quotas ? changeLimit() : void();
		break;
	case 5:
		isRunning ? killGateway(number) : void();
		break;
	case 6:
		isRunning ? stopGateway(number) : void();
		break;
	case 7:
		injectFault();
		break;
	default:
		changeLoad();
		break;
	}
}

} // namespace beacongate::soak
