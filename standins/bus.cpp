#include "standins/bus.h"

namespace walkpaddle::standins {

std::string big_end(std::uint64_t value, int bytes) {
  std::string out;
  for (int n = bytes - 1; n >= 0; --n) out += static_cast<char>(value >> (8 * n) & 255);
  return out;
}

std::string frame_text(std::uint64_t number, int kind, const std::string& payload) {
  return big_end(9 + payload.size(), 4) + big_end(number, 8) + big_end(static_cast<unsigned>(kind), 1) +
         payload;
}

std::string member_record(std::uint64_t id, int port, Says state, int place, int kind,
                          std::uint64_t started_ms) {
  constexpr std::uint32_t kLoopback = 0x7f000001;
  return big_end(id, 4) + big_end(kLoopback, 4) + big_end(static_cast<unsigned>(port), 2) +
         big_end(static_cast<unsigned>(state), 1) + big_end(static_cast<unsigned>(place), 1) +
         big_end(static_cast<unsigned>(kind), 1) + big_end(0, 2) + big_end(1000, 4) + big_end(started_ms, 8);
}

}  // namespace walkpaddle::standins
