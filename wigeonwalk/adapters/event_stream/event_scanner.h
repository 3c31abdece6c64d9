// Splits the bytes of a text/event-stream body at event boundaries.
//
//   EventScanner scanner;
//   std::string complete = scanner.Feed(bytes);   // forwarded unchanged
//   if (scanner.HasPartialEvent()) { ... the stream was cut off ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Buffers the bytes of an incomplete event, so that the forwarded bytes always
// end at an event boundary.
class EventScanner
{
public:
  // Returns the events that these bytes complete, byte for byte.
  std::string Feed(std::string_view aBytes);

  // Returns the id of the last complete event that had a numeric id.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }

  std::uint64_t Events() const { return this->events; }

  bool HasPartialEvent() const { return !this->pending.empty(); }

  // Number of bytes of the incomplete event.
  std::size_t PartialBytes() const { return this->pending.size(); }

private:
  void NoteEvent(std::string_view aEvent);

  std::string pending;
  std::optional<std::uint64_t> lastId;
  std::uint64_t events = 0;
};

} // namespace wigeonwalk
