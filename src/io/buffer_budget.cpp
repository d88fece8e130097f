#include "io/buffer_budget.h"

#include <algorithm>

namespace walkpaddle {

std::size_t BufferBudget::free_bytes() const { return limit_ - std::min(limit_, buffered_ + reserved_); }

// One request is granted beyond the limit while nothing is being received or sent, so that the parts of
// messages that are already here cannot block one another.
bool BufferBudget::fits(std::size_t bytes) const {
  return bytes <= free_bytes() || (reserved_ == 0 && output_ == 0);
}

void BufferBudget::add(std::size_t bytes) { buffered_ += bytes; }

void BufferBudget::add_output(std::size_t bytes) {
  output_ += bytes;
  add(bytes);
}

void BufferBudget::remove_output(std::size_t bytes) {
  output_ -= bytes;
  remove(bytes);
}

void BufferBudget::remove(std::size_t bytes) {
  buffered_ -= bytes;
  grant_waiting();
}

void BufferBudget::grant_waiting() {
  while (!queue_.empty() && fits(queue_.front()->bytes_)) {
    auto& granted = *queue_.front();
    queue_.pop_front();
    granted.waiting_ = false;
    reserved_ += granted.bytes_;
    granted.on_granted_();
  }
}

void BufferBudget::Reservation::request(std::size_t bytes) {
  release();
  bytes_ = bytes;
  if (budget_.queue_.empty() && budget_.fits(bytes)) {
    budget_.reserved_ += bytes;
    return;
  }
  waiting_ = true;
  position_ = budget_.queue_.insert(budget_.queue_.end(), this);
  budget_.shortage_.set();
}

void BufferBudget::Reservation::reduce_to(std::size_t bytes) {
  if (waiting_ || bytes >= bytes_) return;
  budget_.reserved_ -= bytes_ - bytes;
  bytes_ = bytes;
  budget_.grant_waiting();
}

void BufferBudget::Reservation::release() {
  if (waiting_) budget_.queue_.erase(position_);
  if (!waiting_) budget_.reserved_ -= bytes_;
  waiting_ = false;
  bytes_ = 0;
  budget_.grant_waiting();
}

}  // namespace walkpaddle
