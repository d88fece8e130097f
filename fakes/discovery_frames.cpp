#include "fakes/discovery_frames.h"

namespace walkpaddle::fakes {

std::string big_endian(std::uint64_t value, int bytes) {
  std::string out;
  for (int n = bytes - 1; n >= 0; --n) out += static_cast<char>(value >> (8 * n) & 255);
  return out;
}

std::string discovery_frame(std::uint64_t number, int kind, const std::string& payload) {
  return big_endian(9 + payload.size(), 4) + big_endian(number, 8) +
         big_endian(static_cast<unsigned>(kind), 1) + payload;
}

std::string endpoint_record(std::uint64_t id, int port, AnnouncedState state, int location, int kind,
                            std::uint64_t started_ms) {
  constexpr std::uint32_t kLoopback = 0x7f000001;
  return big_endian(id, 4) + big_endian(kLoopback, 4) + big_endian(static_cast<unsigned>(port), 2) +
         big_endian(static_cast<unsigned>(state), 1) + big_endian(static_cast<unsigned>(location), 1) +
         big_endian(static_cast<unsigned>(kind), 1) + big_endian(0, 2) + big_endian(1000, 4) +
         big_endian(started_ms, 8);
}

}  // namespace walkpaddle::fakes
