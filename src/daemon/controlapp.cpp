// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/controlapp.h"

#include "daemon/clock.h"
#include "daemon/logging.h"
#include "protocol/configdoc.h"
#include "protocol/documents.h"
#include "protocol/etcd.h"
#include "protocol/openai.h"
#include "protocol/peercodec.h"
#include "protocol/statedump.h"

#include <charconv>
#include <utility>

namespace beacongate
{
namespace
{
constexpr std::chrono::milliseconds kTickInterval{20};
constexpr Micros kEntryPollInterval = 250 * kMillisecond;
constexpr std::size_t kMaxBatchEvents = 256; ///< Maximum events between two ticks.
constexpr std::size_t kMaxBodyBytes = 2u << 20;
constexpr std::size_t kMaxStoredChanges = 256;
constexpr unsigned kOk = 200;
constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstServerError = 500;

bool isStoreAction(const ControlAction& _action)
{
	return std::holds_alternative<StoreGet>(_action) || std::holds_alternative<StoreSwap>(_action) ||
		   std::holds_alternative<StoreLeaseGrant>(_action) || std::holds_alternative<StoreLeaseRenew>(_action);
}
} // namespace

ControlApp::ControlApp(ControlOptions _options)
	: m_options(std::move(_options)), m_core(m_options.core, jsonDocumentCodec()),
	  m_server(m_loop,
			   HttpServerHandlers{[this](ExchangeId _id, HttpRequest&& _request)
								  {
									  HttpRequest request = std::move(_request);
									  m_server.send(_id, answerHttp(request));
								  },
								  [](ExchangeId) {},
								  [](Failure _failure, const std::string& _detail)
								  {
									  return HttpAnswer{failureInfo(_failure).status, {}, _detail};
								  }},
			   kMaxBodyBytes),
	  m_client(m_loop, HttpClientHandlers{[](std::uint64_t, unsigned) {}, [](std::uint64_t, const std::string&) {},
										  [this](std::uint64_t _call, const HttpAnswer& _answer)
										  { onAnswer(_call, _answer); },
										  [this](std::uint64_t _call, HttpFault)
										  {
											  onFault(_call);
										  }}),
	  m_rpc({{"exchange",
			  [this](const std::string& _text)
			  {
				  m_queue.submit(readExchange(_text));
				  return std::string();
			  }},
			 {"state",
			  [this](const std::string&)
			  {
				  return m_queue.query([](const ControlCore& _core) { return dumpControl(_core).dump(); });
			  }},
			 {"config",
			  [this](const std::string&)
			  {
				  return m_queue.query([](const ControlCore& _core) { return _core.config().text; });
			  }},
			 {"members",
			  [this](const std::string&)
			  {
				  return members();
			  }},
			 {"change",
			  [this](const std::string& _text)
			  {
				  return startChange(_text);
			  }},
			 {"change-status",
			  [this](const std::string& _text)
			  {
				  return changeStatus(_text);
			  }}}),
	  m_toLoop(m_loop,
			   [this](std::vector<std::unique_ptr<ControlAction>>& _batch)
			   {
				   for (const auto& action : _batch)
				   {
					   onAction(*action);
				   }
			   })
{
}

ControlApp::~ControlApp()
{
	shutdown();
}

void ControlApp::init()
{
	m_server.init(m_options.listen);
	m_coreThread = std::thread([this] { runCore(); });
	m_storeThread = std::thread([this] { runStore(); });
	m_loop.init();
	m_loop.post([this] { pollEntry(); });
	logEvent(LogLevel::Info, "control-started",
			 {{"id", m_options.core.id}, {"port", std::to_string(port())}, {"store", toString(m_options.store)}});
}

void ControlApp::shutdown()
{
	if (!m_coreThread.joinable())
	{
		return;
	}
	m_isShuttingDown = true;
	m_queue.wake();
	m_storeWakeup.notify();
	m_coreThread.join();
	m_storeThread.join();
	m_loop.shutdown();
}

std::uint16_t ControlApp::port() const
{
	return m_server.port();
}

void ControlApp::runCore()
{
	ControlActions actions;
	while (!m_isShuttingDown)
	{
		m_queue.drain(m_core, kMaxBatchEvents,
					  [&](ControlEvent _event) { m_core.handle(std::move(_event), monotonicNow(), actions); });
		const bool wasLeader = m_core.isLeader();
		m_core.handle(ControlTick{}, monotonicNow(), actions);
		route(actions);
		if (wasLeader != m_core.isLeader())
		{
			logEvent(LogLevel::Info, "leadership",
					 {{"dataCentre", m_options.core.dataCentre}, {"leader", wasLeader ? "no" : "yes"}});
		}
		m_queue.wait(kTickInterval);
	}
}

void ControlApp::route(ControlActions& _actions)
{
	for (ControlAction& action : _actions)
	{
		if (isStoreAction(action))
		{
			auto message = std::make_unique<ControlAction>(std::move(action));
			m_toStore.push(message); // At most one store call is in flight, so the ring always has room.
			m_storeWakeup.notify();
			continue;
		}
		if (const AnswerOperator* answer = std::get_if<AnswerOperator>(&action))
		{
			const std::lock_guard lock(m_changesMutex);
			m_changes[answer->requestNumber] = *answer;
			continue;
		}
		m_toLoop.push(std::move(action));
	}
	_actions.clear();
	m_toLoop.flush();
}

void ControlApp::runStore()
{
	while (!m_isShuttingDown)
	{
		const std::unique_ptr<ControlAction> action = m_toStore.pop();
		if (nullptr == action)
		{
			m_storeWakeup.wait(std::chrono::milliseconds(100));
			continue;
		}
		StoreAnswered answered = callStore(*action);
		while (!m_isShuttingDown && !m_queue.submit(answered))
		{
			std::this_thread::yield();
		}
	}
}

StoreAnswered ControlApp::callStore(const ControlAction& _action)
{
	StoreAnswered answered;
	const auto run = [&](const auto& _op)
	{
		const etcd::Call encoded = etcd::encode(_op);
		answered.op = _op.op;
		HttpCall call;
		call.address = m_options.store;
		call.target = encoded.path;
		call.headers.emplace_back("Content-Type", "application/json");
		call.body = encoded.body;
		call.timeout = limits::kStoreCallTimeout;
		HttpAnswer answer;
		HttpFault fault = HttpFault::Broken;
		if (!callAndWait(call, answer, fault))
		{
			answered.status = HttpFault::NotSent == fault ? StoreStatus::Failed : StoreStatus::Lost;
			return;
		}
		if (kOk == answer.status)
		{
			answered = etcd::decode(_op, answer.body);
			return;
		}
		const bool refused = answer.status >= kFirstClientError && answer.status < kFirstServerError;
		answered.status = refused ? StoreStatus::Failed : StoreStatus::Lost;
	};
	std::visit(
		[&](const auto& _op)
		{
			if constexpr (requires { etcd::encode(_op); })
			{
				run(_op);
			}
		},
		_action);
	return answered;
}

void ControlApp::startCall(CallKind _kind, const Address& _address, const std::string& _method, std::string _target,
						   std::string _body)
{
	HttpCall call;
	call.id = m_nextCall++;
	call.address = _address;
	call.method = _method;
	call.target = std::move(_target);
	call.body = std::move(_body);
	call.timeout = limits::kPeerCallTimeout;
	if (!call.body.empty())
	{
		call.headers.emplace_back("Content-Type", "application/json");
	}
	m_calls.emplace(call.id, _kind);
	m_client.start(std::move(call));
}

void ControlApp::onAction(ControlAction& _action)
{
	if (const SyncEntry* sync = std::get_if<SyncEntry>(&_action))
	{
		Json json{{"vms", toJson(sync->snapshot.vms)}};
		json["config"] = sync->configText;
		json["roster"] = sync->rosterText;
		startCall(CallKind::EntrySync, m_options.entry, "POST", "/rpc", rpcRequest("sync", json.dump()));
		return;
	}
	if (const SendExchange* send = std::get_if<SendExchange>(&_action))
	{
		startCall(CallKind::PeerExchange, send->to, "POST", "/rpc",
				  rpcRequest("exchange", toJson(send->exchange).dump()));
		return;
	}
	if (std::holds_alternative<ReadVmList>(_action) && m_options.vmList.has_value())
	{
		startCall(CallKind::VmList, *m_options.vmList, "GET", "/v1/vms", {});
	}
}

void ControlApp::onAnswer(std::uint64_t _call, const HttpAnswer& _answer)
{
	const auto node = m_calls.extract(_call);
	if (node.empty() || kOk != _answer.status)
	{
		return;
	}
	try
	{
		if (CallKind::EntrySync == node.mapped())
		{
			const RpcResult result = rpcResult(_answer.body);
			if (result.ok)
			{
				m_queue.submit(readEntryReport(result.value));
				return;
			}
			logEvent(LogLevel::Error, "entry-refused-sync", {{"detail", result.value}});
		}
		if (CallKind::VmList == node.mapped())
		{
			onVmList(_answer.body);
		}
	}
	catch (const Error& error)
	{
		logEvent(LogLevel::Error, "answer-malformed", {{"detail", error.what()}});
	}
}

void ControlApp::onFault(std::uint64_t _call)
{
	const auto node = m_calls.extract(_call);
	if (!node.empty() && CallKind::EntrySync == node.mapped())
	{
		m_queue.submit(EntryUnreachable{});
	}
}

void ControlApp::onVmList(const std::string& _body)
{
	const Json json = parseJson(_body, Failure::MalformedRequest);
	VmListArrived arrived;
	for (const Json& item : readMember<Json>(json, "vms", "VM list", Failure::MalformedRequest))
	{
		VmListItem vm;
		vm.id = readMember<std::string>(item, "id", "VM list", Failure::MalformedRequest);
		vm.leaving = "leaving" == readMember<std::string>(item, "state", "VM list", Failure::MalformedRequest);
		vm.notice = readOr<Micros>(item, "notice_ms", 0, "VM list", Failure::MalformedRequest) * kMillisecond;
		arrived.items.push_back(std::move(vm));
	}
	m_queue.submit(std::move(arrived));
}

void ControlApp::pollEntry()
{
	startCall(CallKind::EntrySync, m_options.entry, "POST", "/rpc", rpcRequest("sync", "{}"));
	m_loop.after(kEntryPollInterval, [this] { pollEntry(); });
}

HttpAnswer ControlApp::answerHttp(HttpRequest& _request)
{
	if ("POST" == _request.method && "/rpc" == _request.target)
	{
		return HttpAnswer{kOk, {{"Content-Type", "application/json"}}, m_rpc.handle(_request.body)};
	}
	try
	{
		if ("GET" == _request.method && "/debug/state" == _request.target)
		{
			const std::string text =
				m_queue.query([](const ControlCore& _core) { return dumpControl(_core).dump(2) + "\n"; });
			return HttpAnswer{kOk, {{"Content-Type", "application/json"}}, text};
		}
		if ("GET" == _request.method && "/health" == _request.target)
		{
			return HttpAnswer{kOk, {}, "ok\n"};
		}
		throw Error(Failure::UnknownService, "nothing is served at " + _request.target);
	}
	catch (const Error& error)
	{
		const Json body = problem(error.failure(), error.what(), m_options.core.id);
		return HttpAnswer{
			failureInfo(error.failure()).status, {{"Content-Type", "application/problem+json"}}, body.dump()};
	}
}

std::string ControlApp::members()
{
	return m_queue.query(
		[](const ControlCore& _core)
		{
			Json rows = Json::array();
			if (nullptr != _core.roster().roster)
			{
				for (const RosterMember& member : _core.roster().roster->members)
				{
					rows.push_back({{"id", member.entry.id},
									{"address", toString(member.peerAddress)},
									{"control", toString(member.controlAddress)},
									{"dataCentre", member.dataCentre}});
				}
			}
			return rows.dump();
		});
}

std::string ControlApp::startChange(const std::string& _text)
{
	const Json json = parseJson(_text, Failure::MalformedRequest);
	OperatorChange change;
	change.statement = readMember<std::string>(json, "statement", "change", Failure::MalformedRequest);
	change.changeId = readMember<std::string>(json, "id", "change", Failure::MalformedRequest);
	{
		const std::lock_guard lock(m_changesMutex);
		change.requestNumber = m_nextChange++;
		m_changes.emplace(change.requestNumber, std::nullopt);
		while (m_changes.size() > kMaxStoredChanges)
		{
			m_changes.erase(m_changes.begin());
		}
	}
	logEvent(LogLevel::Info, "change", {{"id", change.changeId}, {"statement", change.statement.substr(0, 200)}});
	std::string number = std::to_string(change.requestNumber);
	if (!m_queue.submit(std::move(change)))
	{
		throw Error(Failure::Overloaded, "the decision thread is overloaded");
	}
	return number;
}

std::string ControlApp::changeStatus(const std::string& _text)
{
	std::uint64_t number = 0;
	std::from_chars(_text.data(), _text.data() + _text.size(), number);
	const std::lock_guard lock(m_changesMutex);
	const auto it = m_changes.find(number);
	if (m_changes.end() == it)
	{
		throw Error(Failure::QueryInvalid, "there is no such change");
	}
	if (!it->second.has_value())
	{
		return Json{{"pending", true}}.dump();
	}
	const AnswerOperator& answer = *it->second;
	const std::string type(answer.ok ? "" : failureInfo(answer.failure).type);
	return Json{{"pending", false},
				{"ok", answer.ok},
				{"failure", type},
				{"detail", answer.detail},
				{"version", answer.version}}
		.dump();
}

} // namespace beacongate
