// Log lines for registry items, before they are applied to the state and, for
// registrations of runners, afterwards.
//
//   LogRegistryItem(log, state, item, arrival, now);
//   LogRegistration(log, state, entry, change, now);
#pragma once

#include "wigeonwalk/entry/advice_handling.h"
#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/ports/structured_log.h"

#include <array>
#include <cstdint>
#include <variant>

namespace wigeonwalk {

// How a daemon learnt of a change of the registry.
enum class ItemSource
{
  Watch,
  // A read of all items.
  Listing,
  // Another daemon.
  Daemon,
};

template<>
struct EnumNames<ItemSource>
{
  static constexpr std::array<EnumName<ItemSource>, 3> kTable{ {
    { ItemSource::Watch, "watch" },
    { ItemSource::Listing, "listing" },
    { ItemSource::Daemon, "daemon" },
  } };
};
static_assert(HasCompleteTable<ItemSource>());

// Where a change comes from, and the longest time ago that it can have been
// made: for which the daemon had no word on the registry.
struct ChangeArrival
{
  ItemSource source = ItemSource::Watch;
  Duration age{ 0 };
  std::int64_t revision = 0;
};

// Logs the recorded ages of weights that this daemon did not observe.
template<StructuredLog L>
void
LogWeightsRecord(L& aLog,
                 const EntryState& aState,
                 const WeightsRecord& aRecord,
                 TimePoint aNow)
{
  const WeightHistory& known = aState.WeightsOf(aRecord.model);
  for (const RecordedWeights& row : aRecord.versions) {
    if (!known.IsExact(row.version)) {
      aLog.Write(aNow,
                 LogLevel::Info,
                 "weights age learnt",
                 {},
                 { { LogKey::Model, aRecord.model },
                   { LogKey::Version, row.version },
                   { LogKey::Age, aNow - row.publishedAt },
                   { LogKey::Place, StringLiteral("registry") } });
    }
  }
}

// Logs that an item was removed, if that matters to operators.
template<StructuredLog L>
void
LogRemovedItem(L& aLog,
               const RemovedItem& aItem,
               ItemOrigin aOrigin,
               std::int64_t aRevision,
               TimePoint aNow)
{
  if (const auto* zone = std::get_if<AvailabilityZone>(&aItem)) {
    aLog.Write(aNow,
               LogLevel::Info,
               "zone is taken back into use",
               {},
               { { LogKey::Zone, *zone },
                 { LogKey::Cause, aOrigin },
                 { LogKey::Revision, aRevision } });
  }
}

// Logs a configuration, weights, their recorded ages, the first checkpoint of
// these, or a zone that is taken out of use; other items are not logged here.
template<StructuredLog L>
void
LogRegistryItem(L& aLog,
                const EntryState& aState,
                const RegistryItem& aItem,
                const ChangeArrival& aArrival,
                TimePoint aNow)
{
  constexpr StringLiteral kNamed("weights named");
  constexpr StringLiteral kFound("weights found");
  if (const auto* routing = std::get_if<RoutingConfiguration>(&aItem)) {
    aLog.Write(aNow,
               LogLevel::Info,
               "configuration in force",
               {},
               { { LogKey::Version, routing->version },
                 { LogKey::Count, routing->routes.size() },
                 { LogKey::Revision, aArrival.revision },
                 { LogKey::Source, aArrival.source },
                 { LogKey::Age, aArrival.age } });
  } else if (const auto* named = std::get_if<DesiredWeights>(&aItem)) {
    aLog.Write(aNow,
               LogLevel::Info,
               named->mayBeOlder ? kFound : kNamed,
               {},
               { { LogKey::Model, named->model },
                 { LogKey::Version, named->version },
                 { LogKey::Revision, aArrival.revision } });
  } else if (const auto* order = std::get_if<ZoneOrder>(&aItem)) {
    aLog.Write(aNow,
               LogLevel::Info,
               "zone is out of use",
               {},
               { { LogKey::Zone, order->zone },
                 { LogKey::Revision, aArrival.revision } });
  } else if (const auto* record = std::get_if<WeightsRecord>(&aItem)) {
    LogWeightsRecord(aLog, aState, *record, aNow);
  } else if (const auto* checkpoint = std::get_if<WeightsCheckpoint>(&aItem)) {
    if (!aState.WeightsRecordedUntil()) {
      aLog.Write(aNow,
                 LogLevel::Info,
                 "weights checkpoint read",
                 {},
                 { { LogKey::Age, aNow - checkpoint->recordedUntil },
                   { LogKey::Revision, aArrival.revision } });
    }
  }
}

// Logs a registration of a runner that has started to leave, and the first one
// of a start that is cold.
template<StructuredLog L>
void
LogRegistration(L& aLog,
                const EntryState& aState,
                const RunnerEntry& aEntry,
                FleetChange aChange,
                TimePoint aNow)
{
  const bool isNew =
    aChange == FleetChange::Added || aChange == FleetChange::Restarted;
  if (aChange == FleetChange::StartedLeaving ||
      (isNew && aEntry.state == RunnerState::Leaving)) {
    LogLeaving(aLog, aState, aEntry, LeavingCause::Registry, aNow);
  }
  const auto* traits = aState.ColdTraitsOf(aEntry.service);
  const auto runner = aState.fleet.Find(aEntry.id);
  if (!isNew || traits == nullptr || runner == nullptr ||
      !runner->coldStart.IsCold(*traits, aNow)) {
    return;
  }
  aLog.Write(aNow,
             LogLevel::Info,
             "runner is cold",
             {},
             { { LogKey::Upstream, aEntry.id },
               { LogKey::Zone, aEntry.zone },
               { LogKey::Start, aEntry.startedAt },
               { LogKey::Limit, runner->coldStart.ColdUntil(*traits) - aNow },
               { LogKey::Expected, traits->requestsPerSecond } });
}

} // namespace wigeonwalk
