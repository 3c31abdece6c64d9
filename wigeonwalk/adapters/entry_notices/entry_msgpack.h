// MessagePack encoding of the notices between entry daemons.
//
//   EntryMsgpack codec;
//   std::string payload = codec.EncodePause(pause);
#pragma once

#include "wigeonwalk/entry/entry_notices.h"

#include <optional>
#include <string>

namespace wigeonwalk {

// Satisfies EntryNoticeCodec. Decoding returns nullopt for a malformed payload.
struct EntryMsgpack
{
  std::string EncodePause(const RunnerPause& aPause) const;
  std::optional<RunnerPause> DecodePause(const std::string& aPayload) const;
  std::string EncodeLoads(const RunnerLoads& aLoads) const;
  std::optional<RunnerLoads> DecodeLoads(const std::string& aPayload) const;
  std::string EncodeWork(const RunnerWork& aWork) const;
  std::optional<RunnerWork> DecodeWork(const std::string& aPayload) const;
  std::string EncodeParts(const HeldParts& aParts) const;
  std::optional<HeldParts> DecodeParts(const std::string& aPayload) const;
  PeerNotice EncodePoison(const PoisonNotice& aNotice) const;
  std::optional<PoisonNotice> DecodePoison(const PeerNotice& aNotice) const;
  PeerNotice EncodeLeaving(const LeavingNotice& aNotice) const;
  std::optional<LeavingNotice> DecodeLeaving(const PeerNotice& aNotice) const;
  std::string EncodePartEvidence(const PartNotice& aNotice) const;
  std::optional<PartNotice> DecodePartEvidence(
    const std::string& aPayload) const;
  std::string EncodeStream(const StreamRecord& aRecord) const;
  std::optional<StreamRecord> DecodeStream(const std::string& aPayload) const;
  std::string EncodeQuery(const RegistryQuery& aQuery) const;
  std::optional<RegistryQuery> DecodeQuery(const std::string& aPayload) const;
  std::string EncodeChanges(const RegistryChanges& aChanges) const;
  std::optional<RegistryChanges> DecodeChanges(
    const std::string& aPayload) const;
};

static_assert(EntryNoticeCodec<EntryMsgpack>);

} // namespace wigeonwalk
