#include "wigeonwalk/base/ids.h"

#include <charconv>

namespace wigeonwalk {

namespace {

// Removes the last dot and the number after it from the text, and returns the
// number. Returns nullopt, and leaves the text as it is, if there is none.
std::optional<std::uint64_t>
RemoveTrailingNumber(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + dot + 1, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  aText = aText.substr(0, dot);
  return number;
}

} // namespace

std::string
AttemptId::ToString() const
{
  return this->daemon.Text() + '.' + std::to_string(this->incarnation) + '.' +
         std::to_string(this->connection) + '.' + std::to_string(this->attempt);
}

std::optional<AttemptId>
ParseAttemptId(std::string_view aText)
{
  const auto attempt = RemoveTrailingNumber(aText);
  const auto connection = RemoveTrailingNumber(aText);
  const auto incarnation = RemoveTrailingNumber(aText);
  if (!attempt || !connection || !incarnation || aText.empty()) {
    return std::nullopt;
  }
  return AttemptId{
    HostId(std::string(aText)), *incarnation, *connection, *attempt
  };
}

} // namespace wigeonwalk
