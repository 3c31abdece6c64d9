// The number of descriptors that a process may open.
//
//   const std::size_t descriptors = DescriptorLimit();
#pragma once

#include <cstddef>

namespace wigeonwalk {

// Returns the limit that the system sets; zero if it can't be read.
std::size_t
DescriptorLimit();

} // namespace wigeonwalk
