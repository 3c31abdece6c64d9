#include "wigeonwalk/adapters/openai/openai_codec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace wigeonwalk {

using Json = nlohmann::json;

namespace {

// OpenAI parameters that are accepted but have no effect.
constexpr std::array<std::string_view, 3> kIgnoredParameters{ "user",
                                                              "stream_options",
                                                              "metadata" };

// Parses a JSON object of limited nesting, so that no body can overflow the
// stack.
std::optional<Json>
ParseWithDepthLimit(std::string_view aText, FailureReason& aReason)
{
  int deepest = 0;
  const auto checkDepth = [&deepest](int aDepth, Json::parse_event_t, Json&) {
    deepest = std::max(deepest, aDepth);
    return aDepth <= kMaxJsonDepth;
  };
  try {
    Json json = Json::parse(aText, checkDepth);
    if (deepest > kMaxJsonDepth) {
      return Fail(aReason,
                  ReasonCode::InvalidArgument,
                  "JSON is nested too deeply",
                  "body");
    }
    if (!json.is_object()) {
      return Fail(
        aReason, ReasonCode::InvalidArgument, "expected a JSON object", "body");
    }
    return json;
  } catch (const Json::exception& error) {
    return Fail(aReason, ReasonCode::InvalidArgument, error.what(), "body");
  }
}

std::optional<std::string>
RenderMessages(const Json& aMessages, FailureReason& aReason)
{
  if (!aMessages.is_array() || aMessages.empty()) {
    return Fail(aReason,
                ReasonCode::InvalidArgument,
                "expected a list of messages",
                "messages");
  }
  std::string prompt;
  for (const Json& message : aMessages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string() || !message.contains("content") ||
        !message["content"].is_string()) {
      return Fail(aReason,
                  ReasonCode::InvalidArgument,
                  "each message needs role and content as text",
                  "messages");
    }
    prompt += message["role"].get<std::string>() + ": " +
              message["content"].get<std::string>() + '\n';
  }
  return prompt;
}

bool
ReadPrompt(const Json& aJson,
           CompletionForm aForm,
           CompletionBody& aBody,
           FailureReason& aReason)
{
  if (aForm == CompletionForm::Chat) {
    auto prompt = RenderMessages(aJson.value("messages", Json()), aReason);
    if (!prompt) {
      return false;
    }
    aBody.prompt = std::move(*prompt);
    return true;
  }
  const Json prompt = aJson.value("prompt", Json());
  if (!prompt.is_string() || prompt.get_ref<const std::string&>().empty()) {
    Fail(aReason, ReasonCode::InvalidArgument, "expected a text", "prompt");
    return false;
  }
  aBody.prompt = prompt.get<std::string>();
  return true;
}

// Stores one parameter in the body. Returns false if the parameter is unknown
// or its value is invalid.
bool
ReadParameter(const std::string& aName,
              const Json& aValue,
              CompletionBody& aBody)
{
  if (aName == "model" && aValue.is_string()) {
    aBody.service = ServiceName(aValue.get<std::string>());
    return !aBody.service.Empty();
  }
  if ((aName == "max_tokens" || aName == "max_completion_tokens") &&
      aValue.is_number_unsigned() && aValue.get<std::uint64_t>() > 0 &&
      aValue.get<std::uint64_t>() <= kMaxCompletionTokens) {
    aBody.maxTokens = aValue.get<std::uint32_t>();
    return true;
  }
  if (aName == "temperature" && aValue.is_number() &&
      aValue.get<double>() >= 0 && aValue.get<double>() <= 2) {
    aBody.temperature = aValue.get<double>();
    return true;
  }
  if (aName == "seed" && aValue.is_number_integer()) {
    aBody.seed = aValue.get<std::int64_t>();
    return true;
  }
  if (aName == "stream" && aValue.is_boolean()) {
    aBody.stream = aValue.get<bool>();
    return true;
  }
  return aName == "n" && aValue == 1;
}

Json
Choice(CompletionForm aForm, std::string_view aText, bool aIsComplete)
{
  Json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aForm == CompletionForm::Text) {
    choice["text"] = std::string(aText);
  } else if (aIsComplete) {
    choice["message"] = { { "role", "assistant" },
                          { "content", std::string(aText) } };
  } else {
    choice["delta"] = { { "content", std::string(aText) } };
  }
  return choice;
}

Json
Envelope(const RequestId& aRequest,
         const ServiceName& aService,
         std::string aObject,
         Json aChoice)
{
  return { { "id", aRequest.Text() },
           { "object", std::move(aObject) },
           { "model", aService.Text() },
           { "choices", Json::array({ std::move(aChoice) }) } };
}

Json
Usage(const AnswerSummary& aSummary)
{
  return {
    { "prompt_tokens", aSummary.promptTokens },
    { "completion_tokens", aSummary.completionTokens },
    { "total_tokens", aSummary.promptTokens + aSummary.completionTokens },
    { "prompt_tokens_details", { { "cached_tokens", aSummary.cachedTokens } } }
  };
}

std::string
ChunkObject(CompletionForm aForm)
{
  return aForm == CompletionForm::Chat ? "chat.completion.chunk"
                                       : "text_completion";
}

} // namespace

std::optional<CompletionBody>
DecodeCompletionBody(std::string_view aText,
                     CompletionForm aForm,
                     FailureReason& aReason)
{
  const auto json = ParseWithDepthLimit(aText, aReason);
  if (!json) {
    return std::nullopt;
  }
  const std::string_view promptName =
    aForm == CompletionForm::Chat ? "messages" : "prompt";
  CompletionBody body;
  for (const auto& [name, value] : json->items()) {
    const bool ignored =
      std::find(kIgnoredParameters.begin(), kIgnoredParameters.end(), name) !=
      kIgnoredParameters.end();
    if (ignored || name == promptName) {
      continue;
    }
    if (!ReadParameter(name, value, body)) {
      return Fail(aReason,
                  ReasonCode::InvalidArgument,
                  "unsupported parameter or value out of range",
                  name);
    }
  }
  if (body.service.Empty()) {
    return Fail(
      aReason, ReasonCode::InvalidArgument, "expected a service name", "model");
  }
  if (!ReadPrompt(*json, aForm, body, aReason)) {
    return std::nullopt;
  }
  return body;
}

std::string
EncodeStreamedToken(const RequestId& aRequest,
                    const ServiceName& aService,
                    CompletionForm aForm,
                    std::string_view aText)
{
  return Envelope(
           aRequest, aService, ChunkObject(aForm), Choice(aForm, aText, false))
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
EncodeStreamedEnd(const RequestId& aRequest,
                  const ServiceName& aService,
                  CompletionForm aForm,
                  const AnswerSummary& aSummary)
{
  Json choice = Choice(aForm, "", false);
  choice["finish_reason"] = aSummary.finishReason;
  Json json =
    Envelope(aRequest, aService, ChunkObject(aForm), std::move(choice));
  json["usage"] = Usage(aSummary);
  return json.dump();
}

std::string
EncodeWholeAnswer(const RequestId& aRequest,
                  const ServiceName& aService,
                  CompletionForm aForm,
                  std::string_view aText,
                  const AnswerSummary& aSummary)
{
  Json choice = Choice(aForm, aText, true);
  choice["finish_reason"] = aSummary.finishReason;
  Json json =
    Envelope(aRequest, aService, std::string(NameOf(aForm)), std::move(choice));
  json["usage"] = Usage(aSummary);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
EncodeError(const Refusal& aRefusal)
{
  Json error{ { "message", aRefusal.reason.detail },
              { "code", std::string(NameOf(aRefusal.reason.code)) },
              { "verdict", std::string(NameOf(aRefusal.verdict)) } };
  error["param"] =
    aRefusal.reason.place.empty() ? Json(nullptr) : Json(aRefusal.reason.place);
  return Json{ { "error", std::move(error) } }.dump(
    -1, ' ', false, Json::error_handler_t::replace);
}

unsigned
StatusOf(ReasonCode aCode)
{
  switch (aCode) {
    case ReasonCode::InvalidArgument:
    case ReasonCode::UnknownKey:
      return 400;
    case ReasonCode::Unauthorized:
      return 401;
    case ReasonCode::NotFound:
      return 404;
    case ReasonCode::Expired:
      return 408;
    case ReasonCode::Conflict:
    case ReasonCode::AlreadyExists:
      return 409;
    case ReasonCode::TooLarge:
      return 413;
    case ReasonCode::Poisoned:
      return 422;
    case ReasonCode::Overloaded:
      return 429;
    case ReasonCode::ResponseTimeout:
    case ReasonCode::SilentConnection:
      return 504;
    case ReasonCode::WriteFailedPartWay:
    case ReasonCode::ConnectionLostAfterWrite:
    case ReasonCode::StatusClientError:
    case ReasonCode::StatusServerError:
    case ReasonCode::MalformedResponse:
      return 502;
    default:
      return 503;
  }
}

std::optional<std::string>
ReadBodyField(std::string_view aBody, const std::string& aPointer)
{
  FailureReason ignored;
  const auto json = ParseWithDepthLimit(aBody, ignored);
  if (!json) {
    return std::nullopt;
  }
  try {
    const Json& field = json->at(Json::json_pointer(aPointer));
    if (field.is_string()) {
      return field.get<std::string>();
    }
    return field.is_number() ? std::optional<std::string>(field.dump())
                             : std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
DigestKey(std::string_view aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(
    aKey.data(), aKey.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += kDigits[digest[i] >> 4];
    hex += kDigits[digest[i] & 0x0F];
  }
  return hex;
}

} // namespace wigeonwalk
