#include "wigeonwalk/adapters/limits/limit_msgpack.h"

#include "wigeonwalk/adapters/msgpack/msgpack.h"

#include <cmath>
#include <stdexcept>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

Json
AmountsToJson(const LimitAmounts& aAmounts)
{
  return Json(aAmounts.values);
}

LimitAmounts
AmountsFromJson(const Json& aJson)
{
  LimitAmounts amounts;
  for (std::size_t i = 0; i < amounts.values.size(); ++i) {
    amounts.values[i] = aJson.at(i).get<double>();
    if (std::isnan(amounts.values[i]) || amounts.values[i] < 0) {
      throw std::out_of_range("amount is negative or not a number");
    }
  }
  return amounts;
}

LimitKey
KeyFromJson(const Json& aOrganisation, const Json& aService)
{
  return { OrganisationId(aOrganisation.get<std::string>()),
           ServiceName(aService.get<std::string>()) };
}

} // namespace

std::string
LimitMsgpack::EncodeReport(const DemandReport& aReport) const
{
  return PackMessage(Json::array({ aReport.key.organisation.Text(),
                                   aReport.key.service.Text(),
                                   aReport.host.Text(),
                                   AmountsToJson(aReport.demand),
                                   AmountsToJson(aReport.held) }));
}

std::optional<DemandReport>
LimitMsgpack::DecodeReport(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return DemandReport{ KeyFromJson(aJson.at(0), aJson.at(1)),
                         HostId(aJson.at(2).get<std::string>()),
                         AmountsFromJson(aJson.at(3)),
                         AmountsFromJson(aJson.at(4)) };
  });
}

std::string
LimitMsgpack::EncodeAllotment(const Allotment& aAllotment) const
{
  return PackMessage(Json::array({ aAllotment.key.organisation.Text(),
                                   aAllotment.key.service.Text(),
                                   AmountsToJson(aAllotment.amounts),
                                   aAllotment.validFor.count() }));
}

std::optional<Allotment>
LimitMsgpack::DecodeAllotment(const std::string& aPayload) const
{
  return UnpackMessage(aPayload, [](const Json& aJson) {
    return Allotment{ KeyFromJson(aJson.at(0), aJson.at(1)),
                      AmountsFromJson(aJson.at(2)),
                      Duration(aJson.at(3).get<std::int64_t>()) };
  });
}

} // namespace wigeonwalk
