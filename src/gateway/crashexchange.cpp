// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/crashexchange.h"

#include "daemon/logging.h"
#include "gateway/fleettargets.h"
#include "protocol/crashcodec.h"

namespace beacongate
{
CrashExchange::CrashExchange(GatewayContext& _context, Send _send) : m_context(_context), m_send(std::move(_send))
{
	m_context.crashDetector.setCrashHandler(
		[this](const EndedConnection& _ended)
		{
			const Micros now = monotonicNow();
			m_context.crashes.onCrash(_ended.subjects, _ended.crashKeys, now);
			m_context.backoffs.onBackoffRequested(BackendKey(_ended.backend), BackoffTable::kRefusedBackoff, now);
		});
}

std::vector<std::string> CrashExchange::compareTargets(bool _collector, Micros _now) const
{
	if (!m_context.usesCollectors())
	{
		return m_context.peers.targets(_now);
	}
	return _collector ? m_context.relays.allTopMembers()
					  : m_context.relays.topMembers(m_context.settings.dataCentre, RelayChoice::kTopMembers);
}

void CrashExchange::send(CrashReportKind _kind, std::vector<CrashRecord> _records, const std::string& _host)
{
	m_send(encodeCrashReport({_kind, m_context.crashes.digest(), std::move(_records)}), _host);
}

void CrashExchange::sendChanges(bool _collector, Micros _now)
{
	const std::vector<CrashRecord> changes =
		m_context.crashes.takeChanges(relaysChanges(m_context, _collector), kMaxChanges, _now);
	if (changes.empty())
	{
		return;
	}
	for (const std::string& host : changeTargets(m_context, _collector, _now))
	{
		send(CrashReportKind::Changes, changes, host);
	}
}

void CrashExchange::compare(bool _collector, Micros _now)
{
	if (_now - m_comparedAt < kCompareInterval)
	{
		return;
	}
	std::vector<std::string> hosts = compareTargets(_collector, _now);
	std::erase(hosts, m_context.settings.callers.host);
	if (hosts.empty())
	{
		return;
	}
	m_comparedAt = _now;
	send(CrashReportKind::Query, {}, hosts[m_context.random() % hosts.size()]);
}

void CrashExchange::logNotices()
{
	for (const CrashNotice& notice : m_context.crashes.takeNotices())
	{
		m_context.metrics.onCrashNotice(toString(notice.change));
		logEvent(notice.change == CrashChange::Blocked ? LogLevel::Warning : LogLevel::Info, "crash-suspicion",
				 {{"content", toString(notice.request)},
				  {"change", std::string(toString(notice.change))},
				  {"crashes", std::to_string(notice.crashes)},
				  {"weight", std::to_string(notice.weight)}});
	}
}

void CrashExchange::tick(bool _collector, Micros _now)
{
	m_context.crashes.expire(_now);
	logNotices();
	sendChanges(_collector, _now);
	compare(_collector, _now);
}

bool CrashExchange::onDatagram(std::string_view _bytes, const std::string& _sender)
{
	const std::optional<CrashReport> report = decodeCrashReport(_bytes);
	if (!report)
	{
		return false;
	}
	const Micros now = monotonicNow();
	m_context.crashes.merge(report->records, now);
	if (report->digest == m_context.crashes.digest())
	{
		return true;
	}
	if (report->kind == CrashReportKind::Query)
	{
		send(CrashReportKind::Answer, m_context.crashes.records(now), _sender);
	}
	else if (report->kind == CrashReportKind::Answer)
	{
		send(CrashReportKind::Final, m_context.crashes.records(now), _sender);
	}
	return true;
}

} // namespace beacongate
