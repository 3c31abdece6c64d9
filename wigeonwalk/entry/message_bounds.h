// How often and to how many others an entry daemon tells what it knows. The sum
// is kept within 22 KB/s for each daemon of the largest fleet.
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/entry/entry_state.h"

#include <cstddef>

namespace wigeonwalk {

// How often loads are told: a third of the time after which they lapse.
inline constexpr Duration kLoadPace = std::chrono::milliseconds(300);
// Daemons of a zone that loads are told to: with full messages 9.2 KB/s.
inline constexpr std::size_t kMostLoadPeers = 8;
// Runners in one message about loads, those with the most work first.
inline constexpr std::size_t kMostLoadRows = 12;
// Daemons that one long prompt is told to.
inline constexpr std::size_t kMostWorkPeers = 24;
// How often changes of parts are told: twice in the time for which a holder
// counts as a source.
inline constexpr Duration kTellPartsPace = EntryState::kSourceFresh / 2;

} // namespace wigeonwalk
