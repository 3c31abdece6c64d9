// Clients of a daemon's upstreams (engines, store hosts and plain services)
// over one HTTP connection pool.
//
//   HttpUpstreams upstreams(pool);
//   auto stream = co_await upstreams.EngineOf(runner).Open(...);
#pragma once

#include "wigeonwalk/adapters/engine/http_engine.h"
#include "wigeonwalk/adapters/http/http_pool.h"
#include "wigeonwalk/adapters/store/http_store.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/host_list.h"

#include <string>
#include <unordered_map>

namespace wigeonwalk {

// Client of one plain service. A call that must not be executed twice uses a
// fresh connection. Not thread-safe. The pool must outlive it.
class HttpPlainService
{
public:
  HttpPlainService(HttpPool& aPool, std::string aAddress);

  Task<std::optional<PlainResponse>> Call(const PlainRequest& aRequest,
                                          TimePoint aDeadline,
                                          FailureReason& aReason);

private:
  HttpPool& pool;
  std::string address;
};

static_assert(PlainService<HttpPlainService>);

// Creates the clients on first use and caches them by address.
class HttpUpstreams
{
public:
  using Engine = HttpEngine;
  using Service = HttpPlainService;
  using Store = HttpStore;

  explicit HttpUpstreams(HttpPool& aPool);

  Engine& EngineOf(const RunnerSpec& aRunner);
  Service& ServiceOf(const RunnerSpec& aRunner);
  Store& StoreOf(const StoreSpec& aStore);

private:
  HttpPool& pool;
  std::unordered_map<std::string, Engine> engines;
  std::unordered_map<std::string, Service> services;
  std::unordered_map<std::string, Store> stores;
};

} // namespace wigeonwalk
