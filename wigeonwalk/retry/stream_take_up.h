// Finds the origin of a stream that a caller takes up again.
//
//   const TakeUp found =
//     co_await ResolveTakeUp(origins, peers, key, onlyOrigin);
//   if (found.origin.IsKnown()) { ... continue it there ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/task.h"
#include "wigeonwalk/retry/stream_origins.h"

#include <array>
#include <concepts>
#include <optional>

namespace wigeonwalk {

// Asks other daemons where a stream began. Returns nothing if none that answers
// knows the stream.
template<typename T>
concept OriginSource = requires(T& aPeers, const Hash128& aKey)
{
  {
    aPeers.AskOrigin(aKey)
    } -> std::same_as<Task<std::optional<StreamOrigin>>>;
};

// How the origin of a stream was found, or why it was not.
enum class TakeUpSource
{
  // This daemon has the stream's record.
  Own,
  // Another daemon has it.
  Daemon,
  // There is no record, but only one origin is possible.
  OnlyOrigin,
  // There is no record.
  Unknown,
  // The records contradict each other.
  Contradictory,
};

template<>
struct EnumNames<TakeUpSource>
{
  static constexpr std::array<EnumName<TakeUpSource>, 5> kTable{ {
    { TakeUpSource::Own, "own" },
    { TakeUpSource::Daemon, "daemon" },
    { TakeUpSource::OnlyOrigin, "only-origin" },
    { TakeUpSource::Unknown, "unknown" },
    { TakeUpSource::Contradictory, "contradictory" },
  } };
};
static_assert(HasCompleteTable<TakeUpSource>());

// The origin of a stream that is taken up; unknown if it can't be told.
struct TakeUp
{
  TakeUpSource source = TakeUpSource::Unknown;
  StreamOrigin origin;
};

// Resolves a take-up. `aKey` is empty if the caller does not name the attempt
// that brought the first event, `aOnly` if several origins are possible.
template<OriginSource P>
Task<TakeUp>
ResolveTakeUp(const StreamOrigins& aOrigins,
              P& aPeers,
              std::optional<Hash128> aKey,
              std::optional<StreamOrigin> aOnly)
{
  TakeUp found;
  std::optional<StreamOrigin> recorded;
  if (aKey) {
    recorded = aOrigins.Find(*aKey);
    found.source = TakeUpSource::Own;
    if (!recorded) {
      recorded = co_await aPeers.AskOrigin(*aKey);
      found.source = TakeUpSource::Daemon;
    }
  }
  if (recorded) {
    found.origin = *recorded;
    if (!found.origin.IsKnown()) {
      found.source = TakeUpSource::Contradictory;
    }
  } else if (aOnly && aOnly->IsKnown()) {
    found = { TakeUpSource::OnlyOrigin, *aOnly };
  } else {
    found.source = TakeUpSource::Unknown;
  }
  co_return found;
}

} // namespace wigeonwalk
