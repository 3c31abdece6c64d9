// The callers' protocol: OpenAI-compatible completions, plain-service calls and
// JSON errors.
//
//   auto body = DecodeCompletionBody(text, CompletionForm::Chat, reason);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/failure_reason.h"
#include "wigeonwalk/ports/front_end.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonwalk {

// Deepest nesting of a caller's JSON. Deeper bodies are refused.
inline constexpr int kMaxJsonDepth = 32;

// Largest max_tokens of a request.
inline constexpr std::uint32_t kMaxCompletionTokens = 1'000'000;

// Header of each response that carries the verdict.
inline constexpr std::string_view kVerdictHeader = "X-Wigeonwalk-Verdict";

// The two forms of the completions protocol.
enum class CompletionForm
{
  Text,
  Chat,
};

template<>
struct EnumNames<CompletionForm>
{
  static constexpr std::array<EnumName<CompletionForm>, 2> kTable{ {
    { CompletionForm::Text, "text_completion" },
    { CompletionForm::Chat, "chat.completion" },
  } };
};
static_assert(HasCompleteTable<CompletionForm>());

// What a completion's body asks for.
struct CompletionBody
{
  ServiceName service;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  double temperature = 1.0;
  std::optional<std::int64_t> seed;
  bool stream = false;
};

// Returns the checked body, or nothing with the field that is at fault.
std::optional<CompletionBody>
DecodeCompletionBody(std::string_view aText,
                     CompletionForm aForm,
                     FailureReason& aReason);

// Data of one streamed event, and the whole body of an unstreamed answer.
std::string
EncodeStreamedToken(const RequestId& aRequest,
                    const ServiceName& aService,
                    CompletionForm aForm,
                    std::string_view aText);
std::string
EncodeStreamedEnd(const RequestId& aRequest,
                  const ServiceName& aService,
                  CompletionForm aForm,
                  const AnswerSummary& aSummary);
std::string
EncodeWholeAnswer(const RequestId& aRequest,
                  const ServiceName& aService,
                  CompletionForm aForm,
                  std::string_view aText,
                  const AnswerSummary& aSummary);

// JSON error object with message, code, parameter and verdict.
std::string
EncodeError(const Refusal& aRefusal);

// HTTP status of a refusal.
unsigned
StatusOf(ReasonCode aCode);

// Returns the text or number at a JSON pointer into a body, or nothing.
std::optional<std::string>
ReadBodyField(std::string_view aBody, const std::string& aPointer);

// SHA-256 digest of an API key, in hexadecimal.
std::string
DigestKey(std::string_view aKey);

} // namespace wigeonwalk
