#include "wigeonwalk/kv_client/lease_keeper.h"
#include "wigeonwalk/testing/fake_key_value.h"
#include "wigeonwalk/testing/process_pause.h"

#include <catch2/catch.hpp>

using namespace wigeonwalk;
using namespace std::chrono_literals;

namespace {

// Is restored after each grant of a lease, whose number then belongs to another
// lease.
struct RestoredService : FakeKeyValue
{
  explicit RestoredService(const FakeKeyValue& aService)
    : FakeKeyValue(aService)
  {
  }

  Task<std::optional<LeaseId>> GrantLease(Duration aTimeToLive,
                                          TimePoint aDeadline,
                                          FailureReason& aReason)
  {
    const auto lease =
      co_await this->FakeKeyValue::GrantLease(aTimeToLive, aDeadline, aReason);
    this->RestoreCopy();
    co_return lease;
  }

  Task<WriteResult> Put(PutRequest aPut,
                        TimePoint aDeadline,
                        FailureReason& aReason)
  {
    aPut.lease = 0;
    return this->FakeKeyValue::Put(std::move(aPut), aDeadline, aReason);
  }
};

} // namespace

// Guards against orders under a lease that a restore of the service has ended.
SCENARIO("a lease that was granted before a restore is not held")
{
  VirtualTime time;
  const ProcessPause pause;
  PausableTimer timer(time, pause);
  FakeKeyValue service(time);
  service.TakeCopy();
  RestoredService restored(service);
  using Keeper = LeaseKeeper<RestoredService, PausableTimer>;
  Keeper keeper(restored, timer, { "lease", "first", 10s });
  time.Spawn(keeper.Run());
  time.RunUntil(time.Now() + 1s);
  REQUIRE(service.Peek("lease"));
  CHECK(!keeper.FencingNumber());
}
