// Exports the KV cache of answered prompts to store hosts in background tasks,
// so that later requests with the same prefix can restore it.
//
//   exporter.Start(co_await boost::asio::this_coro::executor, caller, runner,
//                  chain);
#pragma once

#include "wigeonwalk/cache/return_model.h"
#include "wigeonwalk/serving/admission.h"
#include "wigeonwalk/serving/cache_mover.h"
#include "wigeonwalk/serving/engine_provider.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>
#include <vector>

namespace wigeonwalk {

// Starts a background export after each answer. The references must outlive the
// exports.
template<typename Mover, EngineProvider Engines>
class CacheExporter
{
public:
  // A prompt is exported according to the chance that it returns within this
  // time.
  static constexpr Duration kReturnHorizon = std::chrono::hours(24);

  CacheExporter(Mover& aMover, Engines& aEngines, const ReturnModel& aReturns)
    : mover(aMover)
    , engines(aEngines)
    , returns(aReturns)
  {
  }

  // Exports the chain in the background. The export continues after the caller
  // has disconnected.
  void Start(boost::asio::any_io_executor aExecutor,
             AdmittedCaller aCaller,
             RunnerSpec aRunner,
             std::vector<PieceKey> aChain)
  {
    if (aChain.empty() || aCaller.accepted->document.stores.empty()) {
      return;
    }
    boost::asio::co_spawn(aExecutor,
                          this->ExportChain(std::move(aCaller),
                                            std::move(aRunner),
                                            std::move(aChain)),
                          boost::asio::detached);
  }

private:
  // Takes the caller by value, which keeps the service document alive.
  Task<void> ExportChain(AdmittedCaller aCaller,
                         RunnerSpec aRunner,
                         std::vector<PieceKey> aChain)
  {
    const ServiceDocument& document = aCaller.accepted->document;
    const OrganisationId& organisation = aCaller.organisation->id;
    const double chance = this->returns.ChanceWithin(
      document.name, organisation, Duration(0), kReturnHorizon);
    auto& engine = this->engines.EngineOf(aRunner);
    co_await this->mover.Export(document, organisation, aChain, chance, engine);
  }

  Mover& mover;
  Engines& engines;
  const ReturnModel& returns;
};

} // namespace wigeonwalk
