// Counts by enumerated reason: why connections were closed, attempts repeated, requests shed. No I/O; read by
// the operators' socket and written as one line at the end of the program.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walkpaddle::guard {

// Why a client's connection was closed, by whichever side.
enum class ClientClose {
  by_client,
  made_room,         // for a new client, with all places taken
  no_place,          // nothing could make room: a new connection was closed unread
  no_whole_message,  // nothing whole within the time that a message may take
  unusable_message,
  slow_reader,  // its unread answers pressed on the memory
  program_ends,
  count
};
constexpr std::array<std::string_view, static_cast<std::size_t>(ClientClose::count)> kClientCloseNames = {
    "by_client",        "made_room",   "no_place",    "no_whole_message",
    "unusable_message", "slow_reader", "program_ends"};

// Why a connection to an endpoint was closed, or never came up.
enum class EndpointClose {
  by_endpoint,
  refused,  // at the dial
  not_up_in_time,
  idle,       // before the other side would close it
  made_room,  // for a connection to another endpoint
  answer_unusable,
  answer_trickles,
  answer_stopped,  // midway
  moved_or_gone,   // as discovery tells
  silent,          // an answer was due, and nothing was heard
  count
};
constexpr std::array<std::string_view, static_cast<std::size_t>(EndpointClose::count)> kEndpointCloseNames = {
    "by_endpoint",     "refused",         "not_up_in_time", "idle",          "made_room",
    "answer_unusable", "answer_trickles", "answer_stopped", "moved_or_gone", "silent"};

struct Counters {
  std::array<std::uint64_t, kClientCloseNames.size()> client_closes{};
  std::array<std::uint64_t, kEndpointCloseNames.size()> endpoint_closes{};
  std::array<std::uint64_t, 10> attempts_ended{};  // by Verdict
  std::uint64_t served = 0, shed = 0, failed = 0, left = 0;
  std::uint64_t attempts = 0, retries = 0, lost_watches = 0;  // lost_watches: times that the watch was lost

  void closed(ClientClose why) { ++client_closes[static_cast<std::size_t>(why)]; }
  void closed(EndpointClose why) { ++endpoint_closes[static_cast<std::size_t>(why)]; }
};

}  // namespace walkpaddle::guard
