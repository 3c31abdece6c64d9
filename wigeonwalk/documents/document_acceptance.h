// Accepts a team's edit by one compare-and-swap on the key-value service.
//
//   DocumentAcceptance acceptance(timer, service, codec);
//   EditResult result = co_await acceptance.Accept(edit, deadline);
#pragma once

#include "wigeonwalk/documents/line_difference.h"
#include "wigeonwalk/documents/stored_document.h"
#include "wigeonwalk/ports/clock.h"
#include "wigeonwalk/ports/key_value.h"

#include <algorithm>
#include <utility>

namespace wigeonwalk {

// One edit of one document. The id is unique to the edit; sending the same
// edit again with the same id is harmless.
struct DocumentEdit
{
  ServiceName service;
  std::string editId;
  std::string author;
  // Revision that the edit was made on; zero for a new service.
  std::uint64_t baseRevision = 0;
  std::string text;
};

// What is known of an edit.
enum class EditOutcome
{
  Accepted,
  // Not accepted, and it never will be by this submission.
  Refused,
  // It may take effect later; ask again or send it again with the same id.
  NotYetKnown,
};

template<>
struct EnumNames<EditOutcome>
{
  static constexpr std::array<EnumName<EditOutcome>, 3> kTable{ {
    { EditOutcome::Accepted, "accepted" },
    { EditOutcome::Refused, "refused" },
    { EditOutcome::NotYetKnown, "not-yet-known" },
  } };
};
static_assert(HasCompleteTable<EditOutcome>());

// Answer to an edit.
struct EditResult
{
  EditOutcome outcome = EditOutcome::Refused;
  // The revision that the edit made, on Accepted.
  std::uint64_t revision = 0;
  // Why it was refused or is not yet known; every error of an invalid text.
  std::vector<LastReason> reasons;
  // On a conflict: the accepted document and its difference from the edit.
  std::optional<DocumentCopy> current;
  std::string difference;
};

// Accepts edits and settles lost answers. Stateless; all state is in the
// key-value service.
template<Timer T, KeyValueService K, DocumentCodec D>
class DocumentAcceptance
{
public:
  DocumentAcceptance(T& aTimer, K& aService, D& aCodec)
    : timer(aTimer)
    , service(aService)
    , codec(aCodec)
  {
  }

  // Accepts or refuses an edit by the deadline.
  Task<EditResult> Accept(DocumentEdit aEdit, TimePoint aDeadline);

  // Reads back what became of an edit whose answer was lost.
  Task<EditResult> Settle(DocumentEdit aEdit, TimePoint aDeadline);

private:
  // Leaves time for a read-back where a write gets no answer.
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  // The key's present content. A missing key has no stored document.
  struct Current
  {
    std::int64_t modRevision = 0;
    std::optional<StoredDocument> stored;

    std::uint64_t Revision() const
    {
      return this->stored ? this->stored->copy.revision : 0;
    }
  };

  Task<std::optional<Current>> Read(const ServiceName& aService,
                                    TimePoint aDeadline,
                                    LastReason& aReason);
  std::optional<EditResult> Check(const DocumentEdit& aEdit);
  EditResult Judge(const DocumentEdit& aEdit, const Current& aCurrent);
  EditResult Conflict(const DocumentEdit& aEdit, const Current& aCurrent);
  Task<EditResult> Write(const DocumentEdit& aEdit,
                         Current aCurrent,
                         TimePoint aDeadline);

  static EditResult Refuse(LastReason aReason);
  static EditResult Unknown(LastReason aReason);

  T& timer;
  K& service;
  D& codec;
};

} // namespace wigeonwalk

#include "wigeonwalk/documents/internal/document_acceptance_impl.h"
