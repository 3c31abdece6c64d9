// Accepts a team's edit of a service document by a compare-and-swap in the
// key-value service.
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

// One edit of one document. The id must be unique to the edit; sending the same
// edit with the same id again is idempotent.
struct DocumentEdit
{
  ServiceName service;
  std::string editId;
  std::string author;
  // Revision that the edit is based on; zero for a new service.
  std::uint64_t baseRevision = 0;
  std::string text;
};

// Outcome of an edit, as far as it is known.
enum class EditOutcome
{
  Accepted,
  // Not accepted, and this submission cannot take effect later.
  Refused,
  // It may take effect later; query it or send it again with the same id.
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
  // Why it was refused or is not yet known. Lists every error of an invalid
  // text.
  std::vector<FailureReason> reasons;
  // On a conflict: the accepted document, and the lines in which the edit
  // differs from it.
  std::optional<DocumentCopy> current;
  std::string difference;
};

// Accepts edits, and determines the outcome of edits whose answer was lost. All
// state is in the key-value service.
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

  // Accepts or refuses an edit; NotYetKnown if that is uncertain at the
  // deadline.
  Task<EditResult> Accept(DocumentEdit aEdit, TimePoint aDeadline);

  // Reads back the outcome of an edit whose answer was lost.
  Task<EditResult> ReadOutcome(DocumentEdit aEdit, TimePoint aDeadline);

private:
  // Timeout of one call. Short enough to leave time for reading back the
  // outcome of a write that gets no answer.
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);

  // The present value of the key; `stored` is empty if the key does not exist.
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
                                    FailureReason& aReason);
  std::optional<EditResult> Validate(const DocumentEdit& aEdit);
  EditResult DeriveOutcome(const DocumentEdit& aEdit, const Current& aCurrent);
  EditResult Conflict(const DocumentEdit& aEdit, const Current& aCurrent);
  Task<EditResult> Write(const DocumentEdit& aEdit,
                         Current aCurrent,
                         TimePoint aDeadline);

  static EditResult Refuse(FailureReason aReason);
  static EditResult Unknown(FailureReason aReason);

  T& timer;
  K& service;
  D& codec;
};

} // namespace wigeonwalk

#include "wigeonwalk/documents/internal/document_acceptance_impl.h"
