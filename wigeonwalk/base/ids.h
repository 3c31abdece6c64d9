// Strongly typed identifiers, which the compiler keeps apart.
//
//   OrganisationId organisation("tofu-lenga");
//   organisation.Text();   // "tofu-lenga"
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonwalk {

// A string identifier. The tag distinguishes the types of identifiers.
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aText)
    : text(std::move(aText))
  {
  }

  const std::string& Text() const { return this->text; }
  bool Empty() const { return this->text.empty(); }

  // clang-tidy 14 mistakes the zero of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Id&) const = default;

private:
  std::string text;
};

using OrganisationId = Id<struct OrganisationTag>;
using ServiceName = Id<struct ServiceTag>;
using ModelName = Id<struct ModelTag>;
using WeightVersion = Id<struct WeightVersionTag>;
using AdapterName = Id<struct AdapterTag>;
using AvailabilityZone = Id<struct AvailabilityZoneTag>;
using HostId = Id<struct HostTag>;
using UpstreamId = Id<struct UpstreamTag>;
using RequestId = Id<struct RequestTag>;

// Identifies one attempt to run a request, uniquely across all daemons and
// their restarts. An upstream's answer with another attempt id is dropped.
struct AttemptId
{
  HostId daemon;
  // Increases with each start of the daemon.
  std::uint64_t incarnation = 0;
  // Number of the upstream connection since the daemon's start.
  std::uint64_t connection = 0;
  // Number of the attempt since the daemon's start.
  std::uint64_t attempt = 0;

  auto operator<=>(const AttemptId&) const = default;

  // Returns "daemon.incarnation.connection.attempt" for headers and logs.
  std::string ToString() const;
};

// Parses the output of ToString. Returns nullopt for any other text.
std::optional<AttemptId>
ParseAttemptId(std::string_view aText);

} // namespace wigeonwalk

template<typename Tag>
struct std::hash<wigeonwalk::Id<Tag>>
{
  std::size_t operator()(const wigeonwalk::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>()(aId.Text());
  }
};
