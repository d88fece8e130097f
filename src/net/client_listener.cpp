#include "net/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/request_dispatcher.h"

namespace walkpaddle::net {

namespace {

// Whether an accept error concerns only the connection that was to be accepted. Such a connection is gone,
// and the next one can be accepted (accept(2), "Error handling").
bool is_connection_error(int error) {
  constexpr int kErrors[] = {ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT, EHOSTDOWN,
                             ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
  return std::ranges::find(kErrors, error) != std::end(kErrors);
}

}  // namespace

// Removes a connection from the listener's list when its task ends.
class ClientListener::Registration {
 public:
  Registration(ClientListener& listener, ClientConnection& client) : listener_(listener), client_(client) {}
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration() {
    const bool listed = listener_.connections_.erase(&client_) > 0;
    if (listed && client_.phase_ == ClientConnection::Phase::half_closed) --listener_.closing_;
  }

 private:
  ClientListener& listener_;
  ClientConnection& client_;
};

ClientListener::ClientListener(Scheduler& scheduler, Outbox& outbox, Log& log, Fd listener,
                               std::size_t max_connections, std::vector<config::RequestClassName> classes,
                               Serve serve)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      max_connections_(max_connections),
      messages_(scheduler, outbox.budget(), log, std::move(classes), std::move(serve)),
      listener_(scheduler, std::move(listener)) {
  scheduler_.start(accept_all());
  scheduler_.start(close_stalled_clients());
}

void ClientListener::set_guard(guard::Guard& guard) {
  guard_ = &guard;
  messages_.set_guard(guard);
}

void ClientListener::count_close(guard::ClientClose reason) {
  if (guard_ != nullptr) guard_->counters().closed(reason);
}

// ---- Accepting. ----------------------------------------------------------------------------------------

Task ClientListener::accept_all() {
  constexpr Seconds kPause = 0.02;  // without descriptors or memory, until some connections may have closed
  while (listener_.open()) {
    Fd socket = listener_.accept();
    if (socket) {
      accepted(std::move(socket));
      continue;
    }
    const int error = errno;
    if (error == EINTR || is_connection_error(error)) continue;
    if (error != EAGAIN) {
      accept_failing_since_ = std::min(accept_failing_since_, scheduler_.now());
      log_("accept", "cannot accept a connection: {}; {} clients connected", std::strerror(error),
           connections_.size());
      if (error == EMFILE || error == ENFILE) evict_idle_client();
      co_await listener_.input_ready.wait(scheduler_.now() + kPause);
      continue;
    }
    accept_failing_since_ = kNoTime;
    co_await listener_.input_ready.wait();
  }
}

void ClientListener::accepted(Fd socket) {
  // About one of the largest answers; without the limit the kernel's buffer would grow to megabytes.
  constexpr int kKernelBufferBytes = 256 * 1024;
  if (connections_.size() - closing_ >= max_connections_ && !evict_idle_client()) {
    count_close(guard::ClientClose::no_place);  // none can be evicted: the new connection is closed at once
    return;
  }
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kKernelBufferBytes, sizeof kKernelBufferBytes);
  auto client = std::make_shared<ClientConnection>(scheduler_, outbox_, admission_, std::move(socket));
  client->max_accept_delay_ = std::max(0.0, scheduler_.now() - accept_failing_since_);
  connections_[client.get()] = client;
  scheduler_.start_isolated(run_connection(std::move(client)));
}

// Half-closes an idle connection at the connection limit: first those without any message so far, then the
// one that has been idle longest. This keeps clients that send one request and stay connected, or connect by
// the hundred and send nothing, from using up all connections. Connections with open requests or unread bytes
// stay, so that no request is lost that arrived while this process was stopped. At most kMaxClosing
// connections remain half-closed beyond the limit; past that the oldest of them is closed.
bool ClientListener::evict_idle_client() {
  constexpr Seconds kNewConnectionGrace = 0.2;  // the first request of a new connection may be in transit
  using Phase = ClientConnection::Phase;
  const auto rank = [&](const ClientConnection& client) {
    return std::pair(
        client.has_sent_message_ || client.last_received_at_ > scheduler_.now() - kNewConnectionGrace,
        client.idle_since());
  };
  ClientConnection* first = nullptr;
  ClientConnection* oldest_half_closed = nullptr;
  for (const auto& [client, owner] : connections_) {
    if (client->is_open() && client->idle() && (first == nullptr || rank(*client) < rank(*first)) &&
        !client->stream_.has_unread())
      first = client;
    if (client->phase_ == Phase::half_closed &&
        (oldest_half_closed == nullptr || client->close_at_ < oldest_half_closed->close_at_))
      oldest_half_closed = client;
  }
  if (first == nullptr) return false;
  log_("client", "connection closed to make room for another: idle for {:.1f} s",
       scheduler_.now() - first->idle_since());
  count_close(guard::ClientClose::made_room);
  half_close(*first);
  if (closing_ <= kMaxClosing || oldest_half_closed == nullptr) return true;
  oldest_half_closed->stream_.close();
  connections_.erase(oldest_half_closed);
  --closing_;
  return true;
}

// ---- Connection task. ----------------------------------------------------------------------------------

Task ClientListener::run_connection(std::shared_ptr<ClientConnection> client) {
  constexpr Seconds kEndPollInterval = 0.02;
  constexpr int kReadsPerTurn = 4;  // then other connections are served
  auto& stream = client->stream_;
  const Registration registration(*this, *client);
  client->connected();
  for (int reads = 0;;) {
    const auto result = stream.read();
    if (result == Stream::ReadResult::end) break;
    if (result == Stream::ReadResult::bytes) messages_.take(client);
    if (result == Stream::ReadResult::nothing)
      client->max_accept_delay_ = 0;  // later messages did not wait for the accept
    messages_.serve_deferred(client);
    if (!client->is_open() && may_close(*client)) break;
    if (result == Stream::ReadResult::bytes) {
      ++reads;
      if (reads % kReadsPerTurn != 0) continue;
      Event turn(scheduler_);
      co_await turn.wait(scheduler_.now());
      continue;
    }
    if (!client->is_open()) {
      co_await stream.readable(scheduler_.now() + kEndPollInterval);
      continue;
    }
    if (close_as_late(*client)) continue;
    co_await stream.readable(client->read_deadline());
  }
  connection_ended(*client);
}

// Closes a connection whose message is overdue. While answers are outstanding it stays open, and the client
// may complete the message meanwhile.
bool ClientListener::close_as_late(ClientConnection& client) {
  client.update_message_start();
  if (!client.message_is_late() || client.awaits_answers()) return false;
  log_("client", "connection closed: no complete message within {} s", ClientConnection::kMessageTimeout);
  count_close(guard::ClientClose::no_whole_message);
  client.begin_end();
  return true;
}

void ClientListener::connection_ended(ClientConnection& client) {
  if (client.is_open())
    count_close(client.slow_reader_ ? guard::ClientClose::slow_reader : guard::ClientClose::by_client);
  client.stream_.close();
  client.notify_client_left();
}

// While answers wait for memory, closes the connections of clients that have stopped reading, so that their
// unread answers do not keep those of other clients waiting. Clients that read are never closed for that.
Task ClientListener::close_stalled_clients() {
  constexpr Seconds kPollInterval = 0.1;
  Event poll(scheduler_);
  for (;;) {
    co_await outbox_.budget().shortage();
    while (outbox_.budget().is_short()) {
      for (const auto& [client, owner] : connections_) {
        if (client->stream_.unsent() == 0) continue;
        client->stream_.retry_flush();
        if (client->stream_.broken() || !client->has_stalled()) continue;
        log_("client", "connection closed: {} bytes unread and nothing read for {:.1f} s, memory is short",
             client->stream_.unsent(), scheduler_.now() - client->stream_.stalled_since());
        client->slow_reader_ = true;
        client->stream_.close();
      }
      co_await poll.wait(scheduler_.now() + kPollInterval);
    }
  }
}

// ---- Closing. ------------------------------------------------------------------------------------------

void ClientListener::half_close(ClientConnection& client) {
  // Slightly longer than a request may be in transit when the write side is shut down.
  constexpr Seconds kLingerTime = 0.06;
  if (client.phase_ == ClientConnection::Phase::half_closed) return;
  if (guard_ != nullptr &&
      guard_->may_half_close(client.requests(), client.stream_.unsent()) != guard::Invariant::none)
    return;
  client.phase_ = ClientConnection::Phase::half_closed;
  ++closing_;
  client.close_at_ = scheduler_.now() + kLingerTime;
  client.stream_.shutdown_write();
  client.stream_.wake();
}

// Whether a connection that is no longer open may be closed now. Half-closes it once it is idle.
bool ClientListener::may_close(ClientConnection& client) {
  if (client.phase_ == ClientConnection::Phase::ending) {
    if (client.awaits_answers()) client.postpone_close();
    if (client.idle()) half_close(client);
  }
  return scheduler_.now() >= client.close_at_;
}

void ClientListener::abort_open() {
  messages_.stop();
  for (const auto& [client, owner] : connections_) {
    for (const auto& [tag, handle] : std::exchange(client->open_, {})) {
      if (guard_ == nullptr || guard_->may_answer(handle->record()) == guard::Invariant::none)
        client->answer(tag, "ABORTED");
      handle->client_left();
    }
    for (const auto& request : std::exchange(client->deferred_, {})) client->answer(request.tag, "REJECT");
  }
}

bool ClientListener::has_unsent_answers() const {
  return std::ranges::any_of(connections_, [](const auto& entry) { return !entry.first->idle(); });
}

// A request that arrives on a half-closed connection is never executed, and its client sees the connection
// end without an answer.
void ClientListener::close_idle() {
  for (const auto& [client, owner] : connections_) {
    if (!client->idle() || client->stream_.has_unread()) continue;
    if (client->is_open()) count_close(guard::ClientClose::program_ends);
    half_close(*client);
  }
}

}  // namespace walkpaddle::net
