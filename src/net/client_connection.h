/// \file
/// One connection of a client: what is open on it, its phases, and when it is quiet.
///
/// Lifetimes: its task and its requests' tasks hold it together; the scheduler and the outbox outlive it.
/// Threads: the scheduler's one thread.
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

namespace walkpaddle::net {

class RequestHandle;

/// One connection. Its phases:
///
///     open -> ending -> shut     nothing more is taken; what was taken is answered; then the answers end
///     open -> shut               the same where nothing is owed on it
///
/// Shut, what still comes crossed the end of the answers: it is read and dropped until the client's own end
/// or a bound.
class ClientConnection {
 public:
  /// On a socket that was accepted; what is taken by reference outlives it.
  ClientConnection(Scheduler& scheduler, Outbox& outbox, Fd socket)
      : scheduler_(scheduler), outbox_(outbox), stream_(scheduler, outbox, std::move(socket)) {}
  /// Writes one answer. A client that does not read while all answers press on the memory is closed instead.
  void answer(const std::string& tag, std::string_view status, std::string_view fields = {},
              std::string_view body = {});
  /// A request is open: `handle` is told if the client leaves, and lives until over().
  void add_request(const std::string& tag, RequestHandle& handle) { open_.emplace(tag, &handle); }
  /// A request is answered or given up.
  void remove_request(const std::string& tag) { open_.erase(tag); }

 private:
  friend class ClientListener;
  friend class ClientMessages;
  enum class Phase { open, ending, half_closed };
  // For the first message, and for the rest of one that has begun. Usual clients need a few round trips.
  static constexpr Seconds kMessageTimeout = 2;

  bool is_open() const { return phase_ == Phase::open; }
  // Of the client: requests that are open, or held back.
  std::size_t requests() const { return open_.size() + deferred_.size(); }
  bool awaits_answers() const { return requests() > 0; }
  bool idle() const { return !awaits_answers() && stream_.unsent() == 0; }
  Seconds idle_since() const { return std::max(last_received_at_, last_answered_at_); }
  bool has_tag(const std::string& tag) const;
  void begin_end();
  void postpone_close();
  void connected();
  void message_taken();
  void update_message_start();
  bool message_is_late() const;
  Seconds read_deadline() const;
  void notify_client_left();

  Scheduler& scheduler_;
  Outbox& outbox_;
  Stream stream_;
  std::unordered_map<std::string, RequestHandle*> open_;  // by tag
  std::deque<Request> deferred_;   // come while too much was unread: served once that is read
  bool has_sent_message_ = false;  // at least one whole message came
  Phase phase_ = Phase::open;
  Seconds close_at_ = 0;            // of ending or shut: closed then
  bool slow_reader_ = false;        // closed as such
  Seconds max_accept_delay_ = 0;    // in the listener's queue at most, with what it wrote meanwhile
  Seconds last_received_at_ = 0;    // when it connected or last spoke
  Seconds last_answered_at_ = 0;    // when it was last answered
  Seconds message_started_at_ = 0;  // since when a message has been due whole; kNoTime: none is
};

}  // namespace walkpaddle::net
