// Simulates a fleet of members in virtual time, over a fake peer channel with
// the real codec.
//
//   Fleet<ZoneFanOut> fleet({ .members = 350 });
//   TimePoint written = fleet.Write(3);
//   fleet.Run(std::chrono::seconds(10));
//   std::vector<double> seconds = fleet.InForceSeconds(3, written);
#pragma once

#include "propagation/wire.h"

#include "wigeonwalk/documents/test_member.h"
#include "wigeonwalk/membership/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace wigeonwalk::experiments {

struct FleetSettings
{
  std::size_t members = 350;
  std::uint64_t seed = 1;
  // Fraction of datagrams lost on every link. Without it, the loss depends on
  // whether the link is within a zone, within a region or between regions.
  std::optional<double> loss;
  // Bytes of each service's document. The target states 31 services, which
  // would need 230 organisations each, but no document size.
  std::size_t documentBytes = 20'000;
  PropagationSettings propagation;
};

inline constexpr std::size_t kRegions = 3;
inline constexpr std::size_t kZonesPerRegion = 3;
inline constexpr std::size_t kZones = kRegions * kZonesPerRegion;
inline constexpr std::size_t kServices = 31;

template<PushTargets P>
class Fleet
{
public:
  using Node = TestMember<P>;

  explicit Fleet(FleetSettings aSettings, P aTargets = {})
    : settings(aSettings)
    , network(this->time, aSettings.seed)
    , service(this->time)
    , revisions(kServices, 0)
  {
    UseWireCodec(this->network);
    this->SetLinks();
    for (std::size_t i = 0; i < kServices; ++i) {
      this->Write(i);
    }
    for (std::size_t i = 0; i < aSettings.members; ++i) {
      this->nodes.push_back(std::make_unique<Node>(this->time,
                                                   this->network,
                                                   this->service,
                                                   Describe(i, 100),
                                                   aSettings.propagation,
                                                   aTargets));
    }
    std::vector<MemberUpdate> seeds;
    for (std::size_t i = 0; i < aSettings.members; ++i) {
      seeds.push_back(Describe(i, 0));
    }
    for (const auto& node : this->nodes) {
      node->Start(seeds);
    }
  }

  static std::string ZoneName(std::size_t aZone)
  {
    return "zone-" + std::to_string(aZone);
  }

  static std::size_t ZoneOf(std::size_t aMember) { return aMember % kZones; }
  static std::size_t RegionOf(std::size_t aZone)
  {
    return aZone / kZonesPerRegion;
  }

  static MemberUpdate Describe(std::size_t aMember, std::uint64_t aIncarnation)
  {
    const std::size_t zone = ZoneOf(aMember);
    return { HostId("entry-" + std::to_string(aMember)),
             "10." + std::to_string(zone) + "." +
               std::to_string(aMember / 200) + "." +
               std::to_string(aMember % 200) + ":7000",
             AvailabilityZone(ZoneName(zone)),
             "region-" + std::to_string(RegionOf(zone)),
             aIncarnation,
             MemberState::Alive };
  }

  void Run(Duration aTime) { this->time.RunUntil(this->time.Now() + aTime); }

  // Stores a new revision of a service's document in the key-value service, and
  // returns the time of the write.
  TimePoint Write(std::size_t aService)
  {
    const std::string name = "service-" + std::to_string(aService);
    this->revisions[aService] += 1;
    const StoredDocument stored{
      { ServiceName(name),
        this->revisions[aService],
        "edit",
        name + '\n' + std::string(this->settings.documentBytes, 'x') },
      {}
    };
    this->service.Store(DocumentKey(ServiceName(name)),
                        TestDocumentCodec().Encode(stored));
    return this->time.Now();
  }

  // Returns the seconds from a write until its revision was in force, for each
  // live member of the zones for which `aIncludesZone` is true. A member
  // without the revision counts as 3600 s.
  template<typename F>
  std::vector<double> InForceSeconds(std::size_t aService,
                                     TimePoint aWritten,
                                     F aIncludesZone) const
  {
    const std::string name = "service-" + std::to_string(aService);
    std::vector<double> seconds;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      const Node& node = *this->nodes[i];
      if (!node.endpoint.alive || !aIncludesZone(ZoneOf(i))) {
        continue;
      }
      const auto found = node.log.inForce.find(name);
      const bool has = found != node.log.inForce.end() &&
                       found->second.first >= this->revisions[aService];
      seconds.push_back(
        has ? std::max(0.0, ToSeconds(found->second.second - aWritten)) : 3600);
    }
    return seconds;
  }

  std::vector<double> InForceSeconds(std::size_t aService,
                                     TimePoint aWritten) const
  {
    return this->InForceSeconds(
      aService, aWritten, [](std::size_t) { return true; });
  }

  // Returns true if every live member has the newest revision of all services.
  bool AllInForce() const
  {
    for (const auto& node : this->nodes) {
      for (std::size_t i = 0; i < kServices && node->endpoint.alive; ++i) {
        if (node->Revision("service-" + std::to_string(i)) !=
            this->revisions[i]) {
          return false;
        }
      }
    }
    return true;
  }

  bool AllLive(std::size_t aCount) const
  {
    return std::all_of(
      this->nodes.begin(), this->nodes.end(), [&](const auto& aNode) {
        return !aNode->endpoint.alive || aNode->table.LiveCount() == aCount;
      });
  }

  bool AnyRevisionRegressed() const
  {
    return std::any_of(this->nodes.begin(),
                       this->nodes.end(),
                       [](const auto& aNode) { return aNode->log.regressed; });
  }

  bool IsWatcher(std::size_t aMember) const
  {
    const MemberTable& table = this->nodes[aMember]->table;
    const AvailabilityZone& zone = table.Self().zone;
    return IsOwner(
      "watch/" + zone.Text(), table.Self().host, table.LiveHostsIn(zone), 2);
  }

  template<typename F>
  std::uint64_t Sum(F aCount) const
  {
    std::uint64_t sum = 0;
    for (const auto& node : this->nodes) {
      sum += aCount(*node);
    }
    return sum;
  }

  // Partitions the zones for which `aInside` is true from all others, until
  // SetCut heals it, and from the key-value service for `aTime`.
  template<typename F>
  void Isolate(F aInside, Duration aTime)
  {
    const TimePoint now = this->time.Now();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (aInside(ZoneOf(i))) {
        this->nodes[i]->keyValue.AddLinkFault(
          { KeyValueFault::Down, now, now + aTime });
      }
    }
    this->SetCut(aInside, true);
  }

  template<typename F>
  void SetCut(F aInside, bool aCut)
  {
    for (std::size_t one = 0; one < kZones; ++one) {
      for (std::size_t other = 0; other < kZones; ++other) {
        if (aInside(one) && !aInside(other)) {
          this->network.SetCut(ZoneName(one), ZoneName(other), aCut);
        }
      }
    }
  }

  FleetSettings settings;
  VirtualTime time;
  PeerNetwork network;
  FakeKeyValue service;
  std::vector<std::uint64_t> revisions;
  std::vector<std::unique_ptr<Node>> nodes;

private:
  // Delay is a few milliseconds between the zones of a region and tens of
  // milliseconds between regions, with jitter and some loss.
  void SetLinks()
  {
    using std::chrono::microseconds;
    for (std::size_t from = 0; from < kZones; ++from) {
      for (std::size_t to = 0; to < kZones; ++to) {
        LinkSettings link{ microseconds(25'000), microseconds(15'000), 0.005 };
        if (from == to) {
          link = { microseconds(200), microseconds(200), 0.0001 };
        } else if (RegionOf(from) == RegionOf(to)) {
          link = { microseconds(3'000), microseconds(3'000), 0.002 };
        }
        link.loss = this->settings.loss.value_or(link.loss);
        this->network.SetLink(ZoneName(from), ZoneName(to), link);
      }
    }
  }
};

} // namespace wigeonwalk::experiments
