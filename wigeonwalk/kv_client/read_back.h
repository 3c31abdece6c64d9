// What a read says of a write whose answer was lost.
//
//   if (SettlePut(put, read->entry) == Settlement::Applied) { ... }
//
// The value of each write must be unlike that of any other write of its key;
// users put an id into it (edit id, batch id, intent id).
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/key_value.h"

#include <array>
#include <optional>

namespace wigeonwalk {

// What is known of a lost write after a read.
enum class Settlement
{
  // The key holds what was written.
  Applied,
  // The key is as before. The write may still arrive; sending it again is safe,
  // because compare-and-swap lets only one copy take effect.
  Unchanged,
  // Another writer changed the key; the write may have been there in between.
  Superseded,
};

template<>
struct EnumNames<Settlement>
{
  static constexpr std::array<EnumName<Settlement>, 3> kTable{ {
    { Settlement::Applied, "applied" },
    { Settlement::Unchanged, "unchanged" },
    { Settlement::Superseded, "superseded" },
  } };
};
static_assert(HasCompleteTable<Settlement>());

// Settles a put. An unconditional put is never Unchanged, since sending it
// again could overwrite a later write.
Settlement
SettlePut(const PutRequest& aPut, const std::optional<KeyValueEntry>& aNow);

// Settles a deletion: a missing key counts as deleted.
Settlement
SettleDelete(std::optional<std::int64_t> aExpectedRevision,
             const std::optional<KeyValueEntry>& aNow);

} // namespace wigeonwalk
