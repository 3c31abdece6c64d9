// Sheds a service's requests early under overload, by request class and by how
// much of its fair share each organisation uses.
//
//   auto work = shedder.Offer(organisation, tokens, free, now, retryAfter);
//   if (!work) { ... NotRun, Retry-After ... }
#pragma once

#include "wigeonwalk/documents/service_document.h"
#include "wigeonwalk/limits/overload.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace wigeonwalk {

// One service's shedder at one daemon. One thread only; must outlive its work.
class ServiceShedder
{
public:
  ServiceShedder(std::uint64_t aSeed, TimePoint aNow)
    : shedder(aSeed, aNow)
  {
  }

  // Admitted work. The destructor ends it.
  class Work
  {
  public:
    Work(ServiceShedder& aOwner,
         OrganisationId aOrganisation,
         double aTokens,
         std::function<TimePoint()> aNow)
      : owner(&aOwner)
      , organisation(std::move(aOrganisation))
      , tokens(aTokens)
      , now(std::move(aNow))
    {
    }
    Work(Work&& aOther) noexcept
      : owner(std::exchange(aOther.owner, nullptr))
      , organisation(std::move(aOther.organisation))
      , tokens(aOther.tokens)
      , now(std::move(aOther.now))
    {
    }
    Work& operator=(Work&&) = delete;
    ~Work()
    {
      if (this->owner != nullptr) {
        this->owner->End(this->organisation, this->tokens, this->now());
      }
    }

  private:
    ServiceShedder* owner;
    OrganisationId organisation;
    double tokens;
    std::function<TimePoint()> now;
  };

  // Returns the admitted work, or nullopt with the time after which the caller
  // should retry. `aRunnerFree` tells whether an upstream could start a request
  // soon.
  std::optional<Work> Offer(const OrganisationSpec& aOrganisation,
                            double aTokens,
                            bool aRunnerFree,
                            std::function<TimePoint()> aNow,
                            Duration& aRetryAfter)
  {
    const ShedOffer offer{ aOrganisation.requestClass,
                           this->ShareUse(aOrganisation),
                           aTokens,
                           aRunnerFree };
    const ShedAnswer answer = this->shedder.Offer(offer, aNow());
    if (!answer.admitted) {
      aRetryAfter = answer.retryAfter;
      return std::nullopt;
    }
    Use& use = this->uses[aOrganisation.id];
    use.tokens += aTokens;
    use.weight = aOrganisation.weight;
    this->total += aTokens;
    return Work(*this, aOrganisation.id, aTokens, std::move(aNow));
  }

private:
  struct Use
  {
    double tokens = 0;
    double weight = 1;
  };

  // Returns the organisation's tokens in flight relative to its weighted fair
  // share of all tokens in flight.
  double ShareUse(const OrganisationSpec& aOrganisation) const
  {
    const auto own = this->uses.find(aOrganisation.id);
    if (own == this->uses.end() || this->total <= 0) {
      return 0;
    }
    double weights = 0;
    for (const auto& [organisation, use] : this->uses) {
      weights += use.weight;
    }
    const double fair = this->total * aOrganisation.weight / weights;
    return own->second.tokens / fair;
  }

  void End(const OrganisationId& aOrganisation, double aTokens, TimePoint aNow)
  {
    Use& use = this->uses[aOrganisation];
    use.tokens -= aTokens;
    this->total -= aTokens;
    if (use.tokens <= 0) {
      this->uses.erase(aOrganisation);
    }
    this->shedder.Complete(aTokens, aNow);
  }

  OverloadShedder shedder;
  std::unordered_map<OrganisationId, Use> uses;
  double total = 0;
};

} // namespace wigeonwalk
