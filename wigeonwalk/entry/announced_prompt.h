// Tells other daemons of a long prompt at a runner while it is there.
//
//   AnnouncedPrompt announced(peers, runner, work);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"
#include "wigeonwalk/fleet/runner.h"

#include <memory>
#include <utility>

namespace wigeonwalk {

// Notifies other daemons of long prefills at a runner and of requests that
// crash runners.
template<typename T>
concept WorkNotifier = requires(T& aNotifier, const RunnerWork& aWork)
{
  aNotifier.AnnounceWork(aWork);
  aNotifier.AnnouncePoison();
};

// RAII guard: a long prompt at a runner, of which other daemons are told.
template<WorkNotifier P>
class AnnouncedPrompt
{
public:
  AnnouncedPrompt(P& aPeers, std::shared_ptr<Runner> aRunner, RunnerWork aWork)
    : peers(aPeers)
    , runner(std::move(aRunner))
    , work(std::move(aWork))
  {
    ++this->runner->longPrompts.count;
    this->runner->longPrompts.tokens += this->work.memoryTokens;
    this->work.atRunner = this->runner->longPrompts;
    this->peers.AnnounceWork(this->work);
  }
  ~AnnouncedPrompt()
  {
    --this->runner->longPrompts.count;
    this->runner->longPrompts.tokens -= this->work.memoryTokens;
    this->work.tokensToPrefill = 0;
    this->work.memoryTokens = 0;
    this->work.atRunner = this->runner->longPrompts;
    this->peers.AnnounceWork(this->work);
  }
  AnnouncedPrompt(const AnnouncedPrompt&) = delete;
  AnnouncedPrompt& operator=(const AnnouncedPrompt&) = delete;

private:
  P& peers;
  std::shared_ptr<Runner> runner;
  RunnerWork work;
};

} // namespace wigeonwalk
