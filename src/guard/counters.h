/// \file
/// Counters by reason: closed connections, ended attempts, answered requests. Read through the admin socket
/// and logged when the program ends. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace walkpaddle::guard {

/// Why a client connection was closed, by either side.
enum class ClientClose {
  by_client,         ///< closed by the client
  made_room,         ///< idle connection closed for a new client, as the maximum was reached
  no_place,          ///< new connection closed unread, as no other one could be closed
  no_whole_message,  ///< no complete message arrived in time
  unusable_message,  ///< a message could not be parsed
  slow_reader,       ///< the client had stopped reading while memory was short
  program_ends,      ///< closed when the program ended
  slow_message,      ///< an unfinished message held memory and arrived slowest, or had stopped
  count              ///< number of enumerators above
};
/// Names of the reasons, by value.
constexpr std::array<std::string_view, static_cast<std::size_t>(ClientClose::count)> kClientCloseNames = {
    "by_client",        "made_room",   "no_place",     "no_whole_message",
    "unusable_message", "slow_reader", "program_ends", "slow_message"};

/// Why a request that was read from a client was not started.
enum class Unstarted {
  late_answer,      ///< its answer could only come after its deadline, or after the end of the program
  no_memory,        ///< there was no memory for its body
  too_many_open,    ///< too many requests were open, of this client or of all
  id_open,          ///< a request with its id was open
  id_repeated,      ///< a request with its id had an effect, or may have had one
  client_left,      ///< its client had closed the connection
  connection_ends,  ///< it was read after the end of its connection had begun
  malformed,        ///< its message proved to have a wrong length or number of words
  count             ///< number of enumerators above
};
/// Names of the reasons, by value.
constexpr std::array<std::string_view, static_cast<std::size_t>(Unstarted::count)> kUnstartedNames = {
    "late_answer", "no_memory",   "too_many_open",   "id_open",
    "id_repeated", "client_left", "connection_ends", "malformed"};
/// The name of a reason in the log.
constexpr std::string_view to_string(Unstarted reason) {
  return kUnstartedNames[static_cast<std::size_t>(reason)];
}

/// Why an upstream connection was closed or not established.
enum class EndpointClose {
  by_endpoint,      ///< closed by the endpoint
  refused,          ///< connecting failed
  not_up_in_time,   ///< not established in time
  idle,             ///< closed before the endpoint's idle timeout
  made_room,        ///< closed for a connection to another endpoint
  answer_unusable,  ///< an answer could not be parsed
  answer_trickles,  ///< an answer arrived too slowly
  answer_stopped,   ///< an answer stopped before its end
  moved_or_gone,    ///< the endpoint's address changed or it is gone, by discovery
  silent,           ///< an answer was due and nothing arrived
  restarted,        ///< the endpoint has started anew since, by discovery
  count             ///< number of enumerators above
};
/// Names of the reasons, by value.
constexpr std::array<std::string_view, static_cast<std::size_t>(EndpointClose::count)> kEndpointCloseNames = {
    "by_endpoint",     "refused",        "not_up_in_time", "idle",   "made_room", "answer_unusable",
    "answer_trickles", "answer_stopped", "moved_or_gone",  "silent", "restarted"};

/// All counters, from the start of the program.
struct Counters {
  std::array<std::uint64_t, kClientCloseNames.size()> client_closes{};      ///< by ClientClose
  std::array<std::uint64_t, kEndpointCloseNames.size()> endpoint_closes{};  ///< by EndpointClose
  std::array<std::uint64_t, kUnstartedNames.size()> unstarted{};            ///< by Unstarted
  std::array<std::uint64_t, 10> attempts_ended{};                           ///< by AttemptOutcome
  /// Requests by how they ended; `left`: the client left first.
  std::uint64_t served = 0, shed = 0, failed = 0, left = 0;
  /// Attempts, those that were retries, and interruptions of the watch of discovery.
  std::uint64_t attempts = 0, retries = 0, lost_watches = 0;

  /// Counts a closed client connection.
  void closed(ClientClose why) { ++client_closes[static_cast<std::size_t>(why)]; }
  /// Counts a request that was not started.
  void not_started(Unstarted why) { ++unstarted[static_cast<std::size_t>(why)]; }
  /// Counts a closed upstream connection.
  void closed(EndpointClose why) { ++endpoint_closes[static_cast<std::size_t>(why)]; }
};

}  // namespace walkpaddle::guard
