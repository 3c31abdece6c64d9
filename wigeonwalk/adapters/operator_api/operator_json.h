// The JSON of the operators' calls; docs/operator-api.md describes it.
//
//   auto edit = ParseApply(params, reason);
//   std::string result = PrintStatus(daemon.Status());
#pragma once

#include "wigeonwalk/adapters/operator_api/operator_reports.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// Parameters of documents.get; revision zero means the one in force.
struct GetParams
{
  ServiceName service;
  std::uint64_t revision = 0;
};

// Each Parse function returns the parameters of a call, or nothing and the path
// of the faulty field.
std::optional<GetParams>
ParseGet(const std::string& aJson, FailureReason& aReason);

std::optional<DocumentEdit>
ParseApply(const std::string& aJson, FailureReason& aReason);

// Returns the service; empty where it is absent and not required.
std::optional<ServiceName>
ParseService(const std::string& aJson, bool aRequired, FailureReason& aReason);

std::optional<RequestId>
ParseRequest(const std::string& aJson, bool aRequired, FailureReason& aReason);

// The timeout of drain.
struct DrainParams
{
  std::optional<Duration> timeout;
};

std::optional<DrainParams>
ParseDrain(const std::string& aJson, FailureReason& aReason);

std::string
PrintStatus(const StatusReport& aStatus);

std::string
PrintDocument(const DocumentCopy& aDocument);

// Returns the result of documents.apply, or nothing and the reason of a refused
// edit: the first error, with the others and the difference in its detail.
std::optional<std::string>
PrintEdit(const EditResult& aResult, FailureReason& aReason);

std::string
PrintHistory(const ServiceName& aService,
             const std::vector<EditRecord>& aHistory);

// Returns the result of documents.status of one daemon; an empty name means all
// services.
std::string
PrintDocumentStatus(const StatusReport& aStatus, const ServiceName& aService);

std::string
PrintEvents(const std::vector<StampedEvent>& aEvents, std::uint64_t aDropped);

std::string
PrintExplanation(const RequestId& aRequest,
                 const std::vector<std::string>& aLines);

std::string
PrintDrain(std::uint64_t aRequestsOpen);

} // namespace wigeonwalk
