#include "net/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>
#include <vector>

#include "net/request_dispatcher.h"

namespace walkpaddle::net {

namespace {

// A series of accepts may take so long. Clients come in crowds, each of which is owed an answer.
constexpr Seconds kAcceptSlice = 0.005;

// Large messages that are not complete may take one part in so many of the memory for buffers.
constexpr std::size_t kUnfinishedMessagesShare = 2;

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
                               const Limits& limits, std::vector<config::RequestClassName> classes,
                               Serve serve)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      limits_(limits),
      busy_clients_(scheduler),
      unfinished_messages_(scheduler, outbox.budget().limit() / kUnfinishedMessagesShare),
      messages_(scheduler, outbox.budget(), log, limits.requests, std::move(classes), std::move(serve)),
      listener_(scheduler, std::move(listener)) {
  scheduler_.start(accept_all());
  scheduler_.start(relieve_memory());
  scheduler_.start(end_slow_messages());
}

void ClientListener::set_guard(guard::Guard& guard) {
  guard_ = &guard;
  messages_.set_guard(guard);
}

void ClientListener::count_close(guard::ClientClose reason) {
  if (guard_ != nullptr) guard_->counters().closed(reason);
}

ClientListener::Totals ClientListener::totals() const {
  Totals totals{.connections = connections_.size()};
  for (const auto& [client, owner] : connections_) {
    totals.deferred_requests += client->deferred_.size();
    if (!client->has_partial_message()) continue;
    ++totals.unfinished_messages;
    totals.unfinished_bytes += client->stream_.in().size();
  }
  return totals;
}

// ---- Accepting. ----------------------------------------------------------------------------------------

Task ClientListener::accept_all() {
  constexpr Seconds kPause = 0.02;  // without descriptors or memory, until some connections may have closed
  Event next_turn(scheduler_);
  for (Seconds slice_began = scheduler_.now_uncached(); listener_.open();) {
    Fd socket = listener_.accept();
    if (socket) {
      accepted(std::move(socket));
      if (scheduler_.now_uncached() < slice_began + kAcceptSlice) continue;
      accept_backlog_since_ = std::min(accept_backlog_since_, scheduler_.now());
      co_await next_turn.wait(scheduler_.now());
      slice_began = scheduler_.now_uncached();
      continue;
    }
    const int error = errno;
    if (error == EINTR || is_connection_error(error)) continue;
    if (error != EAGAIN) {
      accept_backlog_since_ = std::min(accept_backlog_since_, scheduler_.now());
      log_("accept", "cannot accept a connection: {}; {} clients connected", std::strerror(error),
           connections_.size());
      if (error == EMFILE || error == ENFILE) evict_client();
      co_await listener_.input_ready.wait(scheduler_.now() + kPause);
      slice_began = scheduler_.now_uncached();
      continue;
    }
    accept_backlog_since_ = kNoTime;
    co_await listener_.input_ready.wait();
    slice_began = scheduler_.now_uncached();
  }
}

void ClientListener::accepted(Fd socket) {
  // About one of the largest answers; without the limit the kernel's buffer would grow to megabytes.
  constexpr int kKernelBufferBytes = 256 * 1024;
  if (connections_.size() - closing_ >= limits_.connections && !evict_client()) {
    count_close(guard::ClientClose::no_place);  // none can be evicted: the new connection is closed at once
    return;
  }
  ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDBUF, &kKernelBufferBytes, sizeof kKernelBufferBytes);
  auto client = std::make_shared<ClientConnection>(scheduler_, outbox_, unfinished_messages_, admission_,
                                                   std::move(socket));
  client->unread_since_ = accept_backlog_since_;
  connections_[client.get()] = client;
  scheduler_.start_isolated(run_connection(std::move(client)));
}

// Half-closes a connection at the connection limit, by EvictionRank. Connections with answers that are due or
// that their client still reads stay, so that no answer is lost. So do those with bytes that were not read
// yet, so that no request is lost that arrived while this process was stopped. At most kMaxClosing
// connections remain half-closed beyond the limit; past that the oldest of them is closed.
bool ClientListener::evict_client() {
  ClientConnection* first = nullptr;
  std::optional<EvictionRank> lowest;
  for (const auto& [client, owner] : connections_) {
    if (!client->is_open() || !client->is_answered()) continue;
    const auto rank = client->eviction_rank();
    if (!rank || (lowest && !(*rank < *lowest)) || client->intake_.may_have_unread_message()) continue;
    if (!client->is_finished()) continue;
    lowest = rank;
    first = client;
  }
  if (first == nullptr) return close_longest_stalled();
  log_("client", "{}: connection closed to make room for another: {} for {:.1f} s",
       text_of(first->stream_.peer()), first->has_partial_message() ? "message incomplete" : "idle",
       scheduler_.now() - first->idle_since());
  count_close(guard::ClientClose::made_room);
  half_close(*first);
  if (closing_ > kMaxClosing) close_oldest_half_closed();
  return true;
}

// Closes the client that has read nothing for longest although replies wait for it, and that awaits no other
// answers. False if there is none.
bool ClientListener::close_longest_stalled() {
  ClientConnection* longest = nullptr;
  for (const auto& [client, owner] : connections_) {
    if (client->stream_.broken() || client->awaits_answers()) continue;
    if (client->stream_.unsent() == 0 || !client->has_stalled()) continue;
    if (longest == nullptr || client->stream_.stalled_since() < longest->stream_.stalled_since())
      longest = client;
  }
  if (longest != nullptr) close_stalled(*longest, "its place is needed");
  return longest != nullptr;
}

void ClientListener::close_oldest_half_closed() {
  ClientConnection* oldest = nullptr;
  for (const auto& [client, owner] : connections_)
    if (client->phase_ == ClientConnection::Phase::half_closed &&
        (oldest == nullptr || client->close_at_ < oldest->close_at_))
      oldest = client;
  if (oldest == nullptr) return;
  oldest->stream_.close();
  connections_.erase(oldest);
  --closing_;
}

// ---- Connection task. ----------------------------------------------------------------------------------

Task ClientListener::run_connection(std::shared_ptr<ClientConnection> client) {
  constexpr Seconds kEndPollInterval = 0.02;
  auto& stream = client->stream_;
  const Registration registration(*this, *client);
  client->connected();
  TimeSlice slice(scheduler_, busy_clients_);
  for (;;) {
    while (slice.must_wait()) {
      client->input_left_unread();
      co_await slice.next_turn();
    }
    const auto result = read_for_slice(client, slice);
    // A client that has closed its connection awaits nothing, whatever it had written before.
    const bool has_left = !client->deferred_.empty() && stream.peer_has_closed();
    if (result == Stream::ReadResult::end || has_left) break;
    messages_.serve_deferred(client, result == Stream::ReadResult::bytes);
    if (!client->is_open() && may_close(*client)) break;
    if (result == Stream::ReadResult::bytes) {
      client->input_left_unread();
      co_await slice.next_turn();
      continue;
    }
    if (!client->is_open()) {
      co_await stream.readable(scheduler_.now() + kEndPollInterval);
      continue;
    }
    if (close_if_silent(*client)) continue;
    co_await stream.readable(client->read_deadline());
  }
  connection_ended(*client);
}

// Reads until nothing more is there or the slice is over: then `bytes`, and the rest is read in a later turn.
Stream::ReadResult ClientListener::read_for_slice(const std::shared_ptr<ClientConnection>& client,
                                                  TimeSlice& slice) {
  auto result = Stream::ReadResult::bytes;
  slice.begin();
  while (result == Stream::ReadResult::bytes && !slice.is_over()) result = read(client);
  slice.end();
  return result;
}

// Reads once and handles the whole messages that were received.
Stream::ReadResult ClientListener::read(const std::shared_ptr<ClientConnection>& client) {
  auto& stream = client->stream_;
  if (!client->may_read()) {
    client->input_left_unread();
    stream.wake_on_output();
    return stream.peer_has_closed() ? Stream::ReadResult::end : Stream::ReadResult::nothing;
  }
  const auto max_bytes = client->max_read_bytes();
  if (max_bytes == 0) {
    client->note_arrivals();
    return stream.peer_has_closed() ? Stream::ReadResult::end : Stream::ReadResult::nothing;
  }
  const auto unread_before = stream.in().size();
  const auto result = stream.read(max_bytes);
  if (result == Stream::ReadResult::nothing) client->unread_since_ = kNoTime;
  if (result != Stream::ReadResult::bytes) return result;
  const auto bytes_received = stream.in().size() - unread_before;
  messages_.take(client);
  client->input_taken(bytes_received);
  return result;
}

// Ends a connection on which a message is awaited and nothing arrives. While answers are outstanding, or the
// client still reads earlier ones, it stays open, and the client may complete the message meanwhile.
bool ClientListener::close_if_silent(ClientConnection& client) {
  if (!client.is_silent() || client.awaits_answers()) return false;
  const bool idle = client.idle();
  if (!idle && !client.has_stopped_reading()) return false;
  log_("client", "{}: connection closed: nothing received for {} s and no complete message",
       text_of(client.stream_.peer()), ClientConnection::kSilenceTimeout);
  count_close(guard::ClientClose::no_whole_message);
  if (idle) {
    half_close(client);
  } else {
    client.begin_end();
    client.stream_.close();
  }
  return true;
}

void ClientListener::connection_ended(ClientConnection& client) {
  if (client.is_open())
    count_close(client.slow_reader_ ? guard::ClientClose::slow_reader : guard::ClientClose::by_client);
  client.stream_.close();
  messages_.drop_deferred(client);
  client.notify_client_left();
}

// While answers wait for memory, ends connections that hold it and make no progress.
Task ClientListener::relieve_memory() {
  constexpr Seconds kPollInterval = 0.1;
  auto& budget = outbox_.budget();
  Event poll(scheduler_);
  for (;;) {
    co_await budget.shortage();
    while (budget.is_short()) {
      close_stalled_clients();
      co_await poll.wait(scheduler_.now() + kPollInterval);
    }
  }
}

// Closes the connections of clients that have stopped reading, so that their unread answers do not keep those
// of other clients waiting. Clients that read are never closed for that.
void ClientListener::close_stalled_clients() {
  for (const auto& [client, owner] : connections_) {
    if (client->stream_.unsent() == 0) continue;
    client->stream_.retry_flush();
    if (!client->stream_.broken() && client->has_stalled()) close_stalled(*client, "memory is short");
  }
}

void ClientListener::close_stalled(ClientConnection& client, std::string_view why) {
  log_("client", "{}: connection closed: {} bytes unread and nothing read for {:.1f} s, {}",
       text_of(client.stream_.peer()), client.stream_.unsent(),
       scheduler_.now() - client.stream_.stalled_since(), why);
  client.slow_reader_ = true;
  client.stream_.close();
}

// While large messages wait for memory, half-closes connections whose messages hold it: those that have
// stopped arriving, or else the slowest one.
Task ClientListener::end_slow_messages() {
  constexpr Seconds kPollInterval = 0.05;
  Event poll(scheduler_);
  for (;;) {
    co_await unfinished_messages_.shortage();
    while (unfinished_messages_.is_short()) {
      if (!end_stopped_messages()) end_slowest_message();
      co_await poll.wait(scheduler_.now() + kPollInterval);
    }
  }
}

// Whether the connection can be ended because its unfinished message holds memory.
bool ClientListener::may_end_message(ClientConnection& client) {
  return client.is_open() && client.has_partial_message() && client.intake_.holds_memory() && client.idle() &&
         !client.intake_.may_have_unread_message();
}

void ClientListener::end_message(ClientConnection& client) {
  log_("client", "{}: connection closed: {} bytes of a message at {:.0f} bytes/s, memory is short",
       text_of(client.stream_.peer()), client.stream_.in().size(), client.message_.rate(scheduler_.now()));
  count_close(guard::ClientClose::slow_message);
  half_close(client);
}

bool ClientListener::end_stopped_messages() {
  bool any = false;
  for (const auto& [client, owner] : connections_) {
    if (!client->has_stopped_sending() || !may_end_message(*client)) continue;
    end_message(*client);
    any = true;
  }
  return any;
}

void ClientListener::end_slowest_message() {
  const Seconds now = scheduler_.now();
  ClientConnection* slowest = nullptr;
  for (const auto& [client, owner] : connections_) {
    if (client->message_.age(now) < ClientConnection::kSilenceTimeout || !may_end_message(*client)) continue;
    if (slowest == nullptr || client->message_.rate(now) < slowest->message_.rate(now)) slowest = client;
  }
  if (slowest != nullptr) end_message(*slowest);
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
  client.discard_input();
  client.stream_.wake();
}

// Whether a connection that is no longer open may be closed now. Half-closes it once it is idle.
bool ClientListener::may_close(ClientConnection& client) {
  if (client.phase_ == ClientConnection::Phase::half_closed)
    return scheduler_.now() >= client.close_at_ &&
           (client.stream_.unacknowledged() == 0 || client.has_stopped_reading());
  if (client.idle()) {
    half_close(client);
    return false;
  }
  return !client.awaits_answers() && client.has_stopped_reading();
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
  return std::ranges::any_of(connections_, [](const auto& entry) { return !entry.first->is_finished(); });
}

bool ClientListener::has_arriving_messages() const {
  return std::ranges::any_of(connections_,
                             [](const auto& entry) { return entry.first->awaits_rest_of_message(); });
}

// A request that arrives on a half-closed connection is never executed, and its client sees the connection
// end without an answer.
void ClientListener::close_idle() {
  for (const auto& [client, owner] : connections_)
    if (!client->has_partial_message() || client->is_dripping()) close_if_idle(*client);
}

void ClientListener::close_idle_and_unfinished() {
  for (const auto& [client, owner] : connections_) close_if_idle(*client);
}

void ClientListener::close_if_idle(ClientConnection& client) {
  if (!client.is_answered() || client.stream_.has_input() || !client.is_finished()) return;
  if (client.is_open()) count_close(guard::ClientClose::program_ends);
  half_close(client);
}

}  // namespace walkpaddle::net
