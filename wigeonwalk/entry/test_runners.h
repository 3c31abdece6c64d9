// Scripted runners, and a caller that records their responses.
//
//   FakeRunners runners;
//   runners.scripts = { Script::LoseAnswer, Script::Answer };
#pragma once

#include "wigeonwalk/entry/entry_request.h"
#include "wigeonwalk/ports/front_end.h"
#include "wigeonwalk/ports/task.h"
#include "wigeonwalk/testing/virtual_time.h"

#include <boost/system/system_error.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace wigeonwalk {

// What a runner does with one attempt.
enum class Script
{
  Answer,
  RefuseConnection,
  BreakWhileSending,
  RefuseWithoutRunning,
  Misdirected,
  // 421 because the runner has the second version of the weights.
  SecondWeights,
  ServerError,
  LoseAnswer,
  CutAnswer,
  Unsigned,
  BreakStreamAfterTwo,
  // A complete response although a stream is expected.
  AnswerWhole,
  // An unsigned status that implies that the request did not run.
  ImplyNotRun,
  Hang,
  // An exception of this program, before or after the request is sent.
  ThrowUnsent,
  ThrowSent,
};

inline constexpr std::uint64_t kEvents = 4;

// One scripted attempt. Streams have the events 1 to kEvents.
struct FakeAttempt
{
  VirtualTime* time = nullptr;
  Script script = Script::Answer;
  bool isStream = false;
  std::uint64_t last = 0;
  std::uint64_t stopAt = kEvents;
  bool bodySent = false;
  // What the runner says of itself in the head.
  RunnerAdvice advice;
  std::optional<WeightNumber> weights;
  std::shared_ptr<int> open = nullptr;
  int* finished = nullptr;

  Task<std::optional<AnswerHead>> ReadHead(TimePoint aDeadline,
                                           FailureReason& aReason)
  {
    co_await this->time->WaitUntil(this->time->Now() +
                                   std::chrono::milliseconds(10));
    AnswerHead head;
    head.status = 200;
    head.advice = this->advice;
    head.isSigned = this->script != Script::Unsigned;
    head.isEventStream = this->isStream;
    head.weights = this->weights;
    switch (this->script) {
      case Script::RefuseWithoutRunning:
        head.status = 503;
        head.refusedWithoutRunning = true;
        break;
      case Script::Misdirected:
        head.status = 421;
        head.refusedWithoutRunning = true;
        break;
      case Script::SecondWeights:
        head.status = 421;
        head.refusedWithoutRunning = true;
        head.otherWeights = 2;
        break;
      case Script::ImplyNotRun:
        head.status = 503;
        head.impliesNotRun = true;
        head.isSigned = false;
        head.isEventStream = false;
        break;
      case Script::ServerError:
        head.status = 500;
        head.isEventStream = false;
        break;
      case Script::AnswerWhole:
        head.isEventStream = false;
        break;
      case Script::LoseAnswer:
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "lost");
      case Script::Hang:
        // A cancelled read ends like one on a lost connection.
        try {
          co_await this->time->WaitUntil(aDeadline);
        } catch (const boost::system::system_error& cancelled) {
          co_return Fail(
            aReason, ReasonCode::ConnectionLostAfterWrite, cancelled.what());
        }
        co_return Fail(aReason, ReasonCode::ResponseTimeout, "silent");
      default:
        break;
    }
    co_return head;
  }

  Task<std::optional<std::string>> ReadBody(TimePoint, FailureReason& aReason)
  {
    if (this->bodySent) {
      if (this->script == Script::CutAnswer) {
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "cut");
      }
      co_return std::string();
    }
    this->bodySent = true;
    co_return std::string("body");
  }

  Task<std::optional<std::string>> ReadEvents(TimePoint, FailureReason& aReason)
  {
    co_await this->time->WaitUntil(this->time->Now() +
                                   std::chrono::milliseconds(5));
    if (this->last == this->stopAt) {
      if (this->stopAt < kEvents) {
        co_return Fail(aReason, ReasonCode::ConnectionLostAfterWrite, "lost");
      }
      co_return std::string();
    }
    ++this->last;
    co_return std::to_string(this->last) + ";";
  }

  std::optional<std::uint64_t> LastEventId() const
  {
    return this->last == 0 ? std::nullopt : std::optional(this->last);
  }

  void Finish() { ++*this->finished; }
};

// Opens attempts that use the scripts in order; the last one is repeated.
struct FakeRunners
{
  struct Request
  {
    EntryRequest facts;
  };
  using Attempt = FakeAttempt;

  Task<std::optional<FakeAttempt>> Open(const Request&,
                                        const AttemptSpec& aSpec,
                                        TimePoint,
                                        TimePoint,
                                        const SendCheck& aMaySend,
                                        FailureReason& aReason)
  {
    if (this->connectTime > Duration(0)) {
      const TimePoint connectedAt = this->time->Now() + this->connectTime;
      co_await this->time->WaitUntil(connectedAt);
    }
    const Script script = this->scripts.front();
    if (script == Script::ThrowUnsent) {
      throw std::length_error("too long");
    }
    if (!aMaySend()) {
      co_return Fail(aReason, ReasonCode::Stale, "not wanted any more");
    }
    if (this->scripts.size() > 1) {
      this->scripts.pop_front();
    }
    if (script == Script::RefuseConnection) {
      co_return Fail(aReason, ReasonCode::ConnectRefused, "refused");
    }
    this->attempts.push_back(aSpec);
    if (script == Script::ThrowSent) {
      throw std::length_error("too long");
    }
    if (script == Script::BreakWhileSending) {
      co_return Fail(aReason, ReasonCode::WriteFailedPartWay, "broken");
    }
    FakeAttempt attempt;
    attempt.time = this->time;
    attempt.script = script;
    attempt.advice.isLeaving = this->leaving.contains(aSpec.runner);
    if (const auto pause = this->pauses.find(aSpec.runner);
        pause != this->pauses.end()) {
      attempt.script = Script::RefuseWithoutRunning;
      attempt.advice.pause = pause->second;
    }
    attempt.weights = this->answeredWeights;
    attempt.isStream = this->stream;
    attempt.last = aSpec.resumeAfter.value_or(0);
    attempt.stopAt = script == Script::BreakStreamAfterTwo ? 2 : kEvents;
    attempt.open = this->open;
    attempt.finished = &this->finished;
    co_return attempt;
  }

  VirtualTime* time = nullptr;
  std::deque<Script> scripts{ Script::Answer };
  bool stream = false;
  // Version of the weights that answers name.
  std::optional<WeightNumber> answeredWeights;
  Duration connectTime{ 0 };
  // Runners that say in their answers that they leave.
  std::set<UpstreamId> leaving;
  // Runners that turn requests away and ask for a pause.
  std::map<UpstreamId, Duration> pauses;
  std::vector<AttemptSpec> attempts;
  int finished = 0;
  // Shared by all open attempts: its use count minus one is their number.
  std::shared_ptr<int> open = std::make_shared<int>(0);
};

// Records what the caller receives.
struct FakeCaller
{
  Task<bool> Answer(const FakeAttempt& aAttempt, std::string aBody)
  {
    this->status = aAttempt.script == Script::ServerError ? 500 : 200;
    this->body += aBody;
    this->complete = true;
    co_return true;
  }
  Task<bool> BeginStream(const FakeAttempt&, std::string aEvents)
  {
    this->status = 200;
    this->body += aEvents;
    co_return true;
  }
  Task<bool> WriteEvents(std::string aEvents)
  {
    this->body += aEvents;
    co_return true;
  }
  Task<bool> EndStream()
  {
    this->complete = true;
    co_return true;
  }
  Task<bool> Refuse(const Refusal& aRefusal)
  {
    this->refusal = aRefusal;
    this->complete = true;
    co_return true;
  }
  void Abort() { this->aborted = true; }

  unsigned status = 0;
  std::string body;
  bool complete = false;
  bool aborted = false;
  std::optional<Refusal> refusal;
};

} // namespace wigeonwalk
