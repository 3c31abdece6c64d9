// Keeps the cache of answered prompts for their return, in tasks of its own.
//
//   keeper.Start(co_await boost::asio::this_coro::executor, caller, runner,
//                chain);
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

// Starts exports after answers. The references must outlive the tasks.
template<typename Mover, EngineProvider Engines>
class CacheKeeper
{
public:
  // A prompt is kept for the chance of its return within this time.
  static constexpr Duration kHorizon = std::chrono::hours(24);

  CacheKeeper(Mover& aMover, Engines& aEngines, const ReturnModel& aReturns)
    : mover(aMover)
    , engines(aEngines)
    , returns(aReturns)
  {
  }

  // Exports the chain in the background; it outlives the caller's connection.
  void Start(boost::asio::any_io_executor aExecutor,
             AdmittedCaller aCaller,
             RunnerSpec aRunner,
             std::vector<PieceKey> aChain)
  {
    if (aChain.empty() || aCaller.accepted->document.stores.empty()) {
      return;
    }
    boost::asio::co_spawn(
      aExecutor,
      this->Keep(std::move(aCaller), std::move(aRunner), std::move(aChain)),
      boost::asio::detached);
  }

private:
  // Holds the document by the caller.
  Task<void> Keep(AdmittedCaller aCaller,
                  RunnerSpec aRunner,
                  std::vector<PieceKey> aChain)
  {
    const ServiceDocument& document = aCaller.accepted->document;
    const OrganisationId& organisation = aCaller.organisation->id;
    const double chance = this->returns.ChanceWithin(
      document.name, organisation, Duration(0), kHorizon);
    auto& engine = this->engines.EngineOf(aRunner);
    co_await this->mover.Export(document, organisation, aChain, chance, engine);
  }

  Mover& mover;
  Engines& engines;
  const ReturnModel& returns;
};

} // namespace wigeonwalk
