/// \file
/// One client connection: its open requests, its phases and its timeouts.
///
/// Lifetimes: the connection's task and the tasks of its requests share ownership; the scheduler and the
/// outbox must outlive it. Threads: everything runs on the scheduler's one thread.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "io/scheduler.h"
#include "io/stream.h"
#include "net/acknowledgement_progress.h"
#include "net/client_request.h"
#include "net/message_intake.h"
#include "net/message_progress.h"
#include "routing/output_admission.h"

namespace walkpaddle::net {

class RequestHandle;

/// Which connection is given up first when there are too many: the lowest rank.
struct EvictionRank {
  /// Least harm first. A client that sends one request and stays connected, connects and sends nothing, or
  /// sends a message that hardly arrives, must not use up all connections.
  enum class Kind {
    nothing_sent,  ///< nothing was received for longer than a first request is in transit
    stopped,       ///< a message that has stopped arriving; the one that stopped first goes first
    dripping,      ///< a message that hardly arrives
    idle,          ///< between messages; the one that has been idle longest goes first
    incomplete     ///< a message that is arriving; the slowest goes first
  };
  Kind kind = Kind::idle;  ///< decides first
  /// Within the kind: when it became idle or stopped, in seconds, or the rate in bytes per second.
  double order = 0;
  /// By kind, then by order.
  auto operator<=>(const EvictionRank&) const = default;
};

/// One client connection. Its phases:
///
///     open -> ending -> half_closed   new requests are rejected, the accepted ones are answered, and once
///                                     all answers are sent, the write side is shut down
///     open -> half_closed             the same for a connection without outstanding answers
///
/// So each request that is read before the write side is shut down has its answer. Requests that arrive on a
/// half-closed connection were sent before the client saw its end. They are read and discarded until the
/// client closes its side, or a time limit has passed and its machine has acknowledged all answers.
class ClientConnection {
 public:
  /// Takes over an accepted socket. `unfinished_messages`: memory for large messages of all clients. The
  /// references must outlive the connection.
  ClientConnection(Scheduler& scheduler, Outbox& outbox, BufferBudget& unfinished_messages,
                   routing::OutputAdmission& admission, Fd socket)
      : scheduler_(scheduler),
        admission_(admission),
        stream_(scheduler, outbox, std::move(socket)),
        intake_(stream_, unfinished_messages) {}
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
  // Time limit for the first byte, and between two bytes of a message that has begun. It leaves room for the
  // few round trips that ordinary clients need.
  static constexpr Seconds kSilenceTimeout = 2;
  static constexpr std::size_t kMaxOpenRequests = 32;  // protocol page

  bool is_open() const { return phase_ == Phase::open; }
  // Number of the client's open and deferred requests.
  std::size_t requests() const { return open_.size() + deferred_.size(); }
  bool awaits_answers() const { return requests() > 0; }
  bool is_answered() const { return !awaits_answers() && stream_.unsent() == 0; }
  // Whether all answers are sent. Their acknowledgements may come only with the client's next request.
  bool idle() const { return is_answered() && stream_.queued() == 0; }
  // The same, or the client has stopped taking them.
  bool is_finished() { return is_answered() && (idle() || has_stopped_reading()); }
  bool has_partial_message() const { return !stream_.in().empty(); }
  Seconds idle_since() const { return std::max(last_received_at_, last_answered_at_); }
  bool has_tag(const std::string& tag) const;
  routing::ClientOutput output() const;
  bool has_stalled() const;
  bool has_stopped_reading();
  bool may_read() const;
  bool has_unread_replies() const;
  void input_left_unread();
  Seconds read_delay() const { return std::max(0.0, scheduler_.now() - unread_since_); }
  std::size_t max_read_bytes() const;
  bool has_stopped_sending() const;
  void discard_input();
  void begin_end();
  void connected();
  void message_taken();
  void input_taken(std::size_t bytes_received);
  void note_arrivals();
  bool is_silent() const;
  bool is_dripping() const;
  bool awaits_rest_of_message() const;
  std::optional<EvictionRank> eviction_rank() const;
  Seconds read_deadline() const;
  void notify_client_left();

  Scheduler& scheduler_;
  routing::OutputAdmission& admission_;
  Stream stream_;
  std::unordered_map<std::string, RequestHandle*> open_;  // by tag
  std::deque<Request> deferred_;   // wait until the client has read more answers, oldest first
  bool has_sent_message_ = false;  // at least one whole message was received
  Phase phase_ = Phase::open;
  Seconds close_at_ = 0;                   // when a half-closed connection is closed, at the earliest
  bool slow_reader_ = false;               // the connection was closed because the client had stopped reading
  std::size_t messages_while_ending_ = 0;  // whole messages that were read in the phase `ending`
  bool framing_lost_ = false;  // bytes were received that are no message: what follows cannot be read
  // The request of the message that was read last; the tag is empty if that was another message.
  struct LastRequest {
    std::string tag;
    bool has_body = false;
  };
  LastRequest last_request_;
  std::size_t reply_bytes_ = 0;     // replies without a body since the client had last read all
  Seconds unread_since_ = kNoTime;  // since when messages may have been waiting to be read
  Seconds last_received_at_ = 0;    // when the client connected or last completed a message
  Seconds last_answered_at_ = 0;    // when an answer was last written
  MessageProgress message_;         // the first message, or one of which a part was received
  MessageIntake intake_;
  AcknowledgementProgress acknowledgements_;
};

}  // namespace walkpaddle::net
