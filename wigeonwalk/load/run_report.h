// Results of a load run by phase, as a text table or as JSON.
//
//   RunReport report;
//   report.Add(LoadPhase::FirstVisit, result);
//   std::cout << report.ToTable();
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/load/caller.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wigeonwalk {

// Phases of a load run.
enum class LoadPhase
{
  FirstVisit,
  Return,
  Booking,
};

template<>
struct EnumNames<LoadPhase>
{
  static constexpr std::array<EnumName<LoadPhase>, 3> kTable{ {
    { LoadPhase::FirstVisit, "first-visit" },
    { LoadPhase::Return, "return" },
    { LoadPhase::Booking, "booking" },
  } };
};
static_assert(HasCompleteTable<LoadPhase>());

// Aggregates results. One thread only.
class RunReport
{
public:
  void Add(LoadPhase aPhase, const CallResult& aResult);

  std::string ToTable() const;
  std::string ToJson() const;

  // Number of calls whose answer was not complete and correct.
  std::uint64_t Failed() const;

  // Records the final verdict on a booking.
  void AddBooking(const std::string& aKey, Verdict aVerdict);

  // Compares the verdicts on the bookings with the number of runs of each key
  // at the service. Returns one line for each key that ran more than once, that
  // ran although it was reported as not run, or that did not run although it
  // was reported as run.
  std::vector<std::string> CheckBookings(
    const std::map<std::string, std::uint64_t>& aRuns) const;

private:
  struct Phase
  {
    std::uint64_t calls = 0;
    std::uint64_t correct = 0;
    std::uint64_t moved = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::array<std::uint64_t, 3> verdicts{};
    std::vector<double> firstTokens;
    std::vector<double> longestGaps;
  };

  std::array<Phase, EnumNames<LoadPhase>::kTable.size()> phases;
  std::map<std::string, Verdict> bookings;
};

} // namespace wigeonwalk
