// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Of which gateways there is word, and since when.

#ifndef BEACONGATE_COORDINATION_FLEETWORD_H
#define BEACONGATE_COORDINATION_FLEETWORD_H

#include "beacongate/types.h"
#include "coordination/stalldetector.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace beacongate
{
/// How far what is known of the other gateways may be acted on.
enum class FleetContact
{
	Whole,    ///< Most of them were heard of late.
	Resuming, ///< This process stood still; it has asked, and their words are on their way.
	Lost,     ///< Most of them are not heard.
};

/// Keeps from whom word came, and when that word was proved to be new.
/// @remarks A word is as old as the message of this gateway which it answers, not as the moment at which it is
/// read: what waited in a socket while this process stood still, or while datagrams were lost, proves nothing of
/// the present. That covers alike a gateway that stood still, one that hears nothing, one that is not heard, and
/// one whose collector does not answer.
class FleetLiveness
{
public:
	/// A source that was silent for longer is taken for cut off; in larger fleets, for twice the span in which a
	/// peer is heard by chance.
	static constexpr Micros kSilenceTimeout = 700 * kMillisecond;
	/// For so long after it stood still, a gateway waits for word before it goes by its own share: a round of
	/// gossip and the way there and back. The report goes out as it wakes, and 23 gateways of 77 that stood still
	/// for 2.5 s heard after 0.2 s (log of one day with a hot team).
	static constexpr Micros kResumeTimeout = 350 * kMillisecond;

	/// A longer span without any word is none of those that lost datagrams make.
	static constexpr Micros kGap = 500 * kMillisecond;

	/// Names how many gateways there are, this one included.
	void setMembers(std::size_t _members);

	/// @returns the gateways there are, this one included.
	std::size_t members() const
	{
		return m_members;
	}

	/// Time passes; to be called before anything else of the same moment, and several times a second.
	void onTick(Micros _now);

	/// A source was heard.
	/// @param[in] _proved When this gateway sent what the source has answered.
	/// @param[in] _gateways For which it speaks.
	void onHeard(const std::string& _source, Micros _now, Micros _proved, std::size_t _gateways);

	/// A collector's sums were heard.
	/// @param[in] _group Over which gateways the sums are: one collector of each group is listened to at a time.
	/// @returns where it is another collector than before, the span of which neither has told and which was not
	/// recorded as that of silent gateways.
	std::optional<Micros> onSums(const std::string& _group, const std::string& _source, Micros _now, Micros _proved,
								 std::size_t _gateways);

	/// @returns whether another collector of a group was listened to so far: what a new one counted before is
	/// known.
	bool replacesAnother(const std::string& _group, const std::string& _source) const;

	/// @returns whether a source was heard before.
	bool knows(const std::string& _source) const
	{
		return m_heard.count(_source) != 0;
	}

	/// @returns since when nothing was known of what a source did, where its next word is the first after a span in
	/// which nobody was heard.
	std::optional<Micros> unheardSince(const std::string& _source, Micros _now) const;

	/// @returns the part of all gateways for which a source speaks.
	double shareOf(const std::string& _source) const;

	/// @returns the gateways that are not known to be silent, this one included.
	std::size_t gatewaysHeard(Micros _now) const;

	/// @returns the part of the gateways that are silent.
	double silentShare(Micros _now) const;

	/// @returns the part of the rate that was left to a source, in seconds of the whole rate, since it was heard.
	double secondsLeftTo(const std::string& _source, Micros _now) const;

	/// @returns how far the others may be reckoned with.
	FleetContact contact(Micros _now) const;

	/// @returns whether this process stood still and went on within a span.
	bool wokeWithin(Micros _span, Micros _now) const
	{
		return m_stall.resumedAt() != kLongAgo && _now - m_stall.resumedAt() <= _span;
	}

	/// @returns for how long nothing was heard; kNever before the first word.
	Micros age(Micros _now) const;

	/// @returns when something was heard last.
	Micros last() const
	{
		return m_lastWord;
	}

	/// @returns for how long a source is silent before it is taken for cut off.
	Micros silence() const;

private:
	struct Word
	{
		Micros proved = kLongAgo;
		Micros received = kLongAgo;
		std::size_t gateways = 1;
	};

	/// @returns since when a source has been silent; what passed while this process stood still does not count.
	Micros silentSince(const Word& _word) const;

	StallDetector m_stall;
	std::map<std::string, Word> m_heard;
	std::map<std::string, std::string> m_collectors; ///< That is listened to, by group.
	Micros m_lastWord = kLongAgo;
	Micros m_gapEnded = kLongAgo; ///< When somebody was heard again after a span in which nobody was.
	std::size_t m_members = 1;
	std::size_t m_mostHeard = 1; ///< Gateways that were heard at the same time, this one included.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FLEETWORD_H
