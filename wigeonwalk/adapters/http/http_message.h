// HTTP messages, independent of the HTTP library.
//
//   HttpRequest request{ .method = "POST", .target = "/v1/completions" };
//   request.headers.push_back({ "Content-Type", "application/json" });
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wigeonwalk {

// One header field. Names are case-insensitive.
struct HttpHeader
{
  std::string name;
  std::string value;
};

// Returns the value of the first field with the name, or an empty view if there
// is none.
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

// A request with its complete body.
struct HttpRequest
{
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  bool keepAlive = true;
};

// Method whose response has no body, whatever the fields of its header say.
inline constexpr std::string_view kHeadMethod = "HEAD";

// A response with its complete body.
struct HttpResponse
{
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

} // namespace wigeonwalk
