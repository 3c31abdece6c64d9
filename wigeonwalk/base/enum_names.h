// Conversion between enum values and their names.
//
// Each `enum class` that is printed or parsed has one table of names:
//
//   enum class Colour { Red, Green };
//   template<>
//   struct EnumNames<Colour>
//   {
//     static constexpr std::array<EnumName<Colour>, 2> kTable{ {
//       { Colour::Red, "red" },
//       { Colour::Green, "green" },
//     } };
//   };
//   static_assert(HasCompleteTable<Colour>());
//
//   NameOf(Colour::Red);          // "red"
//   ParseName<Colour>("green");   // Colour::Green
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>

namespace wigeonwalk {

// One row of a table: a value, and the name under which it is printed and
// parsed.
template<typename E>
struct EnumName
{
  E value;
  std::string_view name;
};

// The table of an enum. Specialised next to each enum, with a static member
// `kTable`.
template<typename E>
struct EnumNames;

// An enum that has a table of names.
template<typename E>
concept NamedEnum = std::is_enum_v<E> && requires
{
  EnumNames<E>::kTable.size();
};

// Returns true if the table lists the values 0, 1, 2... in order and no name is
// empty or listed twice. Used in a static_assert next to each table.
template<NamedEnum E>
constexpr bool
HasCompleteTable()
{
  const auto& table = EnumNames<E>::kTable;
  for (std::size_t i = 0; i < table.size(); ++i) {
    if (static_cast<std::size_t>(table[i].value) != i ||
        table[i].name.empty()) {
      return false;
    }
    for (std::size_t j = 0; j < i; ++j) {
      if (table[i].name == table[j].name) {
        return false;
      }
    }
  }
  return true;
}

// Returns the name of a value, or "invalid" for a value outside the table.
template<NamedEnum E>
constexpr std::string_view
NameOf(E aValue)
{
  for (const auto& row : EnumNames<E>::kTable) {
    if (row.value == aValue) {
      return row.name;
    }
  }
  return "invalid";
}

// Returns the value with a name, or nullopt for a name outside the table.
template<NamedEnum E>
constexpr std::optional<E>
ParseName(std::string_view aName)
{
  for (const auto& row : EnumNames<E>::kTable) {
    if (row.name == aName) {
      return row.value;
    }
  }
  return std::nullopt;
}

} // namespace wigeonwalk
