#include "wigeonwalk/adapters/ctl/internal/table.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace wigeonwalk::ctl_internal {

namespace {

constexpr std::streamsize kMaxFileBytes = 16 * 1024 * 1024;

// Returns the number of code points of a UTF-8 text.
std::size_t
Width(const std::string& aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aChar) {
      return (static_cast<unsigned char>(aChar) & 0xC0) != 0x80;
    }));
}

} // namespace

Table::Table(std::vector<std::string> aHeader)
{
  this->rows.push_back(std::move(aHeader));
}

void
Table::Add(std::vector<std::string> aRow)
{
  for (auto& cell : aRow) {
    std::replace_if(
      cell.begin(),
      cell.end(),
      [](char aChar) {
        const auto byte = static_cast<unsigned char>(aChar);
        return byte < 0x20 || byte == 0x7F;
      },
      '?');
  }
  this->rows.push_back(std::move(aRow));
}

std::string
Table::Print() const
{
  std::vector<std::size_t> widths(this->rows.front().size());
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row.at(i)));
    }
  }
  std::string text;
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < widths.size(); ++i) {
      line += row[i] + std::string(widths[i] - Width(row[i]) + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::optional<std::string>
ReadFile(const std::string& aPath, FailureReason& aReason)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string content;
  content.resize(kMaxFileBytes + 1);
  file.read(content.data(), kMaxFileBytes + 1);
  const std::streamsize size = file.gcount();
  if (!file.eof() && size <= kMaxFileBytes) {
    return Fail(aReason, ReasonCode::NotFound, "cannot read the file", aPath);
  }
  if (size > kMaxFileBytes) {
    return Fail(aReason, ReasonCode::TooLarge, "larger than 16 MB", aPath);
  }
  content.resize(static_cast<std::size_t>(size));
  return content;
}

bool
WriteFile(const std::string& aPath,
          const std::string& aContent,
          FailureReason& aReason)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aContent;
  file.close();
  if (!file) {
    Fail(aReason, ReasonCode::Unavailable, "cannot write the file", aPath);
    return false;
  }
  return true;
}

} // namespace wigeonwalk::ctl_internal
