// Whether a daemon may give orders to runners now.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// Returns the fencing number of this daemon's orders, or nothing where it may
// give none. A refusal by a runner that saw a higher number ends the right.
template<typename T>
concept OrderAuthority = requires(T& aLead)
{
  {
    aLead.FencingNumber()
    } -> std::same_as<std::optional<std::uint64_t>>;
  {
    aLead.NoteFenced()
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
