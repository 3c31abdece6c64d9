#include "wigeonwalk/adapters/http/http_message.h"

#include <algorithm>
#include <cctype>

namespace wigeonwalk {

namespace {

bool
EqualIgnoringCase(char aLeft, char aRight)
{
  return std::tolower(static_cast<unsigned char>(aLeft)) ==
         std::tolower(static_cast<unsigned char>(aRight));
}

} // namespace

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (std::equal(header.name.begin(),
                   header.name.end(),
                   aName.begin(),
                   aName.end(),
                   EqualIgnoringCase)) {
      return header.value;
    }
  }
  return {};
}

} // namespace wigeonwalk
