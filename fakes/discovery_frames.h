// What the event bus sends, as bytes: frames, and records of members.
#pragma once

#include <cstdint>
#include <string>

namespace walkpaddle::fakes {

enum class AnnouncedState { ready, draining, gone };  // as numbered in a record

std::string big_endian(std::uint64_t value, int bytes);
std::string discovery_frame(std::uint64_t number, int kind, const std::string& payload);
// A member on loopback; place and kind by their number in the settings.
std::string endpoint_record(std::uint64_t id, int port, AnnouncedState state, int place, int kind,
                            std::uint64_t started_ms = 0);

}  // namespace walkpaddle::fakes
