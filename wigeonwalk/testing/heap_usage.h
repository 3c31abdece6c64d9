// The memory that this process has allocated and not freed.
//
//   const std::size_t before = AllocatedBytes();
#pragma once

#include <cstddef>

namespace wigeonwalk {

// Returns the bytes on the heap, without what the allocator keeps of freed
// ones.
std::size_t
AllocatedBytes();

} // namespace wigeonwalk
