// Log lines for registry items before they are applied to the state.
//
//   LogRegistryItem(log, state, item, revision, now);
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/ports/registry_items.h"
#include "wigeonwalk/ports/structured_log.h"

#include <cstdint>
#include <variant>

namespace wigeonwalk {

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
                std::int64_t aRevision,
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
                 { LogKey::Revision, aRevision } });
  } else if (const auto* named = std::get_if<DesiredWeights>(&aItem)) {
    aLog.Write(aNow,
               LogLevel::Info,
               named->mayBeOlder ? kFound : kNamed,
               {},
               { { LogKey::Model, named->model },
                 { LogKey::Version, named->version },
                 { LogKey::Revision, aRevision } });
  } else if (const auto* order = std::get_if<ZoneOrder>(&aItem)) {
    aLog.Write(
      aNow,
      LogLevel::Info,
      "zone is out of use",
      {},
      { { LogKey::Zone, order->zone }, { LogKey::Revision, aRevision } });
  } else if (const auto* record = std::get_if<WeightsRecord>(&aItem)) {
    LogWeightsRecord(aLog, aState, *record, aNow);
  } else if (const auto* checkpoint = std::get_if<WeightsCheckpoint>(&aItem)) {
    if (!aState.WeightsRecordedUntil()) {
      aLog.Write(aNow,
                 LogLevel::Info,
                 "weights checkpoint read",
                 {},
                 { { LogKey::Age, aNow - checkpoint->recordedUntil },
                   { LogKey::Revision, aRevision } });
    }
  }
}

} // namespace wigeonwalk
