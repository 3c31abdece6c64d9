#include "wigeonwalk/adapters/openai/caller_session.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

HttpRequest
Request(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.headers.push_back({ "authorization", "Bearer secret" });
  request.body = std::move(aBody);
  return request;
}

std::string
Nested(int aDepth)
{
  return R"({"model":"a","prompt":)" + std::string(aDepth, '[') +
         std::string(aDepth, ']') + "}";
}

// A body that must be rejected, and the field that the reason must name.
struct BadBody
{
  const char* description;
  std::string body;
  std::string place;
};

const std::vector<BadBody> kBadBodies{
  { "not JSON", "prompt=hello", "body" },
  { "empty", "", "body" },
  { "a list", "[1]", "body" },
  { "truncated", R"({"model":"a","prompt":"b")", "body" },
  { "nested deeply", Nested(64), "body" },
  { "nested very deeply", Nested(100'000), "body" },
  { "invalid UTF-8", "{\"model\":\"a\",\"prompt\":\"\xC3\x28\"}", "body" },
  { "no service", R"({"prompt":"b"})", "model" },
  { "service name of the wrong type", R"({"model":7,"prompt":"b"})", "model" },
  { "no prompt", R"({"model":"a"})", "prompt" },
  { "empty prompt", R"({"model":"a","prompt":""})", "prompt" },
  { "zero tokens",
    R"({"model":"a","prompt":"b","max_tokens":0})",
    "max_tokens" },
  { "negative tokens",
    R"({"model":"a","prompt":"b","max_tokens":-1})",
    "max_tokens" },
  { "too many tokens",
    R"({"model":"a","prompt":"b","max_tokens":99999999999})",
    "max_tokens" },
  { "temperature too high",
    R"({"model":"a","prompt":"b","temperature":3})",
    "temperature" },
  { "several choices", R"({"model":"a","prompt":"b","n":2})", "n" },
  { "unknown parameter", R"({"model":"a","prompt":"b","top_p":1})", "top_p" },
};

// A header that must be rejected, and the expected code.
struct BadHeader
{
  const char* description;
  HttpHeader header;
  ReasonCode code;
};

const std::vector<BadHeader> kBadHeaders{
  { "no bearer token",
    { "Authorization", "Basic x" },
    ReasonCode::Unauthorized },
  { "request id with a line break",
    { "X-Request-Id", "a\nb" },
    ReasonCode::InvalidArgument },
  { "request id too long",
    { "X-Request-Id", std::string(129, 'a') },
    ReasonCode::InvalidArgument },
  { "timeout that is not a number",
    { "X-Request-Timeout-Ms", "soon" },
    ReasonCode::InvalidArgument },
};

} // namespace

// Guards against an invalid request that is executed, or whose refusal does not
// name the invalid field.
SCENARIO("a caller's request is validated before it is executed", "[front-end]")
{
  FailureReason reason;
  const std::string validBody = R"({"model":"a","prompt":"b","stream":true})";
  GIVEN("a valid completion")
  {
    const auto request = DecodeCallerRequest(
      Request("/v1/completions", validBody), RequestId("x"), reason);
    THEN("it holds the service name, and a digest instead of the API key")
    {
      REQUIRE((request && request->completion));
      CHECK(request->completion->caller.service == ServiceName("a"));
      CHECK(request->completion->caller.keyDigest == DigestKey("secret"));
      CHECK(request->stream);
    }
  }
  GIVEN("each invalid body")
  {
    for (const BadBody& row : kBadBodies) {
      INFO(row.description);
      CHECK_FALSE(DecodeCallerRequest(
        Request("/v1/completions", row.body), RequestId("x"), reason));
      CHECK(StatusOf(reason.code) == 400);
      CHECK(reason.place == row.place);
    }
  }
  GIVEN("each invalid header")
  {
    for (const BadHeader& row : kBadHeaders) {
      HttpRequest request = Request("/v1/completions", validBody);
      request.headers.insert(request.headers.begin(), row.header);
      INFO(row.description);
      CHECK_FALSE(DecodeCallerRequest(request, RequestId("x"), reason));
      CHECK(reason.code == row.code);
      CHECK(reason.place == row.header.name);
    }
  }
  GIVEN("a call to a plain service with an idempotency key in its body")
  {
    const auto request = DecodeCallerRequest(
      Request("/v1/services/orders/reservations", R"({"order":{"id":17}})"),
      RequestId("x"),
      reason);
    THEN("the key can be read by its JSON pointer, and nothing else can")
    {
      REQUIRE((request && request->plain));
      CHECK(request->plain->path == "/reservations");
      CHECK(request->plain->keys.body("/order/id") == "17");
      CHECK_FALSE(request->plain->keys.body("/order"));
      CHECK_FALSE(request->plain->keys.body("no pointer"));
    }
  }
}

// Guards against input that crashes the parser. The seed is fixed.
TEST_CASE("no random corruption of a body crashes the front end", "[front-end]")
{
  constexpr std::uint64_t kSeed = 20261204;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  const std::string validBody =
    R"({"model":"a","messages":[{"role":"user","content":"b"}],"seed":7})";
  for (int round = 0; round < 3000; ++round) {
    std::string body = validBody.substr(0, random() % (validBody.size() + 1));
    for (std::uint64_t flips = random() % 4; flips > 0 && !body.empty();
         --flips) {
      body[random() % body.size()] = static_cast<char>(random());
    }
    FailureReason reason;
    const auto decoded = DecodeCallerRequest(
      Request("/v1/chat/completions", body), RequestId("x"), reason);
    CHECK((decoded || !reason.detail.empty()));
  }
}
