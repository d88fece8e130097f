/// \file
/// The messages between a driver and the other routers, and their Cap'n Proto encoding
/// (src/change/change.capnp). No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "rollout/metrics.h"

namespace walkpaddle::rollout {

/// The id of a rollout in messages: a hash of its name, never 0.
std::uint64_t message_id(std::string_view rollout);

/// The purpose of a driver's request.
enum class RequestKind : std::uint8_t {
  vote,    ///< asks for the vote that the sender drives under the request's term
  report,  ///< asks for a report, and for agreement to the wanted stage if there is one
};

/// A request of a driver or of a candidate.
struct DriverRequest {
  std::uint64_t rollout = 0;               ///< message_id() of the rollout
  std::uint64_t term = 0;                  ///< the sender's term
  RequestKind kind = RequestKind::report;  ///< purpose of the request
  std::uint32_t decided_stage = 0;         ///< the latest stage that was decided; 0: none
  std::uint32_t wanted_stage = 0;          ///< the stage to agree to; 0: none
  std::uint32_t turns = 0;                 ///< number of routers, from the start of the order, with a turn
};

/// A router's phase in a rollout. The values are used on the wire.
enum class RouterPhase : std::uint8_t {
  old_generation,
  moving,  ///< to the new generation or back
  new_generation,
  failed,  ///< the router's move did not become ready
  held,    ///< a freeze window keeps the router from moving in its turn
};

/// A router's answer to a driver or a candidate.
struct RouterReport {
  std::uint64_t rollout = 0;                        ///< message_id() of the rollout
  std::uint64_t term = 0;                           ///< the latest term that the router promised
  bool vote_granted = false;                        ///< whether the requested vote is granted
  std::uint32_t agreed_stage = 0;                   ///< the latest stage that the router agreed to
  std::uint64_t agreed_term = 0;                    ///< the term under which it agreed
  RouterPhase phase = RouterPhase::old_generation;  ///< the router's phase
  RolloutMetrics metrics{};                         ///< metrics of the generation that it runs
  /// Time of sending in microseconds of the router's clock, increasing from report to report; 0: not given.
  std::uint64_t sent = 0;
};

/// A message of either kind.
using RolloutMessage = std::variant<DriverRequest, RouterReport>;

/// Encodes a request.
std::string encode(const DriverRequest& request);
/// Encodes a report.
std::string encode(const RouterReport& report);

/// Decodes a message. `driven` is the message_id() of the rollout that this router drives or is a candidate
/// for, 0 for none. Returns nullopt for a report on another rollout, and for a message of a kind that only
/// newer programs know. Throws InputError if the message is invalid.
std::optional<RolloutMessage> decode_message(std::string_view bytes, std::uint64_t driven);

}  // namespace walkpaddle::rollout
