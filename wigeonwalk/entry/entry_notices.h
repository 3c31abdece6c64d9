// What entry daemons tell each other, without its encoding.
#pragma once

#include "wigeonwalk/fleet/part_index.h"
#include "wigeonwalk/fleet/runner.h"
#include "wigeonwalk/ports/key_value.h"
#include "wigeonwalk/ports/peer_messages.h"
#include "wigeonwalk/retry/poison_tracker.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonwalk {

// A runner is about to load weights, or has loaded them.
struct RunnerPause
{
  UpstreamId runner;
  ModelName model;
  // The weights that it has now.
  WeightNumber loaded = 0;
  // No new work for this long.
  Duration pause{ 0 };

  bool operator==(const RunnerPause&) const = default;
};

// What one daemon has in flight at one runner.
struct RunnerLoadRow
{
  UpstreamId runner;
  std::uint32_t inFlight = 0;
  std::uint64_t tokensInFlight = 0;

  bool operator==(const RunnerLoadRow&) const = default;
};

struct RunnerLoads
{
  std::vector<RunnerLoadRow> rows;

  bool operator==(const RunnerLoads&) const = default;
};

// A long prompt was sent to a runner, which reads it before what comes later.
struct RunnerWork
{
  UpstreamId runner;
  std::uint32_t tokensToRead = 0;

  bool operator==(const RunnerWork&) const = default;
};

// One part at a holder, by the hash of its salt and id.
struct HeldPart
{
  PartKey part;
  // Zero where it is gone.
  std::uint32_t tokens = 0;

  bool operator==(const HeldPart&) const = default;
};

// What a follower of a holder tells a daemon that does not follow it.
struct HeldParts
{
  UpstreamId holder;
  // Changes when the holder restarts: nothing told before counts any more.
  std::int64_t epoch = 0;
  std::vector<HeldPart> changes;

  bool operator==(const HeldParts&) const = default;
};

// Asks for what a daemon knows of the registry beyond a revision.
struct RegistryQuery
{
  std::int64_t revision = 0;

  bool operator==(const RegistryQuery&) const = default;
};

struct RegistryChanges
{
  // All changes up to this revision are known to the sender.
  std::int64_t revision = 0;
  // The changes are all present items: removals may be missing.
  bool full = false;
  std::vector<WatchEvent> changes;
};

// Encodes them. A decoder returns nothing for any other payload.
template<typename T>
concept EntryNoticeCodec = requires(const T& aCodec,
                                    const RunnerPause& aPause,
                                    const RunnerLoads& aLoads,
                                    const RunnerWork& aWork,
                                    const HeldParts& aParts,
                                    const PoisonNotice& aPoison,
                                    const PeerNotice& aNotice,
                                    const RegistryQuery& aQuery,
                                    const RegistryChanges& aChanges,
                                    const std::string& aPayload)
{
  {
    aCodec.EncodePause(aPause)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodePause(aPayload)
    } -> std::same_as<std::optional<RunnerPause>>;
  {
    aCodec.EncodeLoads(aLoads)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeLoads(aPayload)
    } -> std::same_as<std::optional<RunnerLoads>>;
  {
    aCodec.EncodeWork(aWork)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeWork(aPayload)
    } -> std::same_as<std::optional<RunnerWork>>;
  {
    aCodec.EncodeParts(aParts)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeParts(aPayload)
    } -> std::same_as<std::optional<HeldParts>>;
  {
    aCodec.EncodePoison(aPoison)
    } -> std::same_as<PeerNotice>;
  {
    aCodec.DecodePoison(aNotice)
    } -> std::same_as<std::optional<PoisonNotice>>;
  {
    aCodec.EncodeQuery(aQuery)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeQuery(aPayload)
    } -> std::same_as<std::optional<RegistryQuery>>;
  {
    aCodec.EncodeChanges(aChanges)
    } -> std::same_as<std::string>;
  {
    aCodec.DecodeChanges(aPayload)
    } -> std::same_as<std::optional<RegistryChanges>>;
};

} // namespace wigeonwalk
