// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One seeded soak: gateways as processes, stand-ins of the platform, callers, and faults in random order.

#ifndef BEACONGATE_TOOLS_SOAK_SOAK_H
#define BEACONGATE_TOOLS_SOAK_SOAK_H

#include "soak/faultproxy.h"
#include "soak/gatewayprocess.h"
#include "soak/observations.h"
#include "soak/openload.h"
#include "standin/platform.h"
#include "standin/platformsite.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace beacongate::soak
{
/// Which faults a soak draws.
enum class SoakProfile
{
	Mixed, ///< All kinds, few of each.
	/// Backend servers leave every second or so, half of them without a word, while gateways meet what a sound VM
	/// meets: a slow way to the store, short spans without processor time, and now and then a real fault.
	Departures,
	/// The same, and large configurations that come over a narrow way.
	NarrowDepartures,
	/// Teams with limits ask for less and for several times as much by turns, limits change, and many gateways at
	/// once stand still, are killed or stopped.
	Quotas,
	/// All limits fall once, far below what most teams ask for, and nothing else happens for 20 s; then the
	/// troubles of Quotas, but for further changes of limits.
	LoweredQuotas,
	/// Backend servers turn requests away and ask for backoffs, or say in their answers alone that they leave,
	/// while the store is away and gateways are held up, killed and stopped.
	Answers,
};

/// What a soak is made of.
struct SoakOptions
{
	SoakProfile profile = SoakProfile::Mixed;
	std::uint64_t seed = 1;
	unsigned gateways = 3;
	unsigned callers = 6;
	Micros span = 20 * kSecond; ///< In which faults are injected.
	std::string program = {};   ///< Path of beacongate-gateway.
	/// Path of another build of it, with which all begin; they are replaced one after the other, and half of them
	/// is taken back. Empty: no upgrade.
	std::string oldProgram = {};
	std::string directory = {}; ///< Where settings and logs go; it exists.
};

/// Runs once.
class Soak
{
public:
	/// Most gateways of one soak.
	static constexpr unsigned kMostGateways = 300;

	explicit Soak(const SoakOptions& _options);
	~Soak();
	Soak(const Soak&) = delete;
	Soak& operator=(const Soak&) = delete;

	/// Starts everything, injects faults, lets everything settle, and stops everything.
	/// @returns what was seen.
	Observations run();

private:
	struct Gateway;
	struct Backend;

	/// Something that is done later.
	struct Pending
	{
		Micros at = 0;
		std::function<void()> action;
	};

	/// An upgrade that goes on.
	struct Upgrade
	{
		std::vector<unsigned> order; ///< In which gateways are replaced.
		std::size_t next = 0;        ///< Place in it; beyond its end they are taken back.
		std::size_t replaced = 0;
		Micros pause = 0; ///< Between two of them.
		Micros until = 0;
	};

	std::string host(unsigned _number) const;
	void writeSettings(unsigned _number, bool _firstStart) const;
	void addBackend();
	void putRecord(const Backend& _backend, const char* _state);
	void putConfig();
	void rotateKey();
	void startCallers();
	void callLoop(unsigned _caller);
	ObservedRequest makeRequest(std::minstd_rand& _random, unsigned _caller, unsigned _number);
	void injectOne();
	void injectDeparture();
	void startTeams();
	void changeLoad();
	void changeLimit();
	void noteLimits(Micros _now);
	void standStill(double _share, Micros _span);
	void injectQuotaTrouble();
	void lowerLimits();
	void troubleLowered(Micros _until);
	bool limitsTeams() const;
	double slackOf(const standin::SiteTeam& _team) const;
	Backend& stayingBackend();
	void askForBackoff();
	void leaveInAnswers();
	void injectAnswers();
	void beginUpgrade(Micros _until);
	void upgradeNext();
	void killGateway(unsigned _number);
	void stopGateway(unsigned _number);
	void pauseGateway(unsigned _number);
	void holdUpGateway(unsigned _number);
	void cutStore(unsigned _number);
	void slowStore(unsigned _number);
	void narrowStore();
	void failStore();
	void lapseRecords();
	void failBackend();
	void cutBackend();
	void leaveBackend();
	void restart(unsigned _number);
	void watchProcesses();
	void settle();
	void collect();
	void runUntil(Micros _moment);
	void later(Micros _span, std::function<void()> _action);
	std::size_t disrupt(const std::string& _what, std::optional<unsigned> _gateway, bool _ofBackend = false);
	void calmDown(std::size_t _disruption);
	std::size_t drawn(std::size_t _count);
	Micros drawnSpan(Micros _least, Micros _most);

	SoakOptions m_options;
	std::string m_net;       ///< The first two numbers of all addresses.
	unsigned m_firstNet = 0; ///< The third number of the first hosts.
	std::mt19937_64 m_random;
	std::unique_ptr<standin::PlatformStore> m_store;
	std::unique_ptr<standin::PlatformDuties> m_duties;
	std::vector<std::unique_ptr<Gateway>> m_gateways;
	std::deque<std::unique_ptr<Backend>> m_backends;
	std::vector<Pending> m_pending;
	Upgrade m_upgrade;
	std::vector<std::thread> m_callers;
	std::vector<standin::SiteTeam> m_teams; ///< With limits.
	std::unique_ptr<OpenLoad> m_load;
	std::atomic<bool> m_calling = false;
	std::mutex m_mutex; ///< Guards m_seen, against callers.
	Observations m_seen;
	std::uint64_t m_version = 0;
	unsigned m_moreRoutes = 0; ///< That make the configuration large.
	bool m_narrow = false;     ///< Answers of the store come at a low rate.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_SOAK_H
