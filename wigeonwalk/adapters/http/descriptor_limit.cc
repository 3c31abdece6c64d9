#include "wigeonwalk/adapters/http/descriptor_limit.h"

#include <sys/resource.h>

namespace wigeonwalk {

std::size_t
DescriptorLimit()
{
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? static_cast<std::size_t>(limit.rlim_cur)
           : 0;
}

} // namespace wigeonwalk
