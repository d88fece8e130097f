/// \file
/// The clients' side: accepts connections, bounds their number, and ends them.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/platform_config.h"
#include "guard/guard.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/client_connection.h"
#include "net/client_messages.h"
#include "net/client_request.h"

namespace walkpaddle::net {

/// The connections of all clients, each in its own task.
///
/// Lifetimes: what the constructor takes by reference outlives it, and it outlives the tasks that it started
/// (Scheduler::drop_tasks). Threads: the scheduler's one thread.
class ClientListener {
 public:
  using Serve = ClientMessages::Serve;  ///< starts a request
  /// Connections past the most that are connected, while they end.
  static constexpr std::size_t kMaxLeaving = 4;
  /// `listener` listens already. `max_connections` does not count those that leave.
  ClientListener(Scheduler& scheduler, Outbox& outbox, Log& log, Fd listener, std::size_t max_connections,
                 std::vector<config::RequestClassName> classes, Serve serve);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  /// Who checks and counts what is done to connections; without one nothing is.
  void set_guard(guard::Guard& guard);
  /// What ALIVE is answered with.
  void set_alive_word(std::string_view word) { messages_.set_alive_word(word); }
  /// Closes the listening socket.
  void stop_accepting() { listener_.close(); }
  /// Hands the listening socket over to a successor: who comes meanwhile waits there.
  Fd hand_over_listener() { return listener_.detach(); }
  /// Shuts each connection on which nothing is owed and nothing is unread.
  void close_idle();
  /// The program ends: one answer for each request that still waits, and for those to come.
  void abort_open();
  /// Whether a client is owed an answer, or bytes of one.
  bool has_unsent_answers() const;
  /// How many are connected, with those that leave.
  std::size_t count() const { return connections_.size(); }

 private:
  class Registration;
  Task accept_all();
  void accepted(Fd socket);
  Task run_connection(std::shared_ptr<ClientConnection> client);
  bool close_as_late(ClientConnection& client);
  void connection_ended(ClientConnection& client);
  bool make_room();
  void shut(ClientConnection& client);
  bool may_close(ClientConnection& client);
  void count_close(guard::ClientClose reason);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const std::size_t max_connections_;
  ClientMessages messages_;
  guard::Guard* guard_ = nullptr;   // null: no counts, no checks
  std::size_t leaving_ = 0;         // of those connected, shut
  Seconds queued_since_ = kNoTime;  // callers wait in the listener's queue since then, as accepts fail
  Listener listener_;
  std::unordered_map<ClientConnection*, std::weak_ptr<ClientConnection>> connections_;
};

}  // namespace walkpaddle::net
