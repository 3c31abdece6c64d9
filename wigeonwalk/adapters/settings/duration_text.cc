#include "wigeonwalk/adapters/settings/duration_text.h"

#include "wigeonwalk/adapters/settings/internal/formats.h"

namespace wigeonwalk {

std::optional<Duration>
ParseDurationText(std::string_view aText)
{
  return settings_internal::ParseDuration(aText);
}

std::string
PrintDurationText(Duration aDuration)
{
  return settings_internal::PrintDuration(aDuration);
}

} // namespace wigeonwalk
