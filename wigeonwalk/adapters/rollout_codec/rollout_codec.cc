#include "wigeonwalk/adapters/rollout_codec/rollout_codec.h"

#include <nlohmann/json.hpp>

namespace wigeonwalk {

using nlohmann::json;

std::string
JsonRolloutCodec::EncodeState(const RolloutState& aState) const
{
  json runners = json::array();
  for (const RunnerProgress& row : aState.runners) {
    runners.push_back({ { "runner", row.runner.Text() },
                        { "phase", NameOf(row.phase) },
                        { "failures", row.failures } });
  }
  const json value{ { "documentRevision", aState.documentRevision },
                    { "model", aState.model.Text() },
                    { "from", aState.from.Text() },
                    { "to", aState.to.Text() },
                    { "minimumServing", aState.minimumServing },
                    { "stage", NameOf(aState.stage) },
                    { "runners", std::move(runners) },
                    { "writtenBy", aState.writtenBy },
                    { "writeNumber", aState.writeNumber } };
  return value.dump();
}

std::optional<RolloutState>
JsonRolloutCodec::DecodeState(const std::string& aText) const
{
  try {
    const json value = json::parse(aText);
    RolloutState state;
    value.at("documentRevision").get_to(state.documentRevision);
    state.model = ModelName(value.at("model").get<std::string>());
    state.from = WeightVersion(value.at("from").get<std::string>());
    state.to = WeightVersion(value.at("to").get<std::string>());
    value.at("minimumServing").get_to(state.minimumServing);
    value.at("writtenBy").get_to(state.writtenBy);
    value.at("writeNumber").get_to(state.writeNumber);
    const auto stage =
      ParseName<RolloutStage>(value.at("stage").get<std::string>());
    if (!stage) {
      return std::nullopt;
    }
    state.stage = *stage;
    for (const json& row : value.at("runners")) {
      const auto phase =
        ParseName<RunnerPhase>(row.at("phase").get<std::string>());
      if (!phase) {
        return std::nullopt;
      }
      state.runners.push_back({ UpstreamId(row.at("runner").get<std::string>()),
                                *phase,
                                row.at("failures").get<std::uint32_t>() });
    }
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string
JsonRolloutCodec::EncodeIntent(const OrderIntent& aIntent) const
{
  const json value{ { "runner", aIntent.runner.Text() },
                    { "fencingNumber", aIntent.fencingNumber },
                    { "number", aIntent.number },
                    { "expiresAt",
                      aIntent.expiresAt.time_since_epoch().count() } };
  return value.dump();
}

std::optional<OrderIntent>
JsonRolloutCodec::DecodeIntent(const std::string& aText) const
{
  try {
    const json value = json::parse(aText);
    OrderIntent intent;
    intent.runner = UpstreamId(value.at("runner").get<std::string>());
    value.at("fencingNumber").get_to(intent.fencingNumber);
    value.at("number").get_to(intent.number);
    intent.expiresAt =
      TimePoint(Duration(value.at("expiresAt").get<std::int64_t>()));
    return intent;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace wigeonwalk
