// The users of the key-value service and their shares of the call budget.
//
//   const UserRule& rule = RuleOf(KeyValueUser::Claims);
#pragma once

#include "wigeonwalk/base/enum_names.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace wigeonwalk {

// Parts of a daemon that call the key-value service, highest priority first.
enum class KeyValueUser
{
  Claims,
  Leases,
  Documents,
  Orders,
  Operators,
};

template<>
struct EnumNames<KeyValueUser>
{
  static constexpr std::array<EnumName<KeyValueUser>, 5> kTable{ {
    { KeyValueUser::Claims, "claims" },
    { KeyValueUser::Leases, "leases" },
    { KeyValueUser::Documents, "documents" },
    { KeyValueUser::Orders, "orders" },
    { KeyValueUser::Operators, "operators" },
  } };
};
static_assert(HasCompleteTable<KeyValueUser>());

inline constexpr std::size_t kKeyValueUsers =
  EnumNames<KeyValueUser>::kTable.size();

// A user's share of the daemon's call budget.
struct UserRule
{
  KeyValueUser user;
  // Fraction of the rate that is reserved for this user, so that a flood of
  // claims cannot block the renewal of a lease or the read of a document.
  double reservedShare;
  // Fraction of the shared burst that this user must leave to users of higher
  // priority.
  double burstReserve;
};

inline constexpr std::array<UserRule, kKeyValueUsers> kUserRules{ {
  { KeyValueUser::Claims, 0.0, 0.0 },
  { KeyValueUser::Leases, 0.05, 0.0 },
  { KeyValueUser::Documents, 0.05, 0.25 },
  { KeyValueUser::Orders, 0.05, 0.25 },
  { KeyValueUser::Operators, 0.05, 0.5 },
} };

constexpr const UserRule&
RuleOf(KeyValueUser aUser)
{
  return kUserRules[static_cast<std::size_t>(aUser)];
}

} // namespace wigeonwalk
