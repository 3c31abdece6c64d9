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

// Keeps each notice until it has been sent kSends times, and returns the
// notices that were sent least often first. A full queue drops the notice that
// was sent most often. Not thread-safe.
template<typename Notice>
class NoticeQueue
{
public:
  // Each receiver of a new notice forwards it twelve times too, so twelve sends
  // miss a member of a fleet of 350 with a probability below 1e-4.
  static constexpr std::uint32_t kSends = 12;
  static constexpr std::size_t kMaxNotices = 1024;

  void Add(Notice aNotice)
  {
    if (this->waiting.size() >= kMaxNotices) {
      this->waiting.pop_back();
    }
    this->waiting.push_front({ std::move(aNotice), 0 });
  }

  // Returns up to `aMost` notices and counts each as sent once.
  std::vector<Notice> Take(std::size_t aMost)
  {
    std::vector<Notice> taken;
    const std::size_t count = std::min(aMost, this->waiting.size());
    for (std::size_t i = 0; i < count; ++i) {
      Waiting first = std::move(this->waiting.front());
      this->waiting.pop_front();
      taken.push_back(first.notice);
      if (++first.sends < kSends) {
        this->waiting.push_back(std::move(first));
      }
    }
    return taken;
  }

  // Returns up to `aMost` notices that were never sent, and counts each as sent
  // once. For a push that does not wait for the next probe.
  std::vector<Notice> TakeUnsent(std::size_t aMost)
  {
    std::size_t unsent = 0;
    while (unsent < this->waiting.size() && this->waiting[unsent].sends == 0) {
      ++unsent;
    }
    return this->Take(std::min(aMost, unsent));
  }

  std::size_t Size() const { return this->waiting.size(); }

private:
  struct Waiting
  {
    Notice notice;
    std::uint32_t sends = 0;
  };

  std::deque<Waiting> waiting;
};

} // namespace wigeonwalk
