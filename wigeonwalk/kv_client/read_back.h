// Determines the outcome of a write whose answer was lost by reading the key
// back.
//
//   if (ResolvePut(put, read->entry) == ReadBackResult::Applied) { ... }
//
// Each write of a key must have a unique value; users include an id in it (edit
// id, batch id, intent id).
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/ports/key_value.h"

#include <array>
#include <optional>

namespace wigeonwalk {

// What a read shows about a write whose answer was lost.
enum class ReadBackResult
{
  // The key has the written value.
  Applied,
  // The key is unchanged. The write may still arrive; sending it again is safe,
  // because compare-and-swap lets only one of the two take effect.
  Unchanged,
  // Another writer changed the key; the write may have taken effect before
  // that.
  Superseded,
};

template<>
struct EnumNames<ReadBackResult>
{
  static constexpr std::array<EnumName<ReadBackResult>, 3> kTable{ {
    { ReadBackResult::Applied, "applied" },
    { ReadBackResult::Unchanged, "unchanged" },
    { ReadBackResult::Superseded, "superseded" },
  } };
};
static_assert(HasCompleteTable<ReadBackResult>());

// Derives the outcome of a put from the entry read back. An unconditional put
// is never Unchanged, because sending it again could overwrite a later write.
ReadBackResult
ResolvePut(const PutRequest& aPut, const std::optional<KeyValueEntry>& aNow);

// Derives the outcome of a deletion from the entry read back. A missing key
// counts as deleted.
ReadBackResult
ResolveDelete(std::optional<std::int64_t> aExpectedRevision,
              const std::optional<KeyValueEntry>& aNow);

} // namespace wigeonwalk
