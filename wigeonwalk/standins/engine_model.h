// Simulation of a model engine without any I/O: a prefix cache of bounded size,
// a prefill queue, and deterministic tokens.
//
//   EngineModel model(settings);
//   PrefillPlan plan = model.Admit(request, now);
//   std::string token = EngineModel::TokenText(request, 0);
#pragma once

#include "wigeonwalk/base/time.h"
#include "wigeonwalk/ports/model_engine.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace wigeonwalk {

// Settings of a stand-in engine.
struct EngineStandinSettings
{
  UpstreamId id;
  std::string address;
  ModelName model;
  WeightVersion version;
  double prefillTokensPerSecond = 8'000;
  Duration tokenInterval = std::chrono::milliseconds(10);
  // Capacity of the prefix cache in tokens.
  std::uint64_t cacheTokens = 64 * 2048;
  bool checksFencingNumbers = true;
  // Delay between a cache event and its publication.
  Duration reportLag = std::chrono::milliseconds(200);
};

// When a request's prefill ends, and how many prompt tokens were cached.
struct PrefillPlan
{
  TimePoint readyAt;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
};

// The cache and the prefill queue of one engine. One thread only.
class EngineModel
{
public:
  EngineModel(EngineStandinSettings aSettings, std::uint64_t aIncarnation);

  // Queues the prefill of the tokens that are not cached, and caches the
  // prompt.
  PrefillPlan Admit(const EngineRequest& aRequest, TimePoint aNow);

  // Puts an imported piece into the cache.
  void Insert(const PieceKey& aPiece, TimePoint aNow);
  bool Holds(const PieceKey& aPiece) const;

  // Applies an order. Loading a version empties the cache.
  OrderAnswer Apply(const EngineOrder& aOrder, TimePoint aNow);

  LoadReport Load(TimePoint aNow) const;
  CacheEventBatch EventsSince(std::uint64_t aSequence, TimePoint aNow) const;
  EngineState State() const;
  const EngineStandinSettings& Settings() const { return this->settings; }

  void BeginStream() { ++this->running; }
  void EndStream() { --this->running; }

  // Returns the text of one token, which depends only on the prompt, the seed,
  // the version and the index.
  static std::string TokenText(const EngineRequest& aRequest,
                               std::uint32_t aIndex);

private:
  struct TimedEvent
  {
    TimePoint at;
    CacheEvent event;
  };

  void Touch(const PieceKey& aPiece, TimePoint aNow);
  void Publish(CacheEventKind aKind, const PieceKey& aPiece, TimePoint aNow);

  EngineStandinSettings settings;
  std::uint64_t incarnation;
  std::uint64_t lastFencingNumber = 0;
  std::uint64_t nextSequence = 1;
  std::uint32_t running = 0;
  TimePoint prefillFreeAt;
  // Most recently used first.
  std::list<PieceKey> lruOrder;
  std::unordered_map<PieceKey, std::list<PieceKey>::iterator> cached;
  std::vector<TimedEvent> eventLog;
  std::vector<AdapterName> adapters;
  std::string role = "serving";
};

} // namespace wigeonwalk
