#include "net/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace walkpaddle::net {

// Counts one connection while it is being dialled and while it holds a descriptor.
class UpstreamPool::DialCount {
 public:
  DialCount(std::size_t& holding, std::size_t& dialling) : holding_(holding), dialling_(dialling) {
    ++dialling_;
  }
  DialCount(const DialCount&) = delete;
  DialCount& operator=(const DialCount&) = delete;
  ~DialCount() {
    if (holds_descriptor_) --holding_;
    if (!dial_over_) --dialling_;
  }
  void hold_descriptor() {
    holds_descriptor_ = true;
    ++holding_;
  }
  void end_dial() {
    dial_over_ = true;
    --dialling_;
  }

 private:
  std::size_t& holding_;
  std::size_t& dialling_;
  bool holds_descriptor_ = false;
  bool dial_over_ = false;
};

// Lists a connection while its task exists. Ends its attempts in case the task fails, or is dropped before
// theirs.
class UpstreamPool::Registration {
 public:
  Registration(UpstreamPool& pool, UpstreamEndpoint& endpoint, UpstreamConnection& connection)
      : pool_(pool),
        endpoint_(endpoint),
        connection_(connection),
        at_endpoint_(endpoint.connections.insert(endpoint.connections.end(), &connection)),
        in_pool_(pool.connections_.insert(pool.connections_.end(), &connection)) {}
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration() {
    connection_.end_attempts();
    endpoint_.connections.erase(at_endpoint_);
    pool_.connections_.erase(in_pool_);
  }

 private:
  UpstreamPool& pool_;
  UpstreamEndpoint& endpoint_;
  UpstreamConnection& connection_;
  std::list<UpstreamConnection*>::iterator at_endpoint_;
  std::list<UpstreamConnection*>::iterator in_pool_;
};

UpstreamPool::UpstreamPool(Scheduler& scheduler, Outbox& outbox, Log& log, const UpstreamSettings& settings)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      settings_(settings),
      max_in_flight_(static_cast<std::size_t>(std::max(1, settings.max_attempts_per_connection))),
      idle_close_(settings.endpoint_idle_close * 0.6),
      busy_tasks_(scheduler) {}

UpstreamPool::~UpstreamPool() = default;

// ---- Endpoints. ----------------------------------------------------------------------------------------

int UpstreamPool::endpoint_index(std::string_view id) {
  const auto [it, is_new] = index_.try_emplace(std::string(id), endpoint_count());
  if (is_new) {
    endpoints_.push_back(std::make_unique<UpstreamEndpoint>());
    endpoints_.back()->index = it->second;
    endpoints_.back()->id = id;
  }
  return it->second;
}

int UpstreamPool::find_endpoint(std::string_view id) const {
  const auto it = index_.find(std::string(id));
  return it == index_.end() ? -1 : it->second;
}

namespace {

// Attempts in flight go on; new ones use new connections.
void retire(UpstreamConnection& connection, guard::EndpointClose reason) {
  connection.retire(reason);
  if (connection.is_connected() && connection.in_flight() == 0) connection.stream().close();
}

}  // namespace

void UpstreamPool::endpoint_started(int index, Seconds at) {
  for (auto* connection : endpoint(index).connections)
    if (connection->usable() && connection->connected_at() < at)
      retire(*connection, guard::EndpointClose::restarted);
}

void UpstreamPool::update_endpoint(int index, const Address& address, EndpointState state) {
  auto& changed = endpoint(index);
  if (changed.address != address || state == EndpointState::gone)
    for (auto* connection : changed.connections) retire(*connection, guard::EndpointClose::moved_or_gone);
  changed.address = address;
  changed.state = state;
  if (state == EndpointState::ready) return;
  const std::vector<Attempt*> attempts(attempts_.begin(), attempts_.end());
  for (auto* attempt : attempts)
    if (attempt->spec_.endpoint == index || attempt->spec_.source == index) attempt->abandon_if_unsent();
}

bool UpstreamPool::send_command(int index, std::string_view text) {
  auto& target = endpoint(index);
  if (target.state == EndpointState::gone) return false;
  const auto connection = std::ranges::find_if(target.connections, &UpstreamConnection::usable);
  if (connection != target.connections.end()) {
    (*connection)->stream().write(text);
    return true;
  }
  if (target.dialling == 0) scheduler_.start_isolated(run_connection(index));
  return false;
}

void UpstreamPool::count_close(guard::EndpointClose reason) {
  if (guard_ != nullptr) guard_->counters().closed(reason);
}

// ---- Attempts on connections. --------------------------------------------------------------------------

void UpstreamPool::start(Attempt& attempt) {
  auto& target = endpoint(attempt.spec_.endpoint);
  attempt.position_ = attempts_.insert(attempts_.end(), &attempt);
  target.waiting.push_back(&attempt);
  place_waiting(target);
  if (!attempt.ended() && attempt.state_ == Attempt::State::queued) dial_for_waiting(target);
}

UpstreamConnection* UpstreamPool::least_loaded(const UpstreamEndpoint& endpoint,
                                               const Attempt& attempt) const {
  UpstreamConnection* best = nullptr;
  for (auto* connection : endpoint.connections) {
    if (!connection->accepts(attempt, max_in_flight_)) continue;
    if (best == nullptr || connection->in_flight() < best->in_flight()) best = connection;
  }
  return best;
}

bool UpstreamPool::has_capacity(const UpstreamEndpoint& endpoint) const {
  return std::ranges::any_of(endpoint.connections, [&](const UpstreamConnection* connection) {
    return connection->has_capacity(max_in_flight_);
  });
}

// Assigns waiting attempts to connections with capacity, each to the one with the fewest attempts. If that
// one is already in use, another connection is dialled for later attempts, because a fault in one answer
// costs all attempts that share the connection.
void UpstreamPool::place_waiting(UpstreamEndpoint& endpoint) {
  constexpr std::size_t kMaxSpread = 24;  // connections to one endpoint up to which this is done
  bool shares_connection = false;
  for (auto it = endpoint.waiting.begin(); it != endpoint.waiting.end();) {
    auto& attempt = **it;
    auto* const connection = least_loaded(endpoint, attempt);
    if (connection == nullptr) {
      if (!has_capacity(endpoint)) break;  // for the later ones neither
      ++it;
      continue;
    }
    // An attempt that is written after the endpoint has closed its side would count as possibly run.
    if (connection->in_flight() == 0 && connection->stream().ended()) {
      connection->retire(guard::EndpointClose::by_endpoint);
      connection->stream().close();
      continue;
    }
    shares_connection = shares_connection || connection->in_flight() > 0;
    it = endpoint.waiting.erase(it);
    attempt.send_over(*connection);
  }
  const bool may_spread =
      endpoint.connections.size() < kMaxSpread && connection_count_ < settings_.max_connections * 3 / 4;
  if (shares_connection && may_spread && endpoint.dialling == 0)
    scheduler_.start_isolated(run_connection(endpoint.index));
}

// ---- Dialling. -----------------------------------------------------------------------------------------

// Dials until there are enough pending connections for all waiting attempts.
void UpstreamPool::dial_for_waiting(UpstreamEndpoint& endpoint) {
  const auto wanted = (endpoint.waiting.size() + max_in_flight_ - 1) / max_in_flight_;
  for (auto more = wanted; more > endpoint.dialling && !endpoint.waiting.empty(); --more)
    scheduler_.start_isolated(run_connection(endpoint.index));
}

// The number of connections is limited, so that they do not take the descriptors of clients and of discovery.
// At the limit a dial waits until a descriptor is free.
UpstreamPool::DialStep UpstreamPool::try_dial(UpstreamEndpoint& endpoint, DialCount& count, Fd& socket) {
  const bool has_descriptor = connection_count_ < settings_.max_connections || close_longest_idle();
  if (has_descriptor) socket = dial(endpoint.address);
  const int error = has_descriptor ? errno : EMFILE;
  if (socket) return DialStep::started;
  if (!is_local_resource_error(error)) {
    endpoint.awaits_descriptor = false;
    count.end_dial();
    dial_failed(endpoint, std::strerror(error), guard::EndpointClose::refused);
    return DialStep::failed;
  }
  log_("connect", "dial to {} at {} postponed: {}; {} connections", endpoint.id, text_of(endpoint.address),
       std::strerror(error), connection_count_);
  endpoint.awaits_descriptor = true;
  if (has_descriptor) close_longest_idle();
  return DialStep::wait_for_descriptor;
}

void UpstreamPool::dial_failed(UpstreamEndpoint& endpoint, std::string_view why,
                               guard::EndpointClose reason) {
  count_close(reason);
  log_("connect", "connection to {} at {} failed: {}", endpoint.id, text_of(endpoint.address), why);
  if (endpoint.dialling > 0 || std::ranges::any_of(endpoint.connections, &UpstreamConnection::usable)) return;
  for (auto* attempt : std::exchange(endpoint.waiting, {})) attempt->finish(AttemptOutcome::unreachable);
}

// Closes the connection that has been idle longest, to free a descriptor. It is free at the end of the turn.
bool UpstreamPool::close_longest_idle() {
  UpstreamConnection* longest = nullptr;
  for (auto* connection : connections_) {
    if (!connection->idle()) continue;
    if (longest == nullptr || connection->used_at() < longest->used_at()) longest = connection;
  }
  if (longest == nullptr) return false;
  longest->retire(guard::EndpointClose::made_room);
  longest->stream().close();
  return true;
}

bool UpstreamPool::dial_succeeded(UpstreamEndpoint& endpoint, UpstreamConnection& connection, bool in_time) {
  const int error = connection.stream().error();
  if (!in_time) {
    dial_failed(endpoint, "connect timed out", guard::EndpointClose::not_up_in_time);
    return false;
  }
  if (error != 0) {
    dial_failed(endpoint, std::strerror(error), guard::EndpointClose::refused);
    return false;
  }
  if (!connection.retired()) return true;
  // The endpoint has moved or is gone. Attempts that still wait use its present address.
  count_close(guard::EndpointClose::moved_or_gone);
  if (!endpoint.waiting.empty()) dial_for_waiting(endpoint);
  return false;
}

// ---- Connection task. ----------------------------------------------------------------------------------

Task UpstreamPool::run_connection(int index) {
  constexpr Seconds kReadingSlice = 0.005;    // the largest answers to several requests
  constexpr Seconds kDescriptorPause = 0.02;  // time in which some connections may close
  auto& target = endpoint(index);
  DialCount count(connection_count_, target.dialling);
  Fd socket;
  for (;;) {
    const DialStep step = try_dial(target, count, socket);
    if (step == DialStep::failed) co_return;
    if (step == DialStep::started) break;
    Event pause(scheduler_);
    co_await pause.wait(scheduler_.now() + kDescriptorPause);
    if (target.waiting.empty()) {
      target.awaits_descriptor = false;
      co_return;
    }
  }
  target.awaits_descriptor = false;
  count.hold_descriptor();
  UpstreamConnection connection(scheduler_, outbox_, log_, std::move(socket), target);
  const Registration registration(*this, target, connection);
  const bool in_time = co_await connection.stream().writable(scheduler_.now() + settings_.dial_timeout);
  count.end_dial();
  if (!dial_succeeded(target, connection, in_time)) co_return;
  connection.set_connected();
  place_waiting(target);
  TimeSlice slice(scheduler_, busy_tasks_, kReadingSlice);
  for (;;) {
    while (slice.must_wait()) co_await slice.next_turn();
    const auto input = read_connection(target, connection, slice);
    if (input == UpstreamConnection::Input::end) break;
    if (input == UpstreamConnection::Input::answers) {
      co_await slice.next_turn();
      continue;
    }
    const bool has_input = co_await connection.stream().readable(connection.read_deadline(idle_close_));
    if (!has_input && connection.timed_out(idle_close_)) break;
  }
  connection_ended(target, connection);
}

// Reads until nothing more is there, or the slice is over: then `answers`, and the rest is read in a later
// turn.
UpstreamConnection::Input UpstreamPool::read_connection(UpstreamEndpoint& endpoint,
                                                        UpstreamConnection& connection, TimeSlice& slice) {
  auto input = UpstreamConnection::Input::answers;
  slice.begin();
  while (input == UpstreamConnection::Input::answers && !slice.is_over()) {
    input = connection.read(command_listener_);
    if (input == UpstreamConnection::Input::answers) place_waiting(endpoint);
  }
  slice.end();
  return input;
}

void UpstreamPool::connection_ended(UpstreamEndpoint& endpoint, UpstreamConnection& connection) {
  connection.set_disconnected();
  count_close(connection.close_reason());
  if (command_listener_ != nullptr) command_listener_->connection_lost(endpoint.index);
  if (!connection.why().empty() && connection.in_flight() > 0)
    log_("connection", "{}: {}; {} attempts in flight", endpoint.id, connection.why(),
         connection.in_flight());
  connection.end_attempts();
  if (!endpoint.waiting.empty()) dial_for_waiting(endpoint);
}

}  // namespace walkpaddle::net
