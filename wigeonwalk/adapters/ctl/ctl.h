// The command-line client for operators, wigeonwalkctl.
//
//   int main(int argc, char** argv)
//   {
//     return wigeonwalk::RunCtl(argc, argv, std::cout, std::cerr);
//   }
//
// docs/operator-api.md describes the calls that it makes.
#pragma once

#include <iosfwd>

namespace wigeonwalk {

// The exit code of the process.
enum class CtlExit
{
  Success = 0,
  // The operation was refused, or a file is not valid.
  Refused = 1,
  // The command line is not valid.
  Usage = 2,
  // No daemon could be reached.
  Unreachable = 3,
};

// Runs one command and returns its exit code. Results go to aOut; errors go to
// aErr, each with its place and a remedy.
int
RunCtl(int aCount,
       const char* const* aArguments,
       std::ostream& aOut,
       std::ostream& aErr);

} // namespace wigeonwalk
