// A fake link, and one daemon's access to it through the product's LinkModel.
//
//   FakeLink link{ .bytesPerSecond = 8e9 };
//   LinkAccess access(time, link, { .bytesPerSecond = 8e9, .slots = 2 });
//   bool complete =
//     co_await access.Move(TransferKind::Export, organisation, bytes);
#pragma once

#include "returning_prompts/signal.h"
#include "wigeonwalk/placement/link_model.h"

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace wigeonwalk::replay {

// A link that carries the transfers of all daemons one after another, in the
// order in which they start.
struct FakeLink
{
  double bytesPerSecond = 0;
  Duration latency{};
  bool broken = false;
  TimePoint busyUntil;
  double transferredBytes = 0;
  double busySeconds = 0;

  // Reserves the link for a transfer and returns the time at which its last
  // byte arrives.
  TimePoint Reserve(std::uint64_t aBytes, TimePoint aNow)
  {
    const double seconds = static_cast<double>(aBytes) / this->bytesPerSecond;
    this->busyUntil = std::max(this->busyUntil, aNow) + FromSeconds(seconds);
    this->transferredBytes += static_cast<double>(aBytes);
    this->busySeconds += seconds;
    return this->busyUntil + this->latency;
  }
};

// One daemon's queue of transfers for one link.
class LinkAccess
{
public:
  LinkAccess(VirtualTime& aTime, FakeLink& aLink, LinkLimits aLimits)
    : time(aTime)
    , link(aLink)
    , model(aLimits)
  {
  }

  // Transfers bytes. Returns true once they have arrived, or false if the link
  // is broken.
  Task<bool> Move(TransferKind aKind,
                  OrganisationId aOrganisation,
                  std::uint64_t aBytes)
  {
    const std::uint64_t id = ++this->transfers;
    auto started = std::make_shared<Signal>(this->time);
    this->waiting[id] = started;
    this->model.Submit({ id, aKind, std::move(aOrganisation), aBytes },
                       this->time.Now());
    this->StartTransfers();
    co_await started->Wait();
    const bool broken = this->link.broken;
    // The loss of a store host is detected by a timeout.
    const TimePoint end = broken
                            ? this->time.Now() + std::chrono::milliseconds(300)
                            : this->link.Reserve(aBytes, this->time.Now());
    co_await this->time.WaitUntil(end);
    const bool complete = !broken && !this->link.broken;
    this->model.Finish(id, complete, this->time.Now());
    this->StartTransfers();
    co_return complete;
  }

  const LinkModel& Model() const { return this->model; }

private:
  void StartTransfers()
  {
    while (const auto next = this->model.Start(this->time.Now())) {
      const auto entry = this->waiting.find(next->id);
      entry->second->Notify();
      this->waiting.erase(entry);
    }
  }

  VirtualTime& time;
  FakeLink& link;
  LinkModel model;
  std::uint64_t transfers = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Signal>> waiting;
};

} // namespace wigeonwalk::replay
