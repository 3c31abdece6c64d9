// Command-line tool for operators; see docs/operator-api.md.

#include "wigeonwalk/adapters/ctl/ctl.h"

#include <iostream>

int
main(int argc, char** argv)
{
  return wigeonwalk::RunCtl(argc, argv, std::cout, std::cerr);
}
