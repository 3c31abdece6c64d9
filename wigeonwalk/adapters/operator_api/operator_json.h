// JSON encoding of the operator calls; docs/operator-api.md describes it.
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

// Parameters of documents.get; revision 0 means the one in force.
struct GetParams
{
  ServiceName service;
  std::uint64_t revision = 0;
};

// Each Parse function returns the parameters of a call. On failure, it returns
// nothing and sets the reason with the path of the invalid field.
std::optional<GetParams>
ParseGet(const std::string& aJson, FailureReason& aReason);

std::optional<DocumentEdit>
ParseApply(const std::string& aJson, FailureReason& aReason);

// Returns the service, which is empty if it is absent and not required.
std::optional<ServiceName>
ParseService(const std::string& aJson, bool aRequired, FailureReason& aReason);

std::optional<RequestId>
ParseRequest(const std::string& aJson, bool aRequired, FailureReason& aReason);

// Parameters of drain.
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

// Returns the result of documents.apply. For a refused edit, returns nothing
// and sets the reason to the first error, with the other errors and the
// difference in its detail.
std::optional<std::string>
PrintEdit(const EditResult& aResult, FailureReason& aReason);

std::string
PrintHistory(const ServiceName& aService,
             const std::vector<EditRecord>& aHistory);

// Returns the result of documents.status for one daemon; an empty name means
// all services.
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
