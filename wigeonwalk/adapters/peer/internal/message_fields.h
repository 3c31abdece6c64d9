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

// Parses a payload. Returns nothing if it is not a MessagePack map or is nested
// deeper than any valid message.
std::optional<Json>
ParsePayload(std::string_view aPayload);

// Returns the MessagePack encoding of a map.
std::string
EncodePayload(const Json& aMap);

// Reads fields of a map. A field that is missing, of the wrong type or out of
// range makes Valid() false from then on, so callers check it once at the end.
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

  // Returns the array under a key, or null.
  const Json* Array(const char* aKey, std::size_t aMaxSize);
  // Returns the map under a key, or null.
  const Json* Map(const char* aKey);

  // Returns the enumerator with the encoded number, or nothing for a number not
  // in the table, which a later release may have added.
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
