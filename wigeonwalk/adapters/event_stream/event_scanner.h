// Finds whole events in the bytes of a text/event-stream body.
//
//   EventScanner scanner;
//   std::string whole = scanner.Feed(bytes);   // forwarded unchanged
//   if (scanner.HasPartialEvent()) { ... the stream broke off ... }
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Keeps the bytes of an event until its end has come, so that what was passed
// on always ends between two events.
class EventScanner
{
public:
  // Returns the whole events that these bytes complete, byte for byte.
  std::string Feed(std::string_view aBytes);

  // Numeric id of the last whole event, where it had one.
  std::optional<std::uint64_t> LastId() const { return this->lastId; }

  std::uint64_t Events() const { return this->events; }

  bool HasPartialEvent() const { return !this->pending.empty(); }

private:
  void NoteEvent(std::string_view aEvent);

  std::string pending;
  std::optional<std::uint64_t> lastId;
  std::uint64_t events = 0;
};

} // namespace wigeonwalk
