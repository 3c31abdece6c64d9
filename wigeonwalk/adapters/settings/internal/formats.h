// String formats in settings and documents: durations, addresses, names,
// digests.
//
//   CheckFormat(TextFormat::Address, "127.0.0.1");   // "expected IP:port, ..."
#pragma once

#include "wigeonwalk/adapters/settings/duration_text.h"
#include "wigeonwalk/base/enum_names.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk::settings_internal {

// Format of a string in a JSON file.
enum class TextFormat
{
  // Letters, digits, '.', '-' and '_'; safe in headers and key paths.
  Name,
  // Any UTF-8 text without control characters.
  Label,
  Duration,
  // IP address and port of a server.
  Address,
  // Like Address, but port 0 is allowed and lets the system choose.
  Listener,
  // Lower-case hexadecimal SHA-256.
  Digest,
  // Path that starts with '/'.
  Path,
};

} // namespace wigeonwalk::settings_internal

namespace wigeonwalk {

template<>
struct EnumNames<settings_internal::TextFormat>
{
  using Format = settings_internal::TextFormat;
  static constexpr std::array<EnumName<Format>, 7> kTable{ {
    { Format::Name, "name" },
    { Format::Label, "label" },
    { Format::Duration, "duration" },
    { Format::Address, "address" },
    { Format::Listener, "listener" },
    { Format::Digest, "digest" },
    { Format::Path, "path" },
  } };
};
static_assert(HasCompleteTable<settings_internal::TextFormat>());

} // namespace wigeonwalk

namespace wigeonwalk::settings_internal {

// Maximum lengths in bytes; names and labels appear in headers and metric
// labels.
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr std::size_t kMaxLabelBytes = 128;

// Returns an error message if the text does not have the format, or nothing.
std::optional<std::string>
CheckFormat(TextFormat aFormat, std::string_view aText);

} // namespace wigeonwalk::settings_internal
