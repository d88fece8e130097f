#include "soak/discovery.h"

#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Seconds kDeliveryBound = 7;  // events this old count as delivered, by the protocol
constexpr std::string_view kZones[] = {"hub", "edge"};
constexpr std::string_view kModels[] = {"cache", "parent", "origin"};

int zone_of(const Endpoint& e) { return e.role() == Endpoint::Role::cache ? 1 : 0; }

}  // namespace

Discovery::Discovery(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, PurgeHistory& purges, int routers,
                     fakes::Ports& ports, unsigned seed)
    : scheduler_(scheduler), outbox_(outbox), oracle_(oracle), purges_(purges), ports_(ports), random_(seed) {
  for (int n = 0; n < routers; ++n) {
    auto watch = std::make_unique<Watch>();
    watch->router = n;
    watches_.push_back(std::move(watch));
    move_port(n);
    scheduler_.start(serve_watch(*watches_.back()));
  }
}

void Discovery::move_port(int router) {
  auto& w = *watches_[static_cast<std::size_t>(router)];
  w.port = ports_.take();
  w.listener = listen_on(Address{kLoopback, static_cast<std::uint16_t>(w.port)});
  if (w.connection) w.connection->stream().close();
  w.connection.reset();
}

void Discovery::publish_endpoint(const Endpoint& e, fakes::AnnouncedState state) {
  events_.push_back({.at = unix_now(),
                     .kind = 2,
                     .payload = fakes::endpoint_record(
                         0xb0 + static_cast<std::uint64_t>(e.number()), e.port(), state, zone_of(e),
                         static_cast<int>(e.role()), static_cast<std::uint64_t>(e.started() * 1e3)),
                     .server = e.number(),
                     .state = state,
                     .started = e.started(),
                     .item = {}});
}

void Discovery::publish_purge(const std::string& item, int group) {
  const Seconds now = unix_now();
  const auto stamp = fakes::big_endian(static_cast<std::uint64_t>(now * 1e3), 8);
  purges_.entries.push_back({now, item, group});
  const auto payload = item.empty() ? fakes::big_endian(static_cast<std::uint64_t>(group), 2) + stamp
                                    : fakes::big_endian(std::stoull(item, nullptr, 16), 8) + stamp;
  events_.push_back(
      {.at = now, .kind = item.empty() ? 4 : 3, .payload = payload, .item = item, .group = group});
}

void Discovery::record_delivery(Watch& w, const Change& e, Seconds at) {
  if (e.kind >= 3) return oracle_.record_purge_event(w.router, w.start, e.group, e.item, e.at, at);
  if (e.state == fakes::AnnouncedState::ready) {
    oracle_.record_ready_event(w.router, w.start, e.server);
    if (e.started > 0) oracle_.record_start_event(w.router, w.start, e.server, at);
  } else {
    oracle_.record_drain_event(w.router, w.start, e.server, at);
  }
}

std::string Discovery::initial_state(int router, int start,
                                     const std::vector<std::unique_ptr<Endpoint>>& endpoints) {
  auto& w = *watches_[static_cast<std::size_t>(router)];
  w.start = start, w.delivered = 0;
  for (const auto& e : events_) record_delivery(w, e, unix_now()), ++w.delivered;
  std::map<int, fakes::AnnouncedState> states;
  for (const auto& e : events_)
    if (e.kind == 2) states[e.server] = e.state;
  std::string members, purges;
  for (const auto& e : endpoints) {
    const auto it = states.find(e->number());
    const auto state = it == states.end() ? fakes::AnnouncedState::ready : it->second;
    if (state == fakes::AnnouncedState::gone) continue;
    members += fmt::format(
        R"({}{{"id":"{}","host_port":"127.0.0.1:{}","locality":"{}","flavor":"{}","cell":0,"phase":"{}","size":1,"up_since_ms":{}}})",
        members.empty() ? "" : ",", e->id(), e->port(), kZones[zone_of(*e)],
        kModels[static_cast<int>(e->role())], state == fakes::AnnouncedState::draining ? "draining" : "ready",
        static_cast<long>(e->started() * 1e3));
  }
  const auto offset = events_.size() + 1;
  for (const auto& e : purges_.entries)
    purges += fmt::format(
        R"(,{{"offset":{},"ban":{{{},"ts":{}}}}})", offset,
        e.item.empty() ? fmt::format(R"("tag":{})", e.group) : fmt::format(R"("url":"{}")", e.item),
        static_cast<long>(e.at * 1e3));
  return fmt::format(
      R"({{"offset":{0},"batch":[{{"offset":{0},"topology":{{"complete":true,"members":[{1}]}}}}{2}]}})",
      offset, members, purges);
}

void Discovery::inject(const Fault& t, Seconds until) {
  for (auto& w : watches_) {
    if (t.target >= 0 && w->router != t.target) continue;
    if (t.kind == FaultKind::discovery_down) {
      w->down = {until, 0};
      if (w->connection) w->connection->stream().close();
      w->connection.reset();
    }
    if (t.kind == FaultKind::discovery_silent) w->silent = {until, 0};
    if (t.kind == FaultKind::discovery_trickles) w->trickling = {until, 0};
    if (t.kind == FaultKind::discovery_late) w->late = {until, t.magnitude};
  }
}

void Discovery::accept(Watch& w) {
  const Fd* listener = &w.listener;
  if (Fd fd{::accept4(listener->get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)}) {
    if (scheduler_.now() < w.down.until) return;
    w.connection = std::make_shared<FaultyConnection>(scheduler_, outbox_, std::move(fd));
    w.next.reset();
    w.pending_events.clear();
  }
}

void Discovery::record_deliveries(Watch& w, std::size_t change) {
  for (; w.delivered <= change; ++w.delivered) record_delivery(w, events_[w.delivered], unix_now());
}

// Events older than the protocol's delivery bound count as delivered, unless faults kept the watch from
// delivering them.
void Discovery::record_overdue_events(Watch& w) {
  constexpr Seconds kReconnectTime = 3;  // for a router to drop a silent watch and open a new one
  const Seconds now = scheduler_.now();
  if (now < w.down.until || now < w.silent.until || now < w.trickling.until || now < w.late.until)
    w.healthy_since = now;
  for (; w.delivered < events_.size(); ++w.delivered) {
    const auto& e = events_[w.delivered];
    if (e.at + kDeliveryBound > unix_now() || now < w.healthy_since + kReconnectTime) return;
    record_delivery(w, e, unix_now());
  }
}

void Discovery::write_due_events(Watch& w) {
  auto& stream = w.connection->stream();
  if (!w.next) {
    if (stream.in().size() < 8) return;
    std::uint64_t last = 0;
    for (int n = 0; n < 8; ++n)
      last = last << 8 | static_cast<unsigned char>(stream.in()[static_cast<std::size_t>(n)]);
    stream.consume(8);
    w.next = std::min<std::size_t>(std::max<std::uint64_t>(last, 1) - 1, events_.size());
  }
  for (; !w.pending_events.empty() && w.pending_events.front().end <= w.connection->written();
       w.pending_events.pop_front())
    record_deliveries(w, w.pending_events.front().change);
  const Seconds now = scheduler_.now();
  if (now < w.silent.until) return;
  std::string text;
  for (auto& next = *w.next; next < events_.size(); ++next) {
    const auto& e = events_[next];
    const Seconds usual = std::uniform_real_distribution<>(0.03, 0.2)(random_);
    if (unix_now() < e.at + usual + (now < w.late.until ? w.late.magnitude * 10 : 0)) break;
    text += fakes::discovery_frame(next + 2, e.kind, e.payload);
    w.pending_events.push_back({w.connection->queued() + text.size(), next});
    // A ready event ends a drain when its first byte is written; other events count from their last byte.
    if (e.kind == 2 && e.state == fakes::AnnouncedState::ready)
      oracle_.record_ready_event(w.router, w.start, e.server);
  }
  if (text.empty() && now < w.last_frame_at + 0.5) return;
  if (text.empty()) text = fakes::discovery_frame(events_.size() + 1, 0, "");
  w.last_frame_at = now;
  if (now < w.trickling.until)
    w.connection->trickle(text, std::max<std::size_t>(4, text.size() / 6), 0.05);
  else
    w.connection->write(text);
}

Task Discovery::serve_watch(Watch& w) {
  constexpr Seconds kPollInterval = 0.02;
  Event pause(scheduler_);
  for (;;) {
    accept(w);
    if (w.connection) {
      Stream::ReadResult came;
      while ((came = w.connection->stream().read()) == Stream::ReadResult::bytes) continue;
      if (came == Stream::ReadResult::end)
        w.connection.reset();
      else
        write_due_events(w);
    }
    record_overdue_events(w);
    co_await pause.wait(scheduler_.now() + kPollInterval);
  }
}

}  // namespace walkpaddle::soak
