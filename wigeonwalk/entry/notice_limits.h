// Limits on the notices between entry daemons: how often they are sent, and to
// how many daemons. The target for the total is at most 22 KB/s for each daemon
// of the largest fleet.
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/entry/entry_state.h"

#include <cstddef>

namespace wigeonwalk {

// How often loads are reported: a third of the lifetime of a report.
inline constexpr Duration kLoadReportInterval = std::chrono::milliseconds(300);
// Daemons of the zone that get a load report: 9.2 KB/s with full messages.
inline constexpr std::size_t kMaxLoadPeers = 8;
// Runners in one load report; those with the most tokens in flight are chosen.
inline constexpr std::size_t kMaxLoadRows = 12;
// Up to this many daemons tell all others when a long prompt is sent to a
// runner and when its run has ended: 34 KB/s for each daemon at 110 long
// prompts a second in the fleet.
inline constexpr std::size_t kMaxDaemonsToldAll = 100;
// In a larger fleet only the start is told, to this many daemons.
inline constexpr std::size_t kMaxWorkPeers = 24;
// How often changes of parts are sent: twice within the maximum age of a
// source's last report.
inline constexpr Duration kPartReportInterval = EntryState::kSourceMaxAge / 2;

// How often a daemon tells another one, each time the next, which runners
// leave, for daemons that have restarted or missed it; and the marks in one
// message.
inline constexpr Duration kLeavingReportInterval = std::chrono::seconds(1);
inline constexpr std::size_t kMaxLeavingMarks = 16;
// Daemons that get each new mark in one round.
inline constexpr int kLeavingFanout = 4;

// Bound on one question to another daemon where a stream began.
inline constexpr Duration kOriginCallTimeout = std::chrono::milliseconds(100);

} // namespace wigeonwalk
