#include "net/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace walkpaddle::net {

// Counts one connection among those that are dialled, and among those that hold a descriptor.
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

// Lists a connection while its task lives, also when that is dropped before those of its attempts.
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
    connection_.detach_attempts();
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
      max_live_(static_cast<std::size_t>(std::max(1, settings.max_attempts_per_connection))),
      idle_close_(settings.endpoint_idle_close * 0.6) {}

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

void UpstreamPool::update_endpoint(int index, const Address& address, EndpointState state) {
  auto& changed = endpoint(index);
  if (changed.address != address || state == EndpointState::gone) {
    for (auto* connection : changed.connections) {  // what runs goes on; new attempts use new connections
      connection->retire(guard::EndpointClose::moved_or_gone);
      if (connection->is_up() && connection->live() == 0) connection->stream().close();
    }
  }
  changed.address = address;
  changed.state = state;
  if (state == EndpointState::ready) return;
  const std::vector<Attempt*> attempts(attempts_.begin(), attempts_.end());
  for (auto* attempt : attempts)
    if (attempt->spec_.endpoint == index || attempt->spec_.source == index) attempt->abandon_if_unsent();
}

bool UpstreamPool::send_command(int index, std::string_view text) {
  auto& to = endpoint(index);
  if (to.state == EndpointState::gone) return false;
  const auto connection = std::ranges::find_if(to.connections, &UpstreamConnection::usable);
  if (connection != to.connections.end()) {
    (*connection)->stream().write(text);
    return true;
  }
  if (to.dialling == 0) scheduler_.start_isolated(run_connection(index));
  return false;
}

void UpstreamPool::count_close(guard::EndpointClose reason) {
  if (guard_ != nullptr) guard_->counters().closed(reason);
}

// ---- Attempts on connections. --------------------------------------------------------------------------

void UpstreamPool::start(Attempt& attempt) {
  auto& to = endpoint(attempt.spec_.endpoint);
  attempt.position_ = attempts_.insert(attempts_.end(), &attempt);
  to.waiting.push_back(&attempt);
  place_waiting(to);
  if (!attempt.ended() && attempt.state_ == Attempt::State::queued) dial_for_waiting(to);
}

UpstreamConnection* UpstreamPool::least_loaded(const UpstreamEndpoint& endpoint,
                                               const Attempt& attempt) const {
  UpstreamConnection* best = nullptr;
  for (auto* connection : endpoint.connections) {
    if (!connection->accepts(attempt, max_live_)) continue;
    if (best == nullptr || connection->live() < best->live()) best = connection;
  }
  return best;
}

// Gives waiting attempts to the connections that have capacity, to the one with the fewest. Where that has
// some already, another is dialled for those to come: what spoils one answer costs all that share its
// connection.
void UpstreamPool::place_waiting(UpstreamEndpoint& endpoint) {
  constexpr std::size_t kMaxSpread = 24;  // connections to one endpoint, dialled while others have capacity
  bool shares_connection = false;
  for (auto it = endpoint.waiting.begin(); it != endpoint.waiting.end();) {
    auto& attempt = **it;
    auto* const connection = least_loaded(endpoint, attempt);
    if (connection == nullptr) {
      ++it;
      continue;
    }
    // Prevents an attempt from being written after the other side's end, which would look as if it had run.
    if (connection->live() == 0 && connection->stream().ended()) {
      connection->retire(guard::EndpointClose::by_endpoint);
      connection->stream().close();
      continue;
    }
    shares_connection = shares_connection || connection->live() > 0;
    it = endpoint.waiting.erase(it);
    attempt.send_over(*connection);
  }
  const bool has_capacity =
      endpoint.connections.size() < kMaxSpread && connection_count_ < settings_.max_connections * 3 / 4;
  if (shares_connection && has_capacity && endpoint.dialling == 0)
    scheduler_.start_isolated(run_connection(endpoint.index));
}

// ---- Dials. --------------------------------------------------------------------------------------------

// As many connections on their way as the waiting attempts fill.
void UpstreamPool::dial_for_waiting(UpstreamEndpoint& endpoint) {
  const auto wanted = (endpoint.waiting.size() + max_live_ - 1) / max_live_;
  for (auto more = wanted; more > endpoint.dialling && !endpoint.waiting.empty(); --more)
    scheduler_.start_isolated(run_connection(endpoint.index));
}

// Prevents connections from taking the descriptors of clients and of discovery: past their part of them a
// dial waits until one is free.
UpstreamPool::DialStep UpstreamPool::try_dial(UpstreamEndpoint& endpoint, DialCount& count, Fd& socket) {
  const bool has_descriptor = connection_count_ < settings_.max_connections || close_longest_idle();
  if (has_descriptor) socket = dial(endpoint.address);
  const int error = has_descriptor ? errno : EMFILE;
  if (socket) return DialStep::started;
  if (!is_local_resource_error(error)) {
    endpoint.wants_descriptor = false;
    count.end_dial();
    dial_failed(endpoint, std::strerror(error), guard::EndpointClose::refused);
    return DialStep::failed;
  }
  log_("connect", "{} at {}: {}, {} connections", endpoint.id, text_of(endpoint.address),
       std::strerror(error), connection_count_);
  endpoint.wants_descriptor = true;
  if (has_descriptor) close_longest_idle();
  return DialStep::wait_for_descriptor;
}

void UpstreamPool::dial_failed(UpstreamEndpoint& endpoint, std::string_view why,
                               guard::EndpointClose reason) {
  count_close(reason);
  log_("connect", "{} at {}: {}", endpoint.id, text_of(endpoint.address), why);
  if (endpoint.dialling > 0 || std::ranges::any_of(endpoint.connections, &UpstreamConnection::usable)) return;
  for (auto* attempt : std::exchange(endpoint.waiting, {})) attempt->finish(AttemptOutcome::unreachable);
}

// With all descriptors taken, an idle connection to another endpoint goes: its descriptor is free at the
// turn's end.
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

bool UpstreamPool::is_connected(UpstreamEndpoint& endpoint, UpstreamConnection& connection, bool in_time) {
  const int error = connection.stream().error();
  if (!in_time) {
    dial_failed(endpoint, "not up in time", guard::EndpointClose::not_up_in_time);
    return false;
  }
  if (error != 0) {
    dial_failed(endpoint, std::strerror(error), guard::EndpointClose::refused);
    return false;
  }
  if (!connection.retired()) return true;
  // Moved or gone meanwhile: those that wait go by what is listed now.
  count_close(guard::EndpointClose::moved_or_gone);
  if (!endpoint.waiting.empty()) dial_for_waiting(endpoint);
  return false;
}

// ---- The task of one connection. -----------------------------------------------------------------------

Task UpstreamPool::run_connection(int index) {
  constexpr Seconds kDescriptorPause = 0.02;  // until some connections may have closed
  auto& to = endpoint(index);
  DialCount count(connection_count_, to.dialling);
  Fd socket;
  for (;;) {
    const DialStep step = try_dial(to, count, socket);
    if (step == DialStep::failed) co_return;
    if (step == DialStep::started) break;
    Event pause(scheduler_);
    co_await pause.wait(scheduler_.now() + kDescriptorPause);
    if (to.waiting.empty()) {
      to.wants_descriptor = false;
      co_return;
    }
  }
  to.wants_descriptor = false;
  count.hold_descriptor();
  UpstreamConnection connection(scheduler_, outbox_, log_, std::move(socket), to);
  const Registration registration(*this, to, connection);
  const bool in_time = co_await connection.stream().writable(scheduler_.now() + settings_.dial_timeout);
  count.end_dial();
  if (!is_connected(to, connection, in_time)) co_return;
  connection.came_up();
  place_waiting(to);
  for (;;) {
    const auto input = connection.read(command_listener_);
    if (input == UpstreamConnection::Input::end) break;
    if (input == UpstreamConnection::Input::answers) {
      place_waiting(to);
      continue;
    }
    const bool woken = co_await connection.stream().readable(connection.read_deadline(idle_close_));
    if (!woken && connection.timed_out(idle_close_)) break;
  }
  connection_ended(to, connection);
}

void UpstreamPool::connection_ended(UpstreamEndpoint& endpoint, UpstreamConnection& connection) {
  connection.went_down();
  count_close(connection.close_reason());
  if (command_listener_ != nullptr) command_listener_->connection_lost(endpoint.index);
  if (!connection.why().empty() && connection.live() > 0)
    log_("connection", "{}: {}, {} hops out", endpoint.id, connection.why(), connection.live());
  connection.end_attempts();
  if (!endpoint.waiting.empty()) dial_for_waiting(endpoint);
}

}  // namespace walkpaddle::net
