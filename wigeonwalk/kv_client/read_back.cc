#include "wigeonwalk/kv_client/read_back.h"

namespace wigeonwalk {

Settlement
SettlePut(const PutRequest& aPut, const std::optional<KeyValueEntry>& aNow)
{
  const std::int64_t revision = aNow ? aNow->modRevision : 0;
  if (aNow && aNow->value == aPut.value && aPut.expectedRevision != revision) {
    return Settlement::Applied;
  }
  return aPut.expectedRevision == revision ? Settlement::Unchanged
                                           : Settlement::Superseded;
}

Settlement
SettleDelete(std::optional<std::int64_t> aExpectedRevision,
             const std::optional<KeyValueEntry>& aNow)
{
  if (!aNow) {
    return Settlement::Applied;
  }
  return aExpectedRevision == aNow->modRevision ? Settlement::Unchanged
                                                : Settlement::Superseded;
}

} // namespace wigeonwalk
