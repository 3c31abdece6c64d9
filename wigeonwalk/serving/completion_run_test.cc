#include "wigeonwalk/serving/completion_run.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// What an engine does with one attempt.
enum class Script
{
  Answer,
  RefuseConnection,
  RefuseBeforeRun,
  LoseBeforeFirstToken,
  LoseAfterTwoTokens,
  GoSilentAfterTwoTokens,
  SendForeignChunk,
  RepeatAChunk,
};

constexpr std::uint32_t kTokens = 5;

// An engine whose attempts follow scripts that all engines share. The last
// script is repeated.
class FakeEngine
{
public:
  struct Stream
  {
    VirtualTime* time = nullptr;
    Script script = Script::Answer;
    EngineRequest request;
    std::uint32_t next = 0;
    std::uint32_t sent = 0;

    Task<std::optional<AnswerChunk>> Next(TimePoint aDeadline,
                                          FailureReason& aReason)
    {
      co_await this->time->WaitUntil(this->time->Now() + 10ms);
      const bool loses =
        this->script == Script::LoseBeforeFirstToken ||
        (this->script == Script::LoseAfterTwoTokens && this->sent == 2);
      if (loses) {
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "lost");
      }
      if (this->script == Script::GoSilentAfterTwoTokens && this->sent == 2) {
        co_await this->time->WaitUntil(aDeadline);
        co_return Fail(aReason, ReasonCode::ResponseTimeout, "silent");
      }
      if (this->next == kTokens) {
        co_return std::nullopt;
      }
      AnswerChunk chunk;
      chunk.attempt = this->request.attempt;
      if (this->script == Script::SendForeignChunk && this->sent == 1) {
        ++chunk.attempt.attempt;
      }
      const bool repeat = this->script == Script::RepeatAChunk &&
                          this->sent == 2 && this->next == 2;
      chunk.index = repeat ? this->next - 1 : this->next;
      chunk.text = std::to_string(chunk.index);
      ++this->sent;
      if (chunk.attempt == this->request.attempt && !repeat) {
        ++this->next;
      }
      if (chunk.index + 1 == kTokens) {
        chunk.finishReason = "length";
      }
      co_return chunk;
    }

    Task<void> Cancel() { co_return; }
  };

  Task<std::optional<Stream>> Open(const EngineRequest& aRequest,
                                   TimePoint,
                                   FailureReason& aReason)
  {
    const Script script = this->scripts->front();
    if (this->scripts->size() > 1) {
      this->scripts->pop_front();
    }
    ++this->opened;
    if (script == Script::RefuseConnection) {
      co_return Fail(aReason, ReasonCode::ConnectRefused, "refused");
    }
    if (script == Script::RefuseBeforeRun) {
      co_return Fail(aReason, ReasonCode::RefusedBeforeRun, "refused");
    }
    ++this->ran;
    Stream stream;
    stream.time = this->time;
    stream.script = script;
    stream.request = aRequest;
    stream.next = aRequest.resumeAt;
    co_return stream;
  }

  Task<std::optional<LoadReport>> Load(TimePoint, FailureReason&)
  {
    LoadReport report;
    report.incarnation = 1;
    report.measuredAt = this->time->Now();
    co_return report;
  }
  Task<std::optional<LoadReport>> Probe(TimePoint aDeadline,
                                        FailureReason& aReason)
  {
    co_return co_await this->Load(aDeadline, aReason);
  }
  Task<std::optional<CacheEventBatch>> CacheEvents(std::uint64_t,
                                                   TimePoint,
                                                   FailureReason&)
  {
    co_return std::nullopt;
  }
  Task<std::optional<SealedPiece>> Export(const WriteReservation&,
                                          TimePoint,
                                          FailureReason&)
  {
    co_return std::nullopt;
  }
  Task<bool> Import(const ReadLease&, TimePoint, FailureReason&)
  {
    co_return false;
  }

  VirtualTime* time = nullptr;
  std::deque<Script>* scripts = nullptr;
  std::uint32_t opened = 0;
  std::uint32_t ran = 0;
};

struct FakeEngines
{
  using Engine = FakeEngine;
  FakeEngine& EngineOf(const RunnerSpec& aRunner)
  {
    return this->engines[aRunner.id];
  }
  std::map<UpstreamId, FakeEngine> engines;
};

// Stores nothing, so that every prompt is computed.
struct FakeMover
{
  Task<ChainCopies> Locate(const std::vector<PieceKey>&)
  {
    co_return ChainCopies();
  }
  Task<std::size_t> Restore(const ServiceDocument&,
                            const OrganisationId&,
                            std::span<const SealedPiece>,
                            FakeEngine&)
  {
    co_return 0;
  }
  Task<std::size_t> Export(const ServiceDocument&,
                           const OrganisationId&,
                           std::vector<PieceKey>,
                           double,
                           FakeEngine&)
  {
    co_return 0;
  }
};

struct IgnoredEvents
{
  void Record(Event) {}
};

struct IgnoredMeasures
{
  void TimeToFirstToken(const MetricScope&, Duration) {}
  void QueueTime(const MetricScope&, Duration) {}
  void InterTokenLatency(const MetricScope&, Duration) {}
  void Prompt(const MetricScope&, std::uint64_t, std::uint64_t) {}
  void Ended(const MetricScope&, Verdict) {}
  void Retried(const MetricScope&) {}
  void Dropped(const MetricScope&) {}
};

struct InlineWorkers
{
  template<std::invocable F>
  Task<std::invoke_result_t<F>> RunOnPool(F aFunction)
  {
    co_return aFunction();
  }
};

struct RecordedAnswer
{
  Task<bool> Token(const AnswerChunk& aChunk)
  {
    this->text += aChunk.text;
    co_return true;
  }
  Task<bool> Finish(const AnswerSummary&)
  {
    this->finished = true;
    co_return true;
  }
  Task<bool> Fail(const Refusal& aRefusal)
  {
    this->refusal = aRefusal;
    co_return true;
  }

  std::string text;
  bool finished = false;
  std::optional<Refusal> refusal;
};

using Context = RunContext<VirtualTime,
                           FakeEngines,
                           FakeMover,
                           IgnoredEvents,
                           IgnoredMeasures,
                           InlineWorkers>;

// A service with two runners, and one request to it.
struct Fixture
{
  Fixture()
  {
    auto made = std::make_shared<AcceptedDocument>();
    made->document.name = ServiceName("advice");
    made->document.model.prefillTokensPerSecond = 1000;
    made->document.requestTimeout = 30s;
    for (const char* id : { "r1", "r2" }) {
      RunnerSpec runner;
      runner.id = UpstreamId(id);
      made->document.runners.push_back(runner);
      engines.engines[runner.id].time = &time;
      engines.engines[runner.id].scripts = &scripts;
    }
    made->document.organisations.push_back({ OrganisationId("atelier") });
    caller.accepted = made;
    caller.organisation = &made->document.organisations.front();
    request.prompt = "tulle";
    request.maxTokens = kTokens;
  }

  Task<void> ServeOnce()
  {
    CompletionRun<Context> run(context, request, caller);
    co_await run.Serve(answer);
  }

  void Run()
  {
    time.Spawn(this->ServeOnce());
    time.RunUntilIdle(time.Now() + 1h);
  }

  std::uint32_t Ran()
  {
    return engines.engines[UpstreamId("r1")].ran +
           engines.engines[UpstreamId("r2")].ran;
  }

  VirtualTime time;
  std::deque<Script> scripts{ Script::Answer };
  FakeEngines engines;
  FakeMover mover;
  IgnoredEvents events;
  IgnoredMeasures measures;
  InlineWorkers workers;
  DaemonState daemon{ HostId("isar-1"), AvailabilityZone("Isar"), 1, "secret" };
  CacheExporter<FakeMover, FakeEngines> exporter{ mover,
                                                  engines,
                                                  daemon.returns };
  Context context{ time,   engines,  mover,   exporter,
                   events, measures, workers, daemon };
  AdmittedCaller caller;
  CompletionRequest request;
  RecordedAnswer answer;
};

// Scripts of the attempts, whether a seed makes the answer repeatable, whether
// the caller gets the whole answer, and otherwise the verdict.
struct FaultRow
{
  const char* behaviour;
  std::deque<Script> first;
  bool seeded;
  bool completes;
  Verdict verdict;
};

const std::vector<FaultRow> kFaults{
  { "answers", { Script::Answer }, false, true, Verdict::Ran },
  { "refuses the connection",
    { Script::RefuseConnection, Script::Answer },
    false,
    true,
    Verdict::Ran },
  { "refuses before the run",
    { Script::RefuseBeforeRun, Script::Answer },
    false,
    true,
    Verdict::Ran },
  { "loses the connection before a token",
    { Script::LoseBeforeFirstToken, Script::Answer },
    false,
    true,
    Verdict::Ran },
  { "loses the connection of a repeatable answer",
    { Script::LoseAfterTwoTokens, Script::Answer },
    true,
    true,
    Verdict::Ran },
  { "loses the connection of an answer that cannot be repeated",
    { Script::LoseAfterTwoTokens, Script::Answer },
    false,
    false,
    Verdict::Ran },
  { "goes silent",
    { Script::GoSilentAfterTwoTokens, Script::Answer },
    false,
    true,
    Verdict::Ran },
  { "sends another attempt's chunk",
    { Script::SendForeignChunk },
    false,
    true,
    Verdict::Ran },
  { "repeats a chunk", { Script::RepeatAChunk }, false, true, Verdict::Ran },
  { "always refuses the connection",
    { Script::RefuseConnection },
    false,
    false,
    Verdict::NotRun },
  { "crashes, then refuses connections",
    { Script::LoseBeforeFirstToken, Script::RefuseConnection },
    false,
    false,
    Verdict::MayHaveRun },
};

} // namespace

// Guards against answers with foreign, repeated or missing tokens after an
// engine fails or sends wrong chunks, and against the verdict NotRun for a
// request that ran.
SCENARIO("a completion is exact or fails with the right verdict", "[serving]")
{
  for (const FaultRow& row : kFaults) {
    GIVEN(std::string("an engine that ") + row.behaviour)
    {
      Fixture fixture;
      fixture.scripts = row.first;
      if (row.seeded) {
        fixture.request.seed = 7;
      }
      WHEN("a caller asks for five tokens")
      {
        fixture.Run();
        THEN(
          "it gets them once and in order, or an error with the right verdict")
        {
          CHECK(fixture.answer.finished == row.completes);
          CHECK(fixture.answer.refusal.has_value() == !row.completes);
          const std::string all = "01234";
          CHECK(all.rfind(fixture.answer.text, 0) == 0);
          if (row.completes) {
            CHECK(fixture.answer.text == all);
          } else {
            CHECK(fixture.answer.refusal->verdict == row.verdict);
          }
          if (fixture.answer.refusal &&
              fixture.answer.refusal->verdict == Verdict::NotRun) {
            CHECK(fixture.Ran() == 0);
          }
        }
      }
    }
  }
}
