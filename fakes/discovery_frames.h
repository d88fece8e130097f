// Encodes the frames and endpoint records that discovery sends.
#pragma once

#include <cstdint>
#include <string>

namespace walkpaddle::fakes {

enum class AnnouncedState { ready, draining, gone };  // values as in an endpoint record

// `value` as `bytes` bytes in network byte order.
std::string big_endian(std::uint64_t value, int bytes);
// The frame of watch event `number`.
std::string discovery_frame(std::uint64_t number, int kind, const std::string& payload);
// An endpoint on loopback. `location` and `kind` are indices into the lists of the settings; `started_ms` is
// a Unix time, 0 for a start long ago.
std::string endpoint_record(std::uint64_t id, int port, AnnouncedState state, int location, int kind,
                            std::uint64_t started_ms = 0);

}  // namespace walkpaddle::fakes
