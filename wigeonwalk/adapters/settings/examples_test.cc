#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

// An example deployment, as the design page describes it.
struct Deployment
{
  const char* folder;
  std::vector<std::string> zones;
  // A service with its number of runners, its kind and its placement goal.
  struct Service
  {
    const char* name;
    std::size_t runners;
    ServiceKind kind;
    PlacementGoal placementGoal;
  };
  std::vector<Service> services;
};

const std::vector<Deployment> kDeployments{
  { "reparto",
    { "Concepción", "Talcahuano", "Chiguayante", "Coronel" },
    { { "route-assistant",
        18,
        ServiceKind::Engine,
        PlacementGoal::TimeToFirstToken },
      { "order", 4, ServiceKind::Engine, PlacementGoal::TimeToFirstToken },
      { "pickup-confirmation",
        2,
        ServiceKind::Plain,
        PlacementGoal::TimeToFirstToken } } },
  { "schleierpfad",
    { "Isar", "Lech", "Donau", "Inn" },
    { { "pattern-advice",
        9,
        ServiceKind::Engine,
        PlacementGoal::ShareRecomputed },
      { "workshop-order",
        4,
        ServiceKind::Engine,
        PlacementGoal::ShareRecomputed },
      { "fabric-reservation",
        2,
        ServiceKind::Plain,
        PlacementGoal::TimeToFirstToken } } },
};

constexpr const char* kRoot = WIGEONWALK_SOURCE_DIR "/";

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
PrintReasons(const std::vector<FailureReason>& aReasons)
{
  std::string text;
  for (const auto& reason : aReasons) {
    text += reason.ToString() + "\n";
  }
  return text;
}

void
CheckService(const Deployment::Service& aExpected,
             const Deployment& aDeployment,
             const ServiceDocument& aDocument)
{
  CHECK(aDocument.name.Text() == aExpected.name);
  CHECK(aDocument.kind == aExpected.kind);
  CHECK(aDocument.placementGoal == aExpected.placementGoal);
  CHECK(aDocument.runners.size() == aExpected.runners);
  std::vector<std::string> zones;
  for (const auto& zone : aDocument.zones) {
    zones.push_back(zone.Text());
  }
  CHECK(zones == aDeployment.zones);
  CHECK(aDocument.stores.empty() == (aExpected.kind == ServiceKind::Plain));
  CHECK(aDocument.organisations.size() == 10);
  const auto large = std::count_if(
    aDocument.organisations.begin(),
    aDocument.organisations.end(),
    [](const OrganisationSpec& aSpec) { return aSpec.weight > 1; });
  CHECK(large == 3);
  const bool hasNonIdempotentRoute =
    std::any_of(aDocument.routes.begin(),
                aDocument.routes.end(),
                [](const auto& aRoute) { return !aRoute.idempotent; });
  // Exactly the services that book or reserve have a non-idempotent route.
  CHECK(hasNonIdempotentRoute == (aExpected.runners <= 4));
}

} // namespace

// Guards against examples that users copy and daemons reject, and against
// examples that differ from the deployments on the design page.
SCENARIO("the examples describe both deployments", "[settings][examples]")
{
  for (const auto& deployment : kDeployments) {
    DYNAMIC_SECTION(deployment.folder)
    {
      const auto folder =
        std::filesystem::path(kRoot) / "examples" / deployment.folder;
      std::set<std::string> documents;
      std::multiset<std::string> addresses;
      for (const auto& service : deployment.services) {
        const auto file = folder / (std::string(service.name) + ".json");
        documents.insert(file.filename());
        std::vector<FailureReason> reasons;
        const auto document = ParseServiceDocument(ReadText(file), reasons);
        INFO(file << "\n" << PrintReasons(reasons));
        REQUIRE(document.has_value());
        CheckService(service, deployment, *document);
        for (const auto& runner : document->runners) {
          addresses.insert(runner.address);
        }
        for (const auto& store : document->stores) {
          addresses.insert(store.address);
        }
      }
      std::size_t daemons = 0;
      std::set<std::string> zones;
      for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        const auto& path = entry.path();
        if (path.extension() != ".json" ||
            documents.contains(path.filename())) {
          continue;
        }
        std::vector<FailureReason> reasons;
        const auto settings = ParseDaemonSettings(ReadText(path), reasons);
        INFO(path << "\n" << PrintReasons(reasons));
        REQUIRE(settings.has_value());
        ++daemons;
        zones.insert(settings->zone.Text());
        CHECK(path.stem() == settings->host.Text());
        CHECK(settings->peers.size() == 5);
        CHECK(settings->documentFiles.size() == deployment.services.size());
        for (const auto& file : settings->documentFiles) {
          CHECK(std::filesystem::exists(kRoot + file));
        }
        CHECK(std::filesystem::exists(kRoot + settings->clusterKeyFile));
        addresses.insert({ settings->entryAddress,
                           settings->operatorAddress,
                           settings->peerAddress });
      }
      CHECK(daemons == 6);
      CHECK(zones.size() == 4);
      for (const auto& address : addresses) {
        INFO(address);
        CHECK(address.starts_with("127.0.0.1:"));
        CHECK(addresses.count(address) == 1);
      }
    }
  }
}
