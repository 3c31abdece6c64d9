#include "wigeonwalk/retry/part_crash_tracker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

SharedPart
Part(const std::string& aId, std::uint32_t aPartsAfter)
{
  return { HashOfPart(ModelName("m"), aId), aPartsAfter };
}

const SharedPart kGreeting = Part("greeting", 2);
const SharedPart kOther = Part("other", 2);
const SharedPart kCrashing = Part("crashing", 1);

// One daemon's tracker and its clock.
struct Daemon
{
  // A request was sent now; its upstream is lost 400 ms later.
  void SendAndLose(const std::vector<SharedPart>& aParts,
                   std::uint64_t aContent,
                   const std::string& aUpstream)
  {
    const TimePoint sentAt = this->now;
    this->now += 400ms;
    this->tracker.RecordLost(
      { aParts, aContent, UpstreamId(aUpstream), 1, sentAt }, this->now);
  }

  void Send(const std::vector<SharedPart>& aParts)
  {
    this->now += 400ms;
    this->tracker.RecordAnswer(aParts, this->now);
  }

  PartStatus Status(const SharedPart& aPart) const
  {
    return this->tracker.StatusOf({ aPart }, this->now);
  }

  // Hands all that is due to another daemon, which collects it.
  void Report(Daemon& aOther)
  {
    for (const PartReport& report : this->tracker.TakeReports(this->now)) {
      aOther.tracker.Merge(report.notice, true, aOther.now);
    }
  }

  TimePoint now{ 24h };
  PartCrashTracker tracker;
};

} // namespace

// Guards against a part of prompts that crashes one upstream after the other,
// because no two of the requests that hold it are alike.
SCENARIO("requests that share one part crash upstreams")
{
  Daemon daemon;
  daemon.SendAndLose({ kGreeting, kCrashing }, 1, "u-1");
  CHECK(daemon.Status(kCrashing) == PartStatus::Clear);
  daemon.SendAndLose({ kOther, kCrashing }, 2, "u-2");
  CHECK(daemon.Status(kCrashing) == PartStatus::Suspected);
  daemon.SendAndLose({ kGreeting, kCrashing }, 3, "u-3");

  THEN("it is refused after the third, and no other part is suspected")
  {
    CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
    CHECK(daemon.Status(kGreeting) == PartStatus::Clear);
    CHECK(daemon.Status(kOther) == PartStatus::Clear);
    const auto refused =
      daemon.tracker.FindRefused({ kGreeting, kCrashing }, daemon.now);
    REQUIRE(refused.has_value());
    CHECK(refused->part == kCrashing.hash);
    CHECK(refused->crashes == 3);
  }

  THEN("the requests beside it at a later crash are not accused")
  {
    const SharedPart beside = Part("beside", 1);
    daemon.tracker.RecordLost(
      { { kGreeting, kCrashing }, 4, UpstreamId("u-4"), 1, daemon.now - 1s },
      daemon.now);
    daemon.tracker.RecordLost(
      { { kOther, beside }, 5, UpstreamId("u-4"), 1, daemon.now - 1s },
      daemon.now);
    CHECK(daemon.tracker.EvidenceOf(beside.hash, daemon.now).empty());
  }

  THEN("it is tried again long after the last crash, and refused at the next")
  {
    daemon.now += PartCrashTracker::kRefusal - 1s;
    CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
    daemon.now += PartCrashTracker::kRefusal + 1s;
    CHECK(daemon.Status(kCrashing) == PartStatus::Suspected);
    daemon.SendAndLose({ kOther, kCrashing }, 9, "u-9");
    CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
  }

  THEN("an answer ends the refusal")
  {
    daemon.Send({ kGreeting, kCrashing });
    CHECK(daemon.Status(kCrashing) == PartStatus::Clear);

    AND_THEN("it takes twice as many crashes until it is refused again")
    {
      for (std::uint64_t content = 4; content < 9; ++content) {
        daemon.SendAndLose(
          { kGreeting, kCrashing }, content, "u-" + std::to_string(content));
        CHECK(daemon.Status(kCrashing) != PartStatus::Refused);
      }
      daemon.SendAndLose({ kGreeting, kCrashing }, 9, "u-9");
      CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
    }
  }
}

// Guards against sound parts that are refused although their requests were lost
// for another reason.
SCENARIO("sound requests are lost with their upstreams")
{
  Daemon daemon;

  WHEN("one request is sent again and again by its caller")
  {
    for (const char* upstream : { "u-1", "u-2", "u-3", "u-4" }) {
      daemon.SendAndLose({ kGreeting }, 1, upstream);
    }

    THEN("its parts are not refused for it")
    {
      CHECK(daemon.Status(kGreeting) == PartStatus::Suspected);
    }
  }

  WHEN("the upstreams of a rack are lost at once")
  {
    const TimePoint sentAt = daemon.now;
    daemon.now += 400ms;
    for (const char* upstream : { "u-1", "u-2", "u-3", "u-4", "u-5" }) {
      daemon.now += 10ms;
      daemon.tracker.RecordLost({ { kGreeting },
                                  daemon.tracker.Records(),
                                  UpstreamId(upstream),
                                  1,
                                  sentAt },
                                daemon.now);
    }

    THEN("it counts as one crash")
    {
      CHECK(daemon.Status(kGreeting) == PartStatus::Clear);
    }
  }

  WHEN("one start of an upstream resets several connections")
  {
    for (std::uint64_t content = 1; content < 6; ++content) {
      daemon.SendAndLose({ kGreeting }, content, "u-1");
    }

    THEN("it counts as one crash")
    {
      CHECK(daemon.Status(kGreeting) == PartStatus::Clear);
    }
  }

  WHEN("another request with the part is answered while they run")
  {
    for (std::uint64_t content = 1; content < 6; ++content) {
      const TimePoint sentAt = daemon.now;
      daemon.Send({ kGreeting });
      const UpstreamId upstream("u-" + std::to_string(content));
      daemon.tracker.RecordLost({ { kGreeting }, content, upstream, 1, sentAt },
                                daemon.now);
    }

    THEN("the part is not accused")
    {
      CHECK(daemon.tracker.Records() == 0);
    }
  }
}

// Guards against refusing a part of many sound prompts instead of the one that
// stands beside it in all crashing ones.
SCENARIO("a part of sound prompts stands beside a crashing one")
{
  Daemon daemon;
  daemon.Send({ kGreeting });
  for (std::uint64_t content = 1; content < 4; ++content) {
    const std::string upstream = "u-" + std::to_string(content);
    if (content < 3) {
      daemon.SendAndLose({ kGreeting, kCrashing }, content, upstream);
    } else {
      daemon.SendAndLose({ kGreeting }, content, upstream);
    }
  }
  CHECK(daemon.Status(kGreeting) == PartStatus::Clear);
  daemon.SendAndLose({ kGreeting, kCrashing }, 4, "u-4");
  CHECK(daemon.Status(kGreeting) == PartStatus::Clear);
  CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
}

// Guards against crashes in sequence that look simultaneous to a daemon that
// saw another of the requests that were lost.
SCENARIO("several requests with a part are lost in one crash")
{
  Daemon daemon;
  const TimePoint start = daemon.now;
  daemon.SendAndLose({ kCrashing }, 1, "u-1");
  daemon.SendAndLose({ kCrashing }, 2, "u-2");
  daemon.now += 400ms;
  daemon.tracker.RecordLost({ { kCrashing }, 3, UpstreamId("u-3"), 1, start },
                            daemon.now);
  CHECK(daemon.Status(kCrashing) == PartStatus::Suspected);
  daemon.tracker.RecordLost(
    { { kCrashing }, 4, UpstreamId("u-3"), 1, daemon.now - 300ms }, daemon.now);
  CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
}

// Guards against crashes in sequence that look simultaneous because another
// daemon learnt of the first one later than the request was sent again.
SCENARIO("a request is sent again as soon as its upstream is lost")
{
  Daemon seen;
  Daemon told;
  const std::vector<SharedPart> parts{ kCrashing };
  for (std::uint64_t i = 1; i < 4; ++i) {
    const UpstreamId upstream("u-" + std::to_string(i));
    const TimePoint sentAt = seen.now;
    seen.now += 400ms;
    seen.tracker.RecordLost({ parts, i, upstream, 1, sentAt }, seen.now);
    told.now = seen.now + 5ms;
    told.tracker.RecordLost({ parts, i, upstream, 1, sentAt }, told.now);
  }
  for (const PartNotice& notice :
       seen.tracker.EvidenceOf(kCrashing.hash, seen.now)) {
    told.tracker.Merge(notice, false, told.now);
  }
  CHECK(seen.Status(kCrashing) == PartStatus::Refused);
  CHECK(told.tracker.StatusOf(parts, told.now) == PartStatus::Refused);
}

// Guards against refusing a part that many sound requests share instead of the
// one that crashes upstreams, depending on which evidence arrives first.
SCENARIO("two parts have the same evidence")
{
  Daemon seen;
  for (std::uint64_t content = 1; content < 4; ++content) {
    seen.SendAndLose(
      { kGreeting, kCrashing }, content, "u-" + std::to_string(content));
  }
  const auto crashesOf = [&seen](const SharedPart& aPart) {
    auto evidence = seen.tracker.EvidenceOf(kCrashing.hash, seen.now);
    for (PartNotice& notice : evidence) {
      notice.part = aPart;
    }
    return evidence;
  };
  const bool greetingFirst = GENERATE(true, false);
  Daemon told;
  const auto order = greetingFirst ? std::vector{ kGreeting, kCrashing }
                                   : std::vector{ kCrashing, kGreeting };
  for (const SharedPart& part : order) {
    for (const PartNotice& notice : crashesOf(part)) {
      told.tracker.Merge(notice, false, told.now);
    }
  }
  CHECK(seen.Status(kGreeting) == PartStatus::Clear);
  CHECK(seen.Status(kCrashing) == PartStatus::Refused);
  CHECK(told.Status(kGreeting) == PartStatus::Clear);
  CHECK(told.Status(kCrashing) == PartStatus::Refused);
}

// Guards against evidence that counts twice, is lost on the way, or refuses a
// part that another daemon has seen answered.
SCENARIO("daemons tell each other of crashes")
{
  Daemon first;
  Daemon second;
  // Clocks of hosts differ.
  second.now = TimePoint(90h);

  WHEN("each has seen some of the crashes of a part")
  {
    first.SendAndLose({ kOther, kCrashing }, 1, "u-1");
    first.now += 1s;
    second.now += 1'400ms;
    first.Report(second);
    second.SendAndLose({ kGreeting, kCrashing }, 2, "u-2");
    second.now += 1s;
    first.now += 1'400ms;
    second.Report(first);
    CHECK(first.Status(kCrashing) == PartStatus::Suspected);
    first.SendAndLose({ kGreeting, kCrashing }, 3, "u-3");
    second.now += 400ms;
    const auto reports = first.tracker.TakeReports(first.now);

    THEN("all are told at once of the one that completes the evidence")
    {
      REQUIRE_FALSE(reports.empty());
      for (const PartReport& report : reports) {
        CHECK(report.audience == PartAudience::All);
        second.tracker.Merge(report.notice, false, second.now);
        second.tracker.Merge(report.notice, false, second.now);
      }
      CHECK(second.Status(kCrashing) == PartStatus::Refused);
      CHECK(second.tracker.FindRefused({ kCrashing }, second.now)->crashes ==
            3);
    }
  }

  WHEN("a part is answered soon after it was accused")
  {
    first.SendAndLose({ kGreeting }, 1, "u-1");
    CHECK(first.tracker.TakeReports(first.now + 100ms).empty());
    first.tracker.RecordAnswer({ kGreeting }, first.now + 100ms);

    THEN("no crash is told")
    {
      for (const PartReport& report :
           first.tracker.TakeReports(first.now + 1s)) {
        CHECK(report.notice.crashId == 0);
      }
    }
  }

  WHEN("the other has seen the part answered since")
  {
    second.Send({ kGreeting });
    first.SendAndLose({ kGreeting }, 1, "u-1");
    second.now += 400ms;
    second.Send({ kGreeting });
    first.now += 400ms;
    const auto evidence = first.tracker.EvidenceOf(kGreeting.hash, first.now);
    REQUIRE(evidence.size() == 1);

    THEN("it answers with that, which clears the part")
    {
      CHECK(second.tracker.Merge(evidence[0], true, second.now) ==
            PartReply::Answer);
      for (const PartNotice& notice :
           second.tracker.EvidenceOf(kGreeting.hash, second.now)) {
        first.tracker.Merge(notice, false, first.now);
      }
      const auto left = first.tracker.EvidenceOf(kGreeting.hash, first.now);
      REQUIRE(left.size() == 1);
      CHECK(left[0].crashId == 0);
    }
  }

  WHEN("one that doesn't know that a part is refused reports a crash")
  {
    for (std::uint64_t content = 1; content < 4; ++content) {
      first.SendAndLose({ kCrashing }, content, "u-" + std::to_string(content));
    }
    second.SendAndLose({ kCrashing }, 9, "u-9");
    const auto evidence = second.tracker.EvidenceOf(kCrashing.hash, second.now);

    THEN("a daemon that collects the evidence answers with it")
    {
      CHECK(first.tracker.Merge(evidence[0], true, first.now) ==
            PartReply::Evidence);
      CHECK(first.tracker.AllEvidence(first.now).size() == 4);
    }
  }

  WHEN("a notice has impossible times")
  {
    PartNotice notice{ kCrashing, 7, 1, 1s, 2s };
    first.tracker.Merge(notice, true, first.now);
    notice = { kCrashing, 7, 1, -1s, -2s };
    first.tracker.Merge(notice, true, first.now);

    THEN("it is ignored")
    {
      CHECK(first.tracker.Records() == 0);
    }
  }
}

// Guards against memory that grows with the number of accused or answered
// parts.
SCENARIO("many parts are accused")
{
  Daemon daemon;
  for (std::uint64_t content = 1; content < 4; ++content) {
    daemon.SendAndLose({ kCrashing }, content, "u-" + std::to_string(content));
  }
  for (std::size_t i = 0; i < 2 * PartCrashTracker::kMaxRecords; ++i) {
    daemon.now += 1ms;
    daemon.tracker.RecordLost({ { Part("p" + std::to_string(i), 1) },
                                i,
                                UpstreamId("w-" + std::to_string(i)),
                                1,
                                daemon.now - 1s },
                              daemon.now);
  }
  CHECK(daemon.tracker.Records() == PartCrashTracker::kMaxRecords);
  CHECK(daemon.Status(kCrashing) == PartStatus::Refused);
  CHECK(daemon.tracker.RefusedParts(daemon.now) == 1);
}
