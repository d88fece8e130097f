#include "soak/clients.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/text.h"
#include "config/settings.h"
#include "net/resp_parser.h"
#include "soak/spoilt_message.h"

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
// A request sent up to this long before an idle close crosses it, and is sent again once.
constexpr Seconds kCloseCrossing = 0.05;
constexpr Seconds kIdleClose = 4;              // clients close a connection after this idle time
constexpr Seconds kLongestRequestWrite = 0.2;  // from the first to the last byte of a request sent in pieces
constexpr double kCancelProbability = 0.005;   // per pass of a connection's loop with open requests
constexpr int kMinConnections = 4;
constexpr double kRequestsPerConnection = 8;  // requests per second; many connections idle or send only a few

}  // namespace

// One connection and the requests that are open on it.
struct Clients::Session {
  std::shared_ptr<FaultyConnection> connection;
  int start = 0;  // number of the process start that accepted the connection
  Seconds connected = 0, quiet_since = 0;
  int answers = 0, tag = 0;
  std::map<std::string, Oracle::Request> open;  // by tag
};

Clients::Clients(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, Process& process, const Setup& setup)
    : scheduler_(scheduler),
      outbox_(outbox),
      oracle_(oracle),
      process_(process),
      setup_(setup),
      random_(setup.seed),
      next_id_(static_cast<std::uint64_t>(process.number() + 1) << 32) {}

std::string Clients::item(int object) { return fmt::format("{:016x}", 0x7000 + object); }
int Clients::group(const std::string& item) { return static_cast<int>(stable_hash(item) % 8); }

int Clients::connection_count() const {
  return std::max(kMinConnections, static_cast<int>(setup_.rate / kRequestsPerConnection));
}

void Clients::start() {
  scheduler_.start(probe_readiness());
  for (int n = 0; n < connection_count(); ++n) scheduler_.start(run_connection());
}

void Clients::inject(const Fault& fault, Seconds until) {
  active_[static_cast<int>(fault.kind)] = {until, fault.magnitude};
  if (fault.kind == FaultKind::clients_crowd)
    scheduler_.start(open_idle_connections(static_cast<int>(fault.magnitude), until));
  if (fault.kind == FaultKind::clients_spoil) scheduler_.start(send_malformed());
  if (fault.kind == FaultKind::clients_close_unread) scheduler_.start(close_unread());
}

std::shared_ptr<FaultyConnection> Clients::connect_to_router() {
  Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(process_.port())});
  return fd ? std::make_shared<FaultyConnection>(scheduler_, outbox_, std::move(fd)) : nullptr;
}

// Sends readiness probes to a router that is starting.
Task Clients::probe_readiness() {
  constexpr Seconds kProbeInterval = 0.02, kAnswerTimeout = 0.5;
  Event pause(scheduler_);
  for (;;) {
    co_await pause.wait(scheduler_.now() + kProbeInterval);
    if (process_.phase() != Process::Phase::starting) continue;
    const auto connection = connect_to_router();
    if (!connection) continue;
    co_await connection->stream().writable(scheduler_.now() + kAnswerTimeout);
    if (connection->stream().error() != 0) continue;
    connection->write(net::resp_array_text({"ALIVE", "1", ""}));
    const Seconds until = scheduler_.now() + kAnswerTimeout;
    while (scheduler_.now() < until && connection->stream().read() == Stream::ReadResult::nothing)
      co_await connection->stream().readable(until);
    if (connection->stream().in().find("\r\nREADY\r\n") != std::string_view::npos) process_.set_ready();
  }
}

Oracle::Request Clients::draw_request() {
  Oracle::Request r;
  r.id = ++next_id_;
  r.router = process_.number(), r.start = process_.start_count();
  const double kind = uniform();
  r.effect = kind < 0.08  ? Idempotency::non_idempotent
             : kind < 0.2 ? Idempotency::with_key
                          : Idempotency::idempotent;
  r.item = item(static_cast<int>(setup_.objects * uniform() * uniform()));
  r.group = group(r.item);
  r.part = r.effect == Idempotency::idempotent ? static_cast<int>(3 * uniform()) : 0;
  if (r.effect == Idempotency::with_key) r.key = fmt::format("{:016x}", r.id);
  r.limit = r.effect == Idempotency::idempotent ? 0.6 + 1.4 * uniform() : 1 + 2 * uniform();
  r.limit *= setup_.limit_share;
  if (strikes(FaultKind::clients_short_limits)) r.limit = 0.005 + 0.045 * uniform();
  r.limit = std::floor(r.limit * 1e3) / 1e3;
  if (r.effect == Idempotency::idempotent && uniform() < 0.3)
    if (const auto it = etags_.find(fmt::format("{}.{}", r.item, r.part)); it != etags_.end())
      r.etag = it->second;
  return r;
}

std::string Clients::format_request(const Oracle::Request& r, const std::string& tag) const {
  constexpr const char* kClasses[] = {"page", "form", "order"};
  auto fields = fmt::format("txn={:016x},limit={},item={},seg={},bucket={}", r.id, std::lround(r.limit * 1e3),
                            r.item, r.part, r.group);
  if (!r.key.empty()) fields += ",unique=" + r.key;
  if (!r.etag.empty()) fields += ",etag=" + r.etag;
  return net::resp_array_text({"EXEC", tag, kClasses[static_cast<int>(r.effect)], fields,
                               r.effect == Idempotency::idempotent ? "" : kWriteBody});
}

void Clients::read_answers(Session& c) {
  net::RespArray words;
  for (;;) {
    net::read_resp_array(c.connection->stream().in(), 8, 1 << 20, words);
    if (words.used == 0) return;
    const auto& w = words.words;
    const auto it = c.open.find(std::string(w[0]));
    if (it != c.open.end()) {
      const auto& r = it->second;
      const auto fields = w.size() > 2 ? w[2] : std::string_view();
      oracle_.record_answer(r.id, w[1], fields, w.size() > 3 ? w[3] : std::string_view());
      if (const auto tag = net::field(fields, "etag"); tag && r.effect == Idempotency::idempotent)
        etags_[fmt::format("{}.{}", r.item, r.part)] = *tag;
      c.open.erase(it), --open_;
      c.quiet_since = scheduler_.now(), ++c.answers;
    }
    c.connection->stream().consume(words.used);
  }
}

// The router closed the connection: decides by the platform's protocol which open requests are violations.
void Clients::handle_connection_end(Session& c) {
  // Requests crossed an idle close if all of them are recent: the connection was idle before they were sent.
  // This thread may see the close late.
  const Seconds now = unix_now();
  const Seconds lag = std::max(oracle_.worst_lag(), scheduler_.max_input_delay());
  const bool was_idle =
      std::ranges::all_of(c.open, [&](const auto& o) { return now < o.second.sent + kCloseCrossing + lag; });
  for (const auto& [tag, r] : c.open) {
    --open_;
    if (process_.excuses(r.sent - kLongestRequestWrite))
      oracle_.excuse(r.id, "its router was killed");
    else if (process_.breaks_connections())
      oracle_.excuse(r.id, "the network broke its connection");
    else if (c.answers == 0 && (active(FaultKind::clients_crowd) || process_.has_crowd()))
      oracle_.excuse(r.id, "its connection was new while many clients connected");
    else if (was_idle)
      oracle_.record_crossed_close(r.id), to_resend_.push_back(r);
    else
      oracle_.record_connection_end(
          r.id, c.connection->stream().error() != 0 ? "connection reset" : "connection ended");
  }
  c.open.clear();
}

// Sends a request on a connection that the router has just closed as idle. The router must neither accept nor
// forward it.
void Clients::send_across_close(Session& c) {
  auto request = draw_request();
  c.connection->write(format_request(request, std::to_string(++c.tag)));
  request.sent = unix_now();
  oracle_.record_request(request);
  oracle_.record_crossed_close(request.id);
}

void Clients::cancel_oldest(Session& c) {
  const auto oldest = std::ranges::min_element(c.open, {}, [](const auto& o) { return o.second.sent; });
  c.connection->write(net::resp_array_text({"FORGET", oldest->first}));
  note_left(oldest->second);
  c.open.erase(oldest);
}

void Clients::abandon_all(Session& c) {
  for (const auto& [tag, request] : c.open) note_left(request);
  c.open.clear();
}

void Clients::note_left(const Oracle::Request& request) {
  constexpr std::size_t kMaxRepeated = 16;
  oracle_.record_cancellation(request.id);
  --open_;
  if (active(FaultKind::clients_repeat_ids) && to_repeat_.size() < kMaxRepeated &&
      request.effect == Idempotency::non_idempotent && oracle_.has_run(request.id))
    to_repeat_.push_back(request);
}

// Sends requests again under the ids of some that had run when their client left. None of them may run again
// in the same process; the answers are not judged.
void Clients::repeat_ids(Session& c) {
  for (const auto& request : std::exchange(to_repeat_, {}))
    if (request.start == c.start) c.connection->write(format_request(request, std::to_string(++c.tag)));
}

// Writes requests with much behind them, and closes the connection.
Task Clients::close_unread() {
  constexpr int kRequests = 8;
  constexpr std::size_t kBytesBehind = 200'000;
  Event pause(scheduler_);
  while (active(FaultKind::clients_close_unread)) {
    co_await pause.wait(scheduler_.now() + 0.1);
    if (process_.phase() != Process::Phase::serving || finished_) continue;
    const auto connection = connect_to_router();
    if (!connection) continue;
    co_await connection->stream().writable(scheduler_.now() + 0.2);
    std::vector<std::uint64_t> ids;
    int tag = 0;
    for (int n = 0; n < kRequests; ++n) {
      auto request = draw_request();
      connection->write(format_request(request, std::to_string(++tag)));
      request.sent = unix_now();
      oracle_.record_request(request);
      ids.push_back(request.id);
    }
    while (connection->written() < kBytesBehind)
      connection->write(net::resp_array_text({"FORGET", std::to_string(++tag + 1000)}));
    connection->stream().flush();
    if (uniform() < 0.5) connection->reset();
    for (const auto id : ids) oracle_.record_cancellation(id);
  }
}

Task Clients::run_connection() {
  constexpr std::size_t kMaxOpen = 24;
  Event pause(scheduler_);
  for (;;) {
    co_await pause.wait(scheduler_.now() + 0.02 * uniform());
    if (finished_ || !process_.accepts_connections()) continue;
    Session c;
    c.connection = connect_to_router();
    if (!c.connection) continue;
    auto& stream = c.connection->stream();
    const bool up = co_await stream.writable(scheduler_.now() + 1);
    if (!up || stream.error() != 0) continue;
    c.start = process_.start_count();
    repeat_ids(c);
    c.connected = c.quiet_since = scheduler_.now();
    // Some connections stay open after their last request until either side closes them.
    int requests_left = 3 + static_cast<int>(40 * uniform());
    const bool stays_open = uniform() < 0.3;
    for (Seconds next = scheduler_.now();;) {
      const auto came = stream.read();
      if (came == Stream::ReadResult::end) {
        read_answers(c);
        if (stays_open && c.open.empty() && stream.error() == 0) {
          send_across_close(c);
          co_await pause.wait(scheduler_.now() + kCloseCrossing);
        }
        handle_connection_end(c);
        break;
      }
      if (came == Stream::ReadResult::bytes) {
        read_answers(c);
        continue;
      }
      const Seconds now = scheduler_.now();
      const bool idle = c.open.empty();
      if (idle && (finished_ || (requests_left <= 0 && !stays_open) || now > c.quiet_since + kIdleClose))
        break;
      // Some requests are cancelled. The fault clients_leave cancels many, and closes some connections.
      const bool leaves = strikes(FaultKind::clients_leave);
      if (!idle && (leaves || uniform() < kCancelProbability)) {
        if (leaves && uniform() < 0.3) {
          abandon_all(c);
          break;
        }
        cancel_oldest(c);
      }
      if (strikes(FaultKind::clients_half_close) && uniform() < 0.1) {
        abandon_all(c);
        c.connection->half_close();
        co_await pause.wait(scheduler_.now() + 0.3);
        break;
      }
      if (active(FaultKind::clients_read_slowly) && !idle && uniform() < 0.1) {
        const Seconds read_pause = 0.1 + 0.4 * uniform();
        for (const auto& [tag, request] : c.open) oracle_.record_read_pause(request.id, read_pause);
        co_await pause.wait(scheduler_.now() + read_pause);
        continue;
      }
      if (now >= next && !finished_ && requests_left > 0 && process_.accepts_requests() &&
          c.start == process_.start_count() && c.open.size() < kMaxOpen) {
        const double rate = setup_.rate / connection_count() *
                            (active(FaultKind::clients_burst) ? magnitude(FaultKind::clients_burst) : 1);
        next = std::max(next, now - 0.05) + std::exponential_distribution<>(rate)(random_);
        auto request = draw_request();
        if (!to_resend_.empty()) {
          const auto id = request.id;
          request = to_resend_.back(), request.id = id;
          to_resend_.pop_back();
        }
        const auto tag = std::to_string(++c.tag);
        const auto text = format_request(request, tag);
        --requests_left;
        if (active(FaultKind::clients_trickle)) {
          const auto piece = std::max<std::size_t>(1, text.size() / 4);
          std::size_t at = 0;
          for (; at + piece < text.size() && !stream.broken(); at += piece) {
            c.connection->write(std::string_view(text).substr(at, piece));
            co_await pause.wait(scheduler_.now() + 0.03);
          }
          c.connection->write(std::string_view(text).substr(at));
        } else {
          c.connection->write(text);
        }
        request.sent = unix_now();
        oracle_.record_request(request);
        c.open.emplace(tag, request), ++open_;
        continue;
      }
      const bool may_send =
          requests_left > 0 && !finished_ && process_.accepts_requests() && c.open.size() < kMaxOpen;
      co_await stream.readable(may_send ? std::min(next, now + 0.1) : now + 0.05);
    }
  }
}

// Opens idle connections that use up the router's file descriptors.
Task Clients::open_idle_connections(int connections, Seconds until) {
  std::vector<std::shared_ptr<FaultyConnection>> idle;
  Event pause(scheduler_);
  for (int n = 0; n < connections; ++n)
    if (auto connection = connect_to_router()) idle.push_back(std::move(connection));
  co_await pause.wait(until);
}

// A write whose id no other request has, with a wrong length or noise in it.
std::string Clients::spoilt_write() {
  constexpr std::size_t kFieldsIndex = 3;
  const auto fields = fmt::format("txn={:016x},limit=2000,item={:016x},seg=0,bucket=1", random_(), random_());
  return spoil_message(net::resp_array_text({"EXEC", "1", "order", fields, kWriteBody}), kFieldsIndex,
                       random_);
}

// Sends invalid messages, partial messages and large amounts of invalid data.
Task Clients::send_malformed() {
  Event pause(scheduler_);
  while (active(FaultKind::clients_spoil)) {
    co_await pause.wait(scheduler_.now() + 0.05);
    if (process_.phase() != Process::Phase::serving) continue;
    const auto connection = connect_to_router();
    if (!connection) continue;
    co_await connection->stream().writable(scheduler_.now() + 0.2);
    const double kind = uniform();
    if (kind < 0.3)
      connection->write("*3\r\n$4\r\nEXEC\r\n$-7\r\n" + std::string(2000, '\x80'));
    else if (kind < 0.6)
      connection->write(net::resp_array_text({"EXEC", "1", "page", "txn=zz,limit=-1"}));
    else if (kind < 0.7)
      connection->write(spoilt_write());
    else if (kind < 0.8)
      connection->write("*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$4\r\npa");
    else
      connection->write(std::string(300'000, '*'));
    co_await pause.wait(scheduler_.now() + 0.1);
    if (uniform() < 0.5) connection->reset();
  }
}

}  // namespace walkpaddle::soak
