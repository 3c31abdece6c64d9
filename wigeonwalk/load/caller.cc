#include "wigeonwalk/load/caller.h"

#include "wigeonwalk/standins/engine_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr std::string_view kDataPrefix = "data: ";

// Most attempts of one call, over all entries.
constexpr std::uint32_t kMaxAttempts = 8;

std::string
ExpectedText(const CompletionCall& aCall)
{
  EngineRequest request;
  request.prompt = aCall.prompt;
  request.seed = aCall.seed;
  request.version = WeightVersion(aCall.version);
  std::string text;
  for (std::uint32_t i = 0; i < aCall.maxTokens; ++i) {
    text += EngineModel::TokenText(request, i);
  }
  return text;
}

std::string
CompletionBody(const CompletionCall& aCall)
{
  return Json{
    { "model", aCall.service },
    { "prompt", aCall.prompt },
    { "max_tokens", aCall.maxTokens },
    { "seed", aCall.seed },
    { "stream", true }
  }.dump();
}

// Parses one stream of server-sent events and measures its token times.
class StreamReader
{
public:
  // Parses received bytes. Returns true once the last event has arrived.
  bool Consume(std::string_view aBytes, TimePoint aNow)
  {
    this->buffer += aBytes;
    std::size_t end = this->buffer.find("\n\n");
    while (end != std::string::npos) {
      this->ConsumeEvent(this->buffer.substr(0, end), aNow);
      this->buffer.erase(0, end + 2);
      end = this->buffer.find("\n\n");
    }
    return this->done;
  }

  std::string text;
  std::optional<TimePoint> firstToken;
  TimePoint lastToken;
  Duration longestGap{ 0 };
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::string error;
  bool done = false;

private:
  void ConsumeEvent(std::string aEvent, TimePoint aNow)
  {
    aEvent.erase(0, std::min(aEvent.size(), kDataPrefix.size()));
    if (aEvent == "[DONE]") {
      this->done = true;
      return;
    }
    const Json json = Json::parse(aEvent, nullptr, false);
    if (json.is_discarded() || json.contains("error")) {
      this->error = aEvent;
      return;
    }
    if (json.contains("usage")) {
      const Json& usage = json["usage"];
      this->promptTokens = usage["prompt_tokens"].get<std::uint32_t>();
      this->cachedTokens =
        usage["prompt_tokens_details"]["cached_tokens"].get<std::uint32_t>();
      return;
    }
    this->text += json["choices"][0]["text"].get<std::string>();
    if (!this->firstToken) {
      this->firstToken = aNow;
    } else {
      this->longestGap = std::max(this->longestGap, aNow - this->lastToken);
    }
    this->lastToken = aNow;
  }

  std::string buffer;
};

Verdict
VerdictOfResponse(const HttpResponse& aResponse)
{
  return ParseName<Verdict>(
           FindHeader(aResponse.headers, "X-Wigeonwalk-Verdict"))
    .value_or(Verdict::MayHaveRun);
}

} // namespace

Caller::Caller(SystemTimer& aTimer,
               boost::asio::any_io_executor aExecutor,
               std::vector<std::string> aEntries,
               std::string aKey,
               std::size_t aFirstEntry)
  : timer(aTimer)
  , executor(std::move(aExecutor))
  , entries(std::move(aEntries))
  , key(std::move(aKey))
  , next(aFirstEntry)
{
}

const std::string&
Caller::NextEntry()
{
  return this->entries[this->next++ % this->entries.size()];
}

HttpRequest
Caller::MakeRequest(std::string aTarget, std::string aBody) const
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  request.headers.push_back({ "Authorization", "Bearer " + this->key });
  request.headers.push_back({ "Content-Type", "application/json" });
  return request;
}

Task<CallResult>
Caller::Complete(CompletionCall aCall)
{
  CallResult result;
  const TimePoint start = this->timer.Now();
  const HttpRequest request =
    this->MakeRequest("/v1/completions", CompletionBody(aCall));
  for (std::uint32_t attempts = 0; attempts < kMaxAttempts; ++attempts) {
    const std::string entry = this->NextEntry();
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    FailureReason reason;
    auto connection = co_await HttpClientConnection::Connect(
      this->timer, this->executor, entry, deadline, reason);
    if (connection) {
      const bool sent = co_await connection->Send(request, deadline, reason);
      const bool finished =
        sent && co_await this->ReadStream(*connection, aCall, start, result);
      if (finished) {
        co_return result;
      }
    }
    ++result.moved;
    co_await this->timer.WaitUntil(this->timer.Now() + kRetryDelay);
  }
  co_return result;
}

Task<bool>
Caller::ReadStream(HttpClientConnection& aConnection,
                   const CompletionCall& aCall,
                   TimePoint aStart,
                   CallResult& aResult)
{
  FailureReason reason;
  const TimePoint deadline = this->timer.Now() + kCallTimeout;
  const auto head = co_await aConnection.ReadHead(deadline, reason);
  if (!head) {
    co_return false;
  }
  aResult.status = head->status;
  aResult.verdict = VerdictOfResponse(*head);
  if (head->status != 200) {
    co_return true;
  }
  StreamReader reader;
  while (true) {
    const auto bytes = co_await aConnection.ReadSome(deadline, reason);
    if (!bytes || (bytes->empty() && !reader.done && reader.error.empty())) {
      co_return false;
    }
    if (bytes->empty()) {
      break;
    }
    reader.Consume(*bytes, this->timer.Now());
  }
  const bool textMatches =
    aCall.version.empty() || reader.text == ExpectedText(aCall);
  aResult.correct = reader.done && reader.error.empty() && textMatches;
  aResult.firstToken = reader.firstToken.value_or(aStart) - aStart;
  aResult.longestGap = reader.longestGap;
  aResult.promptTokens = reader.promptTokens;
  aResult.cachedTokens = reader.cachedTokens;
  co_return true;
}

Task<CallResult>
Caller::Book(BookingCall aCall)
{
  CallResult result;
  // Whether an earlier attempt got no response and so may have run.
  bool unanswered = false;
  HttpRequest request = this->MakeRequest(
    "/v1/services/" + aCall.service + aCall.path, std::move(aCall.body));
  request.headers.push_back({ "Idempotency-Key", aCall.key });
  request.headers.push_back(
    { "Idempotency-Key-Time", std::to_string(aCall.keyCreatedAt) });
  for (std::uint32_t attempts = 0; attempts < kMaxAttempts; ++attempts) {
    const std::string entry = this->NextEntry();
    const TimePoint deadline = this->timer.Now() + kCallTimeout;
    FailureReason reason;
    auto connection = co_await HttpClientConnection::Connect(
      this->timer, this->executor, entry, deadline, reason);
    if (connection) {
      const bool sent = co_await connection->Send(request, deadline, reason);
      std::optional<HttpResponse> response;
      if (sent) {
        response = co_await connection->ReadResponse(deadline, reason);
      }
      if (response) {
        result.status = response->status;
        const Verdict verdict = VerdictOfResponse(*response);
        // A verdict of NotRun covers only the attempt that it answers.
        result.verdict = unanswered && verdict == Verdict::NotRun
                           ? Verdict::MayHaveRun
                           : verdict;
        result.correct = response->status == 200;
        co_return result;
      }
      unanswered = true;
      result.verdict = Verdict::MayHaveRun;
    }
    ++result.moved;
    co_await this->timer.WaitUntil(this->timer.Now() + kRetryDelay);
  }
  co_return result;
}

} // namespace wigeonwalk
