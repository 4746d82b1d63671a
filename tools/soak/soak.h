// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Runs one seeded soak: gateway processes, stand-ins for the platform, callers, and randomly injected faults.

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
/// Selects the faults that a soak injects.
enum class SoakProfile
{
	Mixed, ///< All kinds of faults, few of each.
	/// Backend servers leave about once a second, half of them unannounced, while gateways meet conditions of a
	/// healthy VM: a slow link to the store, short spans without processor time, and occasionally a real fault.
	Departures,
	/// As Departures, with large configurations that are read over a link of low bandwidth.
	NarrowDepartures,
	/// Teams ask alternately for less than their limits and for several times as much, limits change, and many
	/// gateways at once are paused, killed or stopped.
	Quotas,
	/// All limits are lowered once, far below what most teams ask for, and no fault follows for 20 s; then the
	/// faults of Quotas follow, without further changes of limits.
	LoweredQuotas,
	/// Backend servers reject requests and ask for backoffs, or announce their departure only in their answers,
	/// while the store is unreachable and gateways are paused, killed and stopped.
	Answers,
	/// Callers send requests that crash the backend servers which run them, beside all faults of Answers and
	/// crashes without such a request.
	Crashes,
	/// Backend servers name limits in their answers for a while, beside stalls, pauses, kills and stops of gateways
	/// and faults of the store.
	Limits,
	/// Backend servers name themselves brittle for a while and let no requests wait, beside the same faults as
	/// Limits.
	Brittle,
	/// Servers differ in speed and are slowed down at times, engines have callers with short deadlines, a plain
	/// service has few slots, and several teams at once send several times their usual load, beside the faults of
	/// Limits.
	Uneven,
	/// Limits, while many gateways stop in series or are killed at once, and leases run out.
	LimitsMembers,
	/// Brittle, beside the same changes of the members as in LimitsMembers.
	BrittleMembers,
};

/// Parameters of a soak.
struct SoakOptions
{
	SoakProfile profile = SoakProfile::Mixed;
	std::uint64_t seed = 1;
	unsigned gateways = 3;
	unsigned callers = 6;
	Micros span = 20 * kSecond; ///< Time in which faults are injected.
	std::string program = {};   ///< Path of beacongate-gateway.
	/// Path of another build of beacongate-gateway that all gateways start with. They are upgraded to `program` one
	/// after the other, and half of them are rolled back. Empty for no upgrade.
	std::string oldProgram = {};
	std::string directory = {}; ///< Existing directory for settings and logs.
};

/// A soak; run() may be called once.
class Soak
{
public:
	/// Largest number of gateways in one soak.
	static constexpr unsigned kMaxGateways = 300;

	explicit Soak(const SoakOptions& _options);
	~Soak();
	Soak(const Soak&) = delete;
	Soak& operator=(const Soak&) = delete;

	/// Starts all processes, injects faults, waits until all faults have ended, and stops all processes.
	/// @returns the recorded data.
	Observations run();

private:
	struct Gateway;
	struct Backend;

	/// An action scheduled for a later time.
	struct Pending
	{
		Micros at = 0;
		std::function<void()> action;
	};

	/// The state of a rolling upgrade.
	struct Upgrade
	{
		std::vector<unsigned> order; ///< Order in which gateways are replaced.
		std::size_t next = 0;        ///< Index into `order`; past its end, gateways are rolled back.
		std::size_t replaced = 0;
		Micros pause = 0; ///< Time between two replacements.
		Micros until = 0;
	};

	std::string host(unsigned _number) const;
	void writeSettings(unsigned _number, bool _firstStart) const;
	void addBackend();
	void putRecord(const Backend& _backend, const char* _state);
	void putConfig();
	void rotateKey();
	void startCallers();
	void runCaller(unsigned _caller);
	ObservedRequest makeRequest(std::minstd_rand& _random, unsigned _caller, unsigned _number);
	void injectFault();
	void injectDeparture();
	void startTeams();
	/// Starts the load of teams, which is zero until changeLoad().
	void startLoad();
	void startUnevenTeams();
	/// Adds the routes and services of an uneven deployment to a configuration.
	void addUnevenRoutes(standin::SiteConfig& _config) const;
	/// Sets service, speed and slots of a backend server by its number.
	void setPace(Backend& _backend) const;
	void changeUnevenLoad(bool _burst);
	void injectUnevenFault();
	bool isUneven() const
	{
		return m_options.profile == SoakProfile::Uneven;
	}
	void changeLoad();
	void changeLimit();
	void recordLimits(Micros _now);
	void pauseGateways(double _share, Micros _span);
	void injectQuotaFault();
	void lowerLimits();
	void injectFaultsAfterLowering(Micros _until);
	bool hasTeamLimits() const;
	double slackOf(const standin::SiteTeam& _team) const;
	/// Sets which requests crash a backend server, and what its restart changes.
	void setCrashRule(Backend& _backend);
	void nameLimit();
	void injectLimitFault();
	/// @returns true if backend servers name limits in this soak.
	bool hasServerLimits() const;
	/// @returns true if backend servers are brittle in this soak.
	bool hasBrittleServers() const;
	void stopInSeries();
	void killHalf();
	void injectMemberFault();
	void makeBrittle();
	void injectBrittleFault();
	void makeCrashing(ObservedRequest& _request, std::minstd_rand& _random) const;
	void crashBackend();
	void injectCrashFault();
	/// Disturbs a gateway or the store.
	/// @param[in] _kind Number of the fault; a large one is none.
	void disturbGateway(std::size_t _kind);
	Backend& drawStayingBackend();
	void askForBackoff();
	void announceLeavingInAnswers();
	void injectAnswerFault();
	void beginUpgrade(Micros _until);
	void upgradeNext();
	void killGateway(unsigned _number);
	void stopGateway(unsigned _number);
	void pauseGateway(unsigned _number);
	void stallGateway(unsigned _number);
	void cutStore(unsigned _number);
	void slowStore(unsigned _number);
	void limitStoreBandwidth();
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
	void schedule(Micros _span, std::function<void()> _action);
	std::size_t beginDisruption(const std::string& _what, std::optional<unsigned> _gateway,
								bool _backendOnly = false);
	void endDisruption(std::size_t _disruption);
	std::size_t drawIndex(std::size_t _count);
	Micros drawSpan(Micros _min, Micros _max);

	SoakOptions m_options;
	std::string m_net;       ///< First two octets of all addresses.
	unsigned m_firstNet = 0; ///< Third octet of the first hosts.
	std::mt19937_64 m_random;
	std::unique_ptr<standin::PlatformStore> m_store;
	std::unique_ptr<standin::PlatformDuties> m_duties;
	std::vector<std::unique_ptr<Gateway>> m_gateways;
	std::deque<std::unique_ptr<Backend>> m_backends;
	std::vector<Pending> m_pending;
	Upgrade m_upgrade;
	std::vector<std::thread> m_callers;
	std::vector<standin::SiteTeam> m_teams; ///< Teams with limits.
	std::unique_ptr<OpenLoad> m_load;
	std::atomic<bool> m_callersRunning = false;
	std::mutex m_mutex; ///< Guards m_seen, which callers' threads write as well.
	Observations m_seen;
	std::uint64_t m_version = 0;
	bool m_brittle = false;          ///< Backend servers name themselves brittle.
	unsigned m_extraRoutes = 0;      ///< Additional routes that enlarge the configuration.
	bool m_bandwidthLimited = false; ///< The store's answers are sent at a low bandwidth.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_SOAK_H
