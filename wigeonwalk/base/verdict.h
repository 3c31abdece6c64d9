// The verdict on a request: whether an upstream may have run it.
//
//   if (MayRepeat(verdict, idempotent)) { ... }
#pragma once

#include "wigeonwalk/base/enum_names.h"

namespace wigeonwalk {

// Whether a request may have run. `NotRun` is used only where no byte of the
// request can have reached an upstream that could act on it, or where the
// upstream itself refused it before running it.
enum class Verdict
{
  NotRun,
  MayHaveRun,
  Ran,
};

template<>
struct EnumNames<Verdict>
{
  static constexpr std::array<EnumName<Verdict>, 3> kTable{ {
    { Verdict::NotRun, "not-run" },
    { Verdict::MayHaveRun, "may-have-run" },
    { Verdict::Ran, "ran" },
  } };
};
static_assert(HasCompleteTable<Verdict>());

// Returns the verdict on a request with two attempts. The stronger verdict
// wins: a later attempt that did not run doesn't prove that an earlier one did
// not.
constexpr Verdict
CombineVerdicts(Verdict aEarlier, Verdict aLater)
{
  return aEarlier < aLater ? aLater : aEarlier;
}

// Returns true if sending the request again can't make it run twice, or if
// running it twice is harmless.
constexpr bool
MayRepeat(Verdict aVerdict, bool aIdempotent)
{
  return aVerdict == Verdict::NotRun || aIdempotent;
}

} // namespace wigeonwalk
