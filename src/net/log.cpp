#include "net/log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>

namespace walkpaddle::net {

int Log::admit(std::string_view kind) {
  constexpr int kASecond = 5;  // enough to see who is concerned; a lost location has a handful of members
  const Sec second = static_cast<Sec>(
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch())
          .count());
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) it = kinds_.emplace(std::string(kind), Kind{}).first;
  auto& k = it->second;
  if (k.second != second) k.second = second, k.lines = 0;
  if (++k.lines > kASecond) return ++k.left_out, -1;
  return std::exchange(k.left_out, 0);
}

void Log::write(std::string_view kind, const std::string& text, int left_out) {
  const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
  auto line = fmt::format("{:%FT%T}Z {} {}: {}", now, name_, kind, text);
  if (left_out > 0) line += fmt::format(" ({} such lines left out before)", left_out);
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace walkpaddle::net
