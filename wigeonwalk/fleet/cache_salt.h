// The salt that keeps apart cache of different weights and organisations.
//
//   std::string salt = CacheSalt(model, 2, wall);
//   auto owner = ParseCacheSalt(salt);   // model and version
#pragma once

#include "wigeonwalk/fleet/runner.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// The weights that cache under a salt belongs to.
struct SaltOwner
{
  ModelName model;
  WeightNumber version = 0;

  bool operator==(const SaltOwner&) const = default;
};

// Returns the salt under which cache of a model's weights is kept. Cache of
// other weights or behind another wall never matches it. The wall is empty for
// cache that organisations share.
std::string
CacheSalt(const ModelName& aModel,
          WeightNumber aVersion,
          std::string_view aWall);

// Returns the owner of a salt that CacheSalt made, or nothing for any other
// text.
std::optional<SaltOwner>
ParseCacheSalt(std::string_view aSalt);

} // namespace wigeonwalk
