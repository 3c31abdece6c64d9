#include "wigeonwalk/adapters/json/bounded_json.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

using namespace wigeonwalk;
using Json = nlohmann::json;

namespace {

std::string
Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

} // namespace

TEST_CASE("text within the limits is parsed as by the library")
{
  const std::string text = GENERATE(
    std::string("null"),
    std::string("-7"),
    std::string("18446744073709551615"),
    std::string("1.5e300"),
    std::string(R"("\u00e4\u0000")"),
    std::string(R"({"a":[1,{"b":[]},"c",true,null,{}],"":{"a":-1.25}})"),
    std::string(R"({"a":[1],"b":2,"a":{"c":3},"a":4})"),
    std::string(R"({"a":4,"a":{"c":3,"c":{"d":[5]}}})"),
    Nested(kMaxJsonLevels));
  const Json expected = Json::parse(text);
  CHECK(ParseBoundedJson(text) == expected);
  std::string packed;
  Json::to_msgpack(expected, packed);
  CHECK(ParseBoundedMsgpack(packed) == expected);
}

TEST_CASE("bytes in MessagePack are kept")
{
  const Json value = Json::array({ Json::binary({ 0x00, 0xFF }), "\xFF" });
  std::string packed;
  Json::to_msgpack(value, packed);
  CHECK(ParseBoundedMsgpack(packed) == value);
}

TEST_CASE("invalid text is rejected")
{
  const std::string text = GENERATE(std::string(),
                                    std::string("[1,"),
                                    std::string("1 2"),
                                    std::string("1e400"),
                                    std::string("\"\xFF\""),
                                    std::string("{\"a\"}"));
  CHECK_THROWS_AS(ParseBoundedJson(text), Json::exception);
  CHECK_THROWS_AS(ParseBoundedMsgpack("\x92\x01"), Json::exception);
  CHECK_THROWS_AS(ParseBoundedMsgpack("\x01\x02"), Json::exception);
}

// Guards against text that overflows the stack or uses up the memory.
TEST_CASE("text beyond the limits is rejected")
{
  constexpr std::size_t kDeep = 500'000;
  std::string objects;
  std::string many = "[0";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i) {
    objects += "{\"a\":";
    many += ",0";
  }
  const std::string text = GENERATE_COPY(Nested(kMaxJsonLevels + 1),
                                         Nested(kDeep),
                                         std::string(kDeep, '['),
                                         objects,
                                         many + "]");
  CHECK_THROWS_AS(ParseBoundedJson(text), std::runtime_error);
  CHECK_THROWS_AS(ParseBoundedMsgpack(std::string(kDeep, '\x91')),
                  std::runtime_error);
  CHECK_THROWS_AS(ParseBoundedMsgpack(std::string(kDeep, '\x81')),
                  std::exception);
}
