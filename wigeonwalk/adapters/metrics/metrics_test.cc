#include "wigeonwalk/adapters/metrics/metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

MetricLabels
MakeLabels(const std::string& aService, const std::string& aOrganisation)
{
  return { ServiceName(aService), OrganisationId(aOrganisation), "" };
}

std::size_t
CountLinesWith(const std::string& aText, const std::string& aPart)
{
  std::istringstream input(aText);
  std::size_t count = 0;
  for (std::string line; std::getline(input, line);) {
    count += line.find(aPart) != std::string::npos ? 1 : 0;
  }
  return count;
}

} // namespace

// Guards against values that are published under a wrong name, unit or label.
SCENARIO("a daemon publishes its metrics", "[metrics]")
{
  Metrics metrics;
  GIVEN("nothing recorded")
  {
    THEN("the page is empty")
    {
      CHECK(metrics.Print().empty());
    }
  }
  GIVEN("a counter and a gauge")
  {
    metrics.Add(Metric::Verdicts,
                2,
                { ServiceName("order"), OrganisationId("o\"1\n"), "not-run" });
    metrics.Add(Metric::Verdicts,
                1,
                { ServiceName("order"), OrganisationId("o\"1\n"), "not-run" });
    metrics.Set(Metric::MembersAlive, 6);
    metrics.Set(Metric::MembersAlive, 5);
    THEN("names carry units, and label values are escaped")
    {
      CHECK(metrics.Print() ==
            "# HELP wigeonwalk_verdicts_requests_total Requests by verdict.\n"
            "# TYPE wigeonwalk_verdicts_requests_total counter\n"
            "wigeonwalk_verdicts_requests_total{service=\"order\","
            "organisation=\"o\\\"1\\n\",verdict=\"not-run\"} 3\n"
            "# HELP wigeonwalk_alive_members Daemons that are alive in "
            "this daemon's view.\n"
            "# TYPE wigeonwalk_alive_members gauge\n"
            "wigeonwalk_alive_members 5\n");
    }
  }
  GIVEN("values at the edges of a histogram")
  {
    const std::vector<double> values{ 0, -1, 0.0005, 0.001, 0.99, 99.9, 1e9 };
    for (const double value : values) {
      metrics.Observe(
        Metric::TimeToFirstToken, value, MakeLabels("order", "o1"));
    }
    const std::string page = metrics.Print();
    THEN("buckets are cumulative and hold every value")
    {
      const std::string bucket = "wigeonwalk_time_to_first_token_seconds_bucket"
                                 "{service=\"order\",organisation=\"o1\",le=\"";
      CHECK(CountLinesWith(page, bucket) == kHistogramBins + 2);
      CHECK(CountLinesWith(page, bucket + "0.001\"} 3") == 1);
      CHECK(CountLinesWith(page, bucket + "1\"} 5") == 1);
      CHECK(CountLinesWith(page, bucket + "100\"} 6") == 1);
      CHECK(CountLinesWith(page, bucket + "+Inf\"} 7") == 1);
      CHECK(CountLinesWith(
              page, "_count{service=\"order\",organisation=\"o1\"} 7") == 1);
    }
  }
  GIVEN("numbers that are not finite, and a negative amount for a counter")
  {
    const double infinity = std::numeric_limits<double>::infinity();
    metrics.Add(Metric::PromptTokens, 5);
    metrics.Add(Metric::PromptTokens, -1);
    metrics.Add(Metric::PromptTokens, infinity);
    metrics.Set(Metric::MembersAlive, std::nan(""));
    metrics.Observe(Metric::QueueTime, std::nan(""));
    THEN("they are ignored")
    {
      CHECK(metrics.ValueOf(Metric::PromptTokens) == 5);
      CHECK(metrics.ValueOf(Metric::QueueTime) == 0);
    }
  }
}

// Guards against a metrics page and memory use that grow with every new
// organisation.
SCENARIO("the number of series stays bounded", "[metrics]")
{
  struct Row
  {
    const char* name;
    MetricBounds bounds;
    std::size_t maxSeries;
  };
  const std::vector<Row> rows{
    { "few services", { .services = 3 }, 4 * 100 },
    { "few organisations", { .organisations = 5 }, 6 * 100 },
    { "few series", { .series = 40 }, 41 },
    { "default bounds", {}, 1025 },
  };
  for (const auto& row : rows) {
    DYNAMIC_SECTION(row.name)
    {
      Metrics metrics(row.bounds);
      double total = 0;
      for (int service = 0; service < 100; ++service) {
        for (int organisation = 0; organisation < 100; ++organisation) {
          metrics.Add(Metric::GeneratedTokens,
                      1,
                      MakeLabels("s" + std::to_string(service),
                                 "o" + std::to_string(organisation)));
          ++total;
        }
      }
      const std::string page = metrics.Print();
      CHECK(CountLinesWith(page, "_total{") <= row.maxSeries);
      CHECK(CountLinesWith(page, "\"other\"") >= 1);
      double printed = 0;
      std::istringstream input(page);
      for (std::string line; std::getline(input, line);) {
        if (line.starts_with("wigeonwalk_")) {
          printed += std::stod(line.substr(line.rfind(' ')));
        }
      }
      CHECK(printed == total);
    }
  }
}
