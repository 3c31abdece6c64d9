// Converts structs from and to JSON by one list of fields for each struct.
//
// Each struct has one overload of VisitFields in namespace wigeonwalk, used in
// both directions:
//
//   template<FieldsOf<PeerSettings> S>
//   void VisitFields(auto&& aField, S& aPeer)
//   {
//     aField("host", aPeer.host);
//   }
//   PeerSettings peer = ReadStruct<PeerSettings>(json);
#pragma once

#include "wigeonwalk/adapters/settings/internal/checked_json.h"
#include "wigeonwalk/adapters/settings/internal/formats.h"
#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace wigeonwalk {

// Matches the struct, which is const when it is printed.
template<typename S, typename Struct>
concept FieldsOf = std::same_as<std::remove_const_t<S>, Struct>;

} // namespace wigeonwalk

namespace wigeonwalk::settings_internal {

struct AnyField
{
  template<typename T>
  void operator()(const char*, T&) const
  {
  }
};

template<typename T>
concept Struct = requires(T& aValue)
{
  VisitFields(AnyField(), aValue);
};

template<typename T>
concept Arithmetic = std::is_arithmetic_v<T>;

inline void
ReadValue(const Json& aJson, std::string& aTarget)
{
  aTarget = aJson.get<std::string>();
}

template<typename Tag>
void
ReadValue(const Json& aJson, Id<Tag>& aTarget)
{
  aTarget = Id<Tag>(aJson.get<std::string>());
}

template<Arithmetic T>
void
ReadValue(const Json& aJson, T& aTarget)
{
  aTarget = aJson.get<T>();
}

inline void
ReadValue(const Json& aJson, Duration& aTarget)
{
  aTarget = ParseDuration(aJson.get<std::string>()).value_or(aTarget);
}

template<NamedEnum E>
void
ReadValue(const Json& aJson, E& aTarget)
{
  aTarget = ParseName<E>(aJson.get<std::string>()).value_or(aTarget);
}

template<Struct S>
void
ReadValue(const Json& aJson, S& aTarget);

template<typename T>
void
ReadValue(const Json& aJson, std::optional<T>& aTarget)
{
  ReadValue(aJson, aTarget.emplace());
}

template<typename T>
void
ReadValue(const Json& aJson, std::vector<T>& aTarget)
{
  for (const auto& item : aJson) {
    ReadValue(item, aTarget.emplace_back());
  }
}

template<typename Tag, typename T>
void
ReadValue(const Json& aJson, std::map<Id<Tag>, T>& aTarget)
{
  for (const auto& [key, value] : aJson.items()) {
    ReadValue(value, aTarget[Id<Tag>(key)]);
  }
}

template<Struct S>
void
ReadValue(const Json& aJson, S& aTarget)
{
  VisitFields(
    [&aJson](const char* aKey, auto& aField) {
      const auto found = aJson.find(aKey);
      if (found != aJson.end()) {
        ReadValue(*found, aField);
      }
    },
    aTarget);
}

// Converts a JSON object that satisfies the schema of the struct. Fields of
// absent keys keep their defaults.
template<Struct S>
S
ReadStruct(const Json& aJson)
{
  S target;
  ReadValue(aJson, target);
  return target;
}

inline OrderedJson
WriteValue(const std::string& aText)
{
  return aText;
}

template<typename Tag>
OrderedJson
WriteValue(const Id<Tag>& aId)
{
  return aId.Text();
}

template<Arithmetic T>
OrderedJson
WriteValue(T aNumber)
{
  return aNumber;
}

inline OrderedJson
WriteValue(Duration aDuration)
{
  return PrintDuration(aDuration);
}

template<NamedEnum E>
OrderedJson
WriteValue(E aValue)
{
  return std::string(NameOf(aValue));
}

template<Struct S>
OrderedJson
WriteValue(const S& aStruct);

template<typename T>
OrderedJson
WriteValue(const std::optional<T>& aValue)
{
  return aValue ? WriteValue(*aValue) : OrderedJson();
}

template<typename T>
OrderedJson
WriteValue(const std::vector<T>& aList)
{
  OrderedJson list = OrderedJson::array();
  for (const auto& item : aList) {
    list.push_back(WriteValue(item));
  }
  return list;
}

// Converts a struct to a JSON object, omitting absent optional values and empty
// strings, lists and objects.
template<Struct S>
OrderedJson
WriteValue(const S& aStruct)
{
  OrderedJson object = OrderedJson::object();
  VisitFields(
    [&object](const char* aKey, const auto& aField) {
      OrderedJson value = WriteValue(aField);
      const bool emptyText =
        value.is_string() && value.get_ref<const std::string&>().empty();
      if (!emptyText && !value.empty()) {
        object[aKey] = std::move(value);
      }
    },
    aStruct);
  return object;
}

} // namespace wigeonwalk::settings_internal
