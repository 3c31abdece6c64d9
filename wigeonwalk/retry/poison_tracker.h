// Detects poison requests: requests that crash the upstreams that run them.
//
//   const Fingerprint fingerprint = FingerprintOf(organisation, body);
//   switch (tracker.Admit(fingerprint, now)) {
//     case PoisonAdmission::Run: ...
//     case PoisonAdmission::RunAlone:
//       upstream = tracker.ChooseUpstreamForSuspect(fingerprint, live);
//       ...
//     case PoisonAdmission::Refuse: ...
//   }
//   tracker.Started(upstream, fingerprint, RunKind::Shared);
//   tracker.Succeeded(upstream, fingerprint, now);
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

// Hash of an organisation and the content of a request. The same content from
// another organisation has another fingerprint.
using Fingerprint = Hash128;

Fingerprint
FingerprintOf(const OrganisationId& aOrganisation, std::string_view aContent);

// A fingerprint is refused after this many upstream crashes, if at least one
// happened while it ran alone.
inline constexpr std::size_t kMaxCrashes = 3;

// A fingerprint is suspected, and runs alone, from this many upstream crashes
// on. After the first crash the requests that ran together are retried on
// different upstreams, so few of them are part of a second crash. Isolating all
// of them after one crash would occupy a runner for minutes.
inline constexpr std::size_t kSuspectCrashes = 2;

// How a request may be run.
enum class PoisonAdmission
{
  Run,
  // It is suspected; run it on an upstream where nothing else runs.
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

// What a notice reports about a fingerprint.
enum class PoisonEvidence
{
  // An upstream crashed while it ran there with other requests.
  CrashedShared,
  // An upstream crashed while it ran there alone.
  CrashedAlone,
  // It ran to completion; crashes up to that time no longer count against it.
  Cleared,
};

template<>
struct EnumNames<PoisonEvidence>
{
  static constexpr std::array<EnumName<PoisonEvidence>, 3> kTable{ {
    { PoisonEvidence::CrashedShared, "died-shared" },
    { PoisonEvidence::CrashedAlone, "died-alone" },
    { PoisonEvidence::Cleared, "cleared" },
  } };
};
static_assert(HasCompleteTable<PoisonEvidence>());

// One piece of evidence. Encoded in 32 bytes: two hashes, and a time with the
// kind in its spare bits. Merging it is idempotent.
struct PoisonNotice
{
  Fingerprint fingerprint;
  // Hash of upstream and incarnation, so that a crash that several daemons
  // observed counts once; zero for Cleared.
  std::uint64_t crashId = 0;
  TimePoint at;
  PoisonEvidence evidence = PoisonEvidence::CrashedShared;

  bool operator==(const PoisonNotice&) const = default;
};

// Correlates upstream crashes with the requests that ran there. Not
// thread-safe.
class PoisonTracker
{
public:
  // Maximum number of fingerprints kept, and how long they are kept after their
  // last evidence.
  static constexpr std::size_t kMaxRecords = 16'384;
  static constexpr Duration kSuspectRetention = std::chrono::hours(1);
  static constexpr Duration kRefusedRetention = std::chrono::hours(24);
  static constexpr Duration kPushDelay = std::chrono::milliseconds(50);
  static constexpr std::size_t kPushFanOut = 6;
  // How long after its last evidence an upstream is reserved for a suspect.
  // Shorter than kSuspectRetention, so that a caller that gave up does not
  // block an upstream for an hour.
  static constexpr Duration kReservationTime = std::chrono::seconds(60);
  // From this many crashes within the window on, a rack or zone failure is
  // assumed: only fingerprints that already have evidence against them get
  // more.
  static constexpr std::size_t kMassFailureCrashes = 4;
  static constexpr Duration kMassFailureWindow = std::chrono::seconds(5);

  PoisonAdmission Admit(const Fingerprint& aFingerprint, TimePoint aNow);

  // Returns the upstream on which a suspect runs, chosen by rendezvous hashing
  // so that all daemons choose the same one; nothing if `aUpstreams` is empty.
  // The caller waits, within the request's deadline, until the upstream's load
  // report shows it idle.
  static std::optional<UpstreamId> ChooseUpstreamForSuspect(
    const Fingerprint& aFingerprint,
    const std::vector<UpstreamId>& aUpstreams);

  // Returns the upstreams that are reserved for the suspects known to this
  // daemon, and that other requests must avoid.
  std::vector<UpstreamId> ReservedUpstreams(
    const std::vector<UpstreamId>& aUpstreams,
    TimePoint aNow);

  // Track the runs that this daemon started. Succeeded clears the fingerprint;
  // Ended is for a run that ended without success while its upstream stayed up.
  void Started(const UpstreamId& aUpstream,
               const Fingerprint& aFingerprint,
               RunKind aKind);
  void Succeeded(const UpstreamId& aUpstream,
                 const Fingerprint& aFingerprint,
                 TimePoint aNow);
  void Ended(const UpstreamId& aUpstream, const Fingerprint& aFingerprint);

  // Records a crash as evidence against the requests that ran on the upstream.
  // Must not be called for a planned stop. Returns the fingerprints that are
  // refused from now on.
  std::vector<Fingerprint> RecordUpstreamCrash(const UpstreamId& aUpstream,
                                               std::uint64_t aIncarnation,
                                               TimePoint aNow);

  // Merges another daemon's evidence. Returns true if it was new.
  bool MergeNotice(const PoisonNotice& aNotice, TimePoint aNow);

  // Returns up to `aMaxCount` notices for the next message to another daemon:
  // the evidence against all suspects in round-robin order, which lets a daemon
  // that missed a push catch up, and new evidence.
  std::vector<PoisonNotice> TakeNotices(std::size_t aMaxCount);

  // Returns up to `aMaxCount` notices that were never sent, for a push to
  // kPushFanOut daemons within kPushDelay. Callers repeat a request within
  // seconds, which is faster than probes spread the evidence.
  std::vector<PoisonNotice> TakeUrgent(std::size_t aMaxCount);

  std::size_t Records() const { return this->records.size(); }

private:
  struct Crash
  {
    std::uint64_t id = 0;
    TimePoint at;
    bool alone = false;
  };
  struct Record
  {
    std::vector<Crash> crashes;
    TimePoint clearedAt;
    TimePoint lastEvidenceAt;
  };
  struct Run
  {
    Fingerprint fingerprint;
    RunKind kind = RunKind::Shared;
  };

  static bool IsRefused(const Record& aRecord);
  static bool IsSuspected(const Record& aRecord);
  bool HasCrashes(const Fingerprint& aFingerprint) const;
  bool Apply(const PoisonNotice& aNotice, TimePoint aNow);
  static bool AddCrash(Record& aRecord, const PoisonNotice& aNotice);
  bool IsMassFailure(std::uint64_t aCrashId, TimePoint aNow);
  std::vector<PoisonNotice> TakeSuspectEvidence(std::size_t aMaxCount);
  void EvictIfFull(TimePoint aNow);

  std::unordered_map<Fingerprint, Record> records;
  std::unordered_map<UpstreamId, std::vector<Run>> running;
  // Fingerprints with kSuspectCrashes or more crashes, whose evidence is sent
  // repeatedly.
  std::unordered_set<Fingerprint> suspects;
  std::size_t nextSuspect = 0;
  std::deque<Crash> recentCrashes;
  NoticeQueue<PoisonNotice> notices;
};

} // namespace wigeonwalk
