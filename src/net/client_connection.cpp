#include "net/client_connection.h"

#include <algorithm>
#include <utility>

#include "net/request_dispatcher.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

namespace {

// Time in which a client reads some of its answers if it reads at all. Clients that read slowly are seen to
// read within this time, in steps of some ten kilobytes.
constexpr Seconds kStallTimeout = 2;

// Of the first request, and between the parts of a message.
constexpr Seconds kTransitTime = 0.2;

}  // namespace

void ClientConnection::answer(const std::string& tag, std::string_view status, std::string_view fields,
                              std::string_view body) {
  last_answered_at_ = scheduler_.now();
  if (!body.empty()) {
    admission_.answered(body.size());
    return stream_.write(resp_array_text({tag, status, fields, body}));
  }
  const auto reply = fields.empty() ? resp_array_text({tag, status}) : resp_array_text({tag, status, fields});
  if (stream_.unsent() == 0) reply_bytes_ = 0;
  reply_bytes_ += reply.size();
  stream_.write(reply);
}

bool ClientConnection::has_tag(const std::string& tag) const {
  return open_.contains(tag) || std::ranges::find(deferred_, tag, &Request::tag) != deferred_.end();
}

routing::ClientOutput ClientConnection::output() const {
  const auto backlog = stream_.backlog();
  return {.unsent_bytes = stream_.unsent(),
          .open_requests = open_.size(),
          .backlog_duration = backlog.duration,
          .backlog_taken = backlog.bytes};
}

// Whether the client has read nothing for a while although answers wait for it.
bool ClientConnection::has_stalled() const {
  return scheduler_.now() >= stream_.stalled_since() + kStallTimeout;
}

// The same for answers that the kernel has accepted, which is seen only by calling this repeatedly.
bool ClientConnection::has_stopped_reading() {
  return acknowledgements_.stalled_for(stream_.written(), stream_.unacknowledged(), scheduler_.now()) >=
         kStallTimeout;
}

// A client may have written so many requests before it learns of the end. Further messages are left with the
// kernel, so that a client that goes on writing, or reads none of its answers, comes to its end too.
bool ClientConnection::may_read() const {
  return !has_unread_replies() && (phase_ != Phase::ending || messages_while_ending_ < kMaxOpenRequests);
}

// Whether many replies wait for the client. Answers with a body are limited by OutputAdmission, but each
// message of a client has a reply, also if it starts no request.
bool ClientConnection::has_unread_replies() const {
  constexpr std::size_t kMaxReplyBytes = 8192;  // some hundred replies
  return reply_bytes_ > kMaxReplyBytes && stream_.unsent() > 0;
}

// Messages may wait with the kernel from now on. Their time limits run meanwhile.
void ClientConnection::input_left_unread() { unread_since_ = std::min(unread_since_, scheduler_.now()); }

// What arrives on a half-closed connection is discarded, so it takes no memory.
std::size_t ClientConnection::max_read_bytes() const {
  return phase_ == Phase::half_closed ? MessageIntake::kUnreservedBytes : intake_.max_read_bytes();
}

// Whether a message was begun and nothing of it has come for longer than its parts are in transit.
bool ClientConnection::has_stopped_sending() const {
  return has_partial_message() && scheduler_.now() >= message_.last_received_at() + kTransitTime;
}

void ClientConnection::discard_input() {
  stream_.consume(stream_.in().size());
  intake_.messages_consumed();
}

// Starts an orderly close. To close a socket that has unread bytes would reset the connection, and the client
// could lose the last answers that were sent to it.
void ClientConnection::begin_end() {
  if (!is_open()) return;
  phase_ = Phase::ending;
  stream_.wake();
}

void ClientConnection::connected() {
  last_received_at_ = scheduler_.now();
  message_.begin(last_received_at_);
}

void ClientConnection::message_taken() {
  has_sent_message_ = true;
  last_received_at_ = scheduler_.now();
  if (phase_ == Phase::ending) ++messages_while_ending_;
  message_.finish();
  intake_.message_finished();
}

void ClientConnection::input_taken(std::size_t bytes_received) {
  intake_.messages_consumed();
  if (has_partial_message())
    message_.received(std::min(bytes_received, stream_.in().size()), scheduler_.now());
}

// A message whose bytes stay with the kernel for want of memory arrives all the same.
void ClientConnection::note_arrivals() {
  if (const auto bytes = intake_.take_arrived(); bytes > 0) message_.received(bytes, scheduler_.now());
}

// Whether a message is awaited of which nothing has come for a while.
bool ClientConnection::is_silent() const {
  return scheduler_.now() >= message_.last_received_at() + kSilenceTimeout;
}

// Whether a message has been arriving for a while, so slowly that it can be given up for other clients. A
// request without a body has some hundred bytes and takes ten seconds at this rate.
bool ClientConnection::is_dripping() const {
  constexpr double kMinBytesPerSecond = 10;
  return has_partial_message() && message_.age(scheduler_.now()) >= kSilenceTimeout &&
         message_.rate(scheduler_.now()) < kMinBytesPerSecond;
}

bool ClientConnection::awaits_rest_of_message() const {
  return is_open() && has_partial_message() && !is_silent() && !is_dripping();
}

// nullopt: the next bytes are probably in transit.
std::optional<EvictionRank> ClientConnection::eviction_rank() const {
  using Kind = EvictionRank::Kind;
  const Seconds now = scheduler_.now();
  if (has_partial_message()) {
    if (message_.age(now) < kTransitTime) return std::nullopt;
    if (has_stopped_sending()) return EvictionRank{Kind::stopped, message_.last_received_at()};
    return EvictionRank{is_dripping() ? Kind::dripping : Kind::incomplete, message_.rate(now)};
  }
  const bool nothing_sent = !has_sent_message_ && last_received_at_ <= now - kTransitTime;
  return EvictionRank{nothing_sent ? Kind::nothing_sent : Kind::idle, idle_since()};
}

Seconds ClientConnection::read_deadline() const {
  constexpr Seconds kPollInterval = 0.1;  // while requests are deferred, or a message is overdue or held back
  const bool silent = is_silent();
  const bool polls = silent || !deferred_.empty() || intake_.awaits_memory();
  const Seconds poll_at = polls ? scheduler_.now() + kPollInterval : kNoTime;
  return silent ? poll_at : std::min(message_.last_received_at() + kSilenceTimeout, poll_at);
}

void ClientConnection::notify_client_left() {
  for (const auto& [tag, handle] : std::exchange(open_, {})) handle->client_left();
}

}  // namespace walkpaddle::net
