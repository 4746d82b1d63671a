// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/openload.h"

#include "daemon/clock.h"
#include "platform/names.h"
#include "soak/caller.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace beacongate::soak
{
namespace
{
constexpr Micros kArrivalInterval = 5 * kMillisecond; ///< Interval at which new arrivals are sent.
constexpr Micros kAnswerTimeout = 4 * kSecond;
constexpr Micros kDeadline = 3 * kSecond;
constexpr unsigned kOk = 200;
constexpr double kMaxTokenFactor = 5.0; ///< Largest number of tokens of a request, as a multiple of the mean.
} // namespace

/// A request in flight.
struct OpenLoad::OpenRequest
{
	ObservedRequest request;
	OutgoingCall::Ptr call;
	std::string body;
	bool ended = false;
};

OpenLoad::OpenLoad(std::vector<Address> _gateways, std::function<std::uint64_t(unsigned)> _startOf,
				   std::uint64_t _seed)
	: m_gateways(std::move(_gateways)), m_startOf(std::move(_startOf)),
	  m_random(static_cast<std::minstd_rand::result_type>(_seed + 1)), m_timer(m_loop.context())
{
	m_loop.run(
		[this]
		{
			m_lastArrivals = monotonicNow();
			sendArrivals();
		});
}

OpenLoad::~OpenLoad()
{
	stop();
}

void OpenLoad::set(const LoadTeam& _team)
{
	m_loop.run(
		[&]
		{
			const auto same = [&](const LoadTeam& _other)
			{
				return _other.name == _team.name;
			};
			const auto known = std::find_if(m_teams.begin(), m_teams.end(), same);
			if (known == m_teams.end())
			{
				m_teams.push_back(_team);
			}
			else
			{
				*known = _team;
			}
		});
}

std::vector<ObservedRequest> OpenLoad::stop()
{
	m_loop.run(
		[this]
		{
			m_stopped = true;
			m_timer.cancel();
			abandonOlderThan(kNever);
		});
	return std::move(m_done);
}

void OpenLoad::sendArrivals()
{
	const Micros now = monotonicNow();
	const double span = secondsOf(now - m_lastArrivals);
	m_lastArrivals = now;
	for (const LoadTeam& team : m_teams)
	{
		std::poisson_distribution<unsigned> arrivals(team.requestsPerSecond * span);
		for (unsigned left = team.requestsPerSecond > 0.0 ? arrivals(m_random) : 0; left > 0; --left)
		{
			send(team);
		}
	}
	abandonOlderThan(now - kAnswerTimeout);
	m_timer.expires_after(std::chrono::microseconds(kArrivalInterval));
	m_timer.async_wait(
		[this](const boost::system::error_code& _error)
		{
			if (!_error && !m_stopped)
			{
				sendArrivals();
			}
		});
}

void OpenLoad::send(const LoadTeam& _team)
{
	if (m_open.size() >= kMaxOpen)
	{
		++m_dropped;
		return;
	}
	auto open = std::make_shared<OpenRequest>();
	ObservedRequest& request = open->request;
	request.id = _team.name + "-" + std::to_string(++m_number);
	const bool repeatable = m_random() % 2 == 0;
	request.kind = repeatable ? RequestKind::Safe : RequestKind::Unsafe;
	if (_team.streams)
	{
		request.kind = repeatable ? RequestKind::StreamAgain : RequestKind::StreamOnce;
	}
	request.key = _team.key;
	request.team = _team.name;
	request.gateway = static_cast<unsigned>(m_random() % m_gateways.size());
	request.start = m_startOf(request.gateway);
	request.sent = monotonicNow();
	std::string tokens;
	if (_team.meanTokens > 0.0)
	{
		std::exponential_distribution<double> sizes(1.0 / _team.meanTokens);
		request.tokens = std::ceil(std::min(kMaxTokenFactor * _team.meanTokens, 1.0 + sizes(m_random)));
		tokens = std::string(platform::kTokenCounts) + ": " +
				 std::to_string(static_cast<std::uint64_t>(request.tokens)) + ",0\r\n";
	}
	const bool hasBody = request.kind != RequestKind::Safe;
	std::string bytes = std::string(hasBody ? "POST " : "GET ") + pathOf(request.kind) +
						" HTTP/1.1\r\nHost: h.example\r\n" + platform::kRequestId + ": " + request.id + "\r\n" +
						platform::kDeadline + ": " + std::to_string(kDeadline / kMillisecond) + "\r\n" +
						platform::kApiKey + ": " + request.key + "\r\nConnection: close\r\n" + tokens;
	bytes += hasBody ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
	CallOptions options;
	options.address = m_gateways[request.gateway];
	CallHandlers handlers;
	handlers.onSent = [open]
	{
		open->request.connected = true;
	};
	handlers.onHead = [open](const MessageHead& _head)
	{
		open->request.status = _head.status;
		open->request.correct = findHeader(_head.headers, platform::kRequestId) == open->request.id;
	};
	handlers.onBody = [open](std::string_view _bytes)
	{
		open->body.append(_bytes);
	};
	handlers.onDone = [this, open]
	{
		ObservedRequest& done = open->request;
		done.complete = true;
		const bool own = open->body == (isStream(done.kind) ? standin::PlatformWorker::wholeStream(done.id)
															: standin::PlatformWorker::wholeCall(done.id));
		done.correct = done.correct && (done.status != kOk || own);
		end(*open);
	};
	handlers.onFault = [this, open](CallFault)
	{
		end(*open);
	};
	m_open.push_back(open);
	open->call = OutgoingCall::start(m_loop.context(), options, std::move(bytes), std::move(handlers));
}

void OpenLoad::end(OpenRequest& _open)
{
	_open.request.ended = monotonicNow();
	_open.ended = true;
	m_done.push_back(_open.request);
}

void OpenLoad::abandonOlderThan(Micros _sentBefore)
{
	for (const std::shared_ptr<OpenRequest>& open : m_open)
	{
		if (!open->ended && open->request.sent < _sentBefore)
		{
			open->request.abandoned = true;
			open->call->cancel();
			end(*open);
		}
	}
	std::erase_if(m_open, [](const std::shared_ptr<OpenRequest>& _open) { return _open->ended; });
}

} // namespace beacongate::soak
