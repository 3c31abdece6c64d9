// Log of why recent requests were placed on their runners.
//
//   log.Put(request, placed.explanation);
//   for (const std::string& line : log.Find(request)) { ... }
#pragma once

#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Keeps the explanations of the latest requests. One thread only.
class ExplainLog
{
public:
  static constexpr std::size_t kMaxRequests = 1024;

  // Adds lines to a request's explanation.
  void Put(const RequestId& aRequest, std::vector<std::string> aLines)
  {
    auto [place, added] = this->lines.try_emplace(aRequest);
    if (added) {
      this->order.push_back(aRequest);
    }
    place->second.insert(place->second.end(), aLines.begin(), aLines.end());
    if (this->order.size() > kMaxRequests) {
      this->lines.erase(this->order.front());
      this->order.pop_front();
    }
  }

  std::vector<std::string> Find(const RequestId& aRequest) const
  {
    const auto found = this->lines.find(aRequest);
    return found == this->lines.end() ? std::vector<std::string>()
                                      : found->second;
  }

private:
  std::unordered_map<RequestId, std::vector<std::string>> lines;
  std::deque<RequestId> order;
};

} // namespace wigeonwalk
