// Divides what all daemons draw on at once into shares that each daemon works
// out alone.
//
//   const MemberShares shares(self, zone, members);
//   if (shares.RankFor(runner, zone) < kSenders) { ... this daemon may ... }
//   const double own = free / shares.CountIn(zone);
#pragma once

#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// A daemon as far as shares are concerned.
struct ShareMember
{
  HostId host;
  AvailabilityZone zone;

  bool operator==(const ShareMember&) const = default;
};

// The daemons that this one knows of, itself included even if its list lacks
// it. Daemons whose lists differ work out different shares: those who use one
// must allow for that, as nobody is asked. Immutable.
class MemberShares
{
public:
  MemberShares(HostId aSelf,
               const AvailabilityZone& aZone,
               const std::vector<ShareMember>& aMembers);

  // The number of daemons.
  std::size_t Count() const { return this->all.size(); }

  // The number of daemons that draw on what lies in a zone: those of the zone,
  // or all if it has none.
  std::size_t CountIn(const AvailabilityZone& aZone) const;

  // Returns this daemon's rank among those that draw on `aKey` in a zone, 0 for
  // the first. Nothing if it is not one of them. Only the ranks behind a daemon
  // that is gone change with it.
  std::optional<std::size_t> RankFor(std::string_view aKey,
                                     const AvailabilityZone& aZone) const;

private:
  const std::vector<HostId>& MembersOf(const AvailabilityZone& aZone) const;

  HostId self;
  std::vector<HostId> all;
  std::map<AvailabilityZone, std::vector<HostId>> byZone;
};

// Returns a number in [0, 1) that differs between daemons and keys, so that
// what they do in turns doesn't happen at the same time.
double
PhaseOf(const HostId& aHost, std::string_view aKey);

// Returns true if the turn with this number at `aKey` is the daemon's. Each
// daemon has `aShare` of all turns there. They are drawn by lot, so that
// daemons need neither a common clock nor a common list: two may have the same
// turn.
bool
HasTurn(const HostId& aHost,
        std::string_view aKey,
        std::uint64_t aTurn,
        double aShare);

} // namespace wigeonwalk
