#include "wigeonwalk/base/ids.h"

namespace wigeonwalk {

std::string
AttemptId::ToString() const
{
  return this->daemon.Text() + '.' + std::to_string(this->incarnation) + '.' +
         std::to_string(this->connection) + '.' + std::to_string(this->attempt);
}

} // namespace wigeonwalk
