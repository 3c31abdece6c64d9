#include "wigeonwalk/adapters/settings/internal/formats.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace wigeonwalk::settings_internal {

namespace {

std::optional<std::uint32_t>
ParseDecimal(std::string_view aText)
{
  std::uint32_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool
IsNameChar(char aChar)
{
  return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z') || aChar == '.' || aChar == '-' ||
         aChar == '_';
}

bool
IsControl(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte < 0x20 || byte == 0x7F;
}

bool
IsAddress(std::string_view aText, std::uint32_t aLowestPort)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto port = ParseDecimal(aText.substr(colon + 1));
  if (!port || *port < aLowestPort || *port > 65'535) {
    return false;
  }
  std::string host(aText.substr(0, colon));
  const bool bracketed =
    host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  return !error && address.is_v6() == bracketed;
}

bool
HasFormat(TextFormat aFormat, std::string_view aText)
{
  switch (aFormat) {
    case TextFormat::Name:
      return !aText.empty() && aText.size() <= kMaxNameBytes &&
             std::all_of(aText.begin(), aText.end(), IsNameChar);
    case TextFormat::Label:
      return !aText.empty() && aText.size() <= kMaxLabelBytes &&
             std::none_of(aText.begin(), aText.end(), IsControl);
    case TextFormat::Duration:
      return ParseDuration(aText).has_value();
    case TextFormat::Address:
      return IsAddress(aText, 1);
    case TextFormat::Listener:
      return IsAddress(aText, 0);
    case TextFormat::Digest:
      return aText.size() == 64 &&
             std::all_of(aText.begin(), aText.end(), [](char aChar) {
               return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'f');
             });
    case TextFormat::Path:
      return aText.starts_with('/') && aText.size() <= 1024 &&
             std::none_of(aText.begin(), aText.end(), [](char aChar) {
               return IsControl(aChar) || aChar == ' ' || aChar == '?';
             });
  }
  return false;
}

std::string_view
Expectation(TextFormat aFormat)
{
  switch (aFormat) {
    case TextFormat::Name:
      return "expected 1 to 64 letters, digits, '.', '-' or '_'";
    case TextFormat::Label:
      return "expected 1 to 128 bytes without control characters";
    case TextFormat::Duration:
      return "expected a duration such as \"300ms\", \"5s\" or \"10m\"";
    case TextFormat::Address:
      return "expected IP:port such as \"127.0.0.1:9000\"";
    case TextFormat::Listener:
      return "expected IP:port such as \"127.0.0.1:9000\" (port 0: any)";
    case TextFormat::Digest:
      return "expected 64 lower-case hexadecimal digits of a SHA-256";
    case TextFormat::Path:
      return "expected a path that starts with '/'";
  }
  return "unknown format";
}

} // namespace

std::optional<std::string>
CheckFormat(TextFormat aFormat, std::string_view aText)
{
  if (HasFormat(aFormat, aText)) {
    return std::nullopt;
  }
  return std::string(Expectation(aFormat));
}

} // namespace wigeonwalk::settings_internal
