#include "wigeonwalk/adapters/settings/daemon_settings_json.h"
#include "wigeonwalk/adapters/settings/service_document_json.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

using namespace wigeonwalk;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kRounds = 1500;

// Fragments that break the JSON syntax, the schema or the encoding.
const std::vector<std::string> kFragments{
  "",     "{",           "}",      "[",
  "]",    "\"",          ",",      ":",
  "null", "-1",          "1e400",  "18446744073709551616",
  "\xFF", "\xC3",        "\\u",    "\\ud800",
  "true", "\"zone\"",    "1e-400", "\"99999h\"",
  "\"\"", "\"\\u0000\"", "{}",     "[[]]",
};

std::vector<std::string>
Corpus()
{
  std::vector<std::string> corpus;
  for (const char* folder : { "reparto", "schleierpfad" }) {
    const auto path =
      std::filesystem::path(WIGEONWALK_SOURCE_DIR) / "examples" / folder;
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      std::ifstream file(entry.path());
      corpus.emplace_back(std::istreambuf_iterator<char>(file),
                          std::istreambuf_iterator<char>());
    }
  }
  // Sorted, because directory order differs between file systems.
  std::sort(corpus.begin(), corpus.end());
  return corpus;
}

// Replaces up to four short spans with fragments or random bytes, and truncates
// one text in 16.
std::string
Mutate(std::string aText, std::mt19937_64& aRandom)
{
  const auto below = [&aRandom](std::size_t aBound) {
    return static_cast<std::size_t>(aRandom() % aBound);
  };
  const std::size_t changes = 1 + below(4);
  for (std::size_t i = 0; i < changes; ++i) {
    const std::size_t offset = below(aText.size() + 1);
    const std::size_t length = below(9);
    const std::string fragment =
      below(4) == 0 ? std::string(1, static_cast<char>(below(256)))
                    : kFragments[below(kFragments.size())];
    aText.replace(offset, length, fragment);
  }
  return below(16) == 0 ? aText.substr(0, below(aText.size() + 1)) : aText;
}

} // namespace

// Guards against malformed input that crashes a parser, or that fails without a
// reason or with one that cannot be printed, and against documents that change
// when they are printed and parsed again.
TEST_CASE("malformed files do not crash the parsers", "[settings][fuzz]")
{
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  const auto corpus = Corpus();
  REQUIRE(corpus.size() > 10);
  int accepted = 0;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string text = Mutate(corpus[random() % corpus.size()], random);
    std::vector<FailureReason> settingsReasons;
    std::vector<FailureReason> documentReasons;
    const auto settings = ParseDaemonSettings(text, settingsReasons);
    const auto document = ParseServiceDocument(text, documentReasons);
    const bool explained = settings.has_value() == settingsReasons.empty() &&
                           document.has_value() == documentReasons.empty();
    bool stable = true;
    if (document) {
      std::vector<FailureReason> reparseReasons;
      stable = ParseServiceDocument(PrintServiceDocument(*document),
                                    reparseReasons) == document;
    }
    accepted += settings || document ? 1 : 0;
    refused += settings || document ? 0 : 1;
    if (!explained || !stable) {
      CAPTURE(round, text);
      CHECK(explained);
      CHECK(stable);
    }
  }
  // Both outcomes must occur; otherwise no round gets past the JSON parser.
  CHECK(accepted > kRounds / 100);
  CHECK(refused > kRounds / 2);
}
