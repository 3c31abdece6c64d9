// The metrics of a daemon: names, units, types and labels.
//
//   InfoOf(Metric::TimeToFirstToken).unit;   // "seconds"
//   NameOf(Metric::TimeToFirstToken);        // "time_to_first_token"
#pragma once

#include "wigeonwalk/base/enum_names.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace wigeonwalk {

// The metrics. The printed name also contains the unit.
enum class Metric
{
  TimeToFirstToken,
  TimeBetweenTokens,
  QueueTime,
  PromptTokens,
  RecomputedTokens,
  GeneratedTokens,
  LinkBytes,
  LinkBusyTime,
  LinkRate,
  Verdicts,
  RequestsOpen,
  RequestsRetried,
  AnswersDropped,
  KeyValueCalls,
  KeyValueLatency,
  ControlCpuTime,
  ControlBytes,
  DocumentRevision,
  MembersAlive,
  LogLinesDropped,
  EventsDropped,
  PromptPartsRefused,
  RunnersLeaving,
  RunnerPauses,
  RequestsRefusedForPause,
  AnswersOnOldWeights,
  ZonesOutOfUse,
  RequestsRefusedForPlace,
  RunnersCold,
  RequestsSentToCold,
  CallerLimits,
  DaemonsWaiting,
  CachedParts,
  CachedPartsEvicted,
  StreamsTakenUp,
};

template<>
struct EnumNames<Metric>
{
  static constexpr std::array<EnumName<Metric>, 35> kTable{ {
    { Metric::TimeToFirstToken, "time_to_first_token" },
    { Metric::TimeBetweenTokens, "time_between_tokens" },
    { Metric::QueueTime, "queue_time" },
    { Metric::PromptTokens, "prompt" },
    { Metric::RecomputedTokens, "prompt_recomputed" },
    { Metric::GeneratedTokens, "generated" },
    { Metric::LinkBytes, "link_transferred" },
    { Metric::LinkBusyTime, "link_busy" },
    { Metric::LinkRate, "link_rate" },
    { Metric::Verdicts, "verdicts" },
    { Metric::RequestsOpen, "open" },
    { Metric::RequestsRetried, "retried" },
    { Metric::AnswersDropped, "dropped" },
    { Metric::KeyValueCalls, "key_value" },
    { Metric::KeyValueLatency, "key_value_latency" },
    { Metric::ControlCpuTime, "control_cpu" },
    { Metric::ControlBytes, "control_sent" },
    { Metric::DocumentRevision, "document" },
    { Metric::MembersAlive, "alive" },
    { Metric::LogLinesDropped, "log_dropped" },
    { Metric::EventsDropped, "timeline_dropped" },
    { Metric::PromptPartsRefused, "refused_prompt" },
    { Metric::RunnersLeaving, "leaving" },
    { Metric::RunnerPauses, "requested" },
    { Metric::RequestsRefusedForPause, "refused_for_pause" },
    { Metric::AnswersOnOldWeights, "on_old_weights" },
    { Metric::ZonesOutOfUse, "out_of_use" },
    { Metric::RequestsRefusedForPlace, "refused_for_place" },
    { Metric::RunnersCold, "cold" },
    { Metric::RequestsSentToCold, "sent_to_cold" },
    { Metric::CallerLimits, "limited" },
    { Metric::DaemonsWaiting, "waiting" },
    { Metric::CachedParts, "cached" },
    { Metric::CachedPartsEvicted, "evicted" },
    { Metric::StreamsTakenUp, "taken_up" },
  } };
};
static_assert(HasCompleteTable<Metric>());

// Metric types of Prometheus.
enum class MetricType
{
  // A sum that never decreases.
  Counter,
  // The latest value.
  Gauge,
  // Counts of values in log-spaced bins.
  Histogram,
};

template<>
struct EnumNames<MetricType>
{
  static constexpr std::array<EnumName<MetricType>, 3> kTable{ {
    { MetricType::Counter, "counter" },
    { MetricType::Gauge, "gauge" },
    { MetricType::Histogram, "histogram" },
  } };
};
static_assert(HasCompleteTable<MetricType>());

// Unit and type of one metric.
struct MetricInfo
{
  Metric metric;
  MetricType type;
  // Plural of the base unit, as Prometheus names it.
  std::string_view unit;
  // Name of the label besides service and organisation; empty for none.
  std::string_view detailLabel;
  std::string_view help;
};

inline constexpr std::array<MetricInfo, 35> kMetricInfos{ {
  { Metric::TimeToFirstToken,
    MetricType::Histogram,
    "seconds",
    "",
    "Time from a request's arrival to its first token." },
  { Metric::TimeBetweenTokens,
    MetricType::Histogram,
    "seconds",
    "",
    "Time between two tokens of a stream." },
  { Metric::QueueTime,
    MetricType::Histogram,
    "seconds",
    "",
    "Time that a request waits in the fair queue." },
  { Metric::PromptTokens,
    MetricType::Counter,
    "tokens",
    "",
    "Prompt tokens of the requests that ran." },
  { Metric::RecomputedTokens,
    MetricType::Counter,
    "tokens",
    "",
    "Prompt tokens that were computed again although served before." },
  { Metric::GeneratedTokens,
    MetricType::Counter,
    "tokens",
    "",
    "Tokens sent to callers." },
  { Metric::LinkBytes,
    MetricType::Counter,
    "bytes",
    "link",
    "Bytes moved over a tier's or a zone's link." },
  { Metric::LinkBusyTime,
    MetricType::Counter,
    "seconds",
    "link",
    "Time during which a link moved bytes." },
  { Metric::LinkRate,
    MetricType::Gauge,
    "bytes_per_second",
    "link",
    "Estimated rate of a link." },
  { Metric::Verdicts,
    MetricType::Counter,
    "requests",
    "verdict",
    "Requests by verdict." },
  { Metric::RequestsOpen,
    MetricType::Gauge,
    "requests",
    "",
    "Requests in progress." },
  { Metric::RequestsRetried,
    MetricType::Counter,
    "requests",
    "",
    "Attempts after a request's first." },
  { Metric::AnswersDropped,
    MetricType::Counter,
    "answers",
    "",
    "Answers of upstreams that belong to no open attempt." },
  { Metric::KeyValueCalls,
    MetricType::Counter,
    "calls",
    "operation",
    "Calls of the key-value service; a pending watch is one." },
  { Metric::KeyValueLatency,
    MetricType::Histogram,
    "seconds",
    "operation",
    "Time of a call of the key-value service." },
  { Metric::ControlCpuTime,
    MetricType::Counter,
    "seconds",
    "",
    "Processor time of control work." },
  { Metric::ControlBytes,
    MetricType::Counter,
    "bytes",
    "message",
    "Bytes sent to other daemons and to the platform." },
  { Metric::DocumentRevision,
    MetricType::Gauge,
    "revision",
    "",
    "Revision of the document in force." },
  { Metric::MembersAlive,
    MetricType::Gauge,
    "members",
    "",
    "Daemons that are alive in this daemon's view." },
  { Metric::LogLinesDropped,
    MetricType::Counter,
    "lines",
    "",
    "Log lines dropped because the output was slow." },
  { Metric::EventsDropped,
    MetricType::Counter,
    "events",
    "",
    "Timeline events that gave way to later ones." },
  { Metric::PromptPartsRefused,
    MetricType::Gauge,
    "parts",
    "",
    "Parts of prompts that are refused because they crash runners." },
  { Metric::RunnersLeaving,
    MetricType::Counter,
    "runners",
    "cause",
    "Runners that leave, by how this daemon learnt of it." },
  { Metric::RunnerPauses,
    MetricType::Counter,
    "pauses",
    "",
    "Pauses that runners asked this daemon for." },
  { Metric::RequestsRefusedForPause,
    MetricType::Counter,
    "requests",
    "",
    "Requests refused because all runners asked for a pause." },
  { Metric::AnswersOnOldWeights,
    MetricType::Counter,
    "answers",
    "",
    "Answers made on older weights than expected or allowed." },
  { Metric::ZonesOutOfUse,
    MetricType::Gauge,
    "zones",
    "",
    "Availability zones whose runners get no new requests." },
  { Metric::RequestsRefusedForPlace,
    MetricType::Counter,
    "requests",
    "cause",
    "Requests refused because no runner is where they may be processed." },
  { Metric::RunnersCold,
    MetricType::Gauge,
    "runners",
    "",
    "Runners that get few requests because they have just started." },
  { Metric::RequestsSentToCold,
    MetricType::Counter,
    "requests",
    "",
    "Requests sent to cold runners." },
  { Metric::CallerLimits,
    MetricType::Counter,
    "clients",
    "cause",
    "Requests and connections of clients beyond a limit." },
  { Metric::DaemonsWaiting,
    MetricType::Gauge,
    "daemons",
    "",
    "Daemons expected to have long prompts that wait for a runner's memory." },
  { Metric::CachedParts,
    MetricType::Gauge,
    "parts",
    "",
    "Cached parts that are remembered, once for each holder." },
  { Metric::CachedPartsEvicted,
    MetricType::Counter,
    "parts",
    "",
    "Cached parts that were forgotten because there were too many." },
  { Metric::StreamsTakenUp,
    MetricType::Counter,
    "streams",
    "source",
    "Broken streams that callers took up again, by how it was found which "
    "software version began them." },
} };

// Returns unit, type and labels of a metric.
constexpr const MetricInfo&
InfoOf(Metric aMetric)
{
  return kMetricInfos[static_cast<std::size_t>(aMetric)];
}

// Returns whether the rows are in the order of the enumeration.
constexpr bool
HasOrderedInfos()
{
  for (std::size_t i = 0; i < kMetricInfos.size(); ++i) {
    if (static_cast<std::size_t>(kMetricInfos[i].metric) != i) {
      return false;
    }
  }
  return kMetricInfos.size() == EnumNames<Metric>::kTable.size();
}
static_assert(HasOrderedInfos());

} // namespace wigeonwalk
