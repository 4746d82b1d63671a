// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "state/backends.h"

namespace beacongate
{
void BackendTable::apply(const Config& _config, const Catalog& _catalog)
{
	for (Backend& row : m_rows)
	{
		row.configured = false;
	}
	m_byService.assign(_catalog.serviceCount(), {});
	for (const BackendConfig& item : _config.backends)
	{
		auto it = m_byId.find(item.id);
		if (m_byId.end() == it)
		{
			const BackendHandle handle{static_cast<std::uint32_t>(m_rows.size())};
			it = m_byId.emplace(item.id, handle).first;
			m_rows.emplace_back();
		}
		Backend& row = m_rows[it->second.idx];
		if (row.config.vm != item.vm)
		{
			// The same id on another VM is a new backend server.
			row.leaving = false;
			row.gone = false;
			row.leavesAt = kNever;
			row.failures = 0;
			row.backoffUntil = 0;
			row.prefixes = PrefixIndex{};
		}
		row.config = item;
		row.configured = true;
		row.service = _catalog.findService(item.service);
		if (isValid(row.service))
		{
			m_byService[row.service.idx].push_back(it->second);
		}
	}
}

std::vector<BackendHandle> BackendTable::markLeaving(const VmView& _vms, Micros _now)
{
	std::vector<BackendHandle> changed;
	for (std::uint32_t ii = 0; ii < m_rows.size(); ++ii)
	{
		Backend& row = m_rows[ii];
		const auto notice = _vms.leaving.find(row.config.vm);
		const bool gone = _vms.gone.contains(row.config.vm);
		const bool leaving = gone || _vms.leaving.end() != notice;
		if ((leaving && !row.leaving) || (gone && !row.gone))
		{
			row.leavesAt = _vms.leaving.end() == notice ? _now : _now + notice->second;
			row.leaving = true;
			row.gone = gone;
			changed.push_back(BackendHandle{ii});
		}
	}
	return changed;
}

const std::vector<BackendHandle>& BackendTable::ofService(ServiceHandle _service) const
{
	static const std::vector<BackendHandle> s_none;
	return _service.idx < m_byService.size() ? m_byService[_service.idx] : s_none;
}

Backend& BackendTable::at(BackendHandle _handle)
{
	return m_rows.at(_handle.idx);
}

const Backend& BackendTable::at(BackendHandle _handle) const
{
	return m_rows.at(_handle.idx);
}

BackendHandle BackendTable::find(const std::string& _id) const
{
	const auto it = m_byId.find(_id);
	return m_byId.end() == it ? BackendHandle{} : it->second;
}

std::size_t BackendTable::size() const
{
	return m_rows.size();
}

bool BackendTable::takesWork(const Backend& _backend, Micros _now)
{
	return _backend.configured && !_backend.config.drained && !_backend.leaving && _now >= _backend.backoffUntil;
}

} // namespace beacongate
