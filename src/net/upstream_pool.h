/// \file
/// The connections to cache servers, parents and origins: dials them, and places attempts on them.
///
/// Lifetimes: what the constructor takes outlives the pool. Its connections live in tasks of the scheduler,
/// which are dropped (Scheduler::drop_tasks) before it goes; so do attempts, in those of their requests.
/// Threads: the scheduler's one thread.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "guard/guard.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/attempt.h"
#include "net/upstream_connection.h"

namespace walkpaddle::net {

/// What the platform and the machine allow.
struct UpstreamSettings {
  std::size_t max_connections = 2;       ///< of all endpoints together, dials included
  int max_attempts_per_connection = 32;  ///< at once; at least 1 is taken
  Seconds dial_timeout = 1;              ///< from a dial until it must be up
  Seconds endpoint_idle_close = 60;      ///< an endpoint closes a connection that was quiet so long
  bool can_cancel = false;               ///< endpoints understand "cancel"
};

/// The connections, by endpoint. Endpoints are small indices, given at first sight and never taken back.
class UpstreamPool {
 public:
  /// What is taken by reference outlives it.
  UpstreamPool(Scheduler& scheduler, Outbox& outbox, Log& log, const UpstreamSettings& settings);
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;
  ~UpstreamPool();

  /// The index of the endpoint with that id, which is given one at first sight.
  int endpoint_index(std::string_view id);
  /// The index of the endpoint with that id, -1 if it was never seen.
  int find_endpoint(std::string_view id) const;
  /// How many indices are given.
  int endpoint_count() const { return static_cast<int>(endpoints_.size()); }
  /// The id of an endpoint.
  std::string_view id(int index) const { return endpoint(index).id; }
  /// Its address, as discovery last told it.
  const Address& address(int index) const { return endpoint(index).address; }
  /// Whether discovery lists it as ready.
  bool is_ready(int index) const { return endpoint(index).state == EndpointState::ready; }
  /// What discovery tells of an endpoint. Attempts that wait for one that is not ready any more end unsent.
  void update_endpoint(int index, const Address& address, EndpointState state);

  /// Who hears of the answers to commands; it outlives the pool's tasks.
  void set_command_listener(CommandListener& listener) { command_listener_ = &listener; }
  /// Writes a command beside the attempts: over one connection, in order. False: there is none yet, one is
  /// dialled.
  bool send_command(int index, std::string_view text);
  /// Who checks and counts attempts; without one nothing is checked or counted.
  void set_guard(guard::Guard& guard) { guard_ = &guard; }

 private:
  friend class Attempt;
  class DialCount;
  class Registration;
  enum class DialStep { started, failed, wait_for_descriptor };

  UpstreamEndpoint& endpoint(int index) const { return *endpoints_[static_cast<std::size_t>(index)]; }
  void start(Attempt& attempt);
  void place_waiting(UpstreamEndpoint& endpoint);
  UpstreamConnection* least_loaded(const UpstreamEndpoint& endpoint, const Attempt& attempt) const;
  void dial_for_waiting(UpstreamEndpoint& endpoint);
  DialStep try_dial(UpstreamEndpoint& endpoint, DialCount& count, Fd& socket);
  void dial_failed(UpstreamEndpoint& endpoint, std::string_view why, guard::EndpointClose reason);
  bool dial_succeeded(UpstreamEndpoint& endpoint, UpstreamConnection& connection, bool in_time);
  bool close_longest_idle();
  Task run_connection(int index);
  void connection_ended(UpstreamEndpoint& endpoint, UpstreamConnection& connection);
  void count_close(guard::EndpointClose reason);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const UpstreamSettings settings_;
  const std::size_t max_in_flight_;   // attempts on one connection
  const Seconds idle_close_;          // well before the other side, so that no attempt crosses its close
  std::size_t connection_count_ = 0;  // of all endpoints, dials included, that hold a descriptor
  std::list<UpstreamConnection*> connections_;
  std::list<Attempt*> attempts_;  // those that have not ended
  std::vector<std::unique_ptr<UpstreamEndpoint>> endpoints_;
  std::unordered_map<std::string, int> index_;
  CommandListener* command_listener_ = nullptr;
  guard::Guard* guard_ = nullptr;
};

}  // namespace walkpaddle::net
