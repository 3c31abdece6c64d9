// Bounds the memory of messages that are received and held as a whole: answers
// of runners, or requests of callers.
//
//   MessageMemory memory;
//   MessageMemory::Share share(memory, [&] { connection.Close(); });
//   if (!share.Resize(body.size(), now)) { ... the message was ended ... }
#pragma once

#include "wigeonwalk/base/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace wigeonwalk {

// Largest response body that is accepted, in bytes.
inline constexpr std::uint64_t kMaxResponseBytes = 16 * 1024 * 1024;

// Messages of several faulty peers may each stay below the limit on one message
// and together use up the memory. Above the limit on all, the message that has
// waited longest for its receiver is ended, if there is one that has waited for
// kMaxWait; else the largest message that is still being received, unless it is
// of ordinary size. Above kUrgentFactor times the limit neither the wait nor
// the size spares a message. Not thread-safe.
class MessageMemory
{
public:
  // Limit on the counted bytes of all answers.
  static constexpr std::size_t kMaxBytes = kMaxResponseBytes;
  // Largest answer of ordinary size.
  static constexpr std::size_t kOrdinaryBytes = 64 * 1024;
  static constexpr std::size_t kUrgentFactor = 2;
  // How long a complete message may wait for its receiver while others need the
  // memory.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  // `aMaxBytes` is the limit on the counted bytes of all messages, `aUncounted`
  // the number of bytes of each that are not counted. Messages that count for
  // at most `aOrdinary` are of ordinary size.
  explicit MessageMemory(std::size_t aMaxBytes = kMaxBytes,
                         std::size_t aUncounted = 0,
                         std::size_t aOrdinary = kOrdinaryBytes)
    : maxBytes(aMaxBytes)
    , uncounted(aUncounted)
    , ordinary(aOrdinary)
  {
  }

  // The bytes held of one message.
  class Share
  {
  public:
    // `aEnd` is called if the message is ended in favour of another one.
    Share(MessageMemory& aMemory, std::function<void()> aEnd);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Sets the number of bytes held. Returns false if the message was ended, or
    // if it is the one to be ended because the limit is exceeded.
    bool Resize(std::size_t aBytes, TimePoint aNow);

    // The whole message has been received. It still counts, but is not ended.
    void NoteComplete() { this->isComplete = true; }

    // The complete message waits for its receiver from now on. `aGiveUp` is
    // called if the message is ended in favour of another one.
    void NoteWaiting(std::function<void()> aGiveUp, TimePoint aNow);

    bool IsEnded() const { return this->isEnded; }

  private:
    friend class MessageMemory;

    void SetCounted(std::size_t aBytes);
    void End();

    MessageMemory& memory;
    std::function<void()> end;
    std::size_t counted = 0;
    bool isComplete = false;
    bool isEnded = false;
    // Since when it waits for its receiver.
    std::optional<TimePoint> waitsSince;
  };

  MessageMemory(const MessageMemory&) = delete;
  MessageMemory& operator=(const MessageMemory&) = delete;

  // The counted bytes of all messages.
  std::size_t Bytes() const { return this->bytes; }

  void SetMaxBytes(std::size_t aMaxBytes) { this->maxBytes = aMaxBytes; }

private:
  // Returns the largest message that is still being received and counts for
  // more than `aOrdinary`, or null.
  Share* Largest(std::size_t aOrdinary) const;
  // Returns the message that has waited longest for its receiver, and for
  // `aMaxWait` at least, or null.
  Share* Slowest(Duration aMaxWait, TimePoint aNow) const;
  // Returns the message to end now that `aGrown` has made the sum exceed the
  // limit, or null for none.
  Share* ToEnd(Share& aGrown, TimePoint aNow) const;

  std::vector<Share*> shares;
  std::size_t maxBytes;
  std::size_t uncounted;
  std::size_t ordinary;
  std::size_t bytes = 0;
};

} // namespace wigeonwalk
