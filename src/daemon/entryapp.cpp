// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/entryapp.h"

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "protocol/configdoc.h"
#include "protocol/peercodec.h"
#include "protocol/statedump.h"

#include <map>
#include <utility>

namespace beacongate
{
namespace
{
constexpr std::chrono::milliseconds kWaitSpan{5};
constexpr Micros kTickInterval = 5 * kMillisecond;
constexpr std::size_t kMaxBatchEvents = 256; ///< Maximum events between two checks of the tick timer.
constexpr std::size_t kMaxPeerBodyBytes = 16u << 20;
constexpr Micros kLoadPollInterval = 500 * kMillisecond;

EntrySettings coreSettings(const EntryOptions& _options, const EntryRef& _self)
{
	EntrySettings settings;
	settings.self = _self;
	settings.dataCentre = _options.dataCentre;
	settings.seed = _options.seed;
	settings.stopGrace = _options.stopGrace;
	return settings;
}
} // namespace

EntryApp::EntryApp(EntryOptions _options)
	: m_options(std::move(_options)), m_self{m_options.id, newIncarnation()},
	  m_core(coreSettings(m_options, m_self)),
	  m_callerAdapter(m_self, m_entryStatus, [this](Event _event) { return m_queue.submit(std::move(_event)); }),
	  m_backendAdapter(m_backendLoop, [this](Event _event) { return m_queue.submit(std::move(_event)); }),
	  m_callerServer(m_callerLoop,
					 HttpServerHandlers{[this](ExchangeId _id, HttpRequest&& _request)
										{ m_callerAdapter.onRequest(_id, std::move(_request)); },
										[this](ExchangeId _id) { m_callerAdapter.onDisconnected(_id); },
										[this](Failure _failure, const std::string& _detail)
										{
											return m_callerAdapter.onMalformed(_failure, _detail);
										}},
					 limits::kRequestBodyBytes),
	  m_internalServer(m_internalLoop,
					   HttpServerHandlers{[this](ExchangeId _id, HttpRequest&& _request)
										  { onInternal(_id, std::move(_request)); },
										  [](ExchangeId) {},
										  [](Failure _failure, const std::string& _detail)
										  {
											  return HttpAnswer{failureInfo(_failure).status, {}, _detail};
										  }},
					   kMaxPeerBodyBytes),
	  m_peerClient(m_internalLoop,
				   HttpClientHandlers{[](std::uint64_t, unsigned) {}, [](std::uint64_t, const std::string&) {},
									  [](std::uint64_t, const HttpAnswer&) {},
									  [](std::uint64_t, HttpFault) {
									  }}),
	  m_rpc({{"sync",
			  [this](const std::string& _text)
			  {
				  return sync(_text);
			  }},
			 {"state",
			  [this](const std::string&)
			  {
				  return m_queue.query([](const EntryCore& _core)
									   { return dumpEntry(_core, monotonicNow()).dump(); });
			  }},
			 {"explain",
			  [this](const std::string& _id)
			  {
				  const RequestId request = readRequestName(_id).second;
				  return m_queue.query([request](const EntryCore& _core)
									   { return explainRequest(_core, request).value_or(Json()).dump(); });
			  }}}),
	  m_toCallers(m_callerLoop,
				  [this](std::vector<std::unique_ptr<Action>>& _batch)
				  {
					  for (const auto& action : _batch)
					  {
						  m_callerAdapter.apply(*action);
					  }
				  }),
	  m_toBackends(m_backendLoop,
				   [this](std::vector<std::unique_ptr<Action>>& _batch)
				   {
					   for (const auto& action : _batch)
					   {
						   m_backendAdapter.apply(*action, monotonicNow());
					   }
				   }),
	  m_toPeers(m_internalLoop, [this](std::vector<std::unique_ptr<Action>>& _batch) { sendPeers(_batch); })
{
	m_callerAdapter.setServer(m_callerServer);
}

EntryApp::~EntryApp()
{
	shutdown();
}

void EntryApp::init()
{
	m_callerServer.init(m_options.listen);
	m_internalServer.init(m_options.internal);
	publish();
	m_coreThread = std::thread([this] { runCore(); });
	m_backendLoop.init();
	m_internalLoop.init();
	m_callerLoop.init();
	m_backendLoop.post([this] { pollLoad(); });
	logEvent(LogLevel::Info, "entry-started",
			 {{"id", m_self.id},
			  {"incarnation", std::to_string(m_self.incarnation)},
			  {"callers", std::to_string(callerPort())},
			  {"internal", std::to_string(internalPort())}});
}

void EntryApp::requestStop()
{
	logEvent(LogLevel::Info, "stop-requested", {{"id", m_self.id}});
	while (!m_queue.submit(StopRequested{m_options.stopNotice}))
	{
		std::this_thread::yield();
	}
	m_callerLoop.after(m_options.stopGrace, [this] { m_callerServer.stopListening(); });
}

bool EntryApp::stopped() const
{
	return m_stopped;
}

void EntryApp::linger(Micros _span) const
{
	const Micros deadline = monotonicNow() + _span;
	while (0 < m_callerServer.connections() && monotonicNow() < deadline)
	{
		std::this_thread::sleep_for(kWaitSpan);
	}
}

void EntryApp::shutdown()
{
	if (!m_coreThread.joinable())
	{
		return;
	}
	m_isShuttingDown = true;
	m_queue.wake();
	m_coreThread.join();
	m_callerLoop.shutdown();
	m_backendLoop.shutdown();
	m_internalLoop.shutdown();
}

std::uint16_t EntryApp::callerPort() const
{
	return m_callerServer.port();
}

std::uint16_t EntryApp::internalPort() const
{
	return m_internalServer.port();
}

void EntryApp::runCore()
{
	Micros nextTick = 0;
	Actions actions;
	while (!m_isShuttingDown)
	{
		const std::size_t processed =
			m_queue.drain(m_core, kMaxBatchEvents, [&](Event _event) { handle(std::move(_event), actions); });
		const Micros now = monotonicNow();
		if (now >= nextTick)
		{
			nextTick = now + kTickInterval;
			m_core.handle(Tick{}, now, actions);
			publish();
		}
		route(actions);
		if (0 == processed)
		{
			m_queue.wait(kWaitSpan);
		}
	}
}

void EntryApp::handle(Event _event, Actions& _actions)
{
	const bool snapshot = std::holds_alternative<SnapshotArrived>(_event);
	m_core.handle(std::move(_event), monotonicNow(), _actions);
	if (snapshot)
	{
		publish();
	}
}

void EntryApp::route(Actions& _actions)
{
	for (Action& action : _actions)
	{
		if (std::holds_alternative<StartAttempt>(action) || std::holds_alternative<CancelAttempt>(action))
		{
			m_toBackends.push(std::move(action));
		}
		else if (std::holds_alternative<SendPeer>(action))
		{
			m_toPeers.push(std::move(action));
		}
		else if (std::holds_alternative<StopFinished>(action))
		{
			m_stopped = true;
		}
		else
		{
			m_toCallers.push(std::move(action));
		}
	}
	_actions.clear();
	m_toCallers.flush();
	m_toBackends.flush();
	m_toPeers.flush();
}

void EntryApp::publish()
{
	const auto& roster = m_core.home().roster();
	EntryReported reported;
	reported.entry = m_self;
	reported.versions.config = m_core.configVersion();
	reported.versions.roster = nullptr == roster ? 0 : roster->version;
	reported.versions.vmDigest = digestOf(m_core.vms());
	reported.stopping = m_core.stopping();
	reported.drained = m_core.drained();
	std::string text = toJson(reported).dump();
	m_entryStatus.healthy = m_core.healthy();
	m_entryStatus.rosterVersion = reported.versions.roster;
	const std::lock_guard lock(m_reportMutex);
	if (text == m_report)
	{
		return;
	}
	m_report = std::move(text);
	m_loadTargets.clear();
	for (std::uint32_t ii = 0; ii < m_core.backends().size(); ++ii)
	{
		const Backend& backend = m_core.backends().at(BackendHandle{ii});
		if (backend.configured && !backend.gone)
		{
			m_loadTargets.emplace_back(backend.config.id, backend.config.address);
		}
	}
}

std::string EntryApp::report() const
{
	const std::lock_guard lock(m_reportMutex);
	return m_report;
}

std::string EntryApp::sync(const std::string& _text)
{
	const Json json = parseJson(_text, Failure::MalformedRequest);
	SnapshotArrived arrived;
	const auto config = readOr<std::string>(json, "config", "", "sync", Failure::MalformedRequest);
	if (!config.empty())
	{
		arrived.snapshot.config =
			std::make_shared<const Config>(readConfig(parseJson(config, Failure::ConfigInvalid)));
	}
	const auto roster = readOr<std::string>(json, "roster", "", "sync", Failure::MalformedRequest);
	if (!roster.empty())
	{
		arrived.snapshot.roster =
			std::make_shared<const Roster>(readRoster(parseJson(roster, Failure::MalformedRequest)));
	}
	if (json.contains("vms"))
	{
		arrived.snapshot.vms = readVmView(json["vms"]);
	}
	if (!json.empty() && !m_queue.submit(std::move(arrived)))
	{
		throw Error(Failure::Overloaded, "the decision thread is overloaded");
	}
	return report();
}

void EntryApp::onInternal(ExchangeId _exchange, HttpRequest&& _request)
{
	try
	{
		m_internalServer.send(_exchange, answerInternal(_request));
	}
	catch (const Error& error)
	{
		const Json body = problem(error.failure(), error.what(), m_self.id);
		m_internalServer.send(_exchange, HttpAnswer{failureInfo(error.failure()).status,
													{{"Content-Type", "application/problem+json"}},
													body.dump()});
	}
}

HttpAnswer EntryApp::answerInternal(HttpRequest& _request)
{
	if ("POST" == _request.method && "/peer" == _request.target)
	{
		PeerEnvelope envelope = decodeEnvelope(_request.body);
		if (envelope.to != m_self)
		{
			return HttpAnswer{410, {}, "the message is for another incarnation\n"};
		}
		for (PeerMessage& message : envelope.messages)
		{
			// The sender repeats a message that does not fit into the ring.
			m_queue.submit(PeerArrived{envelope.from, std::move(message)});
		}
		return HttpAnswer{204, {}, {}};
	}
	if ("POST" == _request.method && "/rpc" == _request.target)
	{
		return HttpAnswer{200, {{"Content-Type", "application/json"}}, m_rpc.handle(_request.body)};
	}
	if ("GET" == _request.method && "/debug/state" == _request.target)
	{
		const std::string text =
			m_queue.query([](const EntryCore& _core) { return dumpEntry(_core, monotonicNow()).dump(2) + "\n"; });
		return HttpAnswer{200, {{"Content-Type", "application/json"}}, text};
	}
	if ("GET" == _request.method && "/metrics" == _request.target)
	{
		const std::string text = m_queue.query([](const EntryCore& _core) { return formatEntryMetrics(_core); });
		return HttpAnswer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, text};
	}
	throw Error(Failure::UnknownService, "nothing is served at " + _request.target);
}

void EntryApp::sendPeers(std::vector<std::unique_ptr<Action>>& _batch)
{
	std::map<std::pair<Address, EntryRef>, PeerEnvelope> envelopes;
	for (const auto& action : _batch)
	{
		SendPeer& send = std::get<SendPeer>(*action);
		PeerEnvelope& envelope = envelopes[{send.address, send.to}];
		envelope.from = m_self;
		envelope.to = send.to;
		envelope.messages.push_back(std::move(send.message));
	}
	for (const auto& [target, envelope] : envelopes)
	{
		HttpCall call;
		call.id = m_nextPeerCall++;
		call.address = target.first;
		call.target = "/peer";
		call.headers.emplace_back("Content-Type", "application/msgpack");
		call.body = encodeEnvelope(envelope);
		call.timeout = limits::kPeerCallTimeout;
		m_peerClient.start(std::move(call));
	}
}

void EntryApp::pollLoad()
{
	std::vector<std::pair<std::string, Address>> targets;
	{
		const std::lock_guard lock(m_reportMutex);
		targets = m_loadTargets;
	}
	m_backendAdapter.retrySubmits();
	m_backendAdapter.pollLoad(targets);
	m_backendLoop.after(kLoadPollInterval, [this] { pollLoad(); });
}

} // namespace beacongate
