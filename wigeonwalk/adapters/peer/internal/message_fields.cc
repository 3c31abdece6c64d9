#include "wigeonwalk/adapters/peer/internal/message_fields.h"

#include <vector>

namespace wigeonwalk::peer_internal {
namespace {

// Nesting limit of a message. The deepest valid one has four levels: answer,
// body, list, element.
constexpr int kMaxDepth = 8;

// Rejects maps and arrays nested too deeply, before the recursive parser could
// overflow the stack.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return this->Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return this->Leave(); }
  bool start_array(std::size_t) override { return this->Enter(); }
  bool end_array() override { return this->Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  bool Enter() { return ++this->depth <= kMaxDepth; }
  bool Leave()
  {
    --this->depth;
    return true;
  }

  int depth = 0;
};

} // namespace

std::optional<Json>
ParsePayload(std::string_view aPayload)
{
  DepthCheck check;
  if (!Json::sax_parse(aPayload.begin(),
                       aPayload.end(),
                       &check,
                       Json::input_format_t::msgpack)) {
    return std::nullopt;
  }
  Json map = Json::from_msgpack(aPayload.begin(), aPayload.end(), true, false);
  if (!map.is_object()) {
    return std::nullopt;
  }
  return map;
}

std::string
EncodePayload(const Json& aMap)
{
  std::string payload;
  Json::to_msgpack(aMap, payload);
  return payload;
}

const Json*
Fields::Find(const char* aKey)
{
  if (!this->valid) {
    return nullptr;
  }
  const auto found = this->map.find(aKey);
  this->valid = found != this->map.end();
  return this->valid ? &*found : nullptr;
}

std::string
Fields::Text(const char* aKey, std::size_t aMaxBytes)
{
  const Json* value = this->Find(aKey);
  if (!value || !value->is_string() ||
      value->get_ref<const std::string&>().size() > aMaxBytes) {
    this->valid = false;
    return {};
  }
  return value->get_ref<const std::string&>();
}

std::string
Fields::Bytes(const char* aKey, std::size_t aMaxBytes)
{
  const Json* value = this->Find(aKey);
  if (!value || !value->is_binary() || value->get_binary().size() > aMaxBytes) {
    this->valid = false;
    return {};
  }
  return { value->get_binary().begin(), value->get_binary().end() };
}

std::uint64_t
Fields::Number(const char* aKey)
{
  return this->Number(aKey, std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t
Fields::Number(const char* aKey, std::uint64_t aMax)
{
  const Json* value = this->Find(aKey);
  if (!value || !value->is_number_unsigned() ||
      value->get<std::uint64_t>() > aMax) {
    this->valid = false;
    return 0;
  }
  return value->get<std::uint64_t>();
}

bool
Fields::Flag(const char* aKey)
{
  const Json* value = this->Find(aKey);
  this->valid = this->valid && value->is_boolean();
  return this->valid && value->get<bool>();
}

const Json*
Fields::Array(const char* aKey, std::size_t aMaxSize)
{
  const Json* value = this->Find(aKey);
  if (!value || !value->is_array() || value->size() > aMaxSize) {
    this->valid = false;
    return nullptr;
  }
  return value;
}

const Json*
Fields::Map(const char* aKey)
{
  const Json* value = this->Find(aKey);
  if (!value || !value->is_object()) {
    this->valid = false;
    return nullptr;
  }
  return value;
}

} // namespace wigeonwalk::peer_internal
