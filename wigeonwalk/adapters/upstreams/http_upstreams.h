// The engines, store hosts and plain services behind a daemon, over one pool of
// HTTP connections.
//
//   HttpUpstreams upstreams(pool);
//   auto stream = co_await upstreams.EngineOf(runner).Open(...);
#pragma once

#include "wigeonwalk/adapters/engine/http_engine.h"
#include "wigeonwalk/adapters/http/http_client.h"
#include "wigeonwalk/adapters/store/http_store.h"
#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/ports/host_list.h"

#include <string>
#include <unordered_map>

namespace wigeonwalk {

// A plain service at one address. Every call that may not be repeated takes a
// fresh connection.
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

// Makes engines and services on first use and keeps them by address.
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
