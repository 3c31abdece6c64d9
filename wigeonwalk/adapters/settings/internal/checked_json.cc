#include "wigeonwalk/adapters/settings/internal/checked_json.h"

#include "wigeonwalk/adapters/settings/internal/formats.h"
#include "wigeonwalk/adapters/settings/internal/nearest_name.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace wigeonwalk::settings_internal {

namespace {

// Maximum length of input text that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 64;

std::string
Quote(std::string_view aText)
{
  if (aText.size() <= kMaxQuotedBytes) {
    return "'" + std::string(aText) + "'";
  }
  std::size_t end = kMaxQuotedBytes;
  // Does not cut within a UTF-8 sequence.
  while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xC0) == 0x80) {
    --end;
  }
  return "'" + std::string(aText.substr(0, end)) + "...'";
}

// Returns a key as an escaped reference token of a JSON pointer (RFC 6901).
std::string
PointerToken(std::string_view aKey)
{
  std::string token = "/";
  for (const char c : aKey.substr(0, kMaxQuotedBytes)) {
    if (c == '~') {
      token += "~0";
    } else if (c == '/') {
      token += "~1";
    } else {
      token += c;
    }
  }
  return token;
}

// Returns the maximum nesting depth of brackets outside strings. Runs before
// the parser, so that no input makes the parser build a deep tree.
std::size_t
NestingDepth(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char c = aText[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

// Reports keys that occur twice in an object; the parser would silently keep
// the last value.
class DuplicateKeys
{
public:
  explicit DuplicateKeys(std::vector<FailureReason>& aReasons)
    : reasons(aReasons)
  {
  }

  bool operator()(int, Json::parse_event_t aEvent, Json& aValue)
  {
    if (aEvent == Json::parse_event_t::object_start) {
      this->open.emplace_back();
    } else if (aEvent == Json::parse_event_t::object_end) {
      this->open.pop_back();
    } else if (aEvent == Json::parse_event_t::key) {
      const auto& key = aValue.get_ref<const std::string&>();
      if (!this->open.back().insert(key).second) {
        AddReason(this->reasons,
                  ReasonCode::InvalidArgument,
                  "key " + Quote(key) + " occurs twice in one object",
                  {});
      }
    }
    return true;
  }

private:
  std::vector<FailureReason>& reasons;
  std::vector<std::set<std::string>> open;
};

std::optional<Json>
ParseText(std::string_view aText, std::vector<FailureReason>& aReasons)
{
  if (aText.size() > kMaxFileBytes) {
    AddReason(aReasons,
              ReasonCode::TooLarge,
              std::to_string(aText.size()) + " bytes; at most " +
                std::to_string(kMaxFileBytes),
              {});
    return std::nullopt;
  }
  if (NestingDepth(aText) > kMaxDepth) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "nested deeper than " + std::to_string(kMaxDepth) + " levels",
              {});
    return std::nullopt;
  }
  const std::size_t before = aReasons.size();
  try {
    DuplicateKeys duplicates(aReasons);
    Json json = Json::parse(
      aText,
      [&duplicates](int aDepth, Json::parse_event_t aEvent, Json& aValue) {
        return duplicates(aDepth, aEvent, aValue);
      });
    return aReasons.size() == before ? std::optional(std::move(json))
                                     : std::nullopt;
  } catch (const Json::parse_error& error) {
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              "not valid JSON in UTF-8",
              "byte " + std::to_string(error.byte));
  } catch (const Json::exception&) {
    AddReason(
      aReasons, ReasonCode::InvalidArgument, "a number is out of range", {});
  }
  return std::nullopt;
}

// Checks what valijson reports without the key or does not check: unknown keys,
// string formats and ranges of durations.
class FormatValidator
{
public:
  explicit FormatValidator(std::vector<FailureReason>& aReasons)
    : reasons(aReasons)
  {
  }

  void Check(const Json& aSchema, const Json& aValue, const std::string& aPlace)
  {
    if (aValue.is_object() && aSchema.contains("properties")) {
      this->CheckObject(aSchema["properties"], aValue, aPlace);
    } else if (aValue.is_array() && aSchema.contains("items")) {
      for (std::size_t i = 0; i < aValue.size(); ++i) {
        this->Check(
          aSchema["items"], aValue[i], aPlace + "/" + std::to_string(i));
      }
    } else if (aValue.is_string() && aSchema.contains("format")) {
      this->CheckText(aSchema, aValue.get_ref<const std::string&>(), aPlace);
    }
  }

private:
  void CheckObject(const Json& aProperties,
                   const Json& aValue,
                   const std::string& aPlace)
  {
    for (const auto& [key, member] : aValue.items()) {
      const auto property = aProperties.find(key);
      if (property != aProperties.end()) {
        this->Check(*property, member, aPlace + PointerToken(key));
        continue;
      }
      std::vector<std::string> known;
      for (const auto& item : aProperties.items()) {
        known.push_back(item.key());
      }
      const auto nearest = NearestName(key, known);
      AddReason(this->reasons,
                ReasonCode::UnknownKey,
                nearest ? "unknown key; did you mean '" + *nearest + "'?"
                        : "unknown key",
                aPlace + PointerToken(key));
    }
  }

  void CheckText(const Json& aSchema,
                 const std::string& aText,
                 const std::string& aPlace)
  {
    const auto format =
      ParseName<TextFormat>(aSchema["format"].get_ref<const std::string&>());
    const auto fault = CheckFormat(*format, aText);
    if (fault) {
      AddReason(this->reasons,
                ReasonCode::InvalidArgument,
                *fault + ", got " + Quote(aText),
                aPlace);
    } else if (*format == TextFormat::Duration) {
      this->CheckRange(aSchema, *ParseDuration(aText), aPlace);
    }
  }

  void CheckRange(const Json& aSchema,
                  Duration aDuration,
                  const std::string& aPlace)
  {
    const auto& lowest = aSchema["x-minimum"].get_ref<const std::string&>();
    const auto& highest = aSchema["x-maximum"].get_ref<const std::string&>();
    if (aDuration < *ParseDuration(lowest) ||
        aDuration > *ParseDuration(highest)) {
      AddReason(this->reasons,
                ReasonCode::InvalidArgument,
                "expected " + lowest + " to " + highest + ", got " +
                  PrintDuration(aDuration),
                aPlace);
    }
  }

  std::vector<FailureReason>& reasons;
};

// Converts a context of valijson such as "<root>", "[runners]", "[2]" to the
// JSON pointer "/runners/2".
std::string
PointerOf(const std::vector<std::string>& aContext)
{
  std::string pointer;
  for (const auto& part : aContext) {
    if (part.size() >= 2 && part.front() == '[' && part.back() == ']') {
      pointer +=
        PointerToken(std::string_view(part).substr(1, part.size() - 2));
    }
  }
  return pointer;
}

// Returns true for errors that only repeat an error of a nested value, or that
// FormatValidator reports with the key and the nearest name.
bool
IsRedundant(std::string_view aDescription)
{
  constexpr std::array<std::string_view, 3> kRedundantPrefixes{
    "Failed to validate against schema associated with property name",
    "Failed to validate item #",
    "Object contains a property that could not be validated",
  };
  return std::any_of(kRedundantPrefixes.begin(),
                     kRedundantPrefixes.end(),
                     [&](std::string_view aPrefix) {
                       return aDescription.starts_with(aPrefix);
                     });
}

// Describes the value that the schema expects at a place, for error messages.
std::string
DescribeExpectation(const Json& aSchema,
                    const std::vector<std::string>& aContext)
{
  const Json* node = &aSchema;
  for (const auto& part : aContext) {
    const std::string key =
      part.size() >= 2 ? part.substr(1, part.size() - 2) : "";
    if (node->contains("properties") && (*node)["properties"].contains(key)) {
      node = &(*node)["properties"][key];
    } else if (node->contains("items")) {
      node = &(*node)["items"];
    }
  }
  if (node->contains("enum")) {
    return "expected one of " + (*node)["enum"].dump();
  }
  return "expected " + node->value("type", "value");
}

void
CheckSchema(const Json& aSchema,
            const Json& aValue,
            std::vector<FailureReason>& aReasons)
{
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(aSchema),
                        schema);
  valijson::ValidationResults results;
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  validator.validate(
    schema, valijson::adapters::NlohmannJsonAdapter(aValue), &results);
  for (const auto& error : results) {
    if (IsRedundant(error.description)) {
      continue;
    }
    const bool vague = error.description.starts_with("Value type") ||
                       error.description.starts_with("Failed to match");
    AddReason(aReasons,
              ReasonCode::InvalidArgument,
              vague ? DescribeExpectation(aSchema, error.context)
                    : error.description,
              PointerOf(error.context));
  }
}

} // namespace

void
AddReason(std::vector<FailureReason>& aReasons,
          ReasonCode aCode,
          std::string aDetail,
          std::string aPlace)
{
  aReasons.push_back({ aCode, std::move(aDetail), std::move(aPlace) });
}

void
LimitReasons(std::vector<FailureReason>& aReasons)
{
  if (aReasons.size() <= kMaxReasons) {
    return;
  }
  const std::size_t more = aReasons.size() - kMaxReasons;
  aReasons.resize(kMaxReasons);
  AddReason(aReasons,
            ReasonCode::InvalidArgument,
            std::to_string(more) + " more errors",
            {});
}

std::optional<Json>
ParseChecked(std::string_view aText,
             std::string_view aSchema,
             std::vector<FailureReason>& aReasons)
{
  const std::size_t before = aReasons.size();
  auto json = ParseText(aText, aReasons);
  if (!json) {
    LimitReasons(aReasons);
    return std::nullopt;
  }
  const Json schema = Json::parse(aSchema);
  CheckSchema(schema, *json, aReasons);
  FormatValidator(aReasons).Check(schema, *json, {});
  if (aReasons.size() == before) {
    return json;
  }
  LimitReasons(aReasons);
  return std::nullopt;
}

} // namespace wigeonwalk::settings_internal
