// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/soak_p.h"

#include "beacongate/errors.h"
#include "daemon/clock.h"
#include "platform/names.h"
#include "protocol/json.h"
#include "soak/caller.h"
#include "transport/messageparser.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <thread>

namespace beacongate::soak
{
namespace
{
constexpr std::uint16_t kReadyPort = 19101;
constexpr std::uint16_t kControlPort = 19102;
constexpr std::uint16_t kGossipPort = 19103;
constexpr std::uint16_t kStorePort = 19104;
constexpr std::uint16_t kDutyPort = 19105;
constexpr std::uint16_t kBackendPorts = 19200;
constexpr unsigned kStoreProxyHosts =
	500; ///< Number of the first host of the store's proxies; the gateway's number is added.
constexpr unsigned kPlatformHost = 1000;
constexpr unsigned kBackendHost = 1001;
constexpr unsigned kBackendProxyHost = 1002;
constexpr unsigned kHostsInNet = 250;
constexpr unsigned kNetsOfSoak = 5; ///< Number of networks that hold all hosts above.
constexpr std::size_t kKeysInForce = 2;
constexpr Micros kPollInterval = 20 * kMillisecond;
constexpr Micros kGrace = 6 * kSecond;
constexpr Micros kSettleSpan = 7 * kSecond;
constexpr Micros kVerifySpan = 3 * kSecond;
constexpr Micros kStartSpan = 15 * kSecond;
constexpr Micros kBrittleCallTime = 60 * kMillisecond;
constexpr Micros kLoweredQuietSpan = 20 * kSecond; ///< Span without faults after limits were lowered.
constexpr unsigned kMaxRequestsPerConnection = 6;

bool isReady(const Address& _address)
{
	// A successful answer proves that the gateway has a configuration.
	CallerConnection connection(_address);
	ObservedRequest request;
	request.id = "probe";
	request.key = "k1";
	if (connection.open())
	{
		connection.exchange(request);
	}
	return request.status == 200;
}
} // namespace

Soak::Soak(const SoakOptions& _options) : m_options(_options), m_random(_options.seed)
{
	const auto pid = static_cast<unsigned>(getpid());
	m_net = "127." + std::to_string(1 + pid % kHostsInNet) + ".";
	m_firstNet = pid / kHostsInNet % (kHostsInNet / kNetsOfSoak) * kNetsOfSoak;
	m_options.gateways = std::clamp(_options.gateways, 1u, kMaxGateways);
	m_seen.bounds.revocation = 4 * kSecond;
	m_seen.bounds.acceptSpan = 2 * kSecond;
}

Soak::~Soak()
{
	m_callersRunning = false;
	for (std::thread& caller : m_callers)
	{
		caller.join();
	}
}

std::string Soak::host(unsigned _number) const
{
	return m_net + std::to_string(m_firstNet + _number / kHostsInNet) + "." +
		   std::to_string(1 + _number % kHostsInNet);
}

void Soak::writeSettings(unsigned _number, bool _firstStart) const
{
	standin::SiteGateway site;
	site.name = "g" + std::to_string(_number);
	site.dataCentre = "z" + std::to_string(_number % 2);
	site.host = host(_number);
	site.callerPort = kCallerPort;
	site.readyPort = kReadyPort;
	site.controlPort = kControlPort;
	site.gossipPort = kGossipPort;
	for (unsigned seed = 1; seed <= std::min(3u, m_options.gateways); ++seed)
	{
		site.seedHosts.push_back(host(seed));
	}
	site.store = {host(kStoreProxyHosts + _number), kStorePort};
	site.duties = {host(kPlatformHost), kDutyPort};
	site.firstStart = _firstStart;
	site.grace = kGrace;
	site.revocation = m_seen.bounds.revocation;
	std::ofstream(m_options.directory + "/" + site.name + ".json") << formatSettings(site);
}

void Soak::addBackend()
{
	auto backend = std::make_unique<Backend>();
	const auto number = static_cast<std::uint16_t>(m_backends.size());
	backend->id = "w" + std::to_string(number);
	const Address worker{host(kBackendHost), static_cast<std::uint16_t>(kBackendPorts + number)};
	backend->address = {host(kBackendProxyHost), worker.port};
	backend->worker = std::make_unique<standin::PlatformWorker>(backend->id, worker);
	constexpr unsigned kSlots = 32;
	backend->slots = hasBrittleServers() ? kBrittleSlots : kSlots;
	backend->link = std::make_unique<FaultProxy>(backend->address, worker);
	isUneven() ? setPace(*backend) : void();
	const bool falls = hasBrittleServers();
	if (falls || m_options.profile == SoakProfile::Crashes)
	{
		setCrashRule(*backend);
	}
	if (falls)
	{
		backend->worker->setCallTime(kBrittleCallTime);
	}
	putRecord(*backend, "ready");
	m_backends.push_back(std::move(backend));
}

void Soak::putRecord(const Backend& _backend, const char* _state)
{
	m_store->put(
		platform::kServersPrefix + _backend.id,
		standin::formatRecord(_backend.address, _backend.slots, _state, _backend.born, "v1", _backend.service));
}

void Soak::putConfig()
{
	standin::SiteConfig config;
	config.version = ++m_version;
	config.host = "h.example";
	config.routes = {{pathOf(RequestKind::Safe), "safe", 2},
					 {pathOf(RequestKind::Unsafe), "unsafe", 1},
					 {pathOf(RequestKind::StreamOnce), "streaming", 1},
					 {pathOf(RequestKind::StreamAgain), "streaming", 2, true}};
	isUneven() ? addUnevenRoutes(config) : void();
	for (unsigned number = 0; number < m_extraRoutes; ++number)
	{
		config.routes.push_back({"/more" + std::to_string(number) + "/", "safe", 2});
	}
	for (const KeyLifetime& key : m_seen.keys)
	{
		if (key.removed == kNever)
		{
			config.keys.push_back(key.key);
		}
	}
	config.teams = m_teams;
	config.timeout = 2500 * kMillisecond;
	config.headerTimeout = kSecond;
	config.idleTimeout = 5 * kSecond;
	m_store->put(platform::kConfigKey, formatConfig(config));
}

void Soak::rotateKey()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	m_seen.keys.push_back({"k" + std::to_string(m_seen.keys.size() + 1), kNever, kNever});
	const std::size_t count = m_seen.keys.size();
	KeyLifetime* removed = count > kKeysInForce ? &m_seen.keys[count - 1 - kKeysInForce] : nullptr;
	if (removed)
	{
		removed->removed = monotonicNow();
	}
	putConfig();
	// The bounds are measured from the store's acknowledgement.
	m_seen.keys.back().added = monotonicNow();
	if (removed)
	{
		removed->removed = monotonicNow();
	}
}

ObservedRequest Soak::makeRequest(std::minstd_rand& _random, unsigned _caller, unsigned _number)
{
	constexpr unsigned kKinds = 4;
	constexpr unsigned kOldKeyShare = 8; ///< One in this many requests is sent with a key of any age.
	ObservedRequest request;
	request.id = std::to_string(_caller) + "-" + std::to_string(_number);
	request.kind = static_cast<RequestKind>(_random() % kKinds);
	const std::lock_guard<std::mutex> guard(m_mutex);
	const std::size_t count = m_seen.keys.size();
	const std::size_t newest = std::min<std::size_t>(count, kKeysInForce);
	const bool any = _random() % kOldKeyShare == 0;
	const std::size_t back = any ? _random() % count : _random() % newest;
	request.key = m_seen.keys[count - 1 - back].key;
	request.tokens = isUneven() && isStream(request.kind) ? kMeanPromptTokens : 0.0;
	if (m_options.profile == SoakProfile::Crashes)
	{
		makeCrashing(request, _random);
	}
	return request;
}

void Soak::runCaller(unsigned _caller)
{
	std::minstd_rand random(static_cast<std::minstd_rand::result_type>(m_options.seed * 1000 + _caller + 1));
	unsigned number = 0;
	while (m_callersRunning)
	{
		const unsigned gateway = static_cast<unsigned>(random() % m_gateways.size());
		const std::uint64_t start = m_gateways[gateway]->process->starts();
		CallerConnection connection(m_gateways[gateway]->address);
		if (m_gateways[gateway]->process->starts() != start)
		{
			continue; // It is unknown which process accepted the connection.
		}
		const unsigned count = 1 + static_cast<unsigned>(random() % kMaxRequestsPerConnection);
		for (unsigned sent = 0; sent < count && connection.open() && m_callersRunning; ++sent)
		{
			ObservedRequest request = makeRequest(random, _caller, ++number);
			request.gateway = gateway;
			request.start = start;
			connection.exchange(request);
			const std::lock_guard<std::mutex> guard(m_mutex);
			m_seen.requests.push_back(std::move(request));
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(random() % 60));
	}
}

void Soak::startCallers()
{
	m_callersRunning = true;
	for (unsigned caller = 0; caller < m_options.callers; ++caller)
	{
		m_callers.emplace_back([this, caller] { runCaller(caller); });
	}
}

std::size_t Soak::beginDisruption(const std::string& _what, std::optional<unsigned> _gateway, bool _backendOnly)
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	m_seen.disruptions.push_back({_what, monotonicNow(), kNever, _gateway, _backendOnly});
	return m_seen.disruptions.size() - 1;
}

void Soak::endDisruption(std::size_t _disruption)
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	m_seen.disruptions[_disruption].until = monotonicNow();
}

void Soak::schedule(Micros _span, std::function<void()> _action)
{
	m_pending.push_back({monotonicNow() + _span, std::move(_action)});
}

std::size_t Soak::drawIndex(std::size_t _count)
{
	return m_random() % _count;
}

Micros Soak::drawSpan(Micros _min, Micros _max)
{
	return _min + static_cast<Micros>(m_random() % static_cast<std::uint64_t>(_max - _min + 1));
}

void Soak::watchProcesses()
{
	for (unsigned number = 0; number < m_gateways.size(); ++number)
	{
		Gateway& gateway = *m_gateways[number];
		if (!gateway.process->running() || !gateway.process->ended())
		{
			continue;
		}
		if (!gateway.stopRequested || gateway.process->endStatus() != 0)
		{
			const std::lock_guard<std::mutex> guard(m_mutex);
			m_seen.unexpectedExits.push_back("gateway " + std::to_string(number) + " ended with status " +
											 std::to_string(gateway.process->endStatus()));
		}
		else
		{
			const std::lock_guard<std::mutex> guard(m_mutex);
			m_seen.stops[gateway.stop].ended = monotonicNow();
		}
		const std::size_t disruption = beginDisruption("stopped", number);
		gateway.stopRequested = true;
		schedule(drawSpan(100 * kMillisecond, kSecond),
				 [this, number, disruption]
				 {
					 restart(number);
					 endDisruption(disruption);
				 });
	}
}

void Soak::runUntil(Micros _moment)
{
	while (monotonicNow() < _moment)
	{
		watchProcesses();
		const Micros now = monotonicNow();
		std::vector<Pending> due;
		std::erase_if(m_pending,
					  [&](const Pending& _pending)
					  {
						  const bool isDue = _pending.at <= now;
						  if (isDue)
						  {
							  due.push_back(_pending);
						  }
						  return isDue;
					  });
		for (const Pending& pending : due)
		{
			pending.action();
		}
		std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
	}
}

void Soak::settle()
{
	// The pending actions end all faults and restart stopped gateways.
	while (!m_pending.empty())
	{
		runUntil(monotonicNow() + kPollInterval);
	}
	runUntil(monotonicNow() + kSettleSpan);
	while (!m_pending.empty())
	{
		runUntil(monotonicNow() + kSettleSpan);
	}
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		m_seen.settled = monotonicNow();
	}
	runUntil(monotonicNow() + kVerifySpan);
}

void Soak::collect()
{
	for (const auto& backend : m_backends)
	{
		for (const standin::WorkerRun& run : backend->worker->runs())
		{
			const std::string team(findHeader(run.headers, platform::kTenant));
			m_seen.runs.push_back({run.id, backend->id, run.began, team, run.content()});
		}
		for (const standin::WorkerCrash& crash : backend->worker->crashes())
		{
			m_seen.crashes.push_back({backend->id, crash.at, crash.content});
			m_seen.disruptions.push_back({"backend", crash.at, crash.at, std::nullopt, true});
		}
		for (const standin::WorkerArrival& arrival : backend->worker->arrivals())
		{
			m_seen.arrivals.push_back({arrival.id, backend->id, arrival.at, arrival.requestedBackoff});
		}
	}
	for (const standin::DutyCall& call : m_duties->calls())
	{
		const Json body = Json::parse(call.body, nullptr, false);
		if (body.is_object() && body.contains("windowId"))
		{
			m_seen.reports.push_back(
				{body["windowId"].dump(), body.value("counts", Json()).dump(), call.holder, call.fence});
		}
	}
}

Observations Soak::run()
{
	std::signal(SIGPIPE, SIG_IGN);
	m_store = std::make_unique<standin::PlatformStore>(Address{host(kPlatformHost), kStorePort});
	m_duties = std::make_unique<standin::PlatformDuties>(Address{host(kPlatformHost), kDutyPort});
	const bool many = m_options.profile == SoakProfile::Crashes || hasServerLimits() || hasBrittleServers();
	const unsigned backends = isUneven() ? kManyBackends + kSmallBackends : (many ? kManyBackends : kBackends);
	for (unsigned number = 0; number < backends; ++number)
	{
		addBackend();
	}
	if (hasTeamLimits())
	{
		startTeams();
	}
	isUneven() ? startUnevenTeams() : void();
	rotateKey();
	recordLimits(monotonicNow());
	for (unsigned number = 1; number <= m_options.gateways; ++number)
	{
		writeSettings(number, true);
		auto gateway = std::make_unique<Gateway>();
		gateway->address = {host(number), kCallerPort};
		gateway->storeLink = std::make_unique<FaultProxy>(Address{host(kStoreProxyHosts + number), kStorePort},
														  Address{host(kPlatformHost), kStorePort});
		const std::string base = m_options.directory + "/g" + std::to_string(number);
		const std::string& program = m_options.oldProgram.empty() ? m_options.program : m_options.oldProgram;
		gateway->process = std::make_unique<GatewayProcess>(program, base + ".json", base + ".log");
		gateway->process->start();
		m_gateways.push_back(std::move(gateway));
	}
	const Micros until = monotonicNow() + kStartSpan;
	for (const auto& gateway : m_gateways)
	{
		while (!isReady(gateway->address))
		{
			if (monotonicNow() > until)
			{
				throw Error(Failure::SettingInvalid, "a gateway did not become ready in time; see its log");
			}
			std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
		}
	}
	for (unsigned number = 1; number <= m_options.gateways; ++number)
	{
		writeSettings(number, false);
	}
	startCallers();
	changeLoad();
	runUntil(monotonicNow() + m_seen.bounds.contact);
	const Micros end = monotonicNow() + m_options.span;
	beginUpgrade(end);
	while (monotonicNow() < end)
	{
		if (m_options.profile == SoakProfile::LoweredQuotas)
		{
			lowerLimits();
			runUntil(std::min(end, monotonicNow() + kLoweredQuietSpan));
			injectFaultsAfterLowering(end);
			continue;
		}
		if (m_options.profile == SoakProfile::Quotas)
		{
			injectQuotaFault();
			runUntil(monotonicNow() + drawSpan(300 * kMillisecond, 3 * kSecond));
			continue;
		}
		if (isUneven())
		{
			injectUnevenFault();
			runUntil(monotonicNow() + drawSpan(300 * kMillisecond, 1500 * kMillisecond));
			continue;
		}
		if (m_options.profile == SoakProfile::Limits)
		{
			injectLimitFault();
			runUntil(monotonicNow() + drawSpan(100 * kMillisecond, 1500 * kMillisecond));
			continue;
		}
		if (m_options.profile == SoakProfile::Brittle)
		{
			injectBrittleFault();
			runUntil(monotonicNow() + drawSpan(300 * kMillisecond, 2500 * kMillisecond));
			continue;
		}
		if (hasServerLimits() || hasBrittleServers())
		{
			injectMemberFault();
			runUntil(monotonicNow() + drawSpan(100 * kMillisecond, 1500 * kMillisecond));
			continue;
		}
		if (m_options.profile == SoakProfile::Crashes)
		{
			injectCrashFault();
			runUntil(monotonicNow() + drawSpan(100 * kMillisecond, 1500 * kMillisecond));
			continue;
		}
		if (m_options.profile == SoakProfile::Answers)
		{
			injectAnswerFault();
			runUntil(monotonicNow() + drawSpan(50 * kMillisecond, 900 * kMillisecond));
			continue;
		}
		if (m_options.profile != SoakProfile::Mixed)
		{
			injectDeparture();
			runUntil(monotonicNow() + drawSpan(50 * kMillisecond, 700 * kMillisecond));
			continue;
		}
		injectFault();
		// Most faults overlap; an occasional longer pause lets all bounds take effect.
		runUntil(monotonicNow() + (drawIndex(12) == 0 ? drawSpan(5 * kSecond, 8 * kSecond)
													  : drawSpan(50 * kMillisecond, 700 * kMillisecond)));
	}
	isUneven() ? changeLoad() : void();
	settle();
	m_callersRunning = false;
	for (std::thread& caller : m_callers)
	{
		caller.join();
	}
	m_callers.clear();
	if (m_load)
	{
		for (ObservedRequest& request : m_load->stop())
		{
			m_seen.requests.push_back(std::move(request));
		}
	}
	for (const auto& gateway : m_gateways)
	{
		gateway->process->kill();
	}
	m_seen.replaced = m_upgrade.replaced;
	collect();
	return m_seen;
}

} // namespace beacongate::soak
