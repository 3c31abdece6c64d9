#include "wigeonwalk/fleet/cache_salt.h"

#include <charconv>
#include <cstddef>

namespace wigeonwalk {

namespace {

// Parses a number that ends with a dot, and removes both from the text.
template<typename T>
std::optional<T>
ConsumeNumber(std::string_view& aText)
{
  T number{};
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != '.') {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(parsed.ptr - aText.data()) + 1);
  return number;
}

} // namespace

// Format: "VERSION.LENGTH.MODEL.DOMAIN", where LENGTH is the length of MODEL in
// bytes. It makes the salt unambiguous whatever characters the names contain.
std::string
CacheSalt(const ModelName& aModel,
          WeightNumber aVersion,
          std::string_view aCacheDomain)
{
  const std::string& model = aModel.Text();
  return std::to_string(aVersion) + "." + std::to_string(model.size()) + "." +
         model + "." + std::string(aCacheDomain);
}

std::optional<SaltOwner>
ParseCacheSalt(std::string_view aSalt)
{
  const auto version = ConsumeNumber<WeightNumber>(aSalt);
  const auto length =
    version ? ConsumeNumber<std::size_t>(aSalt) : std::nullopt;
  if (!length || *length >= aSalt.size() || aSalt[*length] != '.') {
    return std::nullopt;
  }
  return SaltOwner{ ModelName(std::string(aSalt.substr(0, *length))),
                    *version,
                    std::string(aSalt.substr(*length + 1)) };
}

} // namespace wigeonwalk
