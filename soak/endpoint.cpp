#include "soak/endpoint.h"

#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>

#include "base/text.h"
#include "config/settings.h"
#include "net/resp_parser.h"
#include "soak/spoilt_message.h"

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Seconds kLocalAnswerTime = 0.004;  // to answer from a local copy
constexpr Seconds kFillTime = 0.008;         // additional time of a fill
constexpr Seconds kIdleAfter = 0.05;         // a connection without messages for this long is idle
constexpr Seconds kPurgeSettles = 6;         // as in the settings: by then every server has applied a purge

std::string make_etag(std::string_view item, Seconds newest_purge) {
  return fmt::format("{:016x}", stable_hash(fmt::format("{} {:.3f}", item, newest_purge)));
}

}  // namespace

Seconds PurgeHistory::newest(std::string_view item, int group, Seconds known_before) const {
  Seconds newest = 0;
  for (const auto& e : entries)
    if (e.at <= known_before && (e.item.empty() ? e.group == group : e.item == item))
      newest = std::max(newest, e.at);
  return newest;
}

Endpoint::Endpoint(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, const PurgeHistory& purges,
                   const Setup& setup)
    : scheduler_(scheduler),
      outbox_(outbox),
      oracle_(oracle),
      purges_(purges),
      setup_(setup),
      random_(setup.seed),
      purge_delay_(std::uniform_real_distribution<>(0.05, kPurgeSettles - 1)(random_)) {
  start_cold();
  started_ = 0;  // the first start counts as long past: the server is warm
}

std::string Endpoint::id() const { return fmt::format("s-{:08x}", 0xb0 + setup_.number); }

void Endpoint::start_cold() {
  if (up_) return;
  up_ = true, ++starts_;
  copies_.clear();
  started_ = unix_now();
  listener_ = std::make_shared<Listener>(
      scheduler_, listen_on(Address{kLoopback, static_cast<std::uint16_t>(setup_.port)}));
  scheduler_.start(accept_all(listener_));
}

void Endpoint::crash() {
  if (!up_) return;
  up_ = false;
  listener_->close();
  for (const auto& [connection, open] : open_) connection->reset();
}

bool Endpoint::active(FaultKind kind) const {
  return scheduler_.now() < active_[static_cast<int>(kind)].until;
}

bool Endpoint::strikes(FaultKind kind) {
  return active(kind) &&
         std::uniform_real_distribution<>(0, 1)(random_) < active_[static_cast<int>(kind)].magnitude;
}

void Endpoint::inject(const Fault& fault, Seconds until) {
  active_[static_cast<int>(fault.kind)] = {until, fault.magnitude};
  const bool closes = fault.kind == FaultKind::server_closes_idle ||
                      fault.kind == FaultKind::server_resets_idle ||
                      fault.kind == FaultKind::server_forgets_idle;
  if (closes) close_idle_connections();
  // With a short backlog the accept queue fills up, and further connections are established only later.
  if (fault.kind == FaultKind::server_late_accept && up_) ::listen(listener_->fd(), 1);
}

void Endpoint::close_idle_connections() {
  for (auto& [connection, open] : open_) {
    if (!open.requests.empty() || scheduler_.now() < open.used + kIdleAfter) continue;
    if (active(FaultKind::server_forgets_idle))
      open.forgotten = true;
    else if (active(FaultKind::server_resets_idle))
      connection->reset();
    else
      connection->stream().close();
  }
}

Task Endpoint::accept_all(std::shared_ptr<Listener> listener) {
  constexpr Seconds kPause = 0.02;
  Event pause(scheduler_);
  while (listener->open()) {
    if (active(FaultKind::server_late_accept) || active(FaultKind::server_vanishes)) {
      accept_paused_at_ = scheduler_.now(), backlog_is_limited_ = true;
      co_await pause.wait(scheduler_.now() + kPause);
      continue;
    }
    if (std::exchange(backlog_is_limited_, false)) ::listen(listener->fd(), SOMAXCONN);
    Fd fd = listener->accept();
    if (!fd) {
      co_await listener->input_ready.wait(scheduler_.now() + kPause);
      continue;
    }
    ++accepted_;
    if (active(FaultKind::server_hangs_up)) continue;
    scheduler_.start(serve_connection(std::move(fd)));
  }
}

Task Endpoint::serve_connection(Fd fd) {
  constexpr Seconds kPollInterval = 0.02;
  auto connection = std::make_shared<FaultyConnection>(scheduler_, outbox_, std::move(fd));
  auto& open = open_[connection];
  open.used = scheduler_.now();
  auto& stream = connection->stream();
  constexpr Seconds kQueueTime = 0.1;
  bool exact = scheduler_.now() > accept_paused_at_ + kQueueTime;  // the next input has arrived only now
  for (;;) {
    if (active(FaultKind::server_hangs) || active(FaultKind::server_vanishes) || open.forgotten) {
      exact = false;
      Event pause(scheduler_);
      co_await pause.wait(scheduler_.now() + kPollInterval);
      if (stream.broken() || (open.forgotten && !active(FaultKind::server_forgets_idle))) break;
      continue;
    }
    if (active(FaultKind::server_closes_idle) || active(FaultKind::server_resets_idle))
      close_idle_connections();
    const auto came = stream.read();
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::nothing) {
      exact = true;
      co_await stream.readable(scheduler_.now() + 0.25);
      continue;
    }
    open.used = scheduler_.now();
    try {
      read_messages(connection, exact);
    } catch (const InputError& e) {
      oracle_.report_violation(
          Invariant::stays_up, -1, 0,
          fmt::format("server {} received an invalid message: {}", setup_.number, e.what()));
      break;
    }
  }
  // Requests in progress are dropped without an answer; the router can't know whether they ran.
  open_.erase(connection);
}

void Endpoint::read_messages(const std::shared_ptr<FaultyConnection>& connection, bool exact) {
  net::RespArray words;
  for (;;) {
    net::read_resp_array(connection->stream().in(), 8, 1 << 20, words);
    if (words.used == 0) return;
    const auto& w = words.words;
    auto& open = open_[connection];
    if (w[0] == "cancel" && w.size() > 1) {
      open.requests.erase(parse<std::uint64_t>(w[1], "id", 16));
    } else if (w[0] == "serve" && w.size() > 2) {
      const auto id = parse<std::uint64_t>(w[1], "id", 16);
      if (net::field(w[2], "cls") != "page")
        oracle_.record_write(setup_.number, w.size() > 3 ? w[3] : std::string_view());
      const auto source = net::field(w[2], "src").value_or("");
      Oracle::Attempt attempt{.server = setup_.number,
                              .at = unix_now(),
                              .exact_time = exact,
                              .limit = parse<double>(net::field(w[2], "limit").value_or(""), "limit") / 1e3,
                              .confirmed_etag = {}};
      if (!source.empty()) attempt.source = parse<int>(source.substr(2), "src", 16) - 0xb0;
      const auto number = oracle_.record_attempt(id, attempt);
      open.requests.insert(id);
      scheduler_.start(serve(connection, id, std::string(w[2]), number, starts_));
    }
    connection->stream().consume(words.used);
  }
}

bool Endpoint::usable(const Copy& copy, std::string_view item, int group, Seconds oldest) const {
  const Seconds now = unix_now();
  if (oldest > 0 && now - copy.created > oldest) return false;
  return copy.created >= purges_.newest(item, group, now - purge_delay_);
}

// Fetches a copy from the parent `source` if it has a usable one, else from the origin. Returns the time at
// which the copy was read from the origin.
Seconds Endpoint::fetch(std::string_view source, const std::string& key, std::string_view item, int group,
                        Seconds oldest) {
  for (const auto& endpoint : *endpoints_) {
    if (endpoint->id() != source || endpoint->role() != Role::parent) continue;
    const auto it = endpoint->copies_.find(key);
    if (it != endpoint->copies_.end() && endpoint->usable(it->second, item, group, oldest))
      return it->second.created;
    endpoint->copies_[key] = {unix_now()};
  }
  return unix_now();
}

std::string Endpoint::make_answer(std::uint64_t id, std::string_view fields, bool& ran, Seconds& copy_created,
                                  std::string& confirmed_etag) {
  const auto id_text = fmt::format("{:016x}", id);
  const auto cls = net::field(fields, "cls").value_or("");
  if (cls != "page") return net::resp_array_text({id_text, "served", "tell=origin", write_result(id)});
  const std::string item(net::field(fields, "item").value_or("")),
      chunk(net::field(fields, "chunk").value_or(""));
  const auto key = item + "." + chunk;
  const int group = static_cast<int>(stable_hash(item) % 8);
  const Seconds oldest = parse_or(net::field(fields, "maxage").value_or(""), 0.0) / 1e3;
  std::string_view tell = "mem";
  if (setup_.role == Role::origin) {
    copy_created = unix_now(), tell = "origin";
  } else if (const auto it = copies_.find(key);
             it != copies_.end() && usable(it->second, item, group, oldest)) {
    copy_created = it->second.created;
  } else {
    const auto source = net::field(fields, "src").value_or("");
    if (source.empty()) {
      ran = false;
      return net::resp_array_text({id_text, "not_here", "tell=absent"});
    }
    copy_created = fetch(source, key, item, group, oldest), tell = "parent";
    if (net::field(fields, "keep").value_or("0") != "0") copies_[key] = {copy_created};
  }
  const auto tag = make_etag(item, purges_.newest(item, group, copy_created));
  const auto answer_fields =
      fmt::format("tell={},etag={},made={},ttfb=3", tell, tag, static_cast<long>(copy_created * 1e3));
  if (net::field(fields, "have").value_or("") == tag) {
    confirmed_etag = tag;
    return net::resp_array_text({id_text, "still_good", answer_fields});
  }
  return net::resp_array_text({id_text, "served", answer_fields, object_body(item, chunk)});
}

Task Endpoint::serve(std::shared_ptr<FaultyConnection> connection, std::uint64_t id, std::string fields,
                     std::size_t attempt, std::uint64_t start) {
  // Servers may drop a request that has too little time left, without an answer.
  constexpr Seconds kMinTimeLeft = 0.02;
  if (parse_or(net::field(fields, "limit").value_or(""), 0.0) / 1e3 < kMinTimeLeft) co_return;
  const double slowdown =
      active(FaultKind::server_slow) ? active_[static_cast<int>(FaultKind::server_slow)].magnitude : 1;
  const bool fills = net::field(fields, "src").has_value();
  Event wait(scheduler_);
  co_await wait.wait(scheduler_.now() + (kLocalAnswerTime + (fills ? kFillTime : 0)) * slowdown);
  while (active(FaultKind::server_hangs) || active(FaultKind::server_vanishes))
    co_await wait.wait(scheduler_.now() + 0.02);
  const auto open = open_.find(connection);
  if (start != starts_ || open == open_.end() || open->second.forgotten ||
      open->second.requests.erase(id) == 0)
    co_return;
  if (strikes(FaultKind::server_overloaded)) {
    oracle_.finish_attempt(id, attempt, false, 0, {});
    connection->write(net::resp_array_text({fmt::format("{:016x}", id), "overload", "tell=crowded"}));
    co_return;
  }
  bool ran = true;
  Seconds copy_created = 0;
  std::string confirmed_etag;
  open->second.used = scheduler_.now();
  const auto answer = make_answer(id, fields, ran, copy_created, confirmed_etag);
  oracle_.finish_attempt(id, attempt, ran, copy_created, confirmed_etag);
  send(connection, answer);
}

void Endpoint::send(const std::shared_ptr<FaultyConnection>& connection, const std::string& answer) {
  if (strikes(FaultKind::answers_lost)) return;
  if (strikes(FaultKind::answers_trickle))
    return connection->trickle(answer, std::max<std::size_t>(1, answer.size() / 8), 0.03);
  constexpr std::size_t kFieldsIndex = 2;
  if (strikes(FaultKind::answers_spoilt))
    return connection->write(spoil_message(answer, kFieldsIndex, random_));
  if (strikes(FaultKind::server_resets_midway)) {
    connection->write(std::string_view(answer).substr(0, answer.size() / 2));
    return connection->reset();
  }
  connection->write(answer);
  if (strikes(FaultKind::answers_doubled)) connection->write(answer);
  if (strikes(FaultKind::server_half_closes)) connection->half_close();
}

}  // namespace walkpaddle::soak
