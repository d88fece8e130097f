#include "net/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "net/request_dispatcher.h"

namespace walkpaddle::net {

namespace {

// An error of the caller's connection, which is gone with it: the next one is taken (accept(2), "Error
// handling").
bool is_callers_error(int error) {
  constexpr int kErrors[] = {ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT, EHOSTDOWN,
                             ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
  return std::ranges::find(kErrors, error) != std::end(kErrors);
}

}  // namespace

// Takes a connection off the list as its task ends.
class ClientListener::Registration {
 public:
  Registration(ClientListener& listener, ClientConnection& client) : listener_(listener), client_(client) {}
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration() {
    const bool listed = listener_.connections_.erase(&client_) > 0;
    if (listed && client_.phase_ == ClientConnection::Phase::shut) --listener_.leaving_;
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
      messages_(scheduler, log, std::move(classes), std::move(serve)),
      listener_(scheduler, std::move(listener)) {
  scheduler_.start(accept_all());
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
  constexpr Seconds kPause = 0.02;  // without descriptors or memory: until some connections may have closed
  while (listener_.open()) {
    Fd socket = listener_.accept();
    if (socket) {
      accepted(std::move(socket));
      continue;
    }
    const int error = errno;
    if (error == EINTR || is_callers_error(error)) continue;
    if (error != EAGAIN) {
      queued_since_ = std::min(queued_since_, scheduler_.now());
      log_("accept", "{}, {} clients connected", std::strerror(error), connections_.size());
      if (error == EMFILE || error == ENFILE) make_room();
      co_await listener_.input_ready.wait(scheduler_.now() + kPause);
      continue;
    }
    queued_since_ = kNoTime;
    co_await listener_.input_ready.wait();
  }
}

void ClientListener::accepted(Fd socket) {
  // One of the largest answers; by itself the kernel's buffer would grow to megabytes.
  constexpr int kKernelBufferBytes = 256 * 1024;
  if (connections_.size() - leaving_ >= max_connections_ && !make_room()) {
    count_close(guard::ClientClose::no_place);  // all have open requests: this one is closed at once
    return;
  }
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kKernelBufferBytes, sizeof kKernelBufferBytes);
  auto client = std::make_shared<ClientConnection>(scheduler_, outbox_, std::move(socket));
  client->queued_for_ = std::max(0.0, scheduler_.now() - queued_since_);
  connections_[client.get()] = client;
  scheduler_.start_isolated(run_connection(std::move(client)));
}

// With all places taken one comes to its end: those that said nothing first, then the longest quiet; one with
// open requests stays, and one whose bytes nobody has read yet. Prevents two losses: of places to clients
// that ask once and stay, or connect by the hundred and say nothing; and of requests that came while this
// process stood still. While it ends its descriptor is one of a few beside the places; past those the longest
// of them goes at once.
bool ClientListener::make_room() {
  constexpr Seconds kFresh = 0.2;  // one that just came may have its first request on the way
  using Phase = ClientConnection::Phase;
  const auto rank = [&](const ClientConnection& client) {
    return std::pair(client.has_spoken_ || client.heard_at_ > scheduler_.now() - kFresh,
                     client.quiet_since());
  };
  ClientConnection* first = nullptr;
  ClientConnection* longest_shut = nullptr;
  for (const auto& [client, held] : connections_) {
    if (client->is_open() && client->idle() && (first == nullptr || rank(*client) < rank(*first)) &&
        !client->stream_.has_unread())
      first = client;
    if (client->phase_ == Phase::shut &&
        (longest_shut == nullptr || client->close_at_ < longest_shut->close_at_))
      longest_shut = client;
  }
  if (first == nullptr) return false;
  log_("client", "closed to make room, quiet for {:.1f} s", scheduler_.now() - first->quiet_since());
  count_close(guard::ClientClose::made_room);
  shut(*first);
  if (leaving_ <= kMaxLeaving || longest_shut == nullptr) return true;
  longest_shut->stream_.close();
  connections_.erase(longest_shut);
  --leaving_;
  return true;
}

// ---- The task of one connection. -----------------------------------------------------------------------

Task ClientListener::run_connection(std::shared_ptr<ClientConnection> client) {
  constexpr Seconds kEndPollInterval = 0.02;
  constexpr int kReadsPerTurn = 4;  // then others have their turn
  auto& stream = client->stream_;
  const Registration registration(*this, *client);
  client->connected();
  for (int reads = 0;;) {
    const auto came = stream.read();
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::bytes) messages_.take(client);
    if (came == Stream::ReadResult::nothing) client->queued_for_ = 0;  // what had waited with it is read
    messages_.serve_held(client);
    if (!client->is_open() && may_close(*client)) break;
    if (came == Stream::ReadResult::bytes) {
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

// One that is still to be answered has its answers first, and may go on writing meanwhile.
bool ClientListener::close_as_late(ClientConnection& client) {
  client.update_message_start();
  if (!client.message_is_late() || client.awaits_answers()) return false;
  log_("client", "connection closed: no whole message in {} s", ClientConnection::kMessageTimeout);
  count_close(guard::ClientClose::no_whole_message);
  client.begin_end();
  return true;
}

void ClientListener::connection_ended(ClientConnection& client) {
  if (client.is_open())
    count_close(client.slow_reader_ ? guard::ClientClose::slow_reader : guard::ClientClose::by_client);
  client.stream_.close();
  client.leave_all();
}

// ---- Ends. ---------------------------------------------------------------------------------------------

void ClientListener::shut(ClientConnection& client) {
  // As long as a request may cross the end of the answers, and a little.
  constexpr Seconds kCrossingTime = 0.06;
  if (client.phase_ == ClientConnection::Phase::shut) return;
  if (guard_ != nullptr &&
      guard_->may_half_close(client.requests(), client.stream_.unsent()) != guard::Invariant::none)
    return;
  client.phase_ = ClientConnection::Phase::shut;
  ++leaving_;
  client.close_at_ = scheduler_.now() + kCrossingTime;
  client.stream_.shutdown_write();
  client.stream_.wake();
}

// Whether a connection that is not open any more may be closed.
bool ClientListener::may_close(ClientConnection& client) {
  if (client.phase_ == ClientConnection::Phase::ending) {
    if (client.awaits_answers()) client.postpone_close();
    if (client.idle()) shut(client);
  }
  return scheduler_.now() >= client.close_at_;
}

void ClientListener::abort_open() {
  messages_.stop();
  for (const auto& [client, held] : connections_) {
    for (const auto& [tag, handle] : std::exchange(client->open_, {})) {
      if (guard_ == nullptr || guard_->may_answer(handle->record()) == guard::Invariant::none)
        client->answer(tag, "ABORTED");
      handle->leave();
    }
    for (const auto& request : std::exchange(client->held_, {})) client->answer(request.tag, "REJECT");
  }
}

bool ClientListener::has_unsent_answers() const {
  return std::ranges::any_of(connections_, [](const auto& entry) { return !entry.first->idle(); });
}

// A request that crosses the end of the answers is never read as one: its client sees that it was not taken.
void ClientListener::close_idle() {
  for (const auto& [client, held] : connections_) {
    if (!client->idle() || client->stream_.has_unread()) continue;
    if (client->is_open()) count_close(guard::ClientClose::program_ends);
    shut(*client);
  }
}

}  // namespace walkpaddle::net
