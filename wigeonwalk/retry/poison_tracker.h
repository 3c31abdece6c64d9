// Poison requests: requests that crash the upstreams that run them.
//
//   const Fingerprint print = FingerprintOf(organisation, body);
//   switch (tracker.Admit(print, now)) {
//     case PoisonAdmission::Run: ...
//     case PoisonAdmission::RunAlone: upstream = tracker.ChooseAlone(print,
//     live); case PoisonAdmission::Refuse: ...
//   }
//   tracker.Started(upstream, print, RunKind::Shared);
//   tracker.Succeeded(upstream, print, now);
#pragma once

#include "wigeonwalk/base/enum_names.h"
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/base/ids.h"
#include "wigeonwalk/base/time.h"
#include "wigeonwalk/retry/notice_queue.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wigeonwalk {

// Stands for an organisation with the content of a request. The same content
// of another organisation has another fingerprint.
using Fingerprint = Hash128;

Fingerprint
FingerprintOf(const OrganisationId& aOrganisation, std::string_view aContent);

// Deaths after which a fingerprint is refused, at least one of them while it
// ran alone.
inline constexpr std::size_t kMaxDeaths = 3;

// Deaths from which on a fingerprint is suspected and runs alone. After the
// first death its neighbours of then go to other upstreams, so a second death
// leaves few suspects; isolating all neighbours of one death would take a
// runner for minutes.
inline constexpr std::size_t kSuspectDeaths = 2;

// How a request may be run.
enum class PoisonAdmission
{
  Run,
  // It is suspected; run it where nothing else runs.
  RunAlone,
  Refuse,
};

template<>
struct EnumNames<PoisonAdmission>
{
  static constexpr std::array<EnumName<PoisonAdmission>, 3> kTable{ {
    { PoisonAdmission::Run, "run" },
    { PoisonAdmission::RunAlone, "run-alone" },
    { PoisonAdmission::Refuse, "refuse" },
  } };
};
static_assert(HasCompleteTable<PoisonAdmission>());

// Whether a run had its upstream to itself.
enum class RunKind
{
  Shared,
  Alone,
};

template<>
struct EnumNames<RunKind>
{
  static constexpr std::array<EnumName<RunKind>, 2> kTable{ {
    { RunKind::Shared, "shared" },
    { RunKind::Alone, "alone" },
  } };
};
static_assert(HasCompleteTable<RunKind>());

// What a notice says of a fingerprint.
enum class PoisonEvidence
{
  // An upstream died while it ran there with others.
  DiedShared,
  // An upstream died while it ran there alone.
  DiedAlone,
  // It ran to its end; deaths up to that time are taken back.
  Cleared,
};

template<>
struct EnumNames<PoisonEvidence>
{
  static constexpr std::array<EnumName<PoisonEvidence>, 3> kTable{ {
    { PoisonEvidence::DiedShared, "died-shared" },
    { PoisonEvidence::DiedAlone, "died-alone" },
    { PoisonEvidence::Cleared, "cleared" },
  } };
};
static_assert(HasCompleteTable<PoisonEvidence>());

// One piece of evidence, 32 bytes: two hashes and a time with the kind in its
// spare bits. Taking it over twice changes nothing.
struct PoisonNotice
{
  Fingerprint fingerprint;
  // Hash of upstream and incarnation, so that one death that several daemons
  // saw counts once; zero for Cleared.
  std::uint64_t death = 0;
  TimePoint at;
  PoisonEvidence evidence = PoisonEvidence::DiedShared;

  bool operator==(const PoisonNotice&) const = default;
};

// Correlates deaths of upstreams with what ran there. One thread only.
class PoisonTracker
{
public:
  // Most fingerprints remembered, and for how long after their last evidence.
  static constexpr std::size_t kMaxRecords = 16'384;
  static constexpr Duration kSuspectMemory = std::chrono::hours(1);
  static constexpr Duration kRefusedMemory = std::chrono::hours(24);
  static constexpr Duration kPushDelay = std::chrono::milliseconds(50);
  static constexpr std::size_t kPushFanOut = 6;
  // An upstream is kept free for a suspect this long after its last evidence;
  // a caller that gave up must not hold it for an hour.
  static constexpr Duration kReservedTime = std::chrono::seconds(60);
  // From this many deaths within the window on, a failure of a rack or zone is
  // assumed: only fingerprints that were suspected before are blamed.
  static constexpr std::size_t kMassDeaths = 4;
  static constexpr Duration kMassWindow = std::chrono::seconds(5);

  PoisonAdmission Admit(const Fingerprint& aPrint, TimePoint aNow);

  // Returns where a suspect runs: of the given upstreams the one with the
  // highest hash, so that all daemons choose the same. The caller waits until
  // the upstream's load report shows it idle, within the request's deadline.
  static std::optional<UpstreamId> ChooseAlone(
    const Fingerprint& aPrint,
    const std::vector<UpstreamId>& aUpstreams);

  // Returns the upstreams that other work must avoid: those of all suspects
  // that this daemon knows.
  std::vector<UpstreamId> Reserved(const std::vector<UpstreamId>& aUpstreams,
                                   TimePoint aNow);

  // Follow the runs of this daemon. Succeeded clears the fingerprint; Ended is
  // for a run that ended otherwise while its upstream lived on.
  void Started(const UpstreamId& aUpstream,
               const Fingerprint& aPrint,
               RunKind aKind);
  void Succeeded(const UpstreamId& aUpstream,
                 const Fingerprint& aPrint,
                 TimePoint aNow);
  void Ended(const UpstreamId& aUpstream, const Fingerprint& aPrint);

  // Blames what ran on an upstream that died. A planned stop is no death.
  // Returns the fingerprints that are refused from now on.
  std::vector<Fingerprint> UpstreamDied(const UpstreamId& aUpstream,
                                        std::uint64_t aIncarnation,
                                        TimePoint aNow);

  // Takes over another daemon's evidence. Returns true where it was new.
  bool MergeNotice(const PoisonNotice& aNotice, TimePoint aNow);

  // Returns notices for the next message to another daemon: in turn the
  // evidence against all suspects, and what is new. The former lets a daemon
  // that missed a push catch up.
  std::vector<PoisonNotice> TakeNotices(std::size_t aMost);

  // Returns notices that were never sent, for a push to kPushFanOut daemons
  // within kPushDelay. A caller repeats its request within seconds, faster than
  // probes spread the evidence.
  std::vector<PoisonNotice> TakeUrgent(std::size_t aMost);

  std::size_t Records() const { return this->records.size(); }

private:
  struct Death
  {
    std::uint64_t id = 0;
    TimePoint at;
    bool alone = false;
  };
  struct Record
  {
    std::vector<Death> deaths;
    TimePoint clearedAt;
    TimePoint lastAt;
  };
  struct Run
  {
    Fingerprint print;
    RunKind kind = RunKind::Shared;
  };

  static bool IsRefused(const Record& aRecord);
  static bool IsSuspected(const Record& aRecord);
  bool HasDeaths(const Fingerprint& aPrint) const;
  bool Apply(const PoisonNotice& aNotice, TimePoint aNow);
  static bool AddDeath(Record& aRecord, const PoisonNotice& aNotice);
  bool IsMassFailure(std::uint64_t aDeath, TimePoint aNow);
  std::vector<PoisonNotice> Refresh(std::size_t aMost);
  void MakeRoom(TimePoint aNow);

  std::unordered_map<Fingerprint, Record> records;
  std::unordered_map<UpstreamId, std::vector<Run>> running;
  // Fingerprints with kSuspectDeaths or more, whose evidence is sent again and
  // again.
  std::unordered_set<Fingerprint> suspects;
  std::size_t refreshed = 0;
  std::deque<Death> recentDeaths;
  NoticeQueue<PoisonNotice> notices;
};

} // namespace wigeonwalk
