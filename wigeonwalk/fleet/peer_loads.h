// Loads that other daemons report or announce, summed for each runner.
//
//   peerLoads.Record(daemon, loads, scope, now);
//   peerLoads.Book(daemon, booking, fleet);
//   peerLoads.ApplyTo(fleet, members, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/fleet/fleet.h"
#include "wigeonwalk/fleet/peer_bookings.h"
#include "wigeonwalk/ports/registry_items.h"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace wigeonwalk {

// Requests and tokens that one daemon has in flight at one runner.
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

// What load reports cover.
enum class ReportScope
{
  // All requests in flight.
  All,
  // All but the long prompts, whose starts and ends are announced.
  ShortRequests,
};

template<>
struct EnumNames<ReportScope>
{
  static constexpr std::array<EnumName<ReportScope>, 2> kTable{ {
    { ReportScope::All, "all" },
    { ReportScope::ShortRequests, "short-requests" },
  } };
};
static_assert(HasCompleteTable<ReportScope>());

// The daemons whose loads are summed.
struct LoadMembers
{
  const std::map<HostId, EntryMember>& members;
  ReportScope scope = ReportScope::All;
  // How many others report to this daemon.
  std::size_t reporting = 0;
};

// Keeps what each daemon told last until it expires. Not thread-safe.
class PeerLoads
{
public:
  // Reports expire after this time.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(900);

  void Record(const HostId& aDaemon,
              RunnerLoads aLoads,
              ReportScope aScope,
              TimePoint aNow);

  // Replaces the long prompts that a daemon has at one runner, also in the
  // runner's sums.
  void Book(const HostId& aDaemon, PeerBooking aBooking, const Fleet& aFleet);

  // Sets the loads of other daemons at all runners. What has expired or is of a
  // daemon that is gone is dropped. Short requests of daemons that don't report
  // are estimated.
  void ApplyTo(const Fleet& aFleet,
               const LoadMembers& aMembers,
               TimePoint aNow);

private:
  struct Report
  {
    RunnerLoads loads;
    TimePoint at;
  };

  std::map<HostId, Report> reports;
  PeerBookings bookings;
};

// Returns what this daemon has in flight at each runner.
RunnerLoads
LoadsOf(const Fleet& aFleet, ReportScope aScope);

// Returns up to `aCount` members, those of `aZone` first. Within and outside
// the zone they are the ones that follow this daemon in host order, wrapping
// around, so that each member gets reports from equally many daemons.
// `aMembers` is sorted by host and does not contain this daemon.
std::vector<EntryMember>
NearestMembers(const HostId& aSelf,
               const AvailabilityZone& aZone,
               std::vector<EntryMember> aMembers,
               std::size_t aCount);

} // namespace wigeonwalk
