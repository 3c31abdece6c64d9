// Polls runners for their loads and passes them on.
//
//   LoadPoller poller(state, control, peers, timer);
//   for (const UpstreamId& runner : poller.DuePolls()) {
//     spawn(poller.Poll(runner));
//   }
//   poller.Announce();
#pragma once

#include "wigeonwalk/entry/entry_state.h"
#include "wigeonwalk/entry/registry_readers.h"
#include "wigeonwalk/membership/rendezvous.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/runner_control.h"

#include <map>
#include <vector>

namespace wigeonwalk {

// Sends runners' loads to another daemon.
template<typename T>
concept ReportNotifier = requires(T& aNotifier,
                                  const EntryMember& aMember,
                                  const std::vector<ReportedLoad>& aLoads)
{
  aNotifier.SendReports(aMember, aLoads);
};

// The readers of a zone share its model runners by rendezvous hashing, poll
// them and tell each other the loads, in clusters that are not too large those
// of all zones; the other daemons get the loads with the registry's changes.
// Idle in clusters that are small enough for all daemons to tell each other
// their loads. One task for each poll.
template<RunnerControl C, ReportNotifier P, Timer T>
class LoadPoller
{
public:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(500);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(300);
  // When the loads are sent on, after the start of the polls: most runners have
  // answered by then.
  static constexpr Duration kAnnounceDelay = std::chrono::milliseconds(100);

  LoadPoller(EntryState& aState, C& aControl, P& aPeers, T& aTimer)
    : state(aState)
    , control(aControl)
    , peers(aPeers)
    , timer(aTimer)
  {
  }

  // Returns the runners that this daemon polls now.
  std::vector<UpstreamId> DuePolls() const
  {
    std::vector<UpstreamId> due;
    const auto& routes = this->state.Routes();
    if (!this->state.isAskedForChanges || routes == nullptr) {
      return due;
    }
    const EntrySettings& settings = this->state.Settings();
    std::vector<HostId> readers;
    for (const EntryMember& reader :
         ReadersOf(settings.zone, this->state.members)) {
      readers.push_back(reader.host);
    }
    for (const auto& runner : this->state.fleet.All()) {
      const auto* service = routes->FindService(runner->entry.service);
      if (!runner->leaving && runner->entry.zone == settings.zone &&
          service != nullptr && service->engine &&
          IsOwner(runner->entry.id.Text(), settings.host, readers, 1)) {
        due.push_back(runner->entry.id);
      }
    }
    return due;
  }

  Task<void> Poll(UpstreamId aRunner)
  {
    const auto runner = this->state.fleet.Find(aRunner);
    if (runner == nullptr) {
      co_return;
    }
    const std::string address = runner->entry.address;
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    FailureReason reason;
    const auto report =
      co_await this->control.Report(address, deadline, reason);
    if (!report) {
      co_return;
    }
    const ReportedLoad load = MakeReportedLoad(KeyOfRunner(aRunner),
                                               report->memoryTokens,
                                               report->running,
                                               report->waiting,
                                               this->timer.Now());
    this->polled.insert_or_assign(load.runner, load);
    this->state.reportedLoads.Record(load);
  }

  // Sends the loads polled since the last call to the other readers.
  void Announce()
  {
    std::vector<ReportedLoad> loads;
    for (const auto& [runner, load] : this->polled) {
      loads.push_back(load);
    }
    this->polled.clear();
    if (loads.empty()) {
      return;
    }
    const EntrySettings& settings = this->state.Settings();
    for (const EntryMember& reader :
         ReadersToTell(settings.zone, this->state.members)) {
      if (reader.host != settings.host) {
        this->peers.SendReports(reader, loads);
      }
    }
  }

private:
  EntryState& state;
  C& control;
  P& peers;
  T& timer;
  std::map<RunnerKey, ReportedLoad> polled;
};

} // namespace wigeonwalk
