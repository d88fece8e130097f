#include "net/client_connection.h"

#include <algorithm>
#include <utility>

#include "net/request_dispatcher.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

namespace {

// Time for the client to read its remaining answers after its last request has ended.
constexpr Seconds kUnreadTimeout = 2;

}  // namespace

void ClientConnection::answer(const std::string& tag, std::string_view status, std::string_view fields,
                              std::string_view body) {
  if (!body.empty()) admission_.answered(body.size());
  last_answered_at_ = scheduler_.now();
  if (!body.empty())
    stream_.write(resp_array_text({tag, status, fields, body}));
  else if (!fields.empty())
    stream_.write(resp_array_text({tag, status, fields}));
  else
    stream_.write(resp_array_text({tag, status}));
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

// Whether the client has read nothing for a while although answers wait for it. Clients that read slowly are
// seen to read within this time, in steps of some ten kilobytes.
bool ClientConnection::has_stalled() const {
  constexpr Seconds kStallTimeout = 2;
  return scheduler_.now() >= stream_.stalled_since() + kStallTimeout;
}

// Starts an orderly close. To close a socket that has unread bytes would reset the connection, and the client
// could lose the last answers that were sent to it.
void ClientConnection::begin_end() {
  if (!is_open()) return;
  phase_ = Phase::ending;
  postpone_close();
  stream_.wake();
}

void ClientConnection::postpone_close() { close_at_ = scheduler_.now() + kUnreadTimeout; }

void ClientConnection::connected() {
  last_received_at_ = scheduler_.now();
  message_started_at_ = last_received_at_;
}

void ClientConnection::message_taken() {
  has_sent_message_ = true;
  last_received_at_ = scheduler_.now();
}

void ClientConnection::update_message_start() {
  if (has_sent_message_ && stream_.in().empty())
    message_started_at_ = kNoTime;
  else if (message_started_at_ == kNoTime)
    message_started_at_ = scheduler_.now();
  else
    message_started_at_ = std::max(message_started_at_, last_received_at_);
}

bool ClientConnection::message_is_late() const {
  return scheduler_.now() >= message_started_at_ + kMessageTimeout;
}

Seconds ClientConnection::read_deadline() const {
  constexpr Seconds kPollInterval = 0.1;  // while requests are deferred or a message is late
  const bool late = message_is_late();
  const Seconds poll_at = late || !deferred_.empty() ? scheduler_.now() + kPollInterval : kNoTime;
  return late ? poll_at : std::min(message_started_at_ + kMessageTimeout, poll_at);
}

void ClientConnection::notify_client_left() {
  for (const auto& [tag, handle] : std::exchange(open_, {})) handle->client_left();
}

}  // namespace walkpaddle::net
