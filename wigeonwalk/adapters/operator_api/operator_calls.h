// Registers the JSON-RPC methods that a daemon offers to operators.
//
//   OperatorServer server(executor);
//   RegisterOperatorCalls(server, daemon);
//   server.Listen(settings.operatorAddress, reason);
#pragma once

#include "wigeonwalk/adapters/jsonrpc/operator_server.h"
#include "wigeonwalk/adapters/operator_api/operator_json.h"
#include "wigeonwalk/adapters/operator_api/operator_reports.h"

#include <optional>
#include <string>
#include <utility>

namespace wigeonwalk {

namespace operator_internal {

using Result = std::optional<std::string>;

template<OperatedDaemon D>
void
RegisterDocumentCalls(OperatorServer& aServer, D& aDaemon)
{
  aServer.Register(
    "documents.get",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto get = ParseGet(aParams, aReason);
      if (!get) {
        co_return std::nullopt;
      }
      const auto copy = aDaemon.Document(get->service, get->revision, aReason);
      co_return copy ? Result(PrintDocument(*copy)) : std::nullopt;
    });
  aServer.Register(
    "documents.apply",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      auto edit = ParseApply(aParams, aReason);
      if (!edit) {
        co_return std::nullopt;
      }
      const EditResult result = co_await aDaemon.Apply(std::move(*edit));
      co_return PrintEdit(result, aReason);
    });
  aServer.Register(
    "documents.history",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto service = ParseService(aParams, true, aReason);
      if (!service) {
        co_return std::nullopt;
      }
      const auto history = co_await aDaemon.History(*service, aReason);
      co_return history ? Result(PrintHistory(*service, *history))
                        : std::nullopt;
    });
  aServer.Register(
    "documents.status",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto service = ParseService(aParams, false, aReason);
      co_return service
        ? Result(PrintDocumentStatus(aDaemon.Status(), *service))
        : std::nullopt;
    });
}

} // namespace operator_internal

// Adds all methods of docs/operator-api.md. The daemon must outlive the
// server's connections.
template<OperatedDaemon D>
void
RegisterOperatorCalls(OperatorServer& aServer, D& aDaemon)
{
  using operator_internal::Result;
  operator_internal::RegisterDocumentCalls(aServer, aDaemon);
  aServer.Register("status",
                   [&aDaemon](std::string, FailureReason&) -> Task<Result> {
                     co_return PrintStatus(aDaemon.Status());
                   });
  aServer.Register(
    "timeline",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto request = ParseRequest(aParams, false, aReason);
      co_return request
        ? Result(PrintEvents(aDaemon.Events(*request), aDaemon.DroppedEvents()))
        : std::nullopt;
    });
  aServer.Register(
    "explain",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto request = ParseRequest(aParams, true, aReason);
      if (!request) {
        co_return std::nullopt;
      }
      const auto lines = aDaemon.Explain(*request);
      if (lines.empty()) {
        co_return Fail(aReason,
                       ReasonCode::NotFound,
                       "this daemon did not place the request, or no longer "
                       "keeps its placement",
                       "/params/request");
      }
      co_return PrintExplanation(*request, lines);
    });
  aServer.Register(
    "drain",
    [&aDaemon](std::string aParams, FailureReason& aReason) -> Task<Result> {
      const auto drain = ParseDrain(aParams, aReason);
      co_return drain ? Result(PrintDrain(aDaemon.Drain(drain->timeout)))
                      : std::nullopt;
    });
}

} // namespace wigeonwalk
