/// \file
/// Which requests of a client may start, given the answers that it has not read yet. A client that reads gets
/// its answers one after the other instead of all at once, so that they need not be kept in memory; a request
/// whose answer would come too late is given up at once.
///
/// The output of one client is limited to the memory that is still free, as in "Dynamic queue length
/// thresholds for shared-memory packet switches" (Choudhury and Hahne, 1998): few busy clients get large
/// shares, and there is always some memory left for another client. No I/O.
#pragma once

#include <cstddef>
#include <utility>

#include "base/time.h"

namespace walkpaddle::routing {

/// The state of one client's output.
struct ClientOutput {
  std::size_t unsent_bytes = 0;   ///< written, and not accepted by the kernel
  std::size_t open_requests = 0;  ///< started, and not answered
  Seconds backlog_duration = 0;   ///< for how long there have been unsent bytes; 0: there are none
  std::size_t backlog_taken = 0;  ///< bytes that the client has taken in this time
};

/// Decides about the start of requests. One for all clients.
class OutputAdmission {
 public:
  /// What to do with a request that has not started.
  enum class Verdict {
    start,  ///< start it now
    wait,   ///< ask again when the client has read more
    reject  ///< its answer would come after its deadline
  };

  /// Counts a started request until its end, so that memory for its answer is set aside. The admission must
  /// outlive it.
  class StartedRequest {
   public:
    StartedRequest() = default;
    /// Counts one request from now on.
    explicit StartedRequest(OutputAdmission& admission) : admission_(&admission) { ++admission.started_; }
    /// Takes over the count.
    StartedRequest(StartedRequest&& other) noexcept : admission_(std::exchange(other.admission_, nullptr)) {}
    /// Swaps the counts.
    StartedRequest& operator=(StartedRequest&& other) noexcept {
      std::swap(admission_, other.admission_);
      return *this;
    }
    StartedRequest(const StartedRequest&) = delete;
    StartedRequest& operator=(const StartedRequest&) = delete;
    ~StartedRequest() {
      if (admission_ != nullptr) --admission_->started_;
    }

   private:
    OutputAdmission* admission_ = nullptr;
  };

  /// Records the size of the body of an answer.
  void answered(std::size_t body_bytes);
  /// Decides about the request that `requests_before` others of the client precede in its queue.
  /// `free_bytes`: memory that is free for output. `deadline`: when the answer must have arrived.
  Verdict decide(const ClientOutput& output, std::size_t requests_before, std::size_t free_bytes,
                 Seconds deadline, Seconds now) const;
  /// Whether an answer of this size, written now, would come after the deadline, even if the client reads as
  /// fast as it may be reading. `time_left`: until the deadline.
  static bool answer_is_late(const ClientOutput& output, std::size_t body_bytes, Seconds time_left);

 private:
  double body_bytes() const;
  double expected_bytes(const ClientOutput& output, std::size_t requests) const;
  bool would_be_late(const ClientOutput& output, std::size_t requests_before, Seconds time_left) const;

  double mean_body_bytes_ = -1;  // exponentially weighted; < 0: no answer yet
  std::size_t started_ = 0;      // requests of all clients that were started and have not ended
};

}  // namespace walkpaddle::routing
