// A fake link, and one daemon's access to it through the product's LinkModel.
#pragma once

#include "returning_prompts/signal.h"
#include "wigeonwalk/placement/link_model.h"

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace wigeonwalk::replay {

// Carries transfers of all daemons in the order in which they start.
struct FakeLink
{
  double bytesPerSecond = 0;
  Duration latency{};
  bool broken = false;
  TimePoint busyUntil;
  double carriedBytes = 0;
  double busySeconds = 0;

  // Reserves the link for a transfer and returns when its last byte arrives.
  TimePoint Carry(std::uint64_t aBytes, TimePoint aNow)
  {
    const double seconds = static_cast<double>(aBytes) / this->bytesPerSecond;
    this->busyUntil = std::max(this->busyUntil, aNow) + FromSeconds(seconds);
    this->carriedBytes += static_cast<double>(aBytes);
    this->busySeconds += seconds;
    return this->busyUntil + this->latency;
  }
};

// One daemon's queue for one link.
class LinkAccess
{
public:
  LinkAccess(VirtualTime& aTime, FakeLink& aLink, LinkLimits aLimits)
    : time(aTime)
    , link(aLink)
    , model(aLimits)
  {
  }

  // Returns true once the transfer is complete, false where the link broke.
  Task<bool> Move(TransferKind aKind,
                  OrganisationId aOrganisation,
                  std::uint64_t aBytes)
  {
    const std::uint64_t id = ++this->transfers;
    auto started = std::make_shared<Signal>(this->time);
    this->waiting[id] = started;
    this->model.Submit({ id, aKind, std::move(aOrganisation), aBytes },
                       this->time.Now());
    this->Pump();
    co_await started->Wait();
    const bool broken = this->link.broken;
    // A store host that is gone is noticed by a timeout.
    const TimePoint end = broken
                            ? this->time.Now() + std::chrono::milliseconds(300)
                            : this->link.Carry(aBytes, this->time.Now());
    co_await this->time.WaitUntil(end);
    const bool complete = !broken && !this->link.broken;
    this->model.Finish(id, complete, this->time.Now());
    this->Pump();
    co_return complete;
  }

  const LinkModel& Model() const { return this->model; }

private:
  void Pump()
  {
    while (const auto next = this->model.Start(this->time.Now())) {
      const auto row = this->waiting.find(next->id);
      row->second->Notify();
      this->waiting.erase(row);
    }
  }

  VirtualTime& time;
  FakeLink& link;
  LinkModel model;
  std::uint64_t transfers = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Signal>> waiting;
};

} // namespace wigeonwalk::replay
