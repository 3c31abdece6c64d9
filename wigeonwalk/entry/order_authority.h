// Concept for the authority to give orders to runners.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>

namespace wigeonwalk {

// FencingNumber returns the fencing number for this daemon's orders, or nothing
// if it may not give any. NoteFenced ends the authority, after a runner that
// has seen a higher number has refused an order.
template<typename T>
concept OrderAuthority = requires(T& aLeader)
{
  {
    aLeader.FencingNumber()
    } -> std::same_as<std::optional<std::uint64_t>>;
  {
    aLeader.NoteFenced()
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
