// The protocol towards callers: OpenAI-compatible completions, calls to plain
// services, and JSON errors.
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

// Nesting limit of JSON from callers. Bodies nested more deeply are rejected.
inline constexpr int kMaxJsonDepth = 32;

// Largest accepted max_tokens of a request.
inline constexpr std::uint32_t kMaxCompletionTokens = 1'000'000;

// Response header that carries the verdict.
inline constexpr std::string_view kVerdictHeader = "X-Wigeonwalk-Verdict";

// The two forms of the completions API. The names are the "object" values of
// complete responses.
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

// The parameters in the body of a completion request.
struct CompletionBody
{
  ServiceName service;
  std::string prompt;
  std::uint32_t maxTokens = 16;
  double temperature = 1.0;
  std::optional<std::int64_t> seed;
  bool stream = false;
};

// Parses and validates a body. Returns nothing with the reason, which names the
// invalid field, if it is not valid.
std::optional<CompletionBody>
DecodeCompletionBody(std::string_view aText,
                     CompletionForm aForm,
                     FailureReason& aReason);

// Encode the data of one server-sent event of a streamed answer (a token, or
// the end with its usage), and the complete body of an answer that is not
// streamed.
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

// Returns a JSON error object with message, code, parameter and verdict.
std::string
EncodeError(const Refusal& aRefusal);

// Returns the HTTP status for a refusal with the code.
unsigned
StatusOf(ReasonCode aCode);

// Returns the string or number at a JSON pointer into a body, or nothing if
// there is none.
std::optional<std::string>
ReadBodyField(std::string_view aBody, const std::string& aPointer);

// Returns the SHA-256 digest of an API key in hexadecimal.
std::string
DigestKey(std::string_view aKey);

} // namespace wigeonwalk
