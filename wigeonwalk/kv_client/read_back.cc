#include "wigeonwalk/kv_client/read_back.h"

namespace wigeonwalk {

ReadBackResult
ResolvePut(const PutRequest& aPut, const std::optional<KeyValueEntry>& aNow)
{
  const std::int64_t revision = aNow ? aNow->modRevision : 0;
  if (aNow && aNow->value == aPut.value && aPut.expectedRevision != revision) {
    return ReadBackResult::Applied;
  }
  return aPut.expectedRevision == revision ? ReadBackResult::Unchanged
                                           : ReadBackResult::Superseded;
}

ReadBackResult
ResolveDelete(std::optional<std::int64_t> aExpectedRevision,
              const std::optional<KeyValueEntry>& aNow)
{
  if (!aNow) {
    return ReadBackResult::Applied;
  }
  return aExpectedRevision == aNow->modRevision ? ReadBackResult::Unchanged
                                                : ReadBackResult::Superseded;
}

} // namespace wigeonwalk
