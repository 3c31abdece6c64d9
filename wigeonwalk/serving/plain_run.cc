#include "wigeonwalk/serving/plain_run.h"

namespace wigeonwalk {

const RouteSpec*
FindRoute(const ServiceDocument& aDocument, const PlainCall& aCall)
{
  const RouteSpec* best = nullptr;
  for (const RouteSpec& route : aDocument.routes) {
    const bool matches =
      route.method == aCall.method && aCall.path.rfind(route.path, 0) == 0;
    if (matches && (best == nullptr || route.path.size() > best->path.size())) {
      best = &route;
    }
  }
  return best;
}

std::string
FindKey(const RouteSpec& aRoute, const PlainCall& aCall)
{
  const auto& readKey =
    aRoute.keySource == KeySource::Header ? aCall.keys.header : aCall.keys.body;
  const std::string name =
    aRoute.keyName.empty() ? "Idempotency-Key" : aRoute.keyName;
  return readKey ? readKey(name).value_or(std::string()) : std::string();
}

} // namespace wigeonwalk
