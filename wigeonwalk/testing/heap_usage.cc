#include "wigeonwalk/testing/heap_usage.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Debian's g++ does not install the header that declares it.
extern "C" std::size_t
__sanitizer_get_current_allocated_bytes();
#else
#include <malloc.h>
#endif

namespace wigeonwalk {

std::size_t
AllocatedBytes()
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const struct mallinfo2 usage = mallinfo2();
  return usage.uordblks + usage.hblkhd;
#endif
}

} // namespace wigeonwalk
