#include "wigeonwalk/base/failure_reason.h"

#include <utility>

namespace wigeonwalk {

std::string
FailureReason::ToString() const
{
  std::string text(NameOf(this->code));
  if (!this->place.empty()) {
    text += " at " + this->place;
  }
  if (!this->detail.empty()) {
    text += ": " + this->detail;
  }
  return text;
}

std::nullopt_t
Fail(FailureReason& aReason,
     ReasonCode aCode,
     std::string aDetail,
     std::string aPlace)
{
  aReason.code = aCode;
  aReason.detail = std::move(aDetail);
  aReason.place = std::move(aPlace);
  return std::nullopt;
}

} // namespace wigeonwalk
