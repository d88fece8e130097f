/// \file
/// The listener for clients: accepts connections, bounds their number, and closes them.
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
#include "io/turn_budget.h"
#include "net/client_connection.h"
#include "net/client_messages.h"
#include "net/client_request.h"

namespace walkpaddle::net {

/// The connections of all clients, each with its own task.
///
/// Lifetimes: the references that the constructor takes must outlive it, and it must outlive the tasks that
/// it started (Scheduler::drop_tasks). Threads: everything runs on the scheduler's one thread.
class ClientListener {
 public:
  using Serve = ClientMessages::Serve;  ///< starts a request
  /// Number of half-closed connections, beyond Limits::connections, above which the oldest of them is closed.
  static constexpr std::size_t kMaxClosing = 4;
  /// Limits for all clients together.
  struct Limits {
    std::size_t connections = 2;  ///< open connections, half-closed ones not counted
    std::size_t requests = 1024;  ///< requests that were read and have no answer
  };
  /// `listener` is a listening socket.
  ClientListener(Scheduler& scheduler, Outbox& outbox, Log& log, Fd listener, const Limits& limits,
                 std::vector<config::RequestClassName> classes, Serve serve);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  /// Sets the guard, which checks closes and counts them; without a guard neither is done.
  void set_guard(guard::Guard& guard);
  /// Sets the answer to ALIVE.
  void set_alive_reply(std::string_view reply) { messages_.set_alive_reply(reply); }
  /// Closes the listening socket.
  void stop_accepting() { listener_.close(); }
  /// Gives up the listening socket, still open, for a successor. New connections wait in its queue meanwhile.
  Fd hand_over_listener() { return listener_.detach(); }
  /// Half-closes each connection that has no outstanding answers and no unread bytes, or only a message that
  /// hardly arrives.
  void close_idle();
  /// The same, also where a part of a message was read: its client is told before the message is complete.
  void close_idle_and_unfinished();
  /// Requests must be answered by this time, because the program ends then.
  void set_answer_by(Seconds time) { messages_.set_answer_by(time); }
  /// Answers every open and deferred request without serving it, and rejects later ones; for the end of the
  /// program.
  void abort_open();
  /// Whether any client still has an answer, or a part of one, to receive.
  bool has_unsent_answers() const;
  /// Whether a message of any client is still arriving.
  bool has_arriving_messages() const;
  /// What clients have in memory, for the log.
  struct Totals {
    std::size_t connections = 0;          ///< half-closed ones included
    std::size_t unfinished_messages = 0;  ///< messages of which a part was received
    std::size_t unfinished_bytes = 0;     ///< bytes of these
    std::size_t deferred_requests = 0;    ///< requests that wait until their client has read more
  };
  /// Sums over all connections.
  Totals totals() const;
  /// Number of connections, half-closed ones included.
  std::size_t count() const { return connections_.size(); }

 private:
  class Registration;
  Task accept_all();
  Task relieve_memory();
  void close_stalled_clients();
  bool close_longest_stalled();
  void close_stalled(ClientConnection& client, std::string_view why);
  Task end_slow_messages();
  static bool may_end_message(ClientConnection& client);
  void end_message(ClientConnection& client);
  bool end_stopped_messages();
  void end_slowest_message();
  void accepted(Fd socket);
  Task run_connection(std::shared_ptr<ClientConnection> client);
  Stream::ReadResult read_for_slice(const std::shared_ptr<ClientConnection>& client, TimeSlice& slice);
  Stream::ReadResult read(const std::shared_ptr<ClientConnection>& client);
  bool close_if_silent(ClientConnection& client);
  void connection_ended(ClientConnection& client);
  bool evict_client();
  void close_oldest_half_closed();
  void close_if_idle(ClientConnection& client);
  void half_close(ClientConnection& client);
  bool may_close(ClientConnection& client);
  void count_close(guard::ClientClose reason);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const Limits limits_;
  TurnBudget busy_clients_;
  routing::OutputAdmission admission_;
  BufferBudget unfinished_messages_;  // memory for large messages that are not complete
  ClientMessages messages_;
  guard::Guard* guard_ = nullptr;  // null: no counts, no checks
  std::size_t closing_ = 0;        // number of half-closed connections
  // Since when connections may have been waiting in the listener's queue, because accepts failed or there
  // were too many for one turn; kNoTime: none is.
  Seconds accept_backlog_since_ = kNoTime;
  Listener listener_;
  std::unordered_map<ClientConnection*, std::weak_ptr<ClientConnection>> connections_;
};

}  // namespace walkpaddle::net
