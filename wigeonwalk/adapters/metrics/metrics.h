// The daemon's metrics in the Prometheus text format.
//
//   Metrics metrics;
//   metrics.Observe(Metric::TimeToFirstToken, 0.42, { service, organisation });
//   metrics.Add(Metric::Verdicts, 1, { service, organisation, "not-run" });
//   std::string page = metrics.Print();   // body of GET /metrics
#pragma once

#include "wigeonwalk/adapters/metrics/metric_names.h"
#include "wigeonwalk/base/ids.h"

#include <cstddef>
#include <memory>
#include <string>

namespace wigeonwalk {

// Labels of one series; any may be empty.
struct MetricLabels
{
  ServiceName service;
  OrganisationId organisation;
  // Value of the metric's detail label, such as a verdict or a link.
  std::string detail;
};

// Bounds on the number of series.
struct MetricBounds
{
  // Twice the number of steady services in the target, which is one per model.
  std::size_t services = 64;
  // More than the target's 230 organisations.
  std::size_t organisations = 256;
  std::size_t details = 64;
  // Series of one metric. A daemon serves few pairs of service and organisation
  // at once; a histogram series takes about 0.6 KB, so all metrics together
  // stay below 10 MB.
  std::size_t series = 1024;
};

// Bins of every histogram: six per decade, from 1 ms to 100 s. A quantile that
// is estimated from them is off by at most a factor of 10^(1/6) = 1.47.
inline constexpr double kLowestBinSeconds = 0.001;
inline constexpr double kHighestBinSeconds = 100;
inline constexpr unsigned kHistogramBins = 30;

// Label value of all series beyond the bounds.
inline constexpr const char* kOtherLabel = "other";

// Values by metric and labels. Once a bound is reached, a new service,
// organisation or detail counts under "other". Not thread-safe.
class Metrics
{
public:
  explicit Metrics(MetricBounds aBounds = {});
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter or a gauge. A negative amount for a counter, and any
  // number that is not finite, is ignored.
  void Add(Metric aMetric, double aAmount, const MetricLabels& aLabels = {});

  // Sets a gauge, or a counter whose running total is kept elsewhere.
  void Set(Metric aMetric, double aValue, const MetricLabels& aLabels = {});

  // Adds a value to a histogram.
  void Observe(Metric aMetric, double aValue, const MetricLabels& aLabels = {});

  // Returns the current value of a counter or gauge, or the number of values in
  // a histogram; zero where nothing was recorded.
  double ValueOf(Metric aMetric, const MetricLabels& aLabels = {}) const;

  // Returns all series in the text exposition format, version 0.0.4.
  std::string Print() const;

private:
  struct State;

  std::unique_ptr<State> state;
};

} // namespace wigeonwalk
