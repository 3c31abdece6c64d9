// Evidence that a part of a prompt crashes the upstreams that begin to answer
// it, as told between daemons.
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// A part of a prompt that other requests may share.
struct SharedPart
{
  // Of the model and the part's id.
  Hash128 hash;
  // Number of parts after it in the prompt. The fewer, the fewer requests share
  // the part.
  std::uint32_t partsAfter = 0;

  bool operator==(const SharedPart&) const = default;
};

Hash128
HashOfPart(const ModelName& aModel, std::string_view aPart);

// What is known of one part.
enum class PartStatus
{
  Clear,
  // Its crashes do not yet suffice to refuse it.
  Suspected,
  Refused,
};

template<>
struct EnumNames<PartStatus>
{
  static constexpr std::array<EnumName<PartStatus>, 3> kTable{ {
    { PartStatus::Clear, "clear" },
    { PartStatus::Suspected, "suspected" },
    { PartStatus::Refused, "refused" },
  } };
};
static_assert(HasCompleteTable<PartStatus>());

// A request whose upstream was lost before its answer had begun and gone on.
struct LostRequest
{
  // In the order of the prompt.
  std::vector<SharedPart> parts;
  // Hash of the request; the same if its caller sends it again.
  std::uint64_t content = 0;
  UpstreamId upstream;
  // Changes when the upstream restarts.
  std::uint64_t incarnation = 0;
  TimePoint sentAt;
};

// One piece of evidence. The times are ages at sending, because the clocks of
// hosts differ. Merging is idempotent.
struct PartNotice
{
  SharedPart part;
  // Hash of the upstream and its incarnation; zero if the notice reports an
  // answer, which voids the evidence of all requests sent before it.
  std::uint64_t crashId = 0;
  std::uint64_t content = 0;
  // Since the request was sent, and since the crash or the answer.
  Duration sentAge{ 0 };
  Duration age{ 0 };

  bool operator==(const PartNotice&) const = default;
};

// Which daemons get a notice.
enum class PartAudience
{
  // Those that collect the evidence about the part.
  Collectors,
  All,
};

template<>
struct EnumNames<PartAudience>
{
  static constexpr std::array<EnumName<PartAudience>, 2> kTable{ {
    { PartAudience::Collectors, "collectors" },
    { PartAudience::All, "all" },
  } };
};
static_assert(HasCompleteTable<PartAudience>());

struct PartReport
{
  PartNotice notice;
  PartAudience audience = PartAudience::Collectors;
};

// What the sender of a notice should be told.
enum class PartReply
{
  None,
  // The part was answered after the request of the notice was sent.
  Answer,
  // The part was already refused here.
  Evidence,
};

template<>
struct EnumNames<PartReply>
{
  static constexpr std::array<EnumName<PartReply>, 3> kTable{ {
    { PartReply::None, "none" },
    { PartReply::Answer, "answer" },
    { PartReply::Evidence, "evidence" },
  } };
};
static_assert(HasCompleteTable<PartReply>());

// The status of a part and the crashes that led to it.
struct PartFinding
{
  Hash128 part;
  PartStatus status = PartStatus::Clear;
  std::size_t crashes = 0;
};

} // namespace wigeonwalk
