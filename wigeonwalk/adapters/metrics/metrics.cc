#include "wigeonwalk/adapters/metrics/metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wigeonwalk {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = std::vector<std::uint64_t>;

auto
MakeBins()
{
  return bh::make_histogram_with(
    Counts(), LogAxis(kHistogramBins, kLowestBinSeconds, kHighestBinSeconds));
}

using Bins = decltype(MakeBins());

struct Series
{
  // Value of a counter or gauge; sum of a histogram's values.
  double value = 0;
  std::uint64_t count = 0;
  std::optional<Bins> bins;
};

using LabelValues = std::array<std::string, 3>;
using SeriesByLabels = std::map<LabelValues, Series>;

constexpr std::size_t kMetricCount = EnumNames<Metric>::kTable.size();

std::string
PrintNumber(double aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.9g", aNumber);
  return text.data();
}

std::string
Escape(const std::string& aValue)
{
  std::string escaped;
  for (const char c : aValue) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

// Returns the labels in braces; empty ones are left out.
std::string
PrintLabels(const MetricInfo& aInfo,
            const LabelValues& aLabels,
            const std::string& aBound = {})
{
  const std::array<std::pair<std::string_view, const std::string*>, 4> rows{ {
    { "service", &aLabels[0] },
    { "organisation", &aLabels[1] },
    { aInfo.detailLabel, &aLabels[2] },
    { "le", &aBound },
  } };
  std::string text;
  for (const auto& [name, value] : rows) {
    if (value->empty() || name.empty()) {
      continue;
    }
    text += text.empty() ? "{" : ",";
    text += std::string(name) + "=\"" + Escape(*value) + "\"";
  }
  return text.empty() ? text : text + "}";
}

std::string
PrintedName(const MetricInfo& aInfo)
{
  std::string name = "wigeonwalk_" + std::string(NameOf(aInfo.metric)) + "_" +
                     std::string(aInfo.unit);
  return aInfo.type == MetricType::Counter ? name + "_total" : name;
}

std::string
PrintHistogram(const MetricInfo& aInfo,
               const std::string& aName,
               const LabelValues& aLabels,
               const Series& aSeries)
{
  std::string text;
  const auto& axis = aSeries.bins->axis();
  std::uint64_t cumulative = 0;
  // Index -1 is the underflow bin, for values below the lowest bin.
  for (int i = -1; i < axis.size(); ++i) {
    cumulative += aSeries.bins->at(i);
    text += aName + "_bucket" +
            PrintLabels(aInfo, aLabels, PrintNumber(axis.value(i + 1))) + " " +
            std::to_string(cumulative) + "\n";
  }
  const std::string count = std::to_string(aSeries.count) + "\n";
  text += aName + "_bucket" + PrintLabels(aInfo, aLabels, "+Inf") + " " + count;
  text += aName + "_sum" + PrintLabels(aInfo, aLabels) + " " +
          PrintNumber(aSeries.value) + "\n";
  return text + aName + "_count" + PrintLabels(aInfo, aLabels) + " " + count;
}

// The values of one label, up to a bound. Values beyond it become kOtherLabel.
class LabelSet
{
public:
  explicit LabelSet(std::size_t aBound)
    : bound(aBound)
  {
  }

  const std::string& Admit(const std::string& aValue)
  {
    if (aValue.empty() || this->known.contains(aValue)) {
      return aValue;
    }
    if (this->known.size() >= this->bound) {
      return this->other;
    }
    return *this->known.insert(aValue).first;
  }

private:
  std::size_t bound;
  std::string other = kOtherLabel;
  std::set<std::string> known;
};

} // namespace

struct Metrics::State
{
  explicit State(const MetricBounds& aBounds)
    : bounds(aBounds)
    , services(aBounds.services)
    , organisations(aBounds.organisations)
    , details(aBounds.details)
  {
  }

  // Returns the series of the labels, or the "other" series if a new one would
  // exceed the bound.
  Series& Find(Metric aMetric, const MetricLabels& aLabels)
  {
    auto& all = this->series[static_cast<std::size_t>(aMetric)];
    const LabelValues exact{ this->services.Admit(aLabels.service.Text()),
                             this->organisations.Admit(
                               aLabels.organisation.Text()),
                             this->details.Admit(aLabels.detail) };
    if (all.size() < this->bounds.series || all.contains(exact)) {
      return all[exact];
    }
    const LabelValues other{ kOtherLabel, kOtherLabel, kOtherLabel };
    return all[other];
  }

  MetricBounds bounds;
  LabelSet services;
  LabelSet organisations;
  LabelSet details;
  std::array<SeriesByLabels, kMetricCount> series;
};

Metrics::Metrics(MetricBounds aBounds)
  : state(std::make_unique<State>(aBounds))
{
}

Metrics::~Metrics() = default;

void
Metrics::Add(Metric aMetric, double aAmount, const MetricLabels& aLabels)
{
  const bool decreasesCounter =
    InfoOf(aMetric).type == MetricType::Counter && aAmount < 0;
  if (std::isfinite(aAmount) && !decreasesCounter) {
    this->state->Find(aMetric, aLabels).value += aAmount;
  }
}

void
Metrics::Set(Metric aMetric, double aValue, const MetricLabels& aLabels)
{
  if (std::isfinite(aValue)) {
    this->state->Find(aMetric, aLabels).value = aValue;
  }
}

void
Metrics::Observe(Metric aMetric, double aValue, const MetricLabels& aLabels)
{
  if (!std::isfinite(aValue)) {
    return;
  }
  Series& series = this->state->Find(aMetric, aLabels);
  if (!series.bins) {
    series.bins = MakeBins();
  }
  // Zero and negative values have no logarithm and count in the underflow bin.
  (*series.bins)(std::max(aValue, kLowestBinSeconds / 2));
  series.value += aValue;
  ++series.count;
}

double
Metrics::ValueOf(Metric aMetric, const MetricLabels& aLabels) const
{
  const auto& all = this->state->series[static_cast<std::size_t>(aMetric)];
  const auto found = all.find(
    { aLabels.service.Text(), aLabels.organisation.Text(), aLabels.detail });
  if (found == all.end()) {
    return 0;
  }
  return found->second.bins ? static_cast<double>(found->second.count)
                            : found->second.value;
}

std::string
Metrics::Print() const
{
  std::string text;
  for (const auto& info : kMetricInfos) {
    const auto& all =
      this->state->series[static_cast<std::size_t>(info.metric)];
    if (all.empty()) {
      continue;
    }
    const std::string name = PrintedName(info);
    text += "# HELP " + name + " " + std::string(info.help) + "\n";
    text += "# TYPE " + name + " " + std::string(NameOf(info.type)) + "\n";
    for (const auto& [labels, series] : all) {
      text += series.bins ? PrintHistogram(info, name, labels, series)
                          : name + PrintLabels(info, labels) + " " +
                              PrintNumber(series.value) + "\n";
    }
  }
  return text;
}

} // namespace wigeonwalk
