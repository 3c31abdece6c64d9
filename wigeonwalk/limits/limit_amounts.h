// Amounts of the three limits of an organisation in a service.
//
//   LimitAmounts limits = AmountsOf(organisation.limits);
//   limits[LimitKind::RequestsPerSecond];
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/documents/service_document.h"

#include <array>
#include <compare>
#include <cstdint>
#include <limits>

namespace wigeonwalk {

// What a limit counts.
enum class LimitKind
{
  ConcurrentRequests,
  RequestsPerSecond,
  TokensPerSecond,
};

template<>
struct EnumNames<LimitKind>
{
  static constexpr std::array<EnumName<LimitKind>, 3> kTable{ {
    { LimitKind::ConcurrentRequests, "concurrent-requests" },
    { LimitKind::RequestsPerSecond, "requests-per-second" },
    { LimitKind::TokensPerSecond, "tokens-per-second" },
  } };
};
static_assert(HasCompleteTable<LimitKind>());

// Stands for no limit.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// One amount for each kind.
struct LimitAmounts
{
  std::array<double, EnumNames<LimitKind>::kTable.size()> values{};

  double& operator[](LimitKind aKind)
  {
    return this->values[static_cast<std::size_t>(aKind)];
  }
  double operator[](LimitKind aKind) const
  {
    return this->values[static_cast<std::size_t>(aKind)];
  }

  bool operator==(const LimitAmounts&) const = default;
};

// Whose limit it is.
struct LimitKey
{
  OrganisationId organisation;
  ServiceName service;

  auto operator<=>(const LimitKey&) const = default;
};

// Returns the document's limits, kNoLimit where there is none.
inline LimitAmounts
AmountsOf(const OrganisationLimits& aLimits)
{
  LimitAmounts amounts;
  amounts[LimitKind::ConcurrentRequests] =
    aLimits.concurrentRequests ? *aLimits.concurrentRequests : kNoLimit;
  amounts[LimitKind::RequestsPerSecond] =
    aLimits.requestsPerSecond.value_or(kNoLimit);
  amounts[LimitKind::TokensPerSecond] =
    aLimits.tokensPerSecond.value_or(kNoLimit);
  return amounts;
}

// What one daemon asked of a limit, and what it holds of it. Sent to the
// limit's owner once a second.
struct DemandReport
{
  LimitKey key;
  HostId host;
  LimitAmounts demand;
  LimitAmounts held;

  bool operator==(const DemandReport&) const = default;
};

// The owner's answer: what the daemon may use until `validFor` has passed since
// it sent the report.
struct Allotment
{
  LimitKey key;
  LimitAmounts amounts;
  Duration validFor{ 0 };

  bool operator==(const Allotment&) const = default;
};

// Part of the fleet that an owner reaches, and the number of daemons that may
// be serving.
struct Reach
{
  double fraction = 1;
  std::uint32_t total = 1;
};

// How long an allotment lasts where more than half of the limit is wanted, and
// where there is plenty. A holder reports three times in that time, so two
// reports may be lost before it falls back. Most pairs of organisation and
// service are far from their limit; reporting them every second would take
// more than the 22 KB/s of a daemon for all control traffic.
inline constexpr Duration kHotTime = std::chrono::seconds(3);
inline constexpr Duration kColdTime = std::chrono::seconds(30);
inline constexpr std::uint32_t kReportsPerAllotment = 3;

// Reports a second that one pair may send its owner; with more holders, hot
// allotments last longer. 40 with their answers are about 9 KB/s.
inline constexpr double kReportsPerSecond = 40;

// Shortest time between two reports of one pair on schedule.
inline constexpr Duration kReportPeriod = kHotTime / kReportsPerAllotment;

} // namespace wigeonwalk
