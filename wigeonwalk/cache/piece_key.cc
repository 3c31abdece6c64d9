#include "wigeonwalk/cache/piece_key.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <memory>
#include <stdexcept>
#include <string>

namespace wigeonwalk {

namespace {

using Digest = std::array<unsigned char, EVP_MAX_MD_SIZE>;

struct ContextDeleter
{
  void operator()(EVP_MD_CTX* aContext) const { EVP_MD_CTX_free(aContext); }
};

// Reads eight bytes in big-endian order, so that a key has the same text on
// every host.
std::uint64_t
ReadBigEndian(const unsigned char* aBytes)
{
  std::uint64_t value = 0;
  for (int i = 0; i < 8; ++i) {
    value = (value << 8) | aBytes[i];
  }
  return value;
}

void
WriteBigEndian(std::uint64_t aValue, unsigned char* aBytes)
{
  for (int i = 7; i >= 0; --i) {
    aBytes[i] = static_cast<unsigned char>(aValue);
    aValue >>= 8;
  }
}

PieceKey
Truncate(const Digest& aDigest)
{
  return { ReadBigEndian(aDigest.data()), ReadBigEndian(aDigest.data() + 8) };
}

// Appends a field with its length, so that ("ab", "c") and ("a", "bc") differ.
void
AppendField(std::string& aText, const std::string& aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

PieceKey
ScopeSalt(std::string_view aSecret, const PieceScope& aScope)
{
  std::string text = "wigeonwalk-piece-1:";
  AppendField(text, aScope.organisation.Text());
  AppendField(text, aScope.service.Text());
  AppendField(text, aScope.model.Text());
  AppendField(text, aScope.version.Text());
  AppendField(text, aScope.adapter.Text());
  Digest digest{};
  unsigned int length = 0;
  if (HMAC(EVP_sha256(),
           aSecret.data(),
           static_cast<int>(aSecret.size()),
           reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           digest.data(),
           &length) == nullptr) {
    throw std::runtime_error("OpenSSL cannot compute HMAC-SHA-256");
  }
  return Truncate(digest);
}

PieceKey
NextPieceKey(const PieceKey& aPrevious, std::string_view aPieceText)
{
  // One context per thread, because allocating one takes as long as hashing 1
  // KB.
  thread_local const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(
    EVP_MD_CTX_new());
  std::array<unsigned char, 16> previous{};
  WriteBigEndian(aPrevious.high, previous.data());
  WriteBigEndian(aPrevious.low, previous.data() + 8);
  Digest digest{};
  const bool done =
    context != nullptr &&
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
    EVP_DigestUpdate(context.get(), previous.data(), previous.size()) == 1 &&
    EVP_DigestUpdate(context.get(), aPieceText.data(), aPieceText.size()) ==
      1 &&
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) == 1;
  if (!done) {
    throw std::runtime_error("OpenSSL cannot compute SHA-256");
  }
  return Truncate(digest);
}

std::vector<PieceKey>
PieceChain(const PieceKey& aSalt, std::string_view aPrompt)
{
  std::vector<PieceKey> chain;
  chain.reserve(aPrompt.size() / kPieceBytes);
  PieceKey previous = aSalt;
  for (std::size_t start = 0; start + kPieceBytes <= aPrompt.size();
       start += kPieceBytes) {
    previous = NextPieceKey(previous, aPrompt.substr(start, kPieceBytes));
    chain.push_back(previous);
  }
  return chain;
}

} // namespace wigeonwalk
