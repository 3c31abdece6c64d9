// Typed access to the fields of a decoded MessagePack map.
//
//   Fields fields(map);
//   std::string host = fields.Text("h", 64);
//   if (!fields.Valid()) { return std::nullopt; }
#pragma once

#include "wigeonwalk/base/enum_names.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk::peer_internal {

using Json = nlohmann::json;

// Returns the value of a payload, or nothing where it is no MessagePack or
// nested deeper than any message.
std::optional<Json>
ParsePayload(std::string_view aPayload);

// Returns the bytes of a map.
std::string
PrintPayload(const Json& aMap);

// Reads fields; a missing or unfit one makes all of them invalid.
class Fields
{
public:
  explicit Fields(const Json& aMap)
    : map(aMap)
    , valid(aMap.is_object())
  {
  }

  bool Valid() const { return this->valid; }

  std::string Text(const char* aKey, std::size_t aMaxBytes);
  std::string Bytes(const char* aKey, std::size_t aMaxBytes);
  std::uint64_t Number(const char* aKey);
  std::uint64_t Number(const char* aKey, std::uint64_t aMax);
  bool Flag(const char* aKey);

  // The array of a key, or null.
  const Json* Array(const char* aKey, std::size_t aMaxSize);
  // The map of a key, or null.
  const Json* Map(const char* aKey);

  // The value of a number in the enumeration's table; nothing for a number
  // that a later release has added.
  template<NamedEnum E>
  std::optional<E> Value(const char* aKey)
  {
    const std::uint64_t number = this->Number(aKey);
    if (number >= EnumNames<E>::kTable.size()) {
      return std::nullopt;
    }
    return static_cast<E>(number);
  }

private:
  const Json* Find(const char* aKey);

  const Json& map;
  bool valid;
};

} // namespace wigeonwalk::peer_internal
