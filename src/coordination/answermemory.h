// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Bounds the memory of answers that are held whole, from their first byte until callers have taken them.

#ifndef BEACONGATE_COORDINATION_ANSWERMEMORY_H
#define BEACONGATE_COORDINATION_ANSWERMEMORY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace beacongate
{
/// Counts the bytes of all answers that are held. Beyond kMaxBytes only the answer that has waited longest is read
/// on, so that one after the other becomes whole; the others stay in the buffers of their backend servers'
/// connections. Small answers never wait. An answer that is whole counts until its caller has taken it, so that
/// callers that read slowly delay other large answers.
class AnswerMemory
{
public:
	/// Bytes of all answers up to which all are read. A gateway has 260 MB on the smallest VMs; streams, request
	/// bodies and the content of the store take their parts of it.
	static constexpr std::size_t kMaxBytes = 64u << 20;
	/// Bytes up to which an answer is read in any case, so that large answers do not delay small ones.
	static constexpr std::size_t kSmallBytes = 64u << 10;

	/// The bytes of one answer. They count until it is destroyed, which the memory must outlive.
	class Share
	{
	public:
		explicit Share(AnswerMemory& _memory) : m_memory(_memory), m_id(++_memory.m_lastId)
		{
		}

		~Share()
		{
			m_memory.release(*this);
		}

		Share(const Share&) = delete;
		Share& operator=(const Share&) = delete;

		/// Adds bytes of the answer that have arrived.
		/// @param[in] _resume Called once reading may go on, if it may not now. It must not destroy shares.
		/// @returns true if reading may go on.
		bool add(std::size_t _bytes, std::function<void()> _resume);

	private:
		friend class AnswerMemory;

		AnswerMemory& m_memory;
		std::uint64_t m_id;
		std::size_t m_bytes = 0;
	};

	/// @returns the bytes of all answers that are held.
	std::size_t bytes() const
	{
		return m_bytes;
	}

	/// @returns the number of answers that are not read on.
	std::size_t waiting() const
	{
		return m_waiting.size();
	}

private:
	void release(const Share& _share);
	void resume();

	std::size_t m_bytes = 0;
	std::uint64_t m_lastId = 0;
	std::uint64_t m_favoured = 0; ///< The answer that is read on beyond the bound; 0 if there is none.
	std::map<std::uint64_t, std::function<void()>> m_waiting; ///< By the order in which the answers began.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ANSWERMEMORY_H
