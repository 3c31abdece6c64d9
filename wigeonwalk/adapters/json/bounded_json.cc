#include "wigeonwalk/adapters/json/bounded_json.h"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace wigeonwalk {

namespace {

using Json = nlohmann::json;

// Builds a value from the parser's calls. Throws at the first level or value
// beyond the limits.
class BoundedBuilder : public nlohmann::json_sax<Json>
{
public:
  bool null() override { return this->Add(Json()); }
  bool boolean(bool aValue) override { return this->Add(Json(aValue)); }
  bool number_integer(number_integer_t aValue) override
  {
    return this->Add(Json(aValue));
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return this->Add(Json(aValue));
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return this->Add(Json(aValue));
  }
  bool string(string_t& aValue) override
  {
    return this->Add(Json(std::move(aValue)));
  }
  bool binary(binary_t& aValue) override
  {
    return this->Add(Json::binary(std::move(aValue)));
  }

  bool start_object(std::size_t /*aSize*/) override
  {
    return this->Enter(Json::object());
  }
  bool key(string_t& aKey) override
  {
    this->member = &(*this->open.back())[std::move(aKey)];
    return true;
  }
  bool end_object() override { return this->Leave(); }
  bool start_array(std::size_t /*aSize*/) override
  {
    return this->Enter(Json::array());
  }
  bool end_array() override { return this->Leave(); }

  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& aError) override
  {
    // The parser passes one of these two as a reference to their base.
    if (const auto* error = dynamic_cast<const Json::parse_error*>(&aError)) {
      throw Json::parse_error(*error);
    }
    if (const auto* error = dynamic_cast<const Json::out_of_range*>(&aError)) {
      throw Json::out_of_range(*error);
    }
    throw std::runtime_error(aError.what());
  }

  Json Take() { return std::move(this->root); }

private:
  // Puts the value into the innermost open array or object.
  Json* Place(Json aValue)
  {
    if (++this->values > kMaxJsonValues) {
      throw std::runtime_error("more than " + std::to_string(kMaxJsonValues) +
                               " values");
    }
    if (this->open.empty()) {
      this->root = std::move(aValue);
      return &this->root;
    }
    Json& parent = *this->open.back();
    if (parent.is_array()) {
      parent.push_back(std::move(aValue));
      return &parent.back();
    }
    *this->member = std::move(aValue);
    return this->member;
  }

  bool Add(Json aValue)
  {
    this->Place(std::move(aValue));
    return true;
  }

  bool Enter(Json aValue)
  {
    if (this->open.size() >= kMaxJsonLevels) {
      throw std::runtime_error("nested deeper than " +
                               std::to_string(kMaxJsonLevels) + " levels");
    }
    this->open.push_back(this->Place(std::move(aValue)));
    return true;
  }

  bool Leave()
  {
    this->open.pop_back();
    return true;
  }

  Json root;
  // The arrays and objects that are not complete, outermost first. Only the
  // innermost one grows, so the pointers stay valid.
  std::vector<Json*> open;
  // Where the value of the last key belongs.
  Json* member = nullptr;
  std::size_t values = 0;
};

Json
ParseBounded(std::string_view aText, Json::input_format_t aFormat)
{
  BoundedBuilder builder;
  if (!Json::sax_parse(aText.begin(), aText.end(), &builder, aFormat)) {
    throw std::runtime_error("not valid");
  }
  return builder.Take();
}

} // namespace

Json
ParseBoundedJson(std::string_view aText)
{
  return ParseBounded(aText, Json::input_format_t::json);
}

Json
ParseBoundedMsgpack(std::string_view aBytes)
{
  return ParseBounded(aBytes, Json::input_format_t::msgpack);
}

} // namespace wigeonwalk
