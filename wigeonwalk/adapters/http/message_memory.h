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
// kMaxWait; else the largest message that is still being received. Messages of
// ordinary size never are. Not thread-safe.
class MessageMemory
{
public:
  // Limit on the counted bytes of all answers.
  static constexpr std::size_t kMaxBytes = kMaxResponseBytes;
  // Bytes of each answer that are not counted.
  static constexpr std::size_t kUncountedBytes = 64 * 1024;
  // How long a complete message may wait for its receiver while others need the
  // memory.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);

  // `aMaxBytes` is the limit on the counted bytes of all messages, `aUncounted`
  // the number of bytes of each that are not counted.
  explicit MessageMemory(std::size_t aMaxBytes = kMaxBytes,
                         std::size_t aUncounted = kUncountedBytes)
    : maxBytes(aMaxBytes)
    , uncounted(aUncounted)
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
    // if it is the largest one that can be and the limit is exceeded.
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
  // Returns the largest message that is still being received, or null.
  Share* Largest() const;
  // Returns the message that has waited longest for its receiver, and for
  // kMaxWait at least, or null.
  Share* Slowest(TimePoint aNow) const;

  std::vector<Share*> shares;
  std::size_t maxBytes;
  std::size_t uncounted;
  std::size_t bytes = 0;
};

} // namespace wigeonwalk
