// Concepts for looking up the clients of upstreams, and service documents.
//
//   auto& engine = provider.EngineOf(runner);
#pragma once

#include "wigeonwalk/documents/freshness.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/host_list.h"
#include "wigeonwalk/ports/model_engine.h"
#include "wigeonwalk/ports/store_host.h"

#include <concepts>
#include <memory>
#include <vector>

namespace wigeonwalk {

// Returns the client of a runner's engine.
template<typename T>
concept EngineProvider = requires(T& aProvider, const RunnerSpec& aRunner)
{
  {
    aProvider.EngineOf(aRunner)
    } -> std::same_as<typename T::Engine&>;
}
&&StreamingEngine<typename T::Engine>&& ObservableEngine<typename T::Engine>&&
  CacheTransferEngine<typename T::Engine>;

// Returns the client of an upstream of a plain service.
template<typename T>
concept ServiceProvider = requires(T& aProvider, const RunnerSpec& aUpstream)
{
  {
    aProvider.ServiceOf(aUpstream)
    } -> std::same_as<typename T::Service&>;
}
&&PlainService<typename T::Service>;

// Finds the documents in force, and tells whether they are fresh enough to
// serve.
template<typename T>
concept DocumentSource = requires(const T& aSource, const ServiceName& aService)
{
  {
    aSource.Find(aService)
    } -> std::same_as<std::shared_ptr<const AcceptedDocument>>;
  {
    aSource.CurrentFreshness()
    } -> std::same_as<Freshness>;
};

} // namespace wigeonwalk
