// What a runner says of itself in the head of an answer, whatever the answer is
// about.
//
//   if (head.advice.isLeaving) { ... send it no new requests ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/time.h"

#include <optional>

namespace wigeonwalk {

struct RunnerAdvice
{
  // The runner will exit soon and wants no new requests.
  bool isLeaving = false;
  // How long the runner wants no requests from this daemon, after it has turned
  // one away.
  std::optional<Duration> pause = std::nullopt;
  // How much longer the runner is cold, if it says so.
  std::optional<Duration> coldRemaining = std::nullopt;

  bool operator==(const RunnerAdvice&) const = default;
};

// How this daemon learnt that a runner leaves.
enum class LeavingCause
{
  // The runner said so in an answer to this daemon.
  Answer,
  Registry,
  // Another daemon had such an answer.
  Peer,
};

template<>
struct EnumNames<LeavingCause>
{
  static constexpr std::array<EnumName<LeavingCause>, 3> kTable{ {
    { LeavingCause::Answer, "answer" },
    { LeavingCause::Registry, "registry" },
    { LeavingCause::Peer, "peer" },
  } };
};
static_assert(HasCompleteTable<LeavingCause>());

} // namespace wigeonwalk
