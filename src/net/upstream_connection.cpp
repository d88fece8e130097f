#include "net/upstream_connection.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "net/attempt.h"
#include "net/endpoint_answer.h"

namespace walkpaddle::net {

namespace {

// The bytes of one answer follow one another within a round trip. If they stop or trickle, no answer can be
// expected on this connection any more. A hundredth of the usual transfer rate still delivers more than
// kLeastProgressBytes in this time.
constexpr Seconds kMaxStall = 0.4;
constexpr std::size_t kLeastProgressBytes = 1024;
// Read without a reservation: the small answers, and of the others enough to know their length. Connections
// are bounded in number, so these bytes are too.
constexpr std::size_t kUnreservedBytes = 4096;

}  // namespace

void UpstreamEndpoint::add_response_time(Seconds time) {
  constexpr double kWeight = 0.1;  // weight of one answer in the mean
  least_response_time = std::min(least_response_time, time);
  mean_response_time += (time - mean_response_time) * kWeight;
}

UpstreamConnection::UpstreamConnection(Scheduler& scheduler, Outbox& outbox, Log& log, Fd socket,
                                       UpstreamEndpoint& endpoint)
    : scheduler_(scheduler),
      log_(log),
      endpoint_(endpoint),
      stream_(scheduler, outbox, std::move(socket)),
      budget_(outbox.budget()),
      answer_memory_(budget_, [this] { stream_.wake(); }) {}

bool UpstreamConnection::has_capacity(std::size_t max_in_flight) const {
  return usable() && !awaits_memory() && stream_.can_write() && in_flight_ < max_in_flight;
}

bool UpstreamConnection::accepts(const Attempt& attempt, std::size_t max_in_flight) const {
  return has_capacity(max_in_flight) && !open_.contains(attempt.spec_.id);
}

void UpstreamConnection::set_connected() {
  connected_ = true;
  connected_at_ = scheduler_.now();
  last_received_at_ = scheduler_.now();
  used_at_ = last_received_at_;
  progress_at_ = last_received_at_;
}

void UpstreamConnection::retire(guard::EndpointClose reason) {
  retired_ = true;
  retire_reason_ = reason;
}

void UpstreamConnection::close_if_drained() {
  if (retired_ && in_flight_ == 0) stream_.close();
}

void UpstreamConnection::end_as(std::string_view why, guard::EndpointClose reason) {
  why_ = why;
  end_reason_ = reason;
}

// ---- Attempts. -----------------------------------------------------------------------------------------

void UpstreamConnection::send(Attempt& attempt, std::string_view message, Seconds now) {
  stream_.write(message);
  open_[attempt.spec_.id] = &attempt;
  attempt.memory_wait_before_ = memory_wait();
  ++in_flight_;
  used_at_ = now;
}

bool UpstreamConnection::withdraw(Attempt& attempt) {
  if (!stream_.remove_unsent(attempt.first_byte_, attempt.last_byte_)) return false;
  const auto bytes = attempt.last_byte_ - attempt.first_byte_;
  open_.erase(attempt.spec_.id);
  for (auto& [id, other] : open_) {
    if (other == nullptr || other->first_byte_ < attempt.last_byte_) continue;
    other->first_byte_ -= bytes;
    other->last_byte_ -= bytes;
  }
  --in_flight_;
  return true;
}

void UpstreamConnection::release(const Attempt& attempt, bool may_be_answered) {
  forget(attempt, may_be_answered);
  --in_flight_;
}

// A late or repeated answer must not be taken for that of the request's next attempt. If an answer may still
// arrive, or the request has an effect that must not happen twice, no other attempt of the request uses this
// connection. Otherwise the connection is used again: a dial and a place at the endpoint for each attempt
// would cost more than an attempt that ends too soon.
void UpstreamConnection::forget(const Attempt& attempt, bool may_be_answered) {
  constexpr std::size_t kMaxLateAnswers = 64;  // more than can be released within one round trip
  const auto id = attempt.spec_.id;
  open_.erase(id);
  if (!may_be_answered && !attempt.spec_.has_effect) return;
  open_[id] = nullptr;
  late_answer_ids_.push_back(id);
  if (late_answer_ids_.size() <= kMaxLateAnswers) return;
  const auto oldest = open_.find(late_answer_ids_.front());
  if (oldest != open_.end() && oldest->second == nullptr) open_.erase(oldest);
  late_answer_ids_.pop_front();
}

void UpstreamConnection::end_attempts() {
  for (const auto& [id, attempt] : std::exchange(open_, {}))
    if (attempt != nullptr) attempt->connection_ended(stream_.flushed());
}

// ---- Answers. ------------------------------------------------------------------------------------------

// Of half of the memory each read may fill a whole buffer, so that ordinary answers take one call.
std::size_t UpstreamConnection::max_read_bytes() const {
  if (answer_memory_.bytes() > 0) return answer_memory_.bytes();
  const bool plenty = budget_.free_bytes() > budget_.limit() / 2;
  return plenty ? static_cast<std::size_t>(-1) : kUnreservedBytes;
}

// Reserves memory for the rest of an answer as soon as its length is known. Without memory, reading stops:
// the rest stays with the kernel and the endpoint until clients have read other answers.
void UpstreamConnection::reserve_answer() {
  if (!answer_begun()) return answer_memory_.release();
  const auto missing = missing_resp_bytes(stream_.in()).bytes;
  if (missing <= kUnreservedBytes) return answer_memory_.release();
  if (missing <= answer_memory_.bytes()) return answer_memory_.reduce_to(missing);
  answer_memory_.request(missing);
  if (awaits_memory()) return stop_reading();
  stream_.expect(stream_.in().size() + missing);
}

void UpstreamConnection::stop_reading() {
  waiting_since_ = scheduler_.now();
  for (const auto& [id, attempt] : open_)
    if (attempt != nullptr) attempt->event_.set();  // its deadline has changed
}

void UpstreamConnection::resume_reading() {
  if (waiting_since_ >= kNoTime) return;
  stream_.expect(stream_.in().size() + answer_memory_.bytes());
  memory_wait_ += scheduler_.now() - std::exchange(waiting_since_, kNoTime);
  progress_at_ = scheduler_.now();
}

Seconds UpstreamConnection::memory_wait() const {
  return memory_wait_ + std::max(0.0, scheduler_.now() - waiting_since_);
}

UpstreamConnection::Input UpstreamConnection::read(CommandListener* listener) {
  if (awaits_memory()) return Input::none;
  resume_reading();
  const bool had_begun = answer_begun();
  const auto answers_before = answers_;
  const auto result = stream_.read(max_read_bytes());
  if (result == Stream::ReadResult::end) return Input::end;
  if (result == Stream::ReadResult::nothing) return Input::none;
  last_received_at_ = scheduler_.now();
  if (!take_answers(listener)) {
    end_as("malformed answer", guard::EndpointClose::answer_unusable);
    return Input::end;
  }
  reserve_answer();
  const auto bytes = stream_.in().size();
  if (!had_begun || answers_ != answers_before || bytes >= bytes_at_progress_ + kLeastProgressBytes) {
    progress_at_ = last_received_at_;
    bytes_at_progress_ = bytes;
  }
  if (answer_begun() && last_received_at_ >= progress_at_ + kMaxStall) {
    end_as("answer arrives too slowly", guard::EndpointClose::answer_trickles);
    return Input::end;
  }
  return Input::answers;
}

Seconds UpstreamConnection::read_deadline(Seconds idle_close) const {
  constexpr Seconds kLeastWait = 0.1;
  if (awaits_memory()) return kNoTime;
  if (answer_begun()) return progress_at_ + kMaxStall;
  if (in_flight_ > 0) return kNoTime;
  return std::max(used_at_ + idle_close, scheduler_.now() + kLeastWait);
}

bool UpstreamConnection::timed_out(Seconds idle_close) {
  if (awaits_memory()) return false;
  if (answer_begun() && scheduler_.now() >= progress_at_ + kMaxStall) {
    end_as("answer stopped before its end", guard::EndpointClose::answer_stopped);
    return true;
  }
  if (in_flight_ == 0 && scheduler_.now() >= used_at_ + idle_close) {
    end_as("", guard::EndpointClose::idle);
    return true;
  }
  return false;
}

bool UpstreamConnection::take_answers(CommandListener* listener) {
  constexpr std::size_t kMaxWords = 8;
  constexpr std::size_t kMaxBytes = 248'000;  // the largest object with its fields
  RespArray answer;
  try {
    for (;;) {
      read_resp_array(stream_.in(), kMaxWords, kMaxBytes, answer);
      if (answer.used == 0) return true;
      // What follows an answer tells whether its lengths were right. Reads may end with the answer.
      if (answer.used == stream_.in().size() && stream_.has_input()) return true;
      if (!may_begin_resp_array(stream_.in().substr(answer.used)))
        throw_bad_value("bytes behind an answer", stream_.in().substr(answer.used));
      take_answer(answer.words, listener);
      stream_.consume(answer.used);
      ++answers_;
    }
  } catch (const InputError& e) {
    log_("answer", "malformed answer: {}", e.what());
    return false;
  }
}

void UpstreamConnection::take_answer(const std::vector<std::string_view>& words, CommandListener* listener) {
  if (words.size() < 2) throw_bad_value("answer", "");
  if (listener != nullptr && words[0] == "purges") return listener->command_answered(endpoint_.index, words);
  auto answer = parse_endpoint_answer(words);  // all of it, before anything changes
  const auto outcome = answer.outcome;
  const auto it = open_.find(answer.id);
  if (it == open_.end()) return;
  Attempt* const attempt = it->second;
  used_at_ = scheduler_.now();
  if (attempt == nullptr) return;
  auto& result = attempt->result_;
  result.memory_wait = memory_wait() - attempt->memory_wait_before_;
  endpoint_.add_response_time(scheduler_.now() - attempt->written_at_ - result.memory_wait);
  store_answer(std::move(answer), result);
  result.body_memory = BufferBudget::Lease(budget_, result.body.size());
  release(*attempt, false);
  attempt->finish(outcome);
}

}  // namespace walkpaddle::net
