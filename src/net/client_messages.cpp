#include "net/client_messages.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "net/request_dispatcher.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

// Requests are deferred while the answers that their client has not read take too much memory. Its messages
// are still read, because it may withdraw requests or disconnect. Requests behind the first one that waits
// can only be rejected.
void ClientMessages::serve_deferred(const std::shared_ptr<ClientConnection>& client, bool input_continues) {
  constexpr Seconds kMaxReadAhead = 0.05;  // half of what an attempt may begin after its client has left
  using Verdict = routing::OutputAdmission::Verdict;
  auto& deferred = client->deferred_;
  std::size_t waiting = 0;
  while (waiting < deferred.size() && !stopped_) {
    if (input_continues && scheduler_.now() < deferred[waiting].read_at + kMaxReadAhead) break;
    const auto verdict =
        client->admission_.decide(client->output(), waiting, budget_.free_bytes(),
                                  std::min(deferred[waiting].deadline, answer_by_), scheduler_.now());
    if (verdict == Verdict::wait || (verdict == Verdict::start && waiting > 0)) {
      ++waiting;
      continue;
    }
    auto request = std::move(deferred[waiting]);
    deferred.erase(deferred.begin() + static_cast<std::ptrdiff_t>(waiting));
    if (verdict == Verdict::reject) {
      reject(*client, request, guard::Unstarted::late_answer);
      continue;
    }
    request.started = routing::OutputAdmission::StartedRequest(client->admission_);
    serve_(client, std::move(request));
  }
  if (!deferred.empty()) client->stream_.wake_on_output();
}

void ClientMessages::drop_deferred(ClientConnection& client) {
  for (const auto& request : std::exchange(client.deferred_, {})) {
    log_("shed", "{}: not started: {}", request.id_text, to_string(guard::Unstarted::client_left));
    if (guard_ == nullptr) continue;
    ++guard_->counters().left;
    guard_->counters().not_started(guard::Unstarted::client_left);
  }
}

// Answers a request that was not started.
void ClientMessages::reject(ClientConnection& client, const Request& request, guard::Unstarted reason) {
  log_("shed", "{}: rejected before it started: {}; its client has {} bytes unread, {} bytes are free",
       request.id_text, to_string(reason), client.stream_.unsent(), budget_.free_bytes());
  if (guard_ != nullptr) {
    ++guard_->counters().shed;
    guard_->counters().not_started(reason);
  }
  client.answer(request.tag, "REJECT");
}

void ClientMessages::take(const std::shared_ptr<ClientConnection>& client) {
  constexpr std::size_t kMaxWords = 8;
  constexpr std::size_t kMaxBytes = 64UL * 1024;  // the body of a write has up to 48,000 bytes
  auto& stream = client->stream_;
  RespArray message;
  while (client->phase_ != ClientConnection::Phase::half_closed && !client->framing_lost_) {
    try {
      read_resp_array(stream.in(), kMaxWords, kMaxBytes, message);
      if (message.used == 0) return;
      client->message_taken();
      handle(client, message.words);
    } catch (const InputError& e) {
      if (client->is_open()) {
        log_("client", "{}: connection closed: malformed message: {}", text_of(stream.peer()), e.what());
        if (guard_ != nullptr) guard_->counters().closed(guard::ClientClose::unusable_message);
      }
      client->begin_end();
      client->framing_lost_ = message.used == 0;  // the start of the next message is unknown
      withdraw_if_cut_short(*client);
    }
    stream.consume(message.used);
  }
  stream.consume(stream.in().size());
}

void ClientMessages::handle(const std::shared_ptr<ClientConnection>& client,
                            const std::vector<std::string_view>& words) {
  client->last_request_ = {};
  if (words.size() < 2) throw_bad_value("command", "");
  const auto verb = words[0];
  const std::string tag(words[1]);
  if (parse<std::uint64_t>(tag, "tag") == 0) throw_bad_value("tag", tag);
  if (verb == "ALIVE") return client->answer(tag, alive_reply_);
  if (verb == "FORGET") return forget(*client, tag);
  if (verb != "EXEC") throw_bad_value("command", verb);
  execute(client, words, tag);
}

void ClientMessages::forget(ClientConnection& client, const std::string& tag) {
  std::erase_if(client.deferred_, [&](const Request& request) { return request.tag == tag; });
  const auto it = client.open_.find(tag);
  if (it == client.open_.end()) return;
  auto* const handle = it->second;
  client.open_.erase(it);
  handle->client_left();
}

// Bytes that begin no message may be the rest of the message before them: a string that its number of strings
// left out, or the rest of a body whose length was too small. Such a request is not started; one that was
// started already is abandoned, and its client is told that it failed.
void ClientMessages::withdraw_if_cut_short(ClientConnection& client) {
  const auto [tag, has_body] = std::exchange(client.last_request_, {});
  const auto bytes = client.stream_.in();
  const bool is_rest_of_body = has_body && !may_begin_resp_array(bytes);
  if (!begins_resp_string(bytes) && !is_rest_of_body) return;
  const auto deferred = std::ranges::find(client.deferred_, tag, &Request::tag);
  if (deferred != client.deferred_.end()) {
    const auto request = std::move(*deferred);
    client.deferred_.erase(deferred);
    return fail_unstarted(client, request, guard::Unstarted::malformed);
  }
  const auto open = client.open_.find(tag);
  if (open == client.open_.end()) return;
  auto* const handle = open->second;
  client.open_.erase(open);
  log_("request", "tag {}: abandoned: the length of its message was wrong", tag);
  if (guard_ == nullptr || guard_->may_answer(handle->record()) == guard::Invariant::none)
    client.answer(tag, "ABORTED");
  handle->client_left();
}

// The client is told that its request failed: a rejection would say that it did not run.
void ClientMessages::refuse_id(ClientConnection& client, const Request& request, guard::IdRefusal refusal) {
  const bool is_open = refusal == guard::IdRefusal::is_open;
  fail_unstarted(client, request, is_open ? guard::Unstarted::id_open : guard::Unstarted::id_repeated);
}

void ClientMessages::fail_unstarted(ClientConnection& client, const Request& request,
                                    guard::Unstarted reason) {
  log_("request", "{}: failed before it started: {}", request.id_text, to_string(reason));
  if (guard_ != nullptr) {
    ++guard_->counters().failed;
    guard_->counters().not_started(reason);
  }
  client.answer(request.tag, "ABORTED");
}

void ClientMessages::execute(const std::shared_ptr<ClientConnection>& client,
                             const std::vector<std::string_view>& words, const std::string& tag) {
  if (client->has_tag(tag)) throw_bad_value("tag (already open)", tag);
  if (client->is_open() && client->requests() >= ClientConnection::kMaxOpenRequests)
    throw_bad_value("tag (too many open requests)", tag);
  // The client's time limit runs from when it sent the request, which may have waited before it was read.
  const Seconds sent_at = scheduler_.now() - std::max(scheduler_.max_input_delay(), client->read_delay());
  Request request;
  try {
    request = parse_request(words, classes_, sent_at);
  } catch (const InputError& e) {
    log_("request", "malformed request: {}", e.what());
    return client->answer(tag, "ABORTED");
  }
  request.read_at = scheduler_.now();
  const auto other_requests = ids_.open();
  auto reservation = ids_.reserve(request.id);  // first: what may have run must not be answered as rejected
  if (!reservation) return refuse_id(*client, request, reservation.error());
  if (stopped_ || !client->is_open()) return reject(*client, request, guard::Unstarted::connection_ends);
  if (!quota_.admits(client->requests(), other_requests))
    return reject(*client, request, guard::Unstarted::too_many_open);
  if (request.body.size() > budget_.free_bytes())
    return reject(*client, request, guard::Unstarted::no_memory);
  request.id_reservation = std::move(*reservation);
  request.body_memory = BufferBudget::Lease(budget_, request.body.size());
  client->last_request_ = {tag, !request.body.empty()};
  client->deferred_.push_back(std::move(request));
}

}  // namespace walkpaddle::net
