#include "wigeonwalk/adapters/event_stream/event_scanner.h"

#include <algorithm>
#include <charconv>

namespace wigeonwalk {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the blank line that ends an event, or npos.
std::size_t
EndOfEvent(std::string_view aBytes, std::size_t aFrom)
{
  while (true) {
    const std::size_t line = aBytes.find('\n', aFrom);
    if (line == std::string_view::npos) {
      return line;
    }
    std::size_t next = line + 1;
    if (next < aBytes.size() && aBytes[next] == '\r') {
      ++next;
    }
    if (next < aBytes.size() && aBytes[next] == '\n') {
      return next + 1;
    }
    aFrom = line + 1;
  }
}

} // namespace

std::string
EventScanner::Feed(std::string_view aBytes)
{
  // The line ends that terminate an event may have begun in earlier bytes.
  constexpr std::size_t kMaxTerminatorBytes = 3;
  const std::size_t searchStart =
    this->pending.size() - std::min(this->pending.size(), kMaxTerminatorBytes);
  this->pending += aBytes;
  std::size_t begin = 0;
  std::size_t from = searchStart;
  while (true) {
    const std::size_t end = EndOfEvent(this->pending, std::max(from, begin));
    if (end == std::string::npos) {
      break;
    }
    this->NoteEvent(std::string_view(this->pending).substr(begin, end - begin));
    begin = end;
  }
  std::string complete = this->pending.substr(0, begin);
  this->pending.erase(0, begin);
  return complete;
}

void
EventScanner::NoteEvent(std::string_view aEvent)
{
  ++this->events;
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size() - 1);
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id = 0;
    const auto parsed =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      this->lastId = id;
    }
  }
}

} // namespace wigeonwalk
