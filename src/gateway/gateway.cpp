// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gateway.h"

#include "coordination/stoppolicy.h"
#include "daemon/logging.h"
#include "gateway/erroranswers.h"
#include "gateway/gatewaystate.h"
#include "platform/headers.h"
#include "protocol/contentcodec.h"
#include "protocol/tunnelcodec.h"

#include <csignal>
#include <sstream>

namespace beacongate
{
namespace
{
constexpr Micros kStopPollInterval = 50 * kMillisecond;
constexpr Micros kStopRetryAfter = 50 * kMillisecond;
constexpr const char* kStatePath = "/state";
constexpr const char* kMetricsPath = "/metrics";
constexpr std::string_view kCrashesPath = "/crashes/";

HttpAnswer malformedAnswer(ParseFault _fault)
{
	switch (_fault)
	{
	case ParseFault::HeaderTooLarge:
		return makeErrorAnswer(431, Failure::HeaderTooLarge, "the header is too large", 0);
	case ParseFault::BodyTooLarge:
		return makeErrorAnswer(413, Failure::BodyTooLarge, "the body is too large", 0);
	default:
		return makeErrorAnswer(400, Failure::MalformedRequest, "malformed HTTP request", 0);
	}
}
} // namespace

Gateway::Gateway(GatewaySettings _settings, std::function<GatewaySettings()> _reload)
	: m_context(std::move(_settings)), m_reload(std::move(_reload)), m_dispatcher(m_context), m_tunnels(m_context),
	  m_signals(m_context.loop, SIGTERM, SIGINT, SIGHUP), m_stopTimer(m_context.loop)
{
	m_context.onDirectoryChanged = [this]
	{
		m_context.versions.update(m_context.directory, monotonicNow());
		m_versionLog->onContent();
		m_originLog->onContent();
		m_dispatcher.wake();
	};
}

std::shared_ptr<ServerContext> Gateway::makeServerContext()
{
	auto server = std::make_shared<ServerContext>();
	server->onMalformed = malformedAnswer;
	server->onTimeout = []
	{
		return makeErrorAnswer(408, Failure::RequestTimeout, "the request arrived too slowly", 0);
	};
	server->limits = [this]
	{
		return currentLimits();
	};
	server->now = monotonicNow;
	return server;
}

void Gateway::init()
{
	m_callerContext = makeServerContext();
	m_callerContext->onRequest = [this](const ServerSessionPtr& _session, IncomingRequest&& _request)
	{
		onCallerRequest(_session, std::move(_request));
	};
	m_controlContext = makeServerContext();
	m_controlContext->onRequest = [this](const ServerSessionPtr& _session, IncomingRequest&& _request)
	{
		if (platform::isReadinessRequest(_request.head))
		{
			onReadinessRequest(_session, _request);
			return;
		}
		onControlRequest(_session, _request);
	};
	m_callerListener =
		std::make_unique<ServerListener>(m_context.loop, m_context.settings.callers, m_callerContext);
	m_readinessListener =
		std::make_unique<ServerListener>(m_context.loop, m_context.settings.readiness, m_controlContext);
	if (m_context.settings.control)
	{
		m_controlListener =
			std::make_unique<ServerListener>(m_context.loop, *m_context.settings.control, m_controlContext);
	}
	if (m_context.settings.metricsPort != 0)
	{
		const Address address{m_context.settings.callers.host, m_context.settings.metricsPort};
		m_metricsListener = std::make_unique<ServerListener>(m_context.loop, address, m_controlContext);
	}
	m_gossiper = std::make_unique<Gossiper>(m_context);
	m_gossiper->init();
	m_versionLog = std::make_shared<VersionLogWriter>(m_context);
	m_versionLog->init();
	m_originLog = std::make_shared<OriginLogWriter>(m_context);
	m_originLog->init();
	m_store = std::make_shared<StoreSync>(m_context);
	m_store->init();
	m_backendList = std::make_shared<BackendListSync>(m_context);
	m_backendList->init();
	m_context.onNewerConfigAtPeer = [this]
	{
		m_store->refresh();
	};
	m_context.onContentNeeded = [this]
	{
		m_store->refresh();
	};
	m_context.onPeerContentState = [this](std::uint64_t _fingerprint, Micros _confirmed)
	{
		m_store->onPeerContentState(_fingerprint, _confirmed);
	};
	m_registration = std::make_shared<Registration>(m_context);
	m_registration->init();
	m_relaySlot = std::make_shared<RelaySlotWriter>(m_context);
	m_relaySlot->init();
	if (m_context.settings.dutyApi)
	{
		m_duties = std::make_shared<DutyHolder>(m_context);
		m_duties->init();
	}
	m_context.onMembersRead = [this]
	{
		m_registration->onMembersRead();
	};
	m_context.onStoreRestored = [this]
	{
		m_registration->onStoreRestored();
		if (m_duties)
		{
			m_duties->onStoreRestored();
		}
		m_store->refresh();
	};
	waitForSignal();
	logEvent(LogLevel::Info, "gateway-started",
			 {{"name", m_context.settings.name}, {"incarnation", std::to_string(m_context.run.incarnation)}});
}

void Gateway::run()
{
	m_context.loop.run();
}

void Gateway::post(std::function<void()> _function)
{
	boost::asio::post(m_context.loop, std::move(_function));
}

RequestLimits Gateway::currentLimits() const
{
	const auto& config = m_context.directory.config();
	return config ? config->limits : RequestLimits();
}

void Gateway::onCallerRequest(const ServerSessionPtr& _session, IncomingRequest&& _request)
{
	const Micros elapsed = m_context.stopping ? monotonicNow() - m_context.stopRequested : 0;
	if (m_context.stopping && !StopPolicy(m_context.settings.grace).acceptsRequests(elapsed))
	{
		_session->answer(makeErrorAnswer(503, Failure::Stopping, "this gateway is stopping", kStopRetryAfter),
						 true);
		return;
	}
	std::make_shared<Exchange>(m_context, m_dispatcher, _session, std::move(_request))->start();
}

bool Gateway::ready() const
{
	if (m_context.stopping || !m_context.directory.config() || !m_context.startupQueryDone ||
		!m_context.versionsLoggedOnce)
	{
		return false;
	}
	const bool keysMayExpire = m_context.settings.strictRevocation && !m_context.directory.config()->teams.empty();
	return !keysMayExpire || m_context.directory.age(monotonicNow()) < m_context.settings.revocationSpan * 6 / 10;
}

void Gateway::onReadinessRequest(const ServerSessionPtr& _session, const IncomingRequest& /*request*/)
{
	if (ready())
	{
		_session->answer(HttpAnswer{});
		return;
	}
	const bool stopping = m_context.stopping;
	_session->answer(makeErrorAnswer(503, stopping ? Failure::Stopping : Failure::StoreUnavailable,
									 stopping ? "this gateway is stopping" : "the configuration is not confirmed",
									 0));
}

void Gateway::onControlRequest(const ServerSessionPtr& _session, const IncomingRequest& _request)
{
	if (_request.head.target == kContentPath)
	{
		HttpAnswer answer;
		answer.body = m_store->fullContent();
		answer.status = answer.body.empty() ? 503 : 200;
		_session->answer(answer);
		return;
	}
	if (const auto revision = readUpdatePath(_request.head.target))
	{
		HttpAnswer answer;
		answer.body = m_store->contentSince(*revision);
		answer.status = answer.body.empty() ? 404 : 200;
		_session->answer(answer);
		return;
	}
	if (_request.head.target == kStatePath)
	{
		HttpAnswer answer;
		answer.headers = {{"Content-Type", "application/json"}};
		answer.body = describeState(m_context, m_dispatcher.waiting(), m_duties && m_duties->holds());
		_session->answer(answer);
		return;
	}
	if (_request.head.target == kMetricsPath)
	{
		_session->answer(HttpAnswer{200, {{"Content-Type", "text/plain; version=0.0.4"}}, formatMetrics()});
		return;
	}
	if (_request.head.method == "POST" && _request.head.target == kTunnelPath)
	{
		m_tunnels.onRequest(_session, _request);
		return;
	}
	if (_request.head.method == "DELETE" && _request.head.target.starts_with(kCrashesPath))
	{
		_session->answer(releaseRequest(std::string_view(_request.head.target).substr(kCrashesPath.size())));
		return;
	}
	_session->answer(makeErrorAnswer(404, Failure::NoRoute, "unknown path", 0));
}

HttpAnswer Gateway::releaseRequest(std::string_view _content)
{
	const std::optional<RequestFingerprint> request = parseFingerprint(_content);
	if (!request)
	{
		return makeErrorAnswer(400, Failure::QueryInvalid, "not the content of a request: 40 hexadecimal digits",
							   0);
	}
	if (!m_context.crashes.release(*request))
	{
		return makeErrorAnswer(404, Failure::NoRoute, "no crash is known of this request", 0);
	}
	return HttpAnswer{};
}

std::string Gateway::formatMetrics()
{
	const Micros now = monotonicNow();
	GatewayMetrics& metrics = m_context.metrics;
	std::size_t usable = 0;
	std::size_t inBackoff = 0;
	std::size_t brittle = 0;
	const Micros agreed = m_context.clock.trueTime(now);
	for (const auto& [id, known] : m_context.directory.backends())
	{
		usable += known.usable() ? 1 : 0;
		brittle += m_context.brittle.rejectionsOf(ServiceKey(known.record.service), agreed) ? 1 : 0;
		inBackoff += m_context.backoffs.left(known.key, now) > 0 ? 1 : 0;
	}
	const auto& config = m_context.directory.config();
	metrics.setGauge("beacongate_open_requests", static_cast<double>(m_context.openExchanges.size()));
	metrics.setGauge("beacongate_waiting_requests", static_cast<double>(m_dispatcher.waiting()));
	metrics.setGauge("beacongate_backends_known", static_cast<double>(m_context.directory.backends().size()));
	metrics.setGauge("beacongate_backends_usable", static_cast<double>(usable));
	metrics.setGauge("beacongate_backends_in_backoff", static_cast<double>(inBackoff));
	metrics.setGauge("beacongate_streams_remembered", static_cast<double>(m_context.origins.size()));
	metrics.setGauge("beacongate_backends_limited", static_cast<double>(m_context.limits.size()));
	metrics.setGauge("beacongate_backends_brittle", static_cast<double>(brittle));
	metrics.setGauge("beacongate_backends_speed_known", static_cast<double>(m_context.speeds.size()));
	metrics.setGauge("beacongate_slot_requests_queued", static_cast<double>(m_context.slotGrantor.queued()));
	metrics.setGauge("beacongate_requests_suspected",
					 static_cast<double>(m_context.crashes.countOf(Suspicion::Suspected)));
	metrics.setGauge("beacongate_requests_blocked",
					 static_cast<double>(m_context.crashes.countOf(Suspicion::Blocked)));
	metrics.setGauge("beacongate_config_version", config ? static_cast<double>(config->version) : 0.0);
	metrics.setGauge("beacongate_config_age_seconds",
					 static_cast<double>(m_context.directory.age(now)) / static_cast<double>(kSecond));
	metrics.setGauge("beacongate_backend_records_refused",
					 static_cast<double>(m_context.backendRecords.refusals()));
	metrics.setGauge("beacongate_members", static_cast<double>(m_context.peers.memberCount(now)));
	metrics.setGauge("beacongate_gateways_heard",
					 static_cast<double>(m_context.quotas.liveness().gatewaysHeard(now)));
	const Micros reportAge = m_context.quotas.liveness().age(now);
	metrics.setGauge("beacongate_quota_word_age_seconds", reportAge == kNever ? -1.0 : secondsOf(reportAge));
	const QuotaGrantCounts& grants = m_context.admission.counts();
	metrics.setGauge("beacongate_quota_asks_granted", static_cast<double>(grants.granted));
	metrics.setGauge("beacongate_quota_asks_refused", static_cast<double>(grants.refused));
	metrics.setGauge("beacongate_quota_asks_unable", static_cast<double>(grants.unable));
	metrics.setGauge("beacongate_quota_asks_unanswered", static_cast<double>(grants.unanswered));
	metrics.setGauge("beacongate_quota_requests_undecided", static_cast<double>(grants.undecided));
	metrics.setGauge("beacongate_quota_grants_returned", static_cast<double>(grants.returned));
	metrics.setGauge("beacongate_backends_unreachable", m_context.connector.isIsolated() ? 1.0 : 0.0);
	for (const auto& [verdict, count] : m_context.connector.tunnelCounts())
	{
		metrics.setGauge("beacongate_tunnels_asked_" + std::string(toString(verdict)), static_cast<double>(count));
	}
	metrics.setGauge("beacongate_tunnels_provided", static_cast<double>(m_tunnels.openedTunnels()));
	metrics.setGauge("beacongate_tunnels_open", static_cast<double>(m_tunnels.openTunnels()));
	metrics.setGauge("beacongate_duties_held", m_duties && m_duties->holds() ? 1.0 : 0.0);
	metrics.setGauge("beacongate_buffered_bytes", static_cast<double>(m_callerContext->bufferedBytes));
	metrics.setGauge("beacongate_log_lines_left_out", static_cast<double>(droppedLogLines()));
	std::ostringstream text;
	text << metrics.format();
	m_context.traffic.format(text);
	return text.str();
}

void Gateway::waitForSignal()
{
	m_signals.async_wait(
		[this](const boost::system::error_code& _error, int _signal)
		{
			if (_error)
			{
				return;
			}
			if (_signal == SIGHUP)
			{
				reloadSettings();
			}
			else
			{
				requestStop();
			}
			waitForSignal();
		});
}

void Gateway::reloadSettings()
{
	try
	{
		const GatewaySettings settings = m_reload();
		m_context.settings.seeds = settings.seeds;
		m_context.settings.retryBudget = settings.retryBudget;
		m_context.settings.grace = settings.grace;
		m_context.settings.strictRevocation = settings.strictRevocation;
		m_context.settings.revocationSpan = settings.revocationSpan;
		m_context.retryBudget.configure(settings.retryBudget);
		m_context.peers.setSeeds(settings.seeds);
		logEvent(LogLevel::Info, "settings-reloaded", {});
	}
	catch (const Error& error)
	{
		logEvent(LogLevel::Error, "settings-refused", {{"detail", error.what()}});
	}
}

void Gateway::requestStop()
{
	if (m_context.stopping)
	{
		return;
	}
	m_context.stopping = true;
	m_context.stopRequested = monotonicNow();
	m_callerContext->stopping = true;
	logEvent(LogLevel::Info, "stop-requested", {{"open", std::to_string(m_context.openExchanges.size())}});
	pollStop();
}

void Gateway::pollStop()
{
	const Micros elapsed = monotonicNow() - m_context.stopRequested;
	const StopPolicy policy(m_context.settings.grace);
	const bool closesIdle = policy.closesIdle(elapsed);
	const bool mustAbort = policy.mustAbort(elapsed);
	if (closesIdle)
	{
		m_callerListener->close();
		const auto sessions = m_callerContext->sessions;
		for (const ServerSessionPtr& session : sessions)
		{
			session->closeIfIdle();
		}
	}
	const bool answersSent = m_callerContext->sessions.empty() && m_callerContext->closing == 0;
	if (mustAbort || (closesIdle && answersSent && m_tunnels.openTunnels() == 0))
	{
		shutdown();
		return;
	}
	m_stopTimer.expires_after(std::chrono::microseconds(kStopPollInterval));
	m_stopTimer.async_wait(
		[this](const boost::system::error_code& _error)
		{
			if (!_error)
			{
				pollStop();
			}
		});
}

void Gateway::endOpenRequests()
{
	std::vector<ExchangePtr> open;
	open.reserve(m_context.openExchanges.size());
	for (Exchange* exchange : m_context.openExchanges)
	{
		open.push_back(exchange->shared_from_this());
	}
	for (const ExchangePtr& exchange : open)
	{
		exchange->onStop();
	}
}

void Gateway::shutdown()
{
	logEvent(LogLevel::Info, "gateway-stopped", {{"open", std::to_string(m_context.openExchanges.size())}});
	endOpenRequests();
	m_signals.cancel();
	m_gossiper->shutdown();
	m_store->shutdown();
	m_backendList->shutdown();
	m_registration->shutdown();
	m_relaySlot->shutdown();
	m_versionLog->shutdown();
	m_originLog->shutdown();
	if (m_duties)
	{
		m_duties->shutdown();
	}
	// The loop runs on for a short time, so that the last bytes of answers are sent.
	m_stopTimer.expires_after(std::chrono::microseconds(kStopPollInterval * 2));
	m_stopTimer.async_wait([this](const boost::system::error_code& /*error*/) { m_context.loop.stop(); });
}

} // namespace beacongate
