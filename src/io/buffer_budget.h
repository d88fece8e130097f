/// \file
/// The memory for bytes that streams hold: received and not consumed, or written and not sent. Bytes that are
/// still to be received are reserved beforehand, in the order of request, so that reading stops at the limit
/// and goes on when memory is free. No I/O.
///
/// Lifetimes: the scheduler must outlive the budget, and the budget all its reservations and leases. Threads:
/// everything runs on the scheduler's one thread.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

#include "io/scheduler.h"

namespace walkpaddle {

/// A limit on buffered bytes. Writes and small reads are always accepted and counted; large reads wait for a
/// Reservation. Each read must therefore be preceded by one if it is large and what it reads is kept.
class BufferBudget {
 public:
  /// Memory for bytes that are still to be received. Queued until granted, and released by its destructor.
  class Reservation {
   public:
    /// `on_granted` is called when a queued request is granted. `budget` must outlive the reservation.
    Reservation(BufferBudget& budget, std::function<void()> on_granted)
        : budget_(budget), on_granted_(std::move(on_granted)) {}
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() { release(); }

    /// Releases what is held and requests `bytes`. Granted at once if they are free and nobody waits.
    void request(std::size_t bytes);
    /// Keeps at most `bytes`, because the others were received or are not needed.
    void reduce_to(std::size_t bytes);
    /// Gives up what is held or requested.
    void release();
    /// Whether a request is queued.
    bool is_waiting() const { return waiting_; }
    /// Bytes held; 0 while the request is queued.
    std::size_t bytes() const { return waiting_ ? 0 : bytes_; }

   private:
    friend class BufferBudget;
    BufferBudget& budget_;
    const std::function<void()> on_granted_;
    std::size_t bytes_ = 0;
    bool waiting_ = false;
    std::list<Reservation*>::iterator position_{};  // in the queue, while waiting
  };

  /// Counts bytes that are in memory outside a stream and are to be sent, for as long as it exists.
  class Lease {
   public:
    Lease() = default;
    /// Counts `bytes` now, whether or not they are free.
    Lease(BufferBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {
      budget.add_output(bytes);
    }
    /// Takes over the count.
    Lease(Lease&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    /// Swaps the counts.
    Lease& operator=(Lease&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease() {
      if (budget_ != nullptr) budget_->remove_output(bytes_);
    }

   private:
    BufferBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
  };

  /// `limit`: bytes that may be buffered and reserved. `scheduler` must outlive the budget.
  BufferBudget(Scheduler& scheduler, std::size_t limit) : limit_(limit), shortage_(scheduler) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// Counts bytes that were buffered.
  void add(std::size_t bytes);
  /// Counts bytes that are not buffered any more, and grants requests that now fit.
  void remove(std::size_t bytes);
  /// Like add(), for bytes that wait to be sent.
  void add_output(std::size_t bytes);
  /// Like remove(), for bytes that were sent or discarded.
  void remove_output(std::size_t bytes);
  /// Bytes that are neither buffered nor reserved; 0 above the limit.
  std::size_t free_bytes() const;
  /// The limit.
  std::size_t limit() const { return limit_; }
  /// Bytes that are buffered, without reservations.
  std::size_t buffered() const { return buffered_; }
  /// Whether a reservation waits for memory.
  bool is_short() const { return !queue_.empty(); }
  /// Awaits the next request that cannot be granted at once. For one task.
  Event::Awaiter shortage() { return shortage_.wait(); }

 private:
  bool fits(std::size_t bytes) const;
  void grant_waiting();

  const std::size_t limit_;
  std::size_t buffered_ = 0;
  std::size_t output_ = 0;  // of buffered_, bytes that are to be sent
  std::size_t reserved_ = 0;
  std::list<Reservation*> queue_;  // oldest first; at most one for each stream
  Event shortage_;
};

}  // namespace walkpaddle
