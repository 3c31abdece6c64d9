// JSON encoding of rollout progress and order intents in the key-value service.
//
//   JsonRolloutCodec codec;
//   std::string value = codec.EncodeState(state);
#pragma once

#include "wigeonwalk/rollout/order_intent.h"
#include "wigeonwalk/rollout/rollout_plan.h"

#include <optional>
#include <string>

namespace wigeonwalk {

// Stateless. Decoding returns nullopt for malformed or incomplete text; unknown
// fields are ignored, so that two versions can run side by side.
class JsonRolloutCodec
{
public:
  std::string EncodeState(const RolloutState& aState) const;
  std::optional<RolloutState> DecodeState(const std::string& aText) const;
  std::string EncodeIntent(const OrderIntent& aIntent) const;
  std::optional<OrderIntent> DecodeIntent(const std::string& aText) const;
};

} // namespace wigeonwalk
