#include "net/upstream_connection.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "net/attempt.h"
#include "net/endpoint_answer.h"

namespace walkpaddle::net {

namespace {

// Bytes of one answer follow each other within a round trip; where they stop, or trickle, nothing on this
// connection will be answered any more. A hundredth of a usual transfer's pace brings more than
// kLeastProgressBytes in that time.
constexpr Seconds kLongestStall = 0.4;
constexpr std::size_t kLeastProgressBytes = 1024;

}  // namespace

void UpstreamEndpoint::answered_after(Seconds time) {
  constexpr double kWeight = 0.1;  // of one answer in the mean
  least_response_time = std::min(least_response_time, time);
  mean_response_time += (time - mean_response_time) * kWeight;
}

UpstreamConnection::UpstreamConnection(Scheduler& scheduler, Outbox& outbox, Log& log, Fd socket,
                                       UpstreamEndpoint& endpoint)
    : scheduler_(scheduler), log_(log), endpoint_(endpoint), stream_(scheduler, outbox, std::move(socket)) {}

bool UpstreamConnection::accepts(const Attempt& attempt, std::size_t max_live) const {
  return usable() && stream_.can_write() && live_ < max_live && !open_.contains(attempt.spec_.id);
}

void UpstreamConnection::came_up() {
  up_ = true;
  heard_at_ = scheduler_.now();
  used_at_ = heard_at_;
  progress_at_ = heard_at_;
}

void UpstreamConnection::retire(guard::EndpointClose reason) {
  retired_ = true;
  retire_reason_ = reason;
}

void UpstreamConnection::close_if_drained() {
  if (retired_ && live_ == 0) stream_.close();
}

void UpstreamConnection::end_as(std::string_view why, guard::EndpointClose reason) {
  why_ = why;
  end_reason_ = reason;
}

// ---- Attempts. -----------------------------------------------------------------------------------------

void UpstreamConnection::send(Attempt& attempt, std::string_view message, Seconds now) {
  stream_.write(message);
  open_[attempt.spec_.id] = &attempt;
  ++live_;
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
  --live_;
  return true;
}

void UpstreamConnection::release(const Attempt& attempt, bool may_be_answered) {
  forget(attempt, may_be_answered);
  --live_;
}

// Prevents an answer that comes late, or twice, from being taken for that of the request's next attempt:
// where one may come, or would make an effect happen twice, no other attempt of the request goes over this
// connection. Others may: a dial and a place at the endpoint for each cost more than an attempt that ends too
// soon.
void UpstreamConnection::forget(const Attempt& attempt, bool may_be_answered) {
  constexpr std::size_t kMaxGivenUp = 64;  // more than can be given up in the time of one round trip
  const auto id = attempt.spec_.id;
  open_.erase(id);
  if (!may_be_answered && !attempt.spec_.has_effect) return;
  open_[id] = nullptr;
  given_up_.push_back(id);
  if (given_up_.size() <= kMaxGivenUp) return;
  const auto oldest = open_.find(given_up_.front());
  if (oldest != open_.end() && oldest->second == nullptr) open_.erase(oldest);
  given_up_.pop_front();
}

void UpstreamConnection::detach_attempts() {
  for (const auto& [id, attempt] : open_)
    if (attempt != nullptr) attempt->connection_ = nullptr;
}

void UpstreamConnection::end_attempts() {
  for (const auto& [id, attempt] : std::exchange(open_, {}))
    if (attempt != nullptr) attempt->connection_ended(stream_.flushed());
}

// ---- Answers. ------------------------------------------------------------------------------------------

UpstreamConnection::Input UpstreamConnection::read(CommandListener* listener) {
  const bool had_begun = answer_begun();
  const auto answers_before = answers_;
  const auto came = stream_.read();
  if (came == Stream::ReadResult::end) return Input::end;
  if (came == Stream::ReadResult::nothing) return Input::none;
  heard_at_ = scheduler_.now();
  if (!take_answers(listener)) {
    end_as("an answer that cannot be read", guard::EndpointClose::answer_unusable);
    return Input::end;
  }
  const auto bytes = stream_.in().size();
  if (!had_begun || answers_ != answers_before || bytes >= bytes_then_ + kLeastProgressBytes) {
    progress_at_ = heard_at_;
    bytes_then_ = bytes;
  }
  if (answer_begun() && heard_at_ >= progress_at_ + kLongestStall) {
    end_as("an answer that trickles", guard::EndpointClose::answer_trickles);
    return Input::end;
  }
  return Input::answers;
}

Seconds UpstreamConnection::read_deadline(Seconds idle_close) const {
  constexpr Seconds kLeastWait = 0.1;
  if (answer_begun()) return progress_at_ + kLongestStall;
  if (live_ > 0) return kNoTime;
  return std::max(used_at_ + idle_close, scheduler_.now() + kLeastWait);
}

bool UpstreamConnection::timed_out(Seconds idle_close) {
  if (answer_begun() && scheduler_.now() >= progress_at_ + kLongestStall) {
    end_as("an answer that stopped midway", guard::EndpointClose::answer_stopped);
    return true;
  }
  if (live_ == 0 && scheduler_.now() >= used_at_ + idle_close) {
    end_as("", guard::EndpointClose::idle);
    return true;
  }
  return false;
}

bool UpstreamConnection::take_answers(CommandListener* listener) {
  constexpr std::size_t kMaxWords = 8;
  constexpr std::size_t kMaxBytes = 248'000;  // the largest object, and fields
  Words answer;
  try {
    for (;;) {
      read_words(stream_.in(), kMaxWords, kMaxBytes, answer);
      if (answer.used == 0) return true;
      take_answer(answer.words, listener);
      stream_.consume(answer.used);
      ++answers_;
    }
  } catch (const InputError& e) {
    log_("answer", "{}", e.what());
    return false;
  }
}

void UpstreamConnection::take_answer(const std::vector<std::string_view>& words, CommandListener* listener) {
  if (words.size() < 2) throw_bad_value("answer", "");
  if (listener != nullptr && words[0] == "purges") return listener->command_answered(endpoint_.index, words);
  const auto answer = parse_endpoint_answer(words);
  const auto it = open_.find(answer.id);
  if (it == open_.end()) return;
  Attempt* const attempt = it->second;
  used_at_ = scheduler_.now();
  if (attempt == nullptr) return;
  release(*attempt, false);
  attempt->connection_ = nullptr;
  endpoint_.answered_after(scheduler_.now() - attempt->written_at_);
  store_answer(answer, attempt->result_);
  attempt->finish(answer.outcome);
}

}  // namespace walkpaddle::net
