// A tenant is made isolated; requests of another tenant go on using KV cache
// that its requests made.
#include "../standins/cluster.hpp"

#include <string>

using namespace review;

namespace {

// Bounds of the deployment's sheet.
constexpr Millis kContact = 3'000;
constexpr Millis kPropagation = 2'000;

constexpr const char* kIsolatedTenant = "maker-a";
constexpr const char* kKeyOfA = "key-a";
constexpr const char* kKeyOfB = "key-b";
// The first part is the shared one; the last one belongs to the request.
constexpr const char* kPromptOfA = "5c1e07a2:800,91bd3f06:410";
constexpr const char* kPromptOfB = "5c1e07a2:800,e4402b7d:250";

// Returns the number of uses, after a time, of a part that another tenant made
// while one of the two is isolated.
int
CountShared(Cluster& aCluster, Millis aFrom, bool aIsolated)
{
  int shared = 0;
  for (const auto& runner : aCluster.runners) {
    for (const UsedPart& used : runner->UsedParts()) {
      const bool ofA =
        used.maker == kIsolatedTenant || used.user == kIsolatedTenant;
      if (aIsolated && used.at >= aFrom && used.maker != used.user && ofA) {
        ++shared;
        aCluster.record.Print("request " + used.request + " of " + used.user +
                              " used part " + used.part + " that " +
                              used.maker + " made, salt " + used.salt);
      }
    }
  }
  return shared;
}

int
RunCase(Cluster& aCluster)
{
  if (!aCluster.Start(MakeConfiguration(1, false))) {
    aCluster.record.Print("the deployment did not start");
    return kCouldNotRun;
  }
  Sleep(kContact + 500);
  Daemon& daemon = *aCluster.daemons.front();
  if (aCluster.Ask(daemon, kKeyOfA, kPromptOfA, "of-a") != 200) {
    aCluster.record.Print("the first request was not served");
    return kCouldNotRun;
  }
  if (HasTrouble()) {
    aCluster.record.Print("operator makes maker-a isolated: version 3");
    aCluster.store.Put("op/config", MakeConfiguration(3, true).dump());
  }
  Sleep(kPropagation + 1'000);
  const Millis from = NowMs();
  for (const auto& each : aCluster.daemons) {
    if (aCluster.Ask(*each, kKeyOfB, kPromptOfB, "of-b-" + each->Name()) !=
        200) {
      aCluster.record.Print("a later request was not served");
      return kCouldNotRun;
    }
  }
  const int shared = CountShared(aCluster, from, HasTrouble());
  if (shared > 0) {
    aCluster.record.Print("WALL broken: " + std::to_string(shared) +
                          " uses of another tenant's KV cache");
  }
  return shared > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 3) {
    return kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  auto* cluster = new Cluster(record, argv[2], { "front-1", "front-2" }, 2);
  const int result = RunCase(*cluster);
  cluster->Stop();
  record.Print("result " + std::to_string(result));
  std::_Exit(result);
}
