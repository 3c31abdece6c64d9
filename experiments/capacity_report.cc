// Fits lines to measured points and extrapolates them to the target size.
//
// Reads JSON lines and prints a Markdown table row for each slope: the fit, its
// error, the values at today's size and at the target size, and the budget.
// Also writes an SVG figure for each slope.
//
//   capacity_report --points points.jsonl --figures docs/capacity
//
// A line with a point: {"slope": "idle-cpu", "x": 25, "y": 0.4}. A line that
// describes a slope:
// {"slope": "idle-cpu", "label": "...", "xLabel": "daemons", "unit": "% of a
// core", "today": 6, "target": 350, "budget": 1.6, "mechanism": "..."}.

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using Json = nlohmann::json;

struct Point
{
  double x = 0;
  double y = 0;
};

struct Slope
{
  std::string label;
  std::string xLabel;
  std::string unit;
  std::string mechanism;
  double today = 0;
  double target = 0;
  std::optional<double> budget;
  std::vector<Point> points;
};

// A line `intercept + slope * x`, and the root mean square of its residuals.
struct Fit
{
  double intercept = 0;
  double slope = 0;
  double rmsError = 0;

  double At(double aX) const { return this->intercept + this->slope * aX; }
};

Fit
FitLine(const std::vector<Point>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  Point mean;
  for (const Point& point : aPoints) {
    mean.x += point.x / count;
    mean.y += point.y / count;
  }
  double xx = 0;
  double xy = 0;
  for (const Point& point : aPoints) {
    xx += (point.x - mean.x) * (point.x - mean.x);
    xy += (point.x - mean.x) * (point.y - mean.y);
  }
  Fit fit;
  fit.slope = xx > 0 ? xy / xx : 0;
  fit.intercept = mean.y - fit.slope * mean.x;
  double squares = 0;
  for (const Point& point : aPoints) {
    const double residual = point.y - fit.At(point.x);
    squares += residual * residual;
  }
  fit.rmsError = std::sqrt(squares / std::max(count, 1.0));
  return fit;
}

std::map<std::string, Slope>
ReadSlopes(std::istream& aInput)
{
  std::map<std::string, Slope> slopes;
  std::string line;
  while (std::getline(aInput, line)) {
    const Json json = Json::parse(line);
    Slope& slope = slopes[json.at("slope").get<std::string>()];
    if (json.contains("x")) {
      slope.points.push_back(
        { json.at("x").get<double>(), json.at("y").get<double>() });
      continue;
    }
    slope.label = json.at("label").get<std::string>();
    slope.xLabel = json.at("xLabel").get<std::string>();
    slope.unit = json.at("unit").get<std::string>();
    slope.mechanism = json.at("mechanism").get<std::string>();
    slope.today = json.at("today").get<double>();
    slope.target = json.at("target").get<double>();
    if (json.contains("budget")) {
      slope.budget = json.at("budget").get<double>();
    }
  }
  return slopes;
}

// Formats a number with three significant digits.
std::string
FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", aValue);
  return text;
}

void
WriteSvgFigure(const Slope& aSlope, const Fit& aFit, const std::string& aPath)
{
  constexpr double kWidth = 360;
  constexpr double kHeight = 200;
  constexpr double kMargin = 40;
  double maxY = std::max(aFit.At(aSlope.target), 0.0);
  for (const Point& point : aSlope.points) {
    maxY = std::max(maxY, point.y);
  }
  maxY = std::max(maxY, 1e-9) * 1.1;
  const auto toX = [&](double aX) {
    return kMargin + aX / aSlope.target * (kWidth - 2 * kMargin);
  };
  const auto toY = [&](double aY) {
    return kHeight - kMargin - aY / maxY * (kHeight - 2 * kMargin);
  };
  std::ofstream file(aPath);
  file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
       << "\" height=\"" << kHeight
       << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
       << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
       << "<text x=\"" << kMargin << "\" y=\"20\">" << aSlope.label << " ("
       << aSlope.unit << ")</text>\n"
       << "<line x1=\"" << kMargin << "\" y1=\"" << toY(0) << "\" x2=\""
       << toX(aSlope.target) << "\" y2=\"" << toY(0)
       << "\" stroke=\"black\"/>\n"
       << "<line x1=\"" << toX(0) << "\" y1=\"" << toY(aFit.At(0)) << "\" x2=\""
       << toX(aSlope.target) << "\" y2=\"" << toY(aFit.At(aSlope.target))
       << "\" stroke=\"steelblue\" stroke-dasharray=\"4\"/>\n";
  for (const Point& point : aSlope.points) {
    file << "<circle cx=\"" << toX(point.x) << "\" cy=\"" << toY(point.y)
         << "\" r=\"3\" fill=\"firebrick\"/>\n";
  }
  file << "<text x=\"" << toX(aSlope.target) - 60 << "\" y=\"" << kHeight - 20
       << "\">" << FormatNumber(aSlope.target) << ' ' << aSlope.xLabel
       << "</text>\n"
       << "<text x=\"" << toX(aSlope.target) - 40 << "\" y=\""
       << toY(aFit.At(aSlope.target)) - 6 << "\">"
       << FormatNumber(aFit.At(aSlope.target)) << "</text>\n</svg>\n";
}

void
PrintRow(const std::string& aName, const Slope& aSlope, const Fit& aFit)
{
  const double atTarget = aFit.At(aSlope.target);
  std::string budgetResult = "-";
  if (aSlope.budget) {
    budgetResult = FormatNumber(*aSlope.budget) +
                   (atTarget <= *aSlope.budget ? ", within" : ", **over**");
  }
  std::cout << "| [" << aSlope.label << "](capacity/" << aName << ".svg) | "
            << aSlope.unit << " | " << FormatNumber(aFit.intercept) << " + "
            << FormatNumber(aFit.slope) << " × " << aSlope.xLabel << " | "
            << FormatNumber(aFit.rmsError) << " | " << aSlope.points.size()
            << " | " << FormatNumber(aFit.At(aSlope.today)) << " at "
            << FormatNumber(aSlope.today) << " | " << FormatNumber(atTarget)
            << " at " << FormatNumber(aSlope.target) << " | " << budgetResult
            << " | " << aSlope.mechanism << " |\n";
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Extrapolates measured points to the target size");
  std::string points;
  std::string figures;
  app.add_option("--points", points, "file of JSON lines")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_option("--figures", figures, "folder for SVG figures")->required();
  CLI11_PARSE(app, argc, argv);

  std::ifstream input(points);
  std::filesystem::create_directories(figures);
  std::cout << "| Slope | Unit | Fit | RMS error | Points | Today | Target | "
               "Budget | Mechanism |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [name, slope] : ReadSlopes(input)) {
    const Fit fit = FitLine(slope.points);
    WriteSvgFigure(slope, fit, figures + '/' + name + ".svg");
    PrintRow(name, slope, fit);
  }
  return 0;
}
