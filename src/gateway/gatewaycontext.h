// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// State shared by the parts of one gateway. It is used only on the event loop's thread.

#ifndef BEACONGATE_GATEWAY_GATEWAYCONTEXT_H
#define BEACONGATE_GATEWAY_GATEWAYCONTEXT_H

#include "coordination/admission/admissionrules.h"
#include "coordination/admission/shortageretry.h"
#include "coordination/admission/slotrules.h"
#include "coordination/agreedclock.h"
#include "coordination/answermemory.h"
#include "coordination/backendlimits.h"
#include "coordination/backofftable.h"
#include "coordination/balancer.h"
#include "coordination/brittleservices.h"
#include "coordination/contenthistory.h"
#include "coordination/crashledger.h"
#include "coordination/demandmeter.h"
#include "coordination/directory.h"
#include "coordination/enginemodel.h"
#include "coordination/gossipplan.h"
#include "coordination/kvtypes.h"
#include "coordination/lastrestore.h"
#include "coordination/peertable.h"
#include "coordination/quotaadmission.h"
#include "coordination/quotagrantor.h"
#include "coordination/quotaledger.h"
#include "coordination/readershare.h"
#include "coordination/relaychoice.h"
#include "coordination/retainedmembers.h"
#include "coordination/sharedretrybudget.h"
#include "coordination/slotpermits.h"
#include "coordination/storereachability.h"
#include "coordination/streamlengths.h"
#include "coordination/streamorigins.h"
#include "coordination/suspectplacement.h"
#include "coordination/usageledger.h"
#include "coordination/versionhistory.h"
#include "daemon/clock.h"
#include "daemon/logging.h"
#include "gateway/backendconnector.h"
#include "gateway/backendrecords.h"
#include "gateway/crashdetector.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/trafficcounters.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>

namespace beacongate
{
class Exchange;

/// The shared state of one gateway.
struct GatewayContext
{
	explicit GatewayContext(GatewaySettings _configured)
		: settings(std::move(_configured)), run{settings.name, newIncarnation()},
		  random(static_cast<std::mt19937::result_type>(run.incarnation)),
		  storeReachability(DrainBudget(settings.drainSpan).storeTimeout),
		  balancer(settings.dataCentre, static_cast<std::uint32_t>(run.incarnation), &speeds), grantor(quotas),
		  admission(quotas, grantor, settings.callers.host, run.incarnation), peers(settings.callers.host),
		  relays({settings.callers.host, settings.dataCentre, settings.cpuPercent}), usage(run)
	{
		directory.setDrainBound(settings.drainSpan);
		retryBudget.configure(settings.retryBudget);
		quotas.setFirstStart(settings.firstStart);
		peers.setSeeds(settings.seeds);
	}

	/// @returns a random span that differs from the given one by up to a quarter.
	Micros jittered(Micros _span)
	{
		return _span * 3 / 4 + static_cast<Micros>(random() % static_cast<std::uint64_t>(_span / 2 + 1));
	}

	/// @returns true if the fleet is so large that gateways report to collectors instead of to each other.
	bool usesCollectors() const
	{
		return GossipPlan::usesCollectors(relays.memberCount());
	}

	/// @returns true if this gateway may read the whole content, or all records of backend servers, from the
	/// store.
	bool mayReadStore(Micros _now) const
	{
		return ReaderShare::mayRead(relays.memberCount(), relays.position(), contentBytes,
									_now - std::max(relayAnswered, started));
	}

	/// Notes the era that the store, or a peer's copy of its content, names. It may be an earlier one, or 0 for
	/// none.
	void onStoreEra(std::uint64_t _era)
	{
		if (storeEra && _era <= *storeEra)
		{
			return;
		}
		const bool restored = storeEra.has_value();
		storeEra = _era;
		restored ? lastRestore.onLaterEra(monotonicNow()) : lastRestore.onFirstEra(monotonicNow());
		if (restored)
		{
			++storeRestores;
			logEvent(LogLevel::Warning, "store-restored", {{"era", std::to_string(_era)}});
			onStoreRestored ? onStoreRestored() : void();
		}
	}

	/// Notes that a backend server names no limit any more.
	void onLimitEnded(BackendKey _key)
	{
		slots.onLimitEnded(_key);
		slotGrantor.onLimitEnded(_key);
	}

	/// Shares homes and turns out among the members. Must be called after each change of them.
	void shareOutAmongMembers()
	{
		slots.setMembers(members.members());
		limits.setMembers(members.count(), members.index());
	}

	/// Determines anew which services are under admission, and whose slots are granted.
	void updateSlotRules()
	{
		if (const RoutingConfigPtr& config = directory.config())
		{
			settings.features.admission ? admissionRules.configure(config) : void();
			const std::size_t gateways = settings.features.exactSlots ? members.count() : 0;
			slotRules.update(*config, admissionRules, speeds, directory.backends(), gateways);
		}
	}

	/// @returns the rejections for want of room that each server of a service bears in a second; nothing if its
	/// slots are not granted one by one.
	std::optional<double> bearableRejections(const std::string& _service, Micros _now) const
	{
		const auto brittleness = brittlenessOf(_service, _now);
		return brittleness ? brittleness : slotRules.rejectionsOf(_service);
	}

	/// @returns true if the servers of a service have stated that they are brittle.
	bool isBrittle(const std::string& _service, Micros _now) const
	{
		return brittlenessOf(_service, _now).has_value();
	}

	std::optional<double> brittlenessOf(const std::string& _service, Micros _now) const
	{
		return brittle.size() == 0 ? std::nullopt
								   : brittle.rejectionsOf(ServiceKey(_service), clock.trueTime(_now));
	}

	/// @returns the number of the usage window that is open now.
	std::uint64_t currentWindow(Micros _now) const
	{
		return static_cast<std::uint64_t>(clock.trueTime(_now) / settings.usageWindow);
	}

	AnswerMemory answerMemory; ///< Outlives the loop, whose connections hold shares of it.
	/// Exchanges add and remove themselves; outlives the loop, whose handlers hold some of them.
	std::unordered_set<Exchange*> openExchanges;
	boost::asio::io_context loop{1};
	GatewaySettings settings;
	GatewayRun run;
	std::minstd_rand random;
	Micros started = monotonicNow();
	Directory directory;
	StoreContent content;
	std::uint64_t contentFingerprint = 0; ///< Fingerprint of content, see fingerprintOf().
	std::uint64_t contentBytes = 0;       ///< Estimated size of a read of content.
	Micros relayAnswered = kLongAgo;      ///< When a relay last answered.
	ContentHistory history;
	BackendRecords backendRecords;
	StoreReachability storeReachability;
	ServerSpeeds speeds;
	Balancer balancer;
	AdmissionRules admissionRules;
	SlotRules slotRules;
	ShortageMeter shortages;
	BackoffTable backoffs;
	VersionHistory versions{settings.firstStart ? kLongAgo : started};
	StreamOrigins origins{versions, settings.callers.host, run.incarnation};
	/// The members among which the homes and turns of backend servers are shared out; relays are chosen among
	/// listed members.
	RetainedMembers members{{settings.callers.host, settings.dataCentre, settings.cpuPercent}};
	BackendLimits limits;
	BrittleServices brittle;
	SlotGrantor slotGrantor{run.incarnation};
	SlotPermits slots{balancer, slotGrantor, settings.callers.host, run.incarnation};
	CrashLedger crashes;
	SuspectPlacement suspects{crashes};
	QuotaLedger quotas;
	QuotaGrantor grantor;
	QuotaAdmission admission;
	SharedRetryBudget retryBudget;
	PeerTable peers;
	RelayChoice relays;
	BackendConnector connector{loop, settings, relays, peers, random};
	CrashDetector crashDetector{connector};
	AgreedClock clock;
	UsageLedger usage;
	DemandMeter demand;
	EngineModel engines;
	StreamLengths streamLengths;
	GatewayMetrics metrics;
	TrafficCounters traffic;
	bool stopping = false;
	Micros stopRequested = kNever;
	std::optional<std::uint64_t>
		storeEra; ///< Newest era of the store that was named; nothing before its first answer.
	LastRestore lastRestore{settings.firstStart};
	/// Number of later eras that were named. A call to the store whose answer finds another number than its sending
	/// has met a restore: its result does not hold.
	std::uint64_t storeRestores = 0;
	/// Called when the store has been restored from a copy: leases and what was written since the copy are gone.
	std::function<void()> onStoreRestored;
	/// Called after the members that the store lists were read.
	std::function<void()> onMembersRead;
	/// Called after the directory has changed.
	std::function<void()> onDirectoryChanged;
	bool startupQueryDone =
		false; ///< This gateway knows what others know of limits and brittle services, or cannot ask.
	/// The store's log has named all versions that were listed since the start, or was awaited for long enough.
	bool versionsLoggedOnce = false;
	/// Called when a peer has a newer configuration.
	std::function<void()> onNewerConfigAtPeer;
	/// Called when a decision needs content of the store that is read from now on.
	std::function<void()> onContentNeeded;
	/// Called when a peer states the fingerprint of its content and when that content was certainly the newest.
	std::function<void(std::uint64_t, Micros)> onPeerContentState;
	/// Lease of this gateway's registration in the store; 0 if there is none.
	std::uint64_t registrationLease = 0;
	/// This gateway holds the duties; it alone watches the store, and others learn of changes from it.
	bool holdsDuties = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAYCONTEXT_H
