/// \file
/// One attempt of a request at an endpoint, from the time it is queued until it ends.
///
/// Lifetimes: the task of the request owns the Attempt. The scheduler, the pool and the texts that the
/// specification views must outlive it. Threads: everything runs on the scheduler's one thread.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "guard/guard.h"
#include "io/buffer_budget.h"
#include "io/scheduler.h"
#include "net/resp_parser.h"
#include "routing/types.h"

namespace walkpaddle::net {

class UpstreamConnection;
class UpstreamPool;
struct UpstreamEndpoint;

/// The outcome of an attempt for the routing policy, and the parts of the answer that go to the client.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::not_sent;  ///< how it ended
  FillOutcome fill = FillOutcome::none;               ///< outcome of the fill, as the answer reports it
  AnswerReport report;                                ///< fill wait and load that the answer reports
  bool not_modified = false;                          ///< the client's copy is current; there is no body
  std::string etag;                                   ///< ETag of the copy; empty if not reported
  std::string body;                                   ///< body of the answer, unchanged
  Seconds age = -1;                                   ///< age of the copy; -1 if not reported
  std::vector<std::uint64_t> tags;                    ///< stable hashes of the copy's tags
  bool tags_reported = false;                         ///< the answer has a list of tags, possibly empty
  BufferBudget::Lease body_memory;                    ///< counts the body
  Seconds memory_wait = 0;  ///< time in which the answer was not read on, for want of memory here
};

/// One attempt. It waits in its endpoint's queue until a connection has capacity, is written to that
/// connection, and ends with an answer, a time-out, a cancellation or the end of the connection:
///
///     queued -> written -> ended           answered, final time-out, connection lost
///     written -> queued                    the connection ended before any byte was sent
///     written -> cancelling -> ended       cancelled, or timed out where a retry may follow
///     queued -> ended                      abandoned, not started in time, endpoint unreachable
///
/// The owning task runs `while (!ended()) if (!co_await wait()) on_timer();`. An attempt that is destroyed
/// before it has ended is cancelled at the endpoint too.
class Attempt {
 public:
  /// What to send, where, and within which time.
  struct Spec {
    int endpoint = -1;           ///< target endpoint, as an index in the pool
    int source = -1;             ///< endpoint that supplies a miss, as an index in the pool; -1 for none
    std::uint64_t id = 0;        ///< id of the request
    std::string_view id_text;    ///< the same id as the client wrote it
    std::string_view body;       ///< body as the client sent it
    std::string fields;          ///< all fields except the remaining time, which is added on writing
    Seconds timeout_at = 0;      ///< end of the attempt, on the scheduler's clock
    Seconds start_by = kNoTime;  ///< the attempt is written by then or not at all
    bool is_final = false;       ///< no other attempt can follow if this one times out
    bool has_effect = false;     ///< the request is not idempotent
    guard::RequestRecord* record = nullptr;  ///< the guard's record of the request; null: no checks
    Seconds copies_valid_since = 0;  ///< purge bound at the time of the decision: older copies are stale
    Seconds deadline = kNoTime;  ///< end of the request, which `timeout_at` precedes if a retry may follow
  };
  /// Queues the attempt, and writes it at once if a connection has capacity.
  Attempt(Scheduler& scheduler, UpstreamPool& pool, Spec spec);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt();

  /// Whether result() is complete.
  bool ended() const { return state_ == State::ended; }
  /// Awaits the next change. Gives true if the attempt has ended or its deadline has changed, false if the
  /// deadline has passed and on_timer() must be called.
  Event::Awaiter wait() { return event_.wait(next_deadline()); }
  /// Handles the deadline of wait().
  void on_timer();
  /// Cancels the attempt at the endpoint. It ends once no answer can be in transit any more. Without effect
  /// while its answer waits for memory of this router: another attempt would wait for it too.
  void cancel();
  /// Ends the attempt at once, and cancels it at the endpoint if any byte of it was sent; in that case no
  /// other attempt of the request may follow.
  void abandon();
  /// Like abandon(), but only if no byte of the attempt was sent; otherwise it goes on.
  void abandon_if_unsent();
  /// Whether its answer waits for memory of this router.
  bool awaits_memory() const;
  /// The outcome and the answer, complete once ended().
  AttemptResult& result() { return result_; }
  /// Time of construction, on the scheduler's clock.
  Seconds started_at() const { return started_at_; }

 private:
  friend class UpstreamConnection;
  friend class UpstreamPool;
  enum class State {
    queued,      // in the endpoint's queue
    written,     // written to a connection, whether or not the kernel has taken the bytes
    cancelling,  // cancelled, but an answer may still be in transit
    ended
  };

  Seconds memory_wait() const;  // for how long its answer was not read on, for want of memory here
  Seconds timeout_at() const;
  Seconds next_deadline() const;
  void send_over(UpstreamConnection& connection);
  bool guard_allows(const UpstreamConnection& connection, Seconds time_left);
  bool is_unsent() const;  // whether it is written and the kernel has taken none of its bytes
  bool withdraw();         // returns to `queued` if no byte was sent; otherwise false, with no change
  void cancel_as(AttemptOutcome outcome);
  bool answer_was_due(AttemptOutcome outcome) const;
  void send_cancel();
  void release();  // removes the attempt from its queue or connection
  void queue_again();
  void connection_ended(std::uint64_t bytes_handed);
  void finish(AttemptOutcome outcome);
  void report_to_guard(AttemptOutcome outcome);  // at most once for each admission by the guard
  UpstreamEndpoint& endpoint() const;

  Scheduler& scheduler_;
  UpstreamPool& pool_;
  const Spec spec_;
  Event event_;
  State state_ = State::queued;
  UpstreamConnection* connection_ = nullptr;  // set while written or cancelling
  std::list<Attempt*>::iterator position_;    // position in the pool's list of attempts that have not ended
  bool passed_guard_ = false;                 // the guard admitted it and was not yet told its outcome
  Seconds started_at_;
  Seconds written_at_ = 0;
  Seconds cancel_settled_at_ = 0;   // while cancelling: no answer can be in transit after this time
  std::uint64_t first_byte_ = 0;    // offset of the message in the bytes written to the connection
  std::uint64_t last_byte_ = 0;     // offset one past its end
  Seconds memory_wait_before_ = 0;  // its connection's memory_wait() when it was written
  AttemptResult result_;
};

}  // namespace walkpaddle::net
