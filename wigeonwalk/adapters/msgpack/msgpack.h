// MessagePack encoding and decoding of the small messages between daemons.
//
//   std::string payload = PackMessage(nlohmann::json::array({ 1, "a" }));
//   auto number = UnpackMessage(payload, [](const nlohmann::json& aJson) {
//     return aJson.at(0).get<int>();
//   });
#pragma once

#include "wigeonwalk/adapters/json/bounded_json.h"

#include <nlohmann/json.hpp>

#include <exception>
#include <optional>
#include <string>

namespace wigeonwalk {

inline std::string
PackMessage(const nlohmann::json& aJson)
{
  std::string bytes;
  nlohmann::json::to_msgpack(aJson, bytes);
  return bytes;
}

// Decodes the payload with aDecode, which may throw for a missing or malformed
// element. Returns nullopt if it throws, if the payload is not MessagePack or
// if it exceeds the limits of nesting and size.
template<typename Decode>
auto
UnpackMessage(const std::string& aPayload, Decode aDecode)
  -> std::optional<decltype(aDecode(nlohmann::json()))>
{
  try {
    return aDecode(ParseBoundedMsgpack(aPayload));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace wigeonwalk
