// A document codec for tests that uses plain lines of text.
//
//   TestDocumentCodec codec;
//   auto document = codec.Parse("orders\nany text\n", reasons);
#pragma once

#include "wigeonwalk/documents/stored_document.h"

#include <sstream>
#include <string>

namespace wigeonwalk {

// The first line of a document is its service. A document that begins with the
// line "invalid" yields one error for each line.
struct TestDocumentCodec
{
  std::string Encode(const StoredDocument& aStored) const
  {
    std::ostringstream out;
    out << aStored.copy.service.Text() << '\n'
        << aStored.copy.revision << '\n'
        << aStored.copy.editId << '\n'
        << aStored.history.size() << '\n';
    for (const EditRecord& record : aStored.history) {
      out << record.revision << ' ' << record.editId << ' ' << record.author
          << '\n';
    }
    out << aStored.copy.text;
    return out.str();
  }

  std::optional<StoredDocument> Decode(const std::string& aValue,
                                       FailureReason& aReason) const
  {
    std::istringstream in(aValue);
    StoredDocument stored;
    std::string service;
    std::size_t records = 0;
    in >> service >> stored.copy.revision >> stored.copy.editId >> records;
    for (std::size_t i = 0; i < records; ++i) {
      EditRecord record;
      in >> record.revision >> record.editId >> record.author;
      stored.history.push_back(record);
    }
    if (!in) {
      return Fail(aReason, ReasonCode::Corrupt, "malformed stored document");
    }
    stored.copy.service = ServiceName(service);
    in.get();
    std::ostringstream text;
    text << in.rdbuf();
    stored.copy.text = text.str();
    return stored;
  }

  std::optional<ServiceDocument> Parse(
    const std::string& aText,
    std::vector<FailureReason>& aReasons) const
  {
    std::istringstream in(aText);
    std::string line;
    std::getline(in, line);
    if (line != "invalid") {
      ServiceDocument document;
      document.name = ServiceName(line);
      return document;
    }
    do {
      aReasons.push_back({ ReasonCode::InvalidArgument, line, {} });
    } while (std::getline(in, line));
    return std::nullopt;
  }
};

static_assert(DocumentCodec<TestDocumentCodec>);

} // namespace wigeonwalk
