/// \file
/// One connection to an endpoint, with the attempts that are out over it, and what the pool holds of an
/// endpoint.
///
/// Lifetimes: a connection lives in its task (UpstreamPool::run_connection), and its endpoint, the scheduler
/// and the outbox outlive it. Attempts may go before or after it: each unlinks itself from the other.
/// Threads: the scheduler's one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "guard/guard.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "routing/types.h"

namespace walkpaddle::net {

class Attempt;
class UpstreamConnection;
struct EndpointAnswer;

/// Hears of the commands that go beside the attempts.
class CommandListener {
 public:
  /// The words of an answer to a command. Throws InputError for one that cannot be read: the connection ends.
  virtual void command_answered(int endpoint, const std::vector<std::string_view>& words) = 0;
  /// A connection that had come up is lost, and with it the commands that were not answered.
  virtual void connection_lost(int endpoint) = 0;

 protected:
  ~CommandListener() = default;
};

/// What the pool holds of one endpoint.
struct UpstreamEndpoint {
  int index = -1;                              ///< in the pool
  std::string id;                              ///< as discovery names it
  Address address;                             ///< as discovery last told it
  EndpointState state = EndpointState::gone;   ///< as discovery last told it
  std::list<UpstreamConnection*> connections;  ///< owned by their tasks
  std::size_t dialling = 0;                    ///< connections that are not up yet
  bool awaits_descriptor = false;  ///< its dial waits for one: this router's own want, no sign of its health
  /// Least time from an attempt to its answer; at first more than any way between machines.
  Seconds least_response_time = 0.05;
  /// Exponentially weighted mean time from an attempt to its answer; at first that of a slow server.
  Seconds mean_response_time = 0.1;
  std::vector<Attempt*> waiting;  ///< for a connection with capacity, in the order of their coming

  /// Takes one answer into the response times.
  void add_response_time(Seconds time);
};

/// One connection and the attempts over it.
class UpstreamConnection {
 public:
  /// What read() found.
  enum class Input {
    none,     ///< nothing more for now
    answers,  ///< bytes, of which whole answers were handed on
    end       ///< the connection has ended, why() says why
  };

  /// On a socket whose dial has begun; what is taken by reference outlives it.
  UpstreamConnection(Scheduler& scheduler, Outbox& outbox, Log& log, Fd socket, UpstreamEndpoint& endpoint);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Bytes in and out.
  Stream& stream() { return stream_; }
  const Stream& stream() const { return stream_; }  ///< the same, to look at
  /// When bytes last came, or it came up.
  Seconds last_received_at() const { return last_received_at_; }
  /// When it last carried an attempt or an answer, or came up.
  Seconds used_at() const { return used_at_; }
  /// How many attempts are out over it that have not been given up.
  std::size_t in_flight() const { return in_flight_; }
  /// Connected.
  bool is_connected() const { return connected_; }
  /// Up, and new attempts may use it.
  bool usable() const { return connected_ && !retired_; }
  /// Up, without attempts, and new ones may use it.
  bool idle() const { return usable() && in_flight_ == 0; }
  /// No new attempts go over it, those that are out end.
  bool retired() const { return retired_; }
  /// Whether this attempt may be written to it, with at most `max_in_flight` in all.
  bool accepts(const Attempt& attempt, std::size_t max_in_flight) const;

  /// It is connected.
  void set_connected();
  /// Its task ends: nothing more goes over it.
  void set_disconnected() { connected_ = false; }
  /// From now on no new attempts go over it; `reason` is what its close is counted as.
  void retire(guard::EndpointClose reason);
  /// The same as an answer was due and nothing was heard; an earlier reason stays.
  void mark_unresponsive() { retired_ = true; }
  /// Closes it if it is retired and has no attempts.
  void close_if_drained();
  /// What its close is to be counted as.
  guard::EndpointClose close_reason() const { return retired_ ? retire_reason_ : end_reason_; }
  /// Why it ended, for the log; empty where that is usual.
  std::string_view why() const { return why_; }

  /// Writes an attempt, whose answer is expected from now on.
  void send(Attempt& attempt, std::string_view message, Seconds now);
  /// Takes an attempt back out of what is still to be sent; false, and all stays, if some of it has left.
  bool withdraw(Attempt& attempt);
  /// Gives an attempt up, whose answer may still come or not.
  void release(const Attempt& attempt, bool may_be_answered);
  /// Unlinks the attempts that are out, without ending them: the pool's tasks go first.
  void detach_attempts();
  /// It has ended: each attempt that is out ends or waits again.
  void end_attempts();

  /// Takes what came and hands on the answers; `listener` hears of commands' answers and may be null.
  Input read(CommandListener* listener);
  /// Until when nothing has to come; then timed_out() is asked. `idle_close`: when a quiet one is closed.
  Seconds read_deadline(Seconds idle_close) const;
  /// The time of read_deadline() may have come. True: it has, and the connection ends.
  bool timed_out(Seconds idle_close);

 private:
  bool take_answers(CommandListener* listener);
  void take_answer(const std::vector<std::string_view>& words, CommandListener* listener);
  void forget(const Attempt& attempt, bool may_be_answered);
  bool answer_begun() const { return !stream_.in().empty(); }
  void end_as(std::string_view why, guard::EndpointClose reason);

  Scheduler& scheduler_;
  Log& log_;
  UpstreamEndpoint& endpoint_;
  Stream stream_;
  bool connected_ = false;
  bool retired_ = false;
  guard::EndpointClose retire_reason_ = guard::EndpointClose::silent;
  std::string_view why_ = "closed by the other side";
  guard::EndpointClose end_reason_ = guard::EndpointClose::by_endpoint;
  std::unordered_map<std::uint64_t, Attempt*> open_;  // by request; null: given up, an answer may still come
  std::deque<std::uint64_t> late_answer_ids_;         // the latest of these, oldest first
  std::size_t in_flight_ = 0;                         // those not given up
  Seconds last_received_at_ = 0;
  Seconds used_at_ = 0;
  std::uint64_t answers_ = 0;          // whole ones that came
  Seconds progress_at_ = 0;            // when the answer that has begun last moved on
  std::size_t bytes_at_progress_ = 0;  // how much of it was there then
};

}  // namespace walkpaddle::net
