// Time to hash one piece of 8,192 bytes with the digest in use, and with the
// alternatives that docs/decisions/piece-key.md compares.
#include "wigeonwalk/base/hash128.h"
#include "wigeonwalk/cache/piece_key.h"

#include <benchmark/benchmark.h>
#include <openssl/evp.h>

#include <array>
#include <string>

using namespace wigeonwalk;

namespace {

const std::string kPiece(kPieceBytes, 'p');

void
HashWithXxHash3(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark::DoNotOptimize(HashBytes(kPiece, 7));
  }
}
BENCHMARK(HashWithXxHash3);

void
HashWithPieceKey(benchmark::State& aState)
{
  PieceKey key{ 1, 2 };
  for (auto _ : aState) {
    key = NextPieceKey(key, kPiece);
    benchmark::DoNotOptimize(key);
  }
}
BENCHMARK(HashWithPieceKey);

void
HashWithDigest(benchmark::State& aState, const char* aName)
{
  EVP_MD* digest = EVP_MD_fetch(nullptr, aName, nullptr);
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  for (auto _ : aState) {
    EVP_DigestInit_ex(context, digest, nullptr);
    EVP_DigestUpdate(context, kPiece.data(), kPiece.size());
    EVP_DigestFinal_ex(context, out.data(), nullptr);
    benchmark::DoNotOptimize(out);
  }
  EVP_MD_CTX_free(context);
  EVP_MD_free(digest);
}
BENCHMARK_CAPTURE(HashWithDigest, Sha256, "SHA256");
BENCHMARK_CAPTURE(HashWithDigest, Sha512, "SHA512");
BENCHMARK_CAPTURE(HashWithDigest, Blake2b, "BLAKE2B-512");
BENCHMARK_CAPTURE(HashWithDigest, Blake2s, "BLAKE2S-256");

void
HashWithSipHash128(benchmark::State& aState)
{
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
  EVP_MAC_CTX* context = EVP_MAC_CTX_new(mac);
  const std::array<unsigned char, 16> key{ 1, 2, 3 };
  std::array<unsigned char, 16> out{};
  std::size_t length = 0;
  for (auto _ : aState) {
    EVP_MAC_init(context, key.data(), key.size(), nullptr);
    EVP_MAC_update(context,
                   reinterpret_cast<const unsigned char*>(kPiece.data()),
                   kPiece.size());
    EVP_MAC_final(context, out.data(), &length, out.size());
    benchmark::DoNotOptimize(out);
  }
  EVP_MAC_CTX_free(context);
  EVP_MAC_free(mac);
}
BENCHMARK(HashWithSipHash128);

} // namespace

BENCHMARK_MAIN();
