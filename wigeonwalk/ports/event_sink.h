// Port for the timeline: a record of what happened to each request and how a
// daemon's view of the system changed.
//
//   sink.Record({ .kind = EventKind::Placed, .request = id, .subject = "r3" });
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/base/verdict.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace wigeonwalk {

// Type of an event: a step of a request, or a change in a daemon's view of the
// system.
enum class EventKind
{
  RequestReceived,
  RequestRefused,
  RequestQueued,
  RequestClaimed,
  ClaimGivenUp,
  DirectoryLookedUp,
  RequestPlaced,
  RestoreStarted,
  RestoreFinished,
  StreamOpened,
  FirstToken,
  StreamResumed,
  StreamBroken,
  RequestRetried,
  RequestFinished,
  AnswerDropped,
  CallerGone,
  MemberJoined,
  MemberSuspected,
  MemberLost,
  MemberLeft,
  DocumentAccepted,
  DocumentInForce,
  KeyValueUnavailable,
  KeyValueAvailable,
  LeaseHeld,
  LeaseLost,
  OrderSent,
  OrderAnswered,
  UpstreamLeaving,
  UpstreamLost,
  PoisonSuspected,
  PoisonRefused,
  PieceExported,
  PieceDropped,
  LimitRebalanced,
  StopRequested,
  StopFinished,
};

template<>
struct EnumNames<EventKind>
{
  static constexpr std::array<EnumName<EventKind>, 38> kTable{ {
    { EventKind::RequestReceived, "request-received" },
    { EventKind::RequestRefused, "request-refused" },
    { EventKind::RequestQueued, "request-queued" },
    { EventKind::RequestClaimed, "request-claimed" },
    { EventKind::ClaimGivenUp, "claim-given-up" },
    { EventKind::DirectoryLookedUp, "directory-looked-up" },
    { EventKind::RequestPlaced, "request-placed" },
    { EventKind::RestoreStarted, "restore-started" },
    { EventKind::RestoreFinished, "restore-finished" },
    { EventKind::StreamOpened, "stream-opened" },
    { EventKind::FirstToken, "first-token" },
    { EventKind::StreamResumed, "stream-resumed" },
    { EventKind::StreamBroken, "stream-broken" },
    { EventKind::RequestRetried, "request-retried" },
    { EventKind::RequestFinished, "request-finished" },
    { EventKind::AnswerDropped, "answer-dropped" },
    { EventKind::CallerGone, "caller-gone" },
    { EventKind::MemberJoined, "member-joined" },
    { EventKind::MemberSuspected, "member-suspected" },
    { EventKind::MemberLost, "member-lost" },
    { EventKind::MemberLeft, "member-left" },
    { EventKind::DocumentAccepted, "document-accepted" },
    { EventKind::DocumentInForce, "document-in-force" },
    { EventKind::KeyValueUnavailable, "key-value-unavailable" },
    { EventKind::KeyValueAvailable, "key-value-available" },
    { EventKind::LeaseHeld, "lease-held" },
    { EventKind::LeaseLost, "lease-lost" },
    { EventKind::OrderSent, "order-sent" },
    { EventKind::OrderAnswered, "order-answered" },
    { EventKind::UpstreamLeaving, "upstream-leaving" },
    { EventKind::UpstreamLost, "upstream-lost" },
    { EventKind::PoisonSuspected, "poison-suspected" },
    { EventKind::PoisonRefused, "poison-refused" },
    { EventKind::PieceExported, "piece-exported" },
    { EventKind::PieceDropped, "piece-dropped" },
    { EventKind::LimitRebalanced, "limit-rebalanced" },
    { EventKind::StopRequested, "stop-requested" },
    { EventKind::StopFinished, "stop-finished" },
  } };
};
static_assert(HasCompleteTable<EventKind>());

// One event. Never contains prompt text, answer text or an API key.
struct Event
{
  EventKind kind = EventKind::RequestReceived;
  TimePoint at;
  RequestId request;
  // The upstream, member, service or piece that the event is about.
  std::string subject;
  std::optional<Verdict> verdict;
  // Short human-readable detail, such as a count or a reason code.
  std::string detail;
  // How long the step waited, and the timeout that ended the wait.
  std::optional<Duration> elapsed;
  std::optional<Duration> limit;
};

// Records events. Recording never blocks and never fails.
template<typename T>
concept EventSink = requires(T& aSink, Event aEvent)
{
  {
    aSink.Record(std::move(aEvent))
    } -> std::same_as<void>;
};

} // namespace wigeonwalk
