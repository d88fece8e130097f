#include "compat/announcement.h"

#include <algorithm>

namespace walkpaddle::compat {

int version_to_write(int own, const std::vector<int>& reads) {
  int version = own;
  for (const int read : reads) version = std::min(version, std::max(read, 1));
  return version;
}

}  // namespace walkpaddle::compat
