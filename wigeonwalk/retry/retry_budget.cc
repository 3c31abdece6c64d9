#include "wigeonwalk/retry/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonwalk {

std::size_t
RetryBudget::PairHash::operator()(const PairKey& aKey) const noexcept
{
  const std::size_t organisation =
    std::hash<OrganisationId>()(aKey.organisation);
  return organisation * 31 + std::hash<ServiceName>()(aKey.service);
}

RetryBudget::RetryBudget(RetryBudgetSettings aSettings)
  : settings(aSettings)
{
}

void
RetryBudget::RecordSuccess(const OrganisationId& aOrganisation,
                           const ServiceName& aService,
                           TimePoint aNow)
{
  Credit& credit = this->UpdateCredit({ aOrganisation, aService }, aNow);
  credit.amount = std::min(credit.amount + this->settings.creditPerSuccess,
                           this->settings.maxCredit);
  this->UpdateReserve(aNow);
  this->reserve = std::min(this->reserve + this->settings.reservePerSuccess,
                           this->settings.maxReserve);
}

bool
RetryBudget::TrySpend(const OrganisationId& aOrganisation,
                      const ServiceName& aService,
                      TimePoint aNow)
{
  Credit& credit = this->UpdateCredit({ aOrganisation, aService }, aNow);
  if (credit.amount >= 1) {
    credit.amount -= 1;
    return true;
  }
  this->UpdateReserve(aNow);
  if (this->reserve < 1 ||
      aNow - credit.reserveUsedAt < this->settings.reserveInterval) {
    return false;
  }
  this->reserve -= 1;
  credit.reserveUsedAt = aNow;
  return true;
}

RetryBudget::Credit&
RetryBudget::UpdateCredit(const PairKey& aKey, TimePoint aNow)
{
  const auto found = this->credits.find(aKey);
  if (found == this->credits.end()) {
    if (this->credits.size() >= this->settings.maxPairs) {
      this->EvictLeastRecentlyUsed();
    }
    return this->credits.emplace(aKey, Credit{ 0, aNow, TimePoint() })
      .first->second;
  }
  Credit& credit = found->second;
  credit.amount = this->Decayed(credit.amount, aNow - credit.updatedAt);
  credit.updatedAt = aNow;
  return credit;
}

void
RetryBudget::UpdateReserve(TimePoint aNow)
{
  if (this->reserveUpdatedAt == TimePoint()) {
    this->reserveUpdatedAt = aNow;
  }
  const Duration elapsed = aNow - this->reserveUpdatedAt;
  // The constant gain decays too, so without successes the reserve converges
  // to gain × decay time = 1 retry.
  const double gained =
    this->settings.reservePerSecond * ToSeconds(this->settings.decayTime);
  const double decayed = this->Decayed(this->reserve - gained, elapsed);
  this->reserve = std::max(0.0, decayed + gained);
  this->reserveUpdatedAt = aNow;
}

double
RetryBudget::Decayed(double aAmount, Duration aElapsed) const
{
  return aAmount *
         std::exp(-ToSeconds(aElapsed) / ToSeconds(this->settings.decayTime));
}

void
RetryBudget::EvictLeastRecentlyUsed()
{
  const auto oldest =
    std::min_element(this->credits.begin(),
                     this->credits.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.updatedAt < aRight.second.updatedAt;
                     });
  this->credits.erase(oldest);
}

} // namespace wigeonwalk
