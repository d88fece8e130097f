/// \file
/// One client connection: its open requests, its phases and its timeouts.
///
/// Lifetimes: the connection's task and the tasks of its requests share ownership; the scheduler and the
/// outbox must outlive it. Threads: everything runs on the scheduler's one thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "io/scheduler.h"
#include "io/stream.h"
#include "net/client_request.h"
#include "routing/output_admission.h"

namespace walkpaddle::net {

class RequestHandle;

/// One client connection. Its phases:
///
///     open -> ending -> half_closed   no new requests are accepted, the accepted ones are answered, and then
///                                     the write side is shut down
///     open -> half_closed             the same for a connection without outstanding answers
///
/// Requests that arrive on a half-closed connection were sent before the client saw its end. They are read
/// and discarded until the client closes its side or a time limit has passed.
class ClientConnection {
 public:
  /// Takes over an accepted socket. The references must outlive the connection.
  ClientConnection(Scheduler& scheduler, Outbox& outbox, routing::OutputAdmission& admission, Fd socket)
      : scheduler_(scheduler), admission_(admission), stream_(scheduler, outbox, std::move(socket)) {}
  /// Writes one answer.
  void answer(const std::string& tag, std::string_view status, std::string_view fields = {},
              std::string_view body = {});
  /// Whether an answer of this size would reach the client after the deadline, because it reads too slowly.
  bool answer_is_late(std::size_t body_bytes, Seconds deadline) const {
    return routing::OutputAdmission::answer_is_late(output(), body_bytes, deadline - scheduler_.now());
  }
  /// Registers an open request. `handle` is notified if the client leaves, and must live until
  /// remove_request().
  void add_request(const std::string& tag, RequestHandle& handle) { open_.emplace(tag, &handle); }
  /// Removes a request that was answered or that its client no longer waits for.
  void remove_request(const std::string& tag) { open_.erase(tag); }

 private:
  friend class ClientListener;
  friend class ClientMessages;
  enum class Phase { open, ending, half_closed };
  // Time limit for the first message, and for the rest of a message that has begun. It leaves room for the
  // few round trips that ordinary clients need.
  static constexpr Seconds kMessageTimeout = 2;

  bool is_open() const { return phase_ == Phase::open; }
  // Number of the client's open and deferred requests.
  std::size_t requests() const { return open_.size() + deferred_.size(); }
  bool awaits_answers() const { return requests() > 0; }
  bool idle() const { return !awaits_answers() && stream_.unsent() == 0; }
  Seconds idle_since() const { return std::max(last_received_at_, last_answered_at_); }
  bool has_tag(const std::string& tag) const;
  routing::ClientOutput output() const;
  bool has_stalled() const;
  void begin_end();
  void postpone_close();
  void connected();
  void message_taken();
  void update_message_start();
  bool message_is_late() const;
  Seconds read_deadline() const;
  void notify_client_left();

  Scheduler& scheduler_;
  routing::OutputAdmission& admission_;
  Stream stream_;
  std::unordered_map<std::string, RequestHandle*> open_;  // by tag
  std::deque<Request> deferred_;   // wait until the client has read more answers, oldest first
  bool has_sent_message_ = false;  // at least one whole message was received
  Phase phase_ = Phase::open;
  Seconds close_at_ = 0;            // when an ending or half-closed connection is closed
  bool slow_reader_ = false;        // the connection was closed because the client had stopped reading
  Seconds max_accept_delay_ = 0;    // longest time that unread messages may have waited before the accept
  Seconds last_received_at_ = 0;    // when the client connected or last completed a message
  Seconds last_answered_at_ = 0;    // when an answer was last written
  Seconds message_started_at_ = 0;  // start of the time limit for the current message; kNoTime: no message
};

}  // namespace walkpaddle::net
