#include "io/process_memory.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstddef>
#include <string_view>

#include "base/text.h"
#include "io/fd.h"

namespace walkpaddle {

double resident_megabytes() {
  constexpr std::size_t kMaxLineBytes = 128;  // seven numbers
  constexpr double kBytesPerMegabyte = 1 << 20;
  const Fd file(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC));
  char line[kMaxLineBytes];
  const auto got = ::read(file.get(), line, sizeof line);
  if (got <= 0) return 0;
  std::string_view rest(line, static_cast<std::size_t>(got));
  take_field(rest, ' ');  // total pages
  const auto resident_pages = parse_or(take_field(rest, ' '), 0.0);
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

}  // namespace walkpaddle
