// What the event bus sends, as bytes: frames, and records of members.
#pragma once

#include <cstdint>
#include <string>

namespace walkpaddle::standins {

enum class Says { ready, draining, gone };  // as numbered in a record

std::string big_end(std::uint64_t value, int bytes);
std::string frame_text(std::uint64_t number, int kind, const std::string& payload);
// A member on loopback; place and kind by their number in the settings.
std::string member_record(std::uint64_t id, int port, Says state, int place, int kind,
                          std::uint64_t started_ms = 0);

}  // namespace walkpaddle::standins
