#include "wigeonwalk/adapters/event_stream/event_scanner.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;

TEST_CASE("a scanner forwards only complete events")
{
  const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 13\n"
                             "data: c\ndata: d\n\n";

  SECTION("for any size of the chunks in which the bytes arrive")
  {
    const std::size_t size = GENERATE(1, 2, 3, 5, 7, 100);
    EventScanner scanner;
    std::string forwarded;
    for (std::size_t i = 0; i < stream.size(); i += size) {
      forwarded += scanner.Feed(stream.substr(i, size));
    }
    CHECK(forwarded == stream);
    CHECK(scanner.LastId() == 13);
    CHECK(scanner.Events() == 3);
    CHECK_FALSE(scanner.HasPartialEvent());
  }

  SECTION("and holds back an event that was cut off")
  {
    const std::size_t cut = GENERATE(range(1, 40));
    EventScanner scanner;
    const std::string forwarded =
      scanner.Feed(std::string_view(stream).substr(0, cut));
    CHECK(stream.starts_with(forwarded));
    CHECK((forwarded.empty() || forwarded.ends_with("\n\n") ||
           forwarded.ends_with("\n\r\n")));
    CHECK(scanner.HasPartialEvent() == (forwarded.size() < cut));
    CHECK(scanner.LastId().value_or(0) == scanner.Events());
  }

  SECTION("and takes no id from data lines")
  {
    EventScanner scanner;
    scanner.Feed("data: id: 7\n\n");
    CHECK_FALSE(scanner.LastId().has_value());
  }
}
