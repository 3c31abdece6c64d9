// Records the measurements of requests in the daemon's metrics.
//
//   RequestMetricsRecorder measures(metrics);
//   measures.Ended(scope, Verdict::Ran);
#pragma once

#include "wigeonwalk/adapters/metrics/metrics.h"
#include "wigeonwalk/ports/request_metrics.h"

#include <string>

namespace wigeonwalk {

// Satisfies RequestMetrics. Not thread-safe; the metrics must outlive it.
class RequestMetricsRecorder
{
public:
  explicit RequestMetricsRecorder(Metrics& aMetrics)
    : metrics(aMetrics)
  {
  }

  void TimeToFirstToken(const MetricScope& aScope, Duration aElapsed)
  {
    this->metrics.Observe(
      Metric::TimeToFirstToken, ToSeconds(aElapsed), LabelsOf(aScope));
  }
  void QueueTime(const MetricScope& aScope, Duration aElapsed)
  {
    this->metrics.Observe(
      Metric::QueueTime, ToSeconds(aElapsed), LabelsOf(aScope));
  }
  void InterTokenLatency(const MetricScope& aScope, Duration aElapsed)
  {
    this->metrics.Observe(
      Metric::TimeBetweenTokens, ToSeconds(aElapsed), LabelsOf(aScope));
    this->metrics.Add(Metric::GeneratedTokens, 1, LabelsOf(aScope));
  }
  void Prompt(const MetricScope& aScope,
              std::uint64_t aTokens,
              std::uint64_t aRecomputed)
  {
    this->metrics.Add(
      Metric::PromptTokens, static_cast<double>(aTokens), LabelsOf(aScope));
    this->metrics.Add(Metric::RecomputedTokens,
                      static_cast<double>(aRecomputed),
                      LabelsOf(aScope));
  }
  void Ended(const MetricScope& aScope, Verdict aVerdict)
  {
    MetricLabels labels = LabelsOf(aScope);
    labels.detail = std::string(NameOf(aVerdict));
    this->metrics.Add(Metric::Verdicts, 1, labels);
  }
  void Retried(const MetricScope& aScope)
  {
    this->metrics.Add(Metric::RequestsRetried, 1, LabelsOf(aScope));
  }
  // Counts a chunk that was dropped because it is foreign, a duplicate, or
  // after the end of the stream.
  void Dropped(const MetricScope& aScope)
  {
    this->metrics.Add(Metric::AnswersDropped, 1, LabelsOf(aScope));
  }

private:
  static MetricLabels LabelsOf(const MetricScope& aScope)
  {
    return { aScope.service, aScope.organisation, {} };
  }

  Metrics& metrics;
};

static_assert(RequestMetrics<RequestMetricsRecorder>);

} // namespace wigeonwalk
