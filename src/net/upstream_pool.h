/// \file
/// The pool of connections to cache servers, parents and origins: dials them and assigns attempts to them.
///
/// Lifetimes: the references that the constructor takes must outlive the pool. Connections and attempts are
/// owned by tasks of the scheduler, which must be dropped (Scheduler::drop_tasks) before the pool is
/// destroyed. Threads: everything runs on the scheduler's one thread.
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
#include "io/turn_budget.h"
#include "net/attempt.h"
#include "net/upstream_connection.h"

namespace walkpaddle::net {

/// Limits of the platform and the machine.
struct UpstreamSettings {
  std::size_t max_connections = 2;       ///< limit for all endpoints together, dials included
  int max_attempts_per_connection = 32;  ///< attempts in flight at once; values below 1 count as 1
  Seconds dial_timeout = 1;              ///< time limit for establishing a connection
  Seconds endpoint_idle_close = 60;      ///< endpoints close a connection after this time without use
  bool can_cancel = false;               ///< endpoints support the command "cancel"
};

/// The connections by endpoint. Endpoints are named by small indices, which are assigned on first use and
/// never reused.
class UpstreamPool {
 public:
  /// Opens no connections yet. The references must outlive the pool.
  UpstreamPool(Scheduler& scheduler, Outbox& outbox, Log& log, const UpstreamSettings& settings);
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;
  ~UpstreamPool();

  /// The index of the endpoint with this id. A new endpoint is assigned one.
  int endpoint_index(std::string_view id);
  /// The index of the endpoint with this id, -1 if it has none.
  int find_endpoint(std::string_view id) const;
  /// Number of endpoints with an index.
  int endpoint_count() const { return static_cast<int>(endpoints_.size()); }
  /// The id of an endpoint.
  std::string_view id(int index) const { return endpoint(index).id; }
  /// The address that discovery last reported for an endpoint.
  const Address& address(int index) const { return endpoint(index).address; }
  /// Whether discovery lists the endpoint as ready.
  bool is_ready(int index) const { return endpoint(index).state == EndpointState::ready; }
  /// Updates an endpoint from discovery. If it is no longer ready, unsent attempts at it or with it as their
  /// source are abandoned.
  void update_endpoint(int index, const Address& address, EndpointState state);
  /// The endpoint has started at this time. Connections from before lead to a process that is gone, also if
  /// nothing was heard of their end: new attempts use other ones.
  void endpoint_started(int index, Seconds at);

  /// Sets the receiver of answers to commands, which must outlive the pool's tasks.
  void set_command_listener(CommandListener& listener) { command_listener_ = &listener; }
  /// Writes a command to an established connection of the endpoint. False if there is none; unless the
  /// endpoint is gone, one is then being dialled.
  bool send_command(int index, std::string_view text);
  /// Sets the guard, which checks and counts attempts; without a guard neither is done.
  void set_guard(guard::Guard& guard) { guard_ = &guard; }

 private:
  friend class Attempt;
  class DialCount;
  class Registration;
  enum class DialStep { started, failed, wait_for_descriptor };

  UpstreamEndpoint& endpoint(int index) const { return *endpoints_[static_cast<std::size_t>(index)]; }
  void start(Attempt& attempt);
  void place_waiting(UpstreamEndpoint& endpoint);
  bool has_capacity(const UpstreamEndpoint& endpoint) const;
  UpstreamConnection* least_loaded(const UpstreamEndpoint& endpoint, const Attempt& attempt) const;
  void dial_for_waiting(UpstreamEndpoint& endpoint);
  DialStep try_dial(UpstreamEndpoint& endpoint, DialCount& count, Fd& socket);
  void dial_failed(UpstreamEndpoint& endpoint, std::string_view why, guard::EndpointClose reason);
  bool dial_succeeded(UpstreamEndpoint& endpoint, UpstreamConnection& connection, bool in_time);
  bool close_longest_idle();
  Task run_connection(int index);
  UpstreamConnection::Input read_connection(UpstreamEndpoint& endpoint, UpstreamConnection& connection,
                                            TimeSlice& slice);
  void connection_ended(UpstreamEndpoint& endpoint, UpstreamConnection& connection);
  void count_close(guard::EndpointClose reason);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const UpstreamSettings settings_;
  const std::size_t max_in_flight_;  // attempts on one connection
  const Seconds idle_close_;         // well before the endpoint's close, so that no attempt crosses it
  TurnBudget busy_tasks_;
  std::size_t connection_count_ = 0;  // connections that hold a descriptor, dials included
  std::list<UpstreamConnection*> connections_;
  std::list<Attempt*> attempts_;  // attempts that have not ended
  std::vector<std::unique_ptr<UpstreamEndpoint>> endpoints_;
  std::unordered_map<std::string, int> index_;
  CommandListener* command_listener_ = nullptr;
  guard::Guard* guard_ = nullptr;
};

}  // namespace walkpaddle::net
