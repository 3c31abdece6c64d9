// Definitions of document_acceptance.h; included by it only.
#pragma once

#include "wigeonwalk/documents/document_acceptance.h"

namespace wigeonwalk {

template<Timer T, KeyValueService K, DocumentCodec D>
Task<EditResult>
DocumentAcceptance<T, K, D>::Accept(DocumentEdit aEdit, TimePoint aDeadline)
{
  if (auto refused = this->Validate(aEdit)) {
    co_return *refused;
  }
  FailureReason reason;
  auto current = co_await this->Read(aEdit.service, aDeadline, reason);
  if (!current) {
    co_return Refuse(reason);
  }
  // Write only an edit that is based on the present revision, since the
  // compare-and-swap compares with the value that was read.
  EditResult derived = this->DeriveOutcome(aEdit, *current);
  if (derived.outcome != EditOutcome::NotYetKnown ||
      current->Revision() != aEdit.baseRevision) {
    co_return derived;
  }
  co_return co_await this->Write(aEdit, std::move(*current), aDeadline);
}

template<Timer T, KeyValueService K, DocumentCodec D>
Task<EditResult>
DocumentAcceptance<T, K, D>::ReadOutcome(DocumentEdit aEdit,
                                         TimePoint aDeadline)
{
  FailureReason reason;
  const auto current = co_await this->Read(aEdit.service, aDeadline, reason);
  if (!current) {
    co_return Unknown(reason);
  }
  co_return this->DeriveOutcome(aEdit, *current);
}

// Refuses an edit that can never be accepted, before anything is sent.
template<Timer T, KeyValueService K, DocumentCodec D>
std::optional<EditResult>
DocumentAcceptance<T, K, D>::Validate(const DocumentEdit& aEdit)
{
  EditResult result;
  if (aEdit.editId.empty()) {
    return Refuse({ ReasonCode::InvalidArgument, "edit has no editId", {} });
  }
  const auto parsed = this->codec.Parse(aEdit.text, result.reasons);
  if (!parsed) {
    return result;
  }
  if (parsed->name != aEdit.service) {
    return Refuse({ ReasonCode::InvalidArgument,
                    "document names service '" + parsed->name.Text() +
                      "', which is not the service of the edit",
                    "/name" });
  }
  return std::nullopt;
}

// Returns what the present value of the key proves about an edit. NotYetKnown
// means that the document is still at the edit's base revision, so that a
// compare-and-swap can succeed, or that the history no longer shows the edit.
template<Timer T, KeyValueService K, DocumentCodec D>
EditResult
DocumentAcceptance<T, K, D>::DeriveOutcome(const DocumentEdit& aEdit,
                                           const Current& aCurrent)
{
  const std::vector<EditRecord> none;
  const auto& history = aCurrent.stored ? aCurrent.stored->history : none;
  for (const EditRecord& record : history) {
    if (record.editId != aEdit.editId) {
      continue;
    }
    // The text can only be compared for the present revision.
    const bool otherText = record.revision == aCurrent.Revision() &&
                           aCurrent.stored->copy.text != aEdit.text;
    if (record.revision == aEdit.baseRevision + 1 && !otherText) {
      return { EditOutcome::Accepted, record.revision, {}, {}, {} };
    }
    return Refuse({ ReasonCode::AlreadyExists,
                    "editId was already used for another edit",
                    DocumentKey(aEdit.service) });
  }
  if (aCurrent.Revision() == aEdit.baseRevision) {
    return Unknown(
      { ReasonCode::Unavailable, "edit has not taken effect yet", {} });
  }
  const bool complete =
    !history.empty() && history.front().revision <= aEdit.baseRevision + 1;
  if (aEdit.baseRevision < aCurrent.Revision() && !complete) {
    return Unknown({ ReasonCode::Expired,
                     "edit history no longer goes back to revision " +
                       std::to_string(aEdit.baseRevision + 1),
                     DocumentKey(aEdit.service) });
  }
  return this->Conflict(aEdit, aCurrent);
}

// Refuses an edit that is not based on the present revision, and returns the
// difference.
template<Timer T, KeyValueService K, DocumentCodec D>
EditResult
DocumentAcceptance<T, K, D>::Conflict(const DocumentEdit& aEdit,
                                      const Current& aCurrent)
{
  EditResult conflict =
    Refuse({ ReasonCode::Conflict,
             "document is at revision " + std::to_string(aCurrent.Revision()) +
               ", but the edit is based on revision " +
               std::to_string(aEdit.baseRevision),
             DocumentKey(aEdit.service) });
  if (aCurrent.stored) {
    conflict.current = aCurrent.stored->copy;
    conflict.difference = LineDifference(conflict.current->text, aEdit.text);
  }
  return conflict;
}

// Writes until the outcome is certain or the deadline has passed. Each attempt
// is the same compare-and-swap, so at most one of them takes effect.
template<Timer T, KeyValueService K, DocumentCodec D>
Task<EditResult>
DocumentAcceptance<T, K, D>::Write(const DocumentEdit& aEdit,
                                   Current aCurrent,
                                   TimePoint aDeadline)
{
  constexpr Duration kInitialPause = std::chrono::milliseconds(50);
  constexpr Duration kMaxPause = std::chrono::milliseconds(800);
  StoredDocument next;
  next.copy = {
    aEdit.service, aEdit.baseRevision + 1, aEdit.editId, aEdit.text
  };
  if (aCurrent.stored) {
    next.history = std::move(aCurrent.stored->history);
  }
  next.history.push_back(
    { next.copy.revision, aEdit.editId, aEdit.author, this->timer.Now() });
  if (next.history.size() > kMaxEditRecords) {
    next.history.erase(next.history.begin());
  }
  const PutRequest put{ DocumentKey(aEdit.service),
                        this->codec.Encode(next),
                        aCurrent.modRevision };
  if (put.value.size() > kMaxValueBytes) {
    co_return Refuse({ ReasonCode::TooLarge,
                       std::to_string(put.value.size()) +
                         " bytes with edit history; at most " +
                         std::to_string(kMaxValueBytes),
                       put.key });
  }
  bool maybeSent = false;
  FailureReason reason;
  for (Duration pause = kInitialPause;;
       pause = std::min(2 * pause, kMaxPause)) {
    const TimePoint until =
      std::min(aDeadline, this->timer.Now() + kCallTimeout);
    const WriteResult result = co_await this->service.Put(put, until, reason);
    if (result.outcome == WriteOutcome::Applied) {
      co_return EditResult{
        EditOutcome::Accepted, next.copy.revision, {}, {}, {}
      };
    }
    if (result.outcome == WriteOutcome::NotSent && !maybeSent) {
      co_return Refuse(reason);
    }
    maybeSent = true;
    const auto current = co_await this->Read(aEdit.service, aDeadline, reason);
    if (current) {
      EditResult derived = this->DeriveOutcome(aEdit, *current);
      if (derived.outcome != EditOutcome::NotYetKnown) {
        co_return derived;
      }
      reason = derived.reasons.front();
    }
    if (this->timer.Now() + pause >= aDeadline) {
      co_return Unknown(reason);
    }
    co_await this->timer.WaitUntil(this->timer.Now() + pause);
  }
}

template<Timer T, KeyValueService K, DocumentCodec D>
Task<std::optional<typename DocumentAcceptance<T, K, D>::Current>>
DocumentAcceptance<T, K, D>::Read(const ServiceName& aService,
                                  TimePoint aDeadline,
                                  FailureReason& aReason)
{
  const std::string key = DocumentKey(aService);
  const TimePoint until = std::min(aDeadline, this->timer.Now() + kCallTimeout);
  const auto read = co_await this->service.Get(key, until, aReason);
  if (!read) {
    co_return std::nullopt;
  }
  Current current;
  if (read->entry) {
    current.modRevision = read->entry->modRevision;
    current.stored = this->codec.Decode(read->entry->value, aReason);
    if (!current.stored) {
      co_return std::nullopt;
    }
  }
  co_return current;
}

template<Timer T, KeyValueService K, DocumentCodec D>
EditResult
DocumentAcceptance<T, K, D>::Refuse(FailureReason aReason)
{
  return { EditOutcome::Refused, 0, { std::move(aReason) }, {}, {} };
}

template<Timer T, KeyValueService K, DocumentCodec D>
EditResult
DocumentAcceptance<T, K, D>::Unknown(FailureReason aReason)
{
  return { EditOutcome::NotYetKnown, 0, { std::move(aReason) }, {}, {} };
}

} // namespace wigeonwalk
