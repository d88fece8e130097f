/// \file
/// What a driver and the other routers send each other, and its Cap'n Proto form (src/change/change.capnp).
/// No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "rollout/metrics.h"

namespace walkpaddle::rollout {

/// Names a rollout in messages: a hash of its name, never 0.
std::uint64_t message_id(std::string_view rollout);

/// What a driver asks for.
enum class RequestKind : std::uint8_t {
  vote,    ///< to drive under the request's term
  report,  ///< for a report, and agreement to the stage that it wants
};

/// From a driver, or from one that wants to be.
struct DriverRequest {
  std::uint64_t rollout = 0;               ///< its message_id()
  std::uint64_t term = 0;                  ///< of the sender
  RequestKind kind = RequestKind::report;  ///< what it asks for
  std::uint32_t decided_stage = 0;         ///< 0: none
  std::uint32_t wanted_stage = 0;          ///< to be agreed to; 0: none
  std::uint32_t turns = 0;                 ///< so many of the order may have moved
};

/// Where a router stands with a rollout. Numbers on the wire.
enum class RouterPhase : std::uint8_t {
  old_generation,
  moving,  ///< or going back
  new_generation,
  failed,  ///< it moved and did not become ready
  held,    ///< it does not move in its turn: a freeze window
};

/// A router's answer to a driver.
struct RouterReport {
  std::uint64_t rollout = 0;                        ///< its message_id()
  std::uint64_t term = 0;                           ///< promised
  bool vote_granted = false;                        ///< the request for a vote was
  std::uint32_t agreed_stage = 0;                   ///< the last that it agreed to
  std::uint64_t agreed_term = 0;                    ///< under which it agreed
  RouterPhase phase = RouterPhase::old_generation;  ///< where it stands
  RolloutMetrics metrics{};                         ///< of the generation that it runs
  /// Microseconds of its router's clock, each greater than the last; 0: not told.
  std::uint64_t sent = 0;
};

/// Either message.
using RolloutMessage = std::variant<DriverRequest, RouterReport>;

/// The bytes of a request.
std::string encode(const DriverRequest& request);
/// The bytes of a report.
std::string encode(const RouterReport& report);

/// Reads a message; throws InputError where it cannot be used. `driven`: the message_id() of the rollout that
/// this router drives, 0 for none. nullopt: a report on another rollout, or a message of a newer router.
std::optional<RolloutMessage> decode_message(std::string_view bytes, std::uint64_t driven);

}  // namespace walkpaddle::rollout
