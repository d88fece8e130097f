/// \file
/// One attempt of a request at an endpoint, from its queueing to its end.
///
/// Lifetimes: an Attempt lives in the task of its request, and the scheduler and the pool outlive it. The
/// texts that its specification views outlive it as well. Threads: the scheduler's one thread.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "guard/guard.h"
#include "io/scheduler.h"
#include "net/resp_parser.h"
#include "routing/types.h"

namespace walkpaddle::net {

class UpstreamConnection;
class UpstreamPool;
struct UpstreamEndpoint;

/// How an attempt ended, as the routing policy is told it, with what goes on to the client.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::not_sent;  ///< how it ended
  FillOutcome fill = FillOutcome::none;               ///< what the answer tells of its fill
  AnswerReport report;                                ///< what the answer tells beside
  bool not_modified = false;                          ///< the client's copy is current: no body comes
  std::string etag;                                   ///< of the copy, empty where it is not told
  std::string body;                                   ///< as it came
  Seconds age = -1;                                   ///< of the copy, -1 where it is not told
  std::vector<std::uint64_t> tags;                    ///< that the copy names, as stable hashes
  bool tags_reported = false;                         ///< the answer names tags, if only none
};

/// One attempt. It queues at its endpoint until a connection has capacity, is written, and ends with an
/// answer, a time-out, a cancellation or the end of its connection:
///
///     queued -> written -> ended           answered, final time-out, connection lost
///     written -> queued                    its connection ended, and none of its bytes had left
///     written -> cancelling -> ended       cancelled, or timed out where a retry may follow
///     queued -> ended                      abandoned, not begun in time, endpoint not reached
///
/// Its task runs `while (!ended()) if (!co_await wait()) on_timer();`. Destroyed before its end, it is
/// cancelled at the endpoint too.
class Attempt {
 public:
  /// What is to be attempted.
  struct Spec {
    int endpoint = -1;           ///< index in the pool: where to
    int source = -1;             ///< index in the pool: who supplies a miss; -1 for none
    std::uint64_t id = 0;        ///< of the request
    std::string_view id_text;    ///< the same, as the client sent it
    std::string_view body;       ///< as the client sent it
    std::string fields;          ///< all but the time left, which is known only when it is written
    Seconds timeout_at = 0;      ///< on the scheduler's clock
    Seconds start_by = kNoTime;  ///< written by then, or not at all
    bool is_final = false;       ///< no other attempt can follow its time-out
    bool has_effect = false;     ///< its request may not simply run again
    guard::RequestRecord* record = nullptr;  ///< what the guard knows of its request; null: it is not asked
    Seconds copies_valid_since = 0;          ///< the purges that it was decided with
  };
  /// Queues it at once, and writes it where a connection has capacity.
  Attempt(Scheduler& scheduler, UpstreamPool& pool, Spec spec);
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt();

  /// Whether result() is complete.
  bool ended() const { return state_ == State::ended; }
  /// Awaited: until it has ended or waits for another time (true), or on_timer() is to be called (false).
  Event::Awaiter wait() { return event_.wait(next_deadline()); }
  /// The time of wait() has come.
  void on_timer();
  /// Cancels it at the endpoint. It ends once no answer can be on its way any more.
  void cancel();
  /// Ends it at once: nothing follows for its request. Cancels it at the endpoint if a byte of it has left.
  void abandon();
  /// Does the same to one of which no byte has left; others go on.
  void abandon_if_unsent();
  /// How it ended; complete once ended().
  AttemptResult& result() { return result_; }
  /// When it was made, on the scheduler's clock.
  Seconds started_at() const { return started_at_; }

 private:
  friend class UpstreamConnection;
  friend class UpstreamPool;
  enum class State {
    queued,      // at its endpoint
    written,     // to a connection, whether or not the kernel took it
    cancelling,  // an answer may still be on its way
    ended
  };

  Seconds next_deadline() const;
  void send_over(UpstreamConnection& connection);
  bool guard_allows(const UpstreamConnection& connection, Seconds time_left);
  bool is_unsent() const;  // written, and the kernel has taken none of its bytes
  bool withdraw();         // back to `queued` if none of its bytes has left; else false, and nothing changes
  void cancel_as(AttemptOutcome outcome);
  bool answer_was_due(AttemptOutcome outcome) const;
  void send_cancel();
  void release();  // leaves its queue or its connection
  void queue_again();
  void connection_ended(std::uint64_t bytes_handed);
  void finish(AttemptOutcome outcome);
  void report_to_guard(AttemptOutcome outcome);  // once for each time that the guard let it pass
  UpstreamEndpoint& endpoint() const;

  Scheduler& scheduler_;
  UpstreamPool& pool_;
  const Spec spec_;
  Event event_;
  State state_ = State::queued;
  UpstreamConnection* connection_ = nullptr;  // while written or cancelling
  std::list<Attempt*>::iterator position_;    // among those of the pool that have not ended
  bool passed_guard_ = false;                 // the guard let it pass, and does not know its end
  Seconds started_at_;
  Seconds written_at_ = 0;
  Seconds cancel_settled_at_ = 0;  // cancelling: no answer can be on its way after that
  std::uint64_t first_byte_ = 0;   // its place in the bytes of its connection
  std::uint64_t last_byte_ = 0;    // one past its end
  AttemptResult result_;
};

}  // namespace walkpaddle::net
