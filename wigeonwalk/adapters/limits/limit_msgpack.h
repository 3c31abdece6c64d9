// MessagePack encoding of the demand reports and allotments between daemons.
//
//   LimitMsgpack codec;
//   std::string payload = codec.EncodeReport(report);
#pragma once

#include "wigeonwalk/serving/limit_enforcer.h"

#include <optional>
#include <string>

namespace wigeonwalk {

// Stateless. Decoding returns nullopt for a malformed payload.
class LimitMsgpack
{
public:
  std::string EncodeReport(const DemandReport& aReport) const;
  std::optional<DemandReport> DecodeReport(const std::string& aPayload) const;
  std::string EncodeAllotment(const Allotment& aAllotment) const;
  std::optional<Allotment> DecodeAllotment(const std::string& aPayload) const;
};

static_assert(LimitCodec<LimitMsgpack>);

} // namespace wigeonwalk
