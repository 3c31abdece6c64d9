// The salt that separates the KV cache of different weights and of
// organisations that share none.
//
//   std::string salt = CacheSalt(model, 2, domain);
//   auto owner = ParseCacheSalt(salt);   // model, version and domain
#pragma once

#include "wigeonwalk/fleet/runner.h"

#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// The weights and the cache domain to which cache with a given salt belongs.
struct SaltOwner
{
  ModelName model;
  WeightNumber version = 0;
  std::string domain;

  bool operator==(const SaltOwner&) const = default;
};

// Returns the salt for cache of one version of a model's weights. It differs
// from the salts of other weights and of other cache domains (CacheDomains).
std::string
CacheSalt(const ModelName& aModel,
          WeightNumber aVersion,
          std::string_view aCacheDomain);

// Returns the owner of a salt that CacheSalt returned, or nothing for any other
// text.
std::optional<SaltOwner>
ParseCacheSalt(std::string_view aSalt);

} // namespace wigeonwalk
