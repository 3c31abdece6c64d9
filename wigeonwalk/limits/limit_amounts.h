// Amounts of the three limits of an organisation in a service, and the messages
// by which daemons share them.
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

// Amount that means no limit.
inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

// One amount for each kind: requests, requests per second, tokens per second.
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

// Identifies the limits of one organisation in one service.
struct LimitKey
{
  OrganisationId organisation;
  ServiceName service;

  auto operator<=>(const LimitKey&) const = default;
};

// Returns the limits set in the service document; kNoLimit for those not set.
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

// One daemon's demand for the limits of a key, and the amounts it holds. Sent
// to the owner of the key every kReportPeriod or less often; see LocalShare.
struct DemandReport
{
  LimitKey key;
  HostId host;
  LimitAmounts demand;
  LimitAmounts held;
  // True if a request waits for the answer.
  bool requestWaits = false;

  bool operator==(const DemandReport&) const = default;
};

// The owner's answer to a report: the amounts that the daemon may use until
// `validFor` has passed since it sent the report.
struct Allotment
{
  LimitKey key;
  LimitAmounts amounts;
  Duration validFor{ 0 };
  // True if the daemon gets no rate and must ask for each request; see
  // kIndividualAdmissionRate.
  bool individual = false;
  // True if the request that waits for this answer may start.
  bool admitsRequest = false;

  bool operator==(const Allotment&) const = default;
};

// The fraction of the fleet that an owner can reach, and the number of daemons
// that may be serving.
struct FleetReach
{
  double fraction = 1;
  std::uint32_t total = 1;
};

// Requests per second below which a daemon gets no share of a limit; the owner
// admits each of its requests individually instead. The share of a daemon with
// rare requests would be unused most of the time and missing at other daemons.
inline constexpr double kIndividualAdmissionRate = 1;

// Validity of an allotment if more than half of the limit is demanded
// (contended), and otherwise (uncontended). A daemon reports three times within
// the validity, so it uses its fallback only after two lost reports. Most pairs
// of organisation and service are far below their limit; reporting all of them
// every second would exceed the 22 KB/s that a daemon has for all control
// traffic.
inline constexpr Duration kContendedValidity = std::chrono::seconds(3);
inline constexpr Duration kUncontendedValidity = std::chrono::seconds(30);
inline constexpr std::uint32_t kReportsPerAllotment = 3;

// Maximum reports per second for one pair that its owner gets. With more
// holders than that allows, contended allotments are valid for longer. 40
// reports and their answers take about 9 KB/s.
inline constexpr double kReportsPerSecond = 40;

// Minimum interval between two scheduled reports of one pair.
inline constexpr Duration kReportPeriod =
  kContendedValidity / kReportsPerAllotment;

} // namespace wigeonwalk
