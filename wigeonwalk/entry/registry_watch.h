// Watches the registry and applies its changes to the daemon's state.
//
//   RegistryWatch watch(state, mirror, store, decoder, timer, log);
//   spawn(watch.Run());
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/item_mirror.h"
#include "wigeonwalk/entry/registry_item_log.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/ports/structured_log.h"
#include "wigeonwalk/retry/backoff.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Lists all keys once and then watches them with one call at a time, as each
// call has a cost. While a reader of the zone keeps this daemon up to date, it
// makes no calls. One task.
template<KeyValueService S, RegistryDecoder D, Timer T, StructuredLog L>
class RegistryWatch
{
public:
  // Latest end of a watch call, counted from when the registry was last known,
  // as a fraction of the shortest time within which a change must be applied:
  // if a call hangs, the next one still applies the change in time.
  static constexpr double kWatchTimeoutFraction = 0.75;
  // Minimum interval between the starts of two watch calls, as a fraction of
  // the shortest time within which a change must be applied, and its least
  // value: each call has a cost.
  static constexpr int kWatchesPerBound = 5;
  static constexpr Duration kMinWatchInterval = std::chrono::milliseconds(500);
  // Longest watch call of a daemon on which others rely: its answer shows them
  // that the registry has not changed.
  static constexpr Duration kMaxReaderWatch = std::chrono::milliseconds(800);
  // How often a daemon that relies on a reader checks that it still may.
  static constexpr Duration kRelayCheckInterval =
    std::chrono::milliseconds(100);
  // Timeout of a call that probes whether the registry answers again.
  static constexpr Duration kRecoveryProbeTimeout =
    std::chrono::milliseconds(500);
  // Timeout of a full read, and the factor by which it grows with each failure
  // up to the maximum: a large registry has several pages, and a slow one still
  // has to be read before this daemon can serve.
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1'000);
  static constexpr int kReadTimeoutGrowth = 3;
  static constexpr Duration kMaxReadTimeout = std::chrono::seconds(8);
  // Delay after a failed call. After a failed watch it doubles with each
  // further failure: in an outage every daemon probes the registry, and refused
  // calls have a cost as well.
  static constexpr BackoffSettings kRetryDelays{
    .initialDelay = std::chrono::milliseconds(200),
    .maxDelay = std::chrono::milliseconds(1'000),
  };
  // The registry counts as unreachable after this time without a response.
  static constexpr Duration kUnreachableAfter =
    std::chrono::milliseconds(1'000);

  RegistryWatch(EntryState& aState,
                ItemMirror& aMirror,
                S& aStore,
                const D& aDecoder,
                T& aTimer,
                L& aLog)
    : state(aState)
    , mirror(aMirror)
    , store(aStore)
    , decoder(aDecoder)
    , timer(aTimer)
    , log(aLog)
  {
  }

  // Runs for the lifetime of the daemon.
  Task<void> Run()
  {
    this->answeredAt = this->timer.Now();
    while (true) {
      const TimePoint startedAt = this->timer.Now();
      if (this->hasListing && this->state.FollowsReader(startedAt)) {
        co_await this->timer.WaitUntil(startedAt + kRelayCheckInterval);
        continue;
      }
      FailureReason reason;
      bool ok = false;
      if (this->hasListing) {
        ok = co_await this->WatchOnce(reason);
      } else {
        ok = co_await this->ReadAll(reason);
        this->readTimeout =
          ok
            ? kReadTimeout
            : std::min(kReadTimeoutGrowth * this->readTimeout, kMaxReadTimeout);
      }
      const TimePoint now = this->timer.Now();
      if (ok) {
        this->failedWatches = 0;
        co_await this->timer.WaitUntil(startedAt + this->MinWatchInterval());
      } else {
        this->NoteFailure(reason, now);
        this->failedWatches += this->hasListing ? 1 : 0;
        const Duration delay = BackoffDelay(kRetryDelays, this->failedWatches);
        co_await this->timer.WaitUntil(now + delay);
      }
    }
  }

  // Applies changes that another daemon reported. Items that are not in a full
  // copy have been removed.
  void ApplyReported(const RegistryChanges& aReported)
  {
    this->source = ItemSource::Daemon;
    if (aReported.full) {
      std::vector<KeyValueEntry> items;
      for (const WatchEvent& change : aReported.changes) {
        items.push_back(change.entry);
      }
      this->ApplyListing(items, aReported.revision);
      return;
    }
    for (const WatchEvent& change : aReported.changes) {
      this->Apply(change);
    }
    this->mirror.NoteRevision(aReported.revision);
  }

  // Records that a reader of this zone knew the registry to be at the mirror's
  // revision at `aKnownAt`. While that is recent, this daemon makes no calls.
  void NoteReader(TimePoint aKnownAt)
  {
    this->NoteGapBefore(aKnownAt);
    const TimePoint until = aKnownAt + this->state.RelayLifetime();
    if (until <= this->timer.Now()) {
      return;
    }
    this->state.relayedUntil = std::max(this->state.relayedUntil, until);
    this->NoteAnswer(aKnownAt);
    this->ExpireRunners();
  }

private:
  // The first call after an outage does not wait long for changes: its response
  // marks the registry's return, from which on the grace period for missing
  // registrations runs. Other calls have what is left of the bound: a part of
  // it has passed since the registry was last known, on the word of a reader or
  // between two calls.
  Duration WatchTimeout(TimePoint aNow) const
  {
    if (this->state.registryUnreachable) {
      return kRecoveryProbeTimeout;
    }
    const Duration bound =
      FromSeconds(kWatchTimeoutFraction * ToSeconds(this->ShortestBound()));
    const Duration longest =
      this->state.isAskedForChanges ? std::min(bound, kMaxReaderWatch) : bound;
    const Duration left = this->state.registryKnownAt + bound - aNow;
    return std::clamp(left, std::min(kRecoveryProbeTimeout, longest), longest);
  }

  Duration MinWatchInterval() const
  {
    return std::max(kMinWatchInterval,
                    this->ShortestBound() / kWatchesPerBound);
  }

  Duration ShortestBound() const
  {
    const EntryBounds& bounds = this->state.Settings().bounds;
    return std::min(
      { bounds.drain, bounds.configurationPropagation, bounds.zoneOrder });
  }

  Task<bool> ReadAll(FailureReason& aReason)
  {
    const TimePoint deadline = this->timer.Now() + this->readTimeout;
    // The pages of the listing are not a consistent snapshot, so the watch
    // continues from the revision before the first page.
    const std::string anyKey = "wigeonwalk/revision";
    const auto before = co_await this->store.Get(anyKey, deadline, aReason);
    if (!before) {
      co_return false;
    }
    const std::string all;
    const auto listing = co_await this->store.List(all, deadline, aReason);
    if (!listing) {
      co_return false;
    }
    if (!IsOfIncarnation(*listing, IncarnationOf(before->revision))) {
      Fail(aReason, ReasonCode::Stale, "the registry was restored meanwhile");
      co_return false;
    }
    this->NoteAnswer(this->timer.Now());
    this->source = ItemSource::Listing;
    this->ApplyListing(*listing, before->revision);
    this->hasListing = true;
    this->log.Write(this->timer.Now(),
                    LogLevel::Info,
                    "registry read",
                    {},
                    { { LogKey::Count, listing->size() },
                      { LogKey::Revision, before->revision } });
    co_return true;
  }

  Task<bool> WatchOnce(FailureReason& aReason)
  {
    const std::int64_t next = this->mirror.Revision() + 1;
    const TimePoint startedAt = this->timer.Now();
    const TimePoint deadline = startedAt + this->WatchTimeout(startedAt);
    this->NoteGapBefore(startedAt);
    const std::string all;
    const auto batch = co_await this->store.Watch(all, next, deadline, aReason);
    if (!batch) {
      if (aReason.code == ReasonCode::Stale) {
        this->hasListing = false;
      }
      co_return false;
    }
    // An answer is read after the deadline if the process was paused.
    this->missedChanges |= this->timer.Now() > deadline;
    this->NoteAnswer(this->timer.Now());
    this->source = ItemSource::Watch;
    for (const WatchEvent& change : batch->events) {
      // A listing or a report of another daemon may lack changes that lie
      // between two equal states.
      if (!this->Apply(change)) {
        this->mirror.NoteSameContent(change.entry.key);
      }
    }
    this->mirror.NoteRevision(batch->nextRevision - 1);
    this->ExpireRunners();
    co_return true;
  }

  static bool IsOfIncarnation(const std::vector<KeyValueEntry>& aListing,
                              std::int64_t aIncarnation)
  {
    return std::all_of(aListing.begin(),
                       aListing.end(),
                       [aIncarnation](const KeyValueEntry& aEntry) {
                         return IncarnationOf(aEntry.modRevision) ==
                                aIncarnation;
                       });
  }

  // Records that the state at a revision is applied next, and returns its
  // origin. After a restore of the registry, registrations may be missing as
  // after an outage.
  ItemOrigin NoteIncarnation(std::int64_t aRevision)
  {
    const std::int64_t known = this->mirror.Revision();
    if (known == 0 || IncarnationOf(aRevision) <= IncarnationOf(known)) {
      return ItemOrigin::Written;
    }
    const TimePoint now = this->timer.Now();
    const std::string since = "known until " + std::to_string(known);
    this->state.fleet.NoteRegistryReturned(now);
    this->log.Write(now,
                    LogLevel::Warning,
                    "registry was restored from a copy",
                    {},
                    { { LogKey::Revision, aRevision },
                      LogField::Name(LogKey::Detail, since) });
    return ItemOrigin::Restored;
  }

  // Records whether changes that are learnt next may be older than the time for
  // which this daemon may rely on its knowledge. `aTime` is the time from which
  // on changes are reported when they are made.
  void NoteGapBefore(TimePoint aTime)
  {
    this->missedChanges =
      aTime - this->state.registryKnownAt > this->state.RelayLifetime();
  }

  // Records that the registry answered this daemon or its reader.
  void NoteAnswer(TimePoint aKnownAt)
  {
    const TimePoint now = this->timer.Now();
    this->answeredAt = now;
    this->knownBefore = this->state.registryKnownAt;
    this->state.registryKnownAt =
      std::max(this->state.registryKnownAt, aKnownAt);
    if (!this->state.registryUnreachable) {
      return;
    }
    this->state.registryUnreachable = false;
    this->state.fleet.NoteRegistryReturned(now);
    this->log.Write(now, LogLevel::Info, "registry answers", {});
  }

  void NoteFailure(const FailureReason& aReason, TimePoint aNow)
  {
    const Duration age = aNow - this->answeredAt;
    if (!this->state.registryUnreachable && age > kUnreachableAfter) {
      this->state.registryUnreachable = true;
      this->log.Write(aNow,
                      LogLevel::Warning,
                      "registry does not answer",
                      {},
                      { LogField(aReason), { LogKey::Age, age } });
    }
    this->ExpireRunners();
  }

  void ExpireRunners()
  {
    const TimePoint now = this->timer.Now();
    for (const UpstreamId& runner : this->state.fleet.Expire(now)) {
      this->log.Write(now,
                      LogLevel::Info,
                      "runner did not register again",
                      {},
                      { { LogKey::Upstream, runner } });
    }
  }

  void ApplyListing(const std::vector<KeyValueEntry>& aListing,
                    std::int64_t aRevision)
  {
    const ItemOrigin origin = this->NoteIncarnation(aRevision);
    for (const WatchEvent& change : this->mirror.Replace(aListing, aRevision)) {
      this->ApplyToState(change, origin);
    }
  }

  // Returns false if the change only repeats a runner's registration.
  bool Apply(const WatchEvent& aChange)
  {
    return !this->mirror.Apply(aChange) ||
           this->ApplyToState(aChange, ItemOrigin::Written);
  }

  // Decodes a changed item and applies it to the state. Returns false if it
  // only repeats a runner's registration.
  bool ApplyToState(const WatchEvent& aChange, ItemOrigin aOrigin)
  {
    const TimePoint now = this->timer.Now();
    const std::string& key = aChange.entry.key;
    FleetChange change = FleetChange::None;
    bool isRepeated = false;
    if (aChange.deleted) {
      const RemovedItem removed = this->decoder.DecodeRemoved(key);
      LogRemovedItem(
        this->log, removed, aOrigin, aChange.entry.modRevision, now);
      change = this->state.ApplyRemoved(removed, now, aOrigin);
    } else {
      FailureReason reason;
      RegistryItem item = this->decoder.Decode(aChange.entry, reason);
      if (std::holds_alternative<UnreadableItem>(item)) {
        this->log.Write(now,
                        LogLevel::Warning,
                        "item ignored",
                        {},
                        { LogField::Name(LogKey::Place, key),
                          LogField(reason),
                          { LogKey::Revision, aChange.entry.modRevision } });
        this->ApplyUnreadable(key);
        this->mirror.DropValue(key);
        return true;
      }
      if (auto* named = std::get_if<DesiredWeights>(&item)) {
        named->revision = aChange.entry.modRevision;
        named->mayBeOlder = !this->hasListing || this->missedChanges;
      }
      std::optional<RunnerEntry> runner;
      if (const auto* entry = std::get_if<RunnerEntry>(&item)) {
        runner = *entry;
      }
      LogRegistryItem(this->log,
                      this->state,
                      item,
                      this->ArrivalOf(aChange.entry.modRevision, now),
                      now);
      change = this->state.Apply(std::move(item), now, aOrigin);
      if (runner) {
        LogRegistration(this->log, this->state, *runner, change, now);
        isRepeated = change == FleetChange::None;
      }
    }
    if (change != FleetChange::None && change != FleetChange::Updated) {
      this->log.Write(now,
                      LogLevel::Info,
                      "runner changed",
                      {},
                      { LogField::Name(LogKey::Place, key),
                        { LogKey::Outcome, change },
                        { LogKey::Revision, aChange.entry.modRevision } });
    }
    return !isRepeated;
  }

  // Returns how a change arrived that is applied now.
  ChangeArrival ArrivalOf(std::int64_t aRevision, TimePoint aNow) const
  {
    const TimePoint known = this->answeredAt == aNow
                              ? this->knownBefore
                              : this->state.registryKnownAt;
    return { this->source, aNow - known, aRevision };
  }

  // An entry that can't be read names no runner, whatever it said before. Of
  // other items, the last readable one holds.
  void ApplyUnreadable(const std::string& aKey)
  {
    const RemovedItem named = this->decoder.DecodeRemoved(aKey);
    if (std::holds_alternative<UpstreamId>(named)) {
      this->state.ApplyRemoved(named, this->timer.Now());
    }
  }

  EntryState& state;
  ItemMirror& mirror;
  S& store;
  const D& decoder;
  T& timer;
  L& log;
  bool hasListing = false;
  // The changes that are learnt now may have been made long before.
  bool missedChanges = false;
  std::uint32_t failedWatches = 0;
  Duration readTimeout = kReadTimeout;
  TimePoint answeredAt;
  // When the registry was last known before its last answer.
  TimePoint knownBefore;
  ItemSource source = ItemSource::Listing;
};

} // namespace wigeonwalk
