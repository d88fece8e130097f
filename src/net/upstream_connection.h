/// \file
/// One connection to an endpoint with its attempts in flight, and the pool's record of an endpoint.
///
/// Lifetimes: a connection is owned by its task (UpstreamPool::run_connection). Its endpoint, the scheduler
/// and the outbox must outlive it. Attempts may be destroyed before or after the connection: each unlinks
/// itself from the other. Threads: everything runs on the scheduler's one thread.
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

/// Receives the answers to commands, which share the connections with the attempts.
class CommandListener {
 public:
  /// Handles the answer to a command, given as its words. Throws InputError for a malformed answer, which
  /// ends the connection.
  virtual void command_answered(int endpoint, const std::vector<std::string_view>& words) = 0;
  /// An established connection was lost, and with it all commands that were not answered.
  virtual void connection_lost(int endpoint) = 0;

 protected:
  ~CommandListener() = default;
};

/// The pool's record of one endpoint.
struct UpstreamEndpoint {
  int index = -1;                              ///< index in the pool
  std::string id;                              ///< the endpoint's name in discovery
  Address address;                             ///< the address that discovery last reported
  EndpointState state = EndpointState::gone;   ///< the state that discovery last reported
  std::list<UpstreamConnection*> connections;  ///< connections, which their tasks own
  std::size_t dialling = 0;                    ///< number of dials that have not ended
  /// A dial waits for a descriptor. This is a shortage of this router, no sign of the endpoint's health.
  bool awaits_descriptor = false;
  /// Least time from writing an attempt to its answer; initially more than between any two machines.
  Seconds least_response_time = 0.05;
  /// Exponentially weighted mean of the same time; initially that of a slow server.
  Seconds mean_response_time = 0.1;
  std::vector<Attempt*> waiting;  ///< attempts that wait for a connection with capacity, oldest first

  /// Adds the response time of one answer to the statistics.
  void add_response_time(Seconds time);
};

/// One connection to an endpoint, with the attempts on it.
class UpstreamConnection {
 public:
  /// Result of read().
  enum class Input {
    none,     ///< nothing to read for now
    answers,  ///< bytes were read, and the answers completed by them were handled
    end       ///< the connection has ended; why() gives the reason
  };

  /// Takes over a socket whose dial has begun. The references must outlive the connection.
  UpstreamConnection(Scheduler& scheduler, Outbox& outbox, Log& log, Fd socket, UpstreamEndpoint& endpoint);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// The byte stream.
  Stream& stream() { return stream_; }
  const Stream& stream() const { return stream_; }  ///< the byte stream, for reading its state
  /// When the connection was established.
  Seconds connected_at() const { return connected_at_; }
  /// When bytes were last received, or else when the connection was established.
  Seconds last_received_at() const { return last_received_at_; }
  /// When an attempt was last written or an answer received, or else when the connection was established.
  Seconds used_at() const { return used_at_; }
  /// Number of attempts in flight on the connection, without released ones.
  std::size_t in_flight() const { return in_flight_; }
  /// Whether the connection is established.
  bool is_connected() const { return connected_; }
  /// Whether it is established and accepts new attempts.
  bool usable() const { return connected_ && !retired_; }
  /// Whether it is usable and has no attempts in flight.
  bool idle() const { return usable() && in_flight_ == 0; }
  /// Whether it accepts no new attempts; those in flight may finish.
  bool retired() const { return retired_; }
  /// Whether it accepts another attempt, given a limit of `max_in_flight` attempts.
  bool has_capacity(std::size_t max_in_flight) const;
  /// Whether this attempt may be written to it, given a limit of `max_in_flight` attempts.
  bool accepts(const Attempt& attempt, std::size_t max_in_flight) const;

  /// Marks the connection as established.
  void set_connected();
  /// Marks the connection as ended: nothing more is written to it.
  void set_disconnected() { connected_ = false; }
  /// Stops accepting new attempts. Its close is counted under `reason`.
  void retire(guard::EndpointClose reason);
  /// Retires the connection because an answer is overdue and nothing was received. An earlier reason stays.
  void mark_unresponsive() { retired_ = true; }
  /// Closes the connection if it is retired and has no attempts in flight.
  void close_if_drained();
  /// The reason under which its close is counted.
  guard::EndpointClose close_reason() const { return retired_ ? retire_reason_ : end_reason_; }
  /// Why the connection ended, for the log; empty if it was idle.
  std::string_view why() const { return why_; }

  /// Writes an attempt; its answer is expected from now on.
  void send(Attempt& attempt, std::string_view message, Seconds now);
  /// Removes an unsent attempt from the send buffer. False, without any change, if a byte of it was sent.
  bool withdraw(Attempt& attempt);
  /// Ends the wait for an attempt's answer. `may_be_answered`: an answer may still arrive.
  void release(const Attempt& attempt, bool may_be_answered);
  /// Ends each attempt in flight, or queues it again, because the connection has ended.
  void end_attempts();

  /// Reads what has arrived and handles whole answers. Answers to commands go to `listener`, which may be
  /// null. Reads nothing while awaits_memory().
  Input read(CommandListener* listener);
  /// Whether reading has stopped until there is memory for the rest of an answer (BufferBudget). The endpoint
  /// is not to blame for what is late meanwhile.
  bool awaits_memory() const { return answer_memory_.is_waiting(); }
  /// For how long reading has been stopped for want of memory, in all.
  Seconds memory_wait() const;
  /// The time at which timed_out() must be called if nothing arrives. `idle_close`: the time without use
  /// after which the connection is closed.
  Seconds read_deadline(Seconds idle_close) const;
  /// Whether the time of read_deadline() has passed, so that the connection must end.
  bool timed_out(Seconds idle_close);

 private:
  bool take_answers(CommandListener* listener);
  void take_answer(const std::vector<std::string_view>& words, CommandListener* listener);
  void forget(const Attempt& attempt, bool may_be_answered);
  bool answer_begun() const { return !stream_.in().empty(); }
  std::size_t max_read_bytes() const;
  void reserve_answer();
  void stop_reading();
  void resume_reading();
  void end_as(std::string_view why, guard::EndpointClose reason);

  Scheduler& scheduler_;
  Log& log_;
  UpstreamEndpoint& endpoint_;
  Stream stream_;
  BufferBudget& budget_;
  BufferBudget::Reservation answer_memory_;  // for the rest of the answer that has begun
  Seconds memory_wait_ = 0;                  // time spent without memory, up to waiting_since_
  Seconds waiting_since_ = kNoTime;          // since when memory is awaited
  bool connected_ = false;
  bool retired_ = false;
  guard::EndpointClose retire_reason_ = guard::EndpointClose::silent;
  std::string_view why_ = "closed by the endpoint";
  guard::EndpointClose end_reason_ = guard::EndpointClose::by_endpoint;
  std::unordered_map<std::uint64_t, Attempt*>
      open_;                                   // by request; null: released, an answer may still arrive
  std::deque<std::uint64_t> late_answer_ids_;  // ids of the latest released ones, oldest first
  std::size_t in_flight_ = 0;                  // number of attempts that were not released
  Seconds connected_at_ = 0;
  Seconds last_received_at_ = 0;
  Seconds used_at_ = 0;
  std::uint64_t answers_ = 0;          // number of whole answers received
  Seconds progress_at_ = 0;            // when the incomplete answer last made progress
  std::size_t bytes_at_progress_ = 0;  // how much of it was there at that time
};

}  // namespace walkpaddle::net
