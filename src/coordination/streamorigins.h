// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers at which software version each stream began, and finds it where a caller takes the stream up.

#ifndef BEACONGATE_COORDINATION_STREAMORIGINS_H
#define BEACONGATE_COORDINATION_STREAMORIGINS_H

#include "coordination/rendezvoushomes.h"
#include "coordination/streamorigin.h"
#include "coordination/versionhistory.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// What is known of a stream that is taken up.
enum class OriginState
{
	Pending, ///< Other gateways have been asked.
	Known,   ///< It began at one version.
	Unknown, ///< It may have begun at one of several versions.
};

/// What the result of a search is founded on.
enum class OriginGrounds
{
	None,
	Record,      ///< A gateway knows the stream.
	OnlyVersion, ///< No other version can have begun it.
};

/// @returns the name used in logs.
std::string_view toString(OriginGrounds _grounds);

/// Result of a search.
struct OriginVerdict
{
	OriginState state = OriginState::Pending;
	VersionKey version; ///< If it is known.
	OriginGrounds grounds = OriginGrounds::None;
	bool mayBeKnown = true;    ///< A gateway that was asked has not answered, so that a later search may find it.
	bool needsContent = false; ///< The search is pending until the store's content has been read again.
};

/// A request's search; kept by the request between calls.
struct OriginTicket
{
	std::uint64_t id = 0; ///< 0 if no search is under way.
};

/// Table of the streams that began at this gateway, or that others have told it.
///
/// A caller whose connection broke comes back at any gateway, mostly because the first one has ended. So a gateway
/// tells some others, the stream's homes, before it passes the first event on, and any gateway finds them again by
/// rendezvous hashing. The costs do not grow with the fleet: kHolders datagrams for each stream that begins and
/// kAsked for each one that is taken up.
///
/// Where no home knows a stream, it goes on only if its service had a single version for as long as streams live,
/// and if this gateway can know that, see VersionHistory::isComplete(). It must have read the store after the
/// search began: the log names a version before the first stream begins there.
class StreamOrigins
{
public:
	using Send = std::function<void(const std::string& _host, const StreamOriginMessage& _message)>;

	/// Homes that are told of a stream: one may be lost with the gateway that began it.
	static constexpr std::size_t kHolders = 2;
	/// Homes that are asked. More than those that are told, since the list of members may have changed meanwhile.
	static constexpr std::size_t kAsked = 4;
	/// Homes that have not answered are asked again after this time, since datagrams may be lost.
	static constexpr Micros kResendDelay = 40 * kMillisecond;
	/// A search ends after this time: several round trips between data centres.
	static constexpr Micros kSearchTimeout = 250 * kMillisecond;
	/// Content of the store that was confirmed within this time will soon be confirmed again.
	static constexpr Micros kFreshContentAge = 1500 * kMillisecond;
	/// Bounds of the time for which a stream is remembered.
	static constexpr Micros kMinLifetime = 30 * kSecond;
	static constexpr Micros kMaxLifetime = VersionHistory::kRetention;
	/// Streams that are remembered, which bounds the memory to some 3 MB; the oldest give way.
	static constexpr std::size_t kMaxStreams = 32768;

	/// @param[in] _host Host of this gateway.
	/// @param[in] _firstId Number from which searches are counted; another one at each start.
	StreamOrigins(const VersionHistory& _history, std::string _host, std::uint64_t _firstId)
		: m_history(_history), m_host(std::move(_host)), m_lastId(_firstId)
	{
	}

	/// Sets the function that sends a message to another gateway.
	void setSend(Send _send)
	{
		m_send = std::move(_send);
	}

	/// Replaces the known members of the fleet.
	void setMembers(const std::set<MemberRecord>& _members)
	{
		m_homes.setMembers(_members);
	}

	/// Notes that a stream begins, and tells its homes. Must be called before its first event is passed on.
	/// @param[in] _lifetime For how long the caller may take it up.
	void onBegun(StreamKey _stream, VersionKey _version, Micros _lifetime, Micros _now);

	/// Notes that a stream that began here was delivered whole, so that its caller does not take it up.
	void onCompleted(StreamKey _stream);

	/// @returns the number of streams that have begun here.
	std::uint64_t begun() const
	{
		return m_begun;
	}

	/// @returns the streams that began here and may be taken up where several versions are possible, newest first.
	/// @param[in] _most Largest number of streams.
	std::vector<StreamOriginRecord> ownRecords(std::size_t _most, Micros _now) const;

	/// Takes over streams that a gateway has recorded in the store; what is known already stays.
	/// @param[in] _own They began at this gateway before it was started again.
	void adopt(const std::vector<StreamOriginRecord>& _records, bool _own, Micros _now);

	/// Searches for the version at which a stream began. Must be called again while the result is pending.
	/// @param[in] _contentAge Time since this gateway's content of the store was confirmed.
	/// @param[in] _found Called when an answer ends the search.
	OriginVerdict search(OriginTicket& _ticket, StreamKey _stream, ServiceKey _service, Micros _contentAge,
						 Micros _now, std::function<void()> _found);

	/// Ends a search whose request has ended.
	void abandon(OriginTicket& _ticket);

	/// Processes a message from another gateway.
	void onMessage(const std::string& _host, const StreamOriginMessage& _message, Micros _now);

	/// Forgets the streams that can no longer be taken up. Must be called several times a minute.
	void expire(Micros _now);

	/// @returns the number of streams that are remembered.
	std::size_t size() const
	{
		return m_streams.size();
	}

private:
	struct Entry
	{
		VersionKey version;
		Micros until = 0;
		bool own = false; ///< It began here, and has not been delivered whole.
	};

	struct Search
	{
		StreamKey stream;
		ServiceKey service;
		Micros started = 0;
		bool resent = false;
		std::vector<std::string> silent; ///< Hosts that have not answered.
		std::optional<VersionKey> version;
		std::set<VersionKey> recentVersions; ///< As the answers list them.
		std::function<void()> found;
	};

	void store(const StreamOriginRecord& _record, bool _own, Micros _now);
	std::optional<VersionKey> find(StreamKey _stream, Micros _now) const;
	void sendQueries(std::uint64_t _id, const Search& _search);
	/// @returns the result of a search that no home's knowledge has ended.
	OriginVerdict conclude(const Search& _search, Micros _contentAge, Micros _now) const;
	void onQuery(const std::string& _host, const StreamOriginQuery& _query, Micros _now);
	void onAnswer(const std::string& _host, const StreamOriginAnswer& _answer);

	const VersionHistory& m_history;
	std::string m_host;
	std::uint64_t m_lastId;
	std::uint64_t m_begun = 0;
	Send m_send;
	RendezvousHomes m_homes;
	std::unordered_map<StreamKey, Entry, StreamKeyHash> m_streams;
	std::deque<StreamKey> m_order; ///< Keys by their first arrival.
	std::unordered_map<std::uint64_t, Search> m_searches;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STREAMORIGINS_H
