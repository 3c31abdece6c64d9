// A bounded queue of notices that are piggybacked on messages to other daemons.
//
//   queue.Add(notice);
//   for (const Notice& notice : queue.Take(8)) { ... append to the probe ... }
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace wigeonwalk {

// Keeps each notice until it has been sent kMaxSends times, and returns the
// notices that were sent least often first. A full queue drops the notice that
// was sent most often. Not thread-safe.
template<typename Notice>
class NoticeQueue
{
public:
  // Each receiver of a new notice forwards it twelve times too, so twelve sends
  // miss a member of a fleet of 350 with a probability below 1e-4.
  static constexpr std::uint32_t kMaxSends = 12;
  static constexpr std::size_t kMaxNotices = 1024;

  void Add(Notice aNotice)
  {
    if (this->queued.size() >= kMaxNotices) {
      this->queued.pop_back();
    }
    this->queued.push_front({ std::move(aNotice), 0 });
  }

  // Returns up to `aMaxCount` notices and counts each as sent once.
  std::vector<Notice> Take(std::size_t aMaxCount)
  {
    std::vector<Notice> taken;
    const std::size_t count = std::min(aMaxCount, this->queued.size());
    for (std::size_t i = 0; i < count; ++i) {
      QueuedNotice first = std::move(this->queued.front());
      this->queued.pop_front();
      taken.push_back(first.notice);
      if (++first.sends < kMaxSends) {
        this->queued.push_back(std::move(first));
      }
    }
    return taken;
  }

  // Returns up to `aMaxCount` notices that were never sent, and counts each as
  // sent once. For a push that does not wait for the next probe.
  std::vector<Notice> TakeUnsent(std::size_t aMaxCount)
  {
    std::size_t unsent = 0;
    while (unsent < this->queued.size() && this->queued[unsent].sends == 0) {
      ++unsent;
    }
    return this->Take(std::min(aMaxCount, unsent));
  }

  std::size_t Size() const { return this->queued.size(); }

private:
  struct QueuedNotice
  {
    Notice notice;
    std::uint32_t sends = 0;
  };

  std::deque<QueuedNotice> queued;
};

} // namespace wigeonwalk
