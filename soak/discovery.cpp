#include "soak/discovery.h"

#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Seconds kToldAtLatest = 7;  // whether or not it arrived, by the protocol page
constexpr std::string_view kZones[] = {"hub", "edge"};
constexpr std::string_view kModels[] = {"cache", "parent", "origin"};

int zone_of(const Endpoint& e) { return e.role() == Endpoint::Role::cache ? 1 : 0; }

}  // namespace

Discovery::Discovery(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, PurgeHistory& purges, int routers,
                     fakes::Ports& ports, unsigned seed)
    : scheduler_(scheduler), outbox_(outbox), oracle_(oracle), purges_(purges), ports_(ports), chance_(seed) {
  for (int n = 0; n < routers; ++n) {
    auto watch = std::make_unique<Watch>();
    watch->router = n;
    watches_.push_back(std::move(watch));
    move(n);
    scheduler_.start(follow(*watches_.back()));
  }
}

void Discovery::move(int router) {
  auto& w = *watches_[static_cast<std::size_t>(router)];
  w.port = ports_.take();
  w.listener = listen_on(Address{kLoopback, static_cast<std::uint16_t>(w.port)});
  if (w.link) w.link->stream().close();
  w.link.reset();
}

void Discovery::member(const Endpoint& e, fakes::AnnouncedState state) {
  events_.push_back({.at = real_now(),
                     .kind = 2,
                     .payload = fakes::endpoint_record(
                         0xb0 + static_cast<std::uint64_t>(e.number()), e.port(), state, zone_of(e),
                         static_cast<int>(e.role()), static_cast<std::uint64_t>(e.started() * 1e3)),
                     .server = e.number(),
                     .state = state,
                     .started = e.started(),
                     .item = {}});
}

void Discovery::purge(const std::string& item, int group) {
  const Seconds now = real_now();
  const auto stamp = fakes::big_endian(static_cast<std::uint64_t>(now * 1e3), 8);
  purges_.entries.push_back({now, item, group});
  const auto payload = item.empty() ? fakes::big_endian(static_cast<std::uint64_t>(group), 2) + stamp
                                    : fakes::big_endian(std::stoull(item, nullptr, 16), 8) + stamp;
  events_.push_back(
      {.at = now, .kind = item.empty() ? 4 : 3, .payload = payload, .item = item, .group = group});
}

void Discovery::tell(Watch& w, const Change& e, Seconds at) {
  if (e.kind >= 3) return oracle_.told_purge(w.router, w.start, e.group, e.item, e.at, at);
  if (e.state == fakes::AnnouncedState::ready) {
    oracle_.told_ready(w.router, w.start, e.server);
    if (e.started > 0) oracle_.told_start(w.router, w.start, e.server, at);
  } else {
    oracle_.told_drain(w.router, w.start, e.server, at);
  }
}

std::string Discovery::known(int router, int start, const std::vector<std::unique_ptr<Endpoint>>& endpoints) {
  auto& w = *watches_[static_cast<std::size_t>(router)];
  w.start = start, w.told = 0;
  for (const auto& e : events_) tell(w, e, real_now()), ++w.told;
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

void Discovery::trouble(const Trouble& t, Seconds until) {
  for (auto& w : watches_) {
    if (t.target >= 0 && w->router != t.target) continue;
    if (t.kind == Kind::discovery_down) {
      w->down = {until, 0};
      if (w->link) w->link->stream().close();
      w->link.reset();
    }
    if (t.kind == Kind::discovery_silent) w->silent = {until, 0};
    if (t.kind == Kind::discovery_trickles) w->trickles = {until, 0};
    if (t.kind == Kind::discovery_late) w->late = {until, t.size};
  }
}

void Discovery::accept(Watch& w) {
  const Fd* listener = &w.listener;
  if (Fd fd{::accept4(listener->get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)}) {
    if (scheduler_.now() < w.down.until) return;
    w.link = std::make_shared<Link>(scheduler_, outbox_, std::move(fd));
    w.next.reset();
    w.on_their_way.clear();
  }
}

void Discovery::tell_up_to(Watch& w, std::size_t change) {
  for (; w.told <= change; ++w.told) tell(w, events_[w.told], real_now());
}

// Events older than the page's bound count as told, unless no watch could have told them.
void Discovery::count_as_told(Watch& w) {
  constexpr Seconds kToFollowAgain = 3;  // a silent watch is left, a new one dialled
  const Seconds now = scheduler_.now();
  if (now < w.down.until || now < w.silent.until || now < w.trickles.until || now < w.late.until)
    w.up_since = now;
  for (; w.told < events_.size(); ++w.told) {
    const auto& e = events_[w.told];
    if (e.at + kToldAtLatest > real_now() || now < w.up_since + kToFollowAgain) return;
    tell(w, e, real_now());
  }
}

void Discovery::write_due(Watch& w) {
  auto& stream = w.link->stream();
  if (!w.next) {
    if (stream.in().size() < 8) return;
    std::uint64_t last = 0;
    for (int n = 0; n < 8; ++n)
      last = last << 8 | static_cast<unsigned char>(stream.in()[static_cast<std::size_t>(n)]);
    stream.consume(8);
    w.next = std::min<std::size_t>(std::max<std::uint64_t>(last, 1) - 1, events_.size());
  }
  for (; !w.on_their_way.empty() && w.on_their_way.front().end <= w.link->written();
       w.on_their_way.pop_front())
    tell_up_to(w, w.on_their_way.front().change);
  const Seconds now = scheduler_.now();
  if (now < w.silent.until) return;
  std::string text;
  for (auto& next = *w.next; next < events_.size(); ++next) {
    const auto& e = events_[next];
    const Seconds usual = std::uniform_real_distribution<>(0.03, 0.2)(chance_);
    if (real_now() < e.at + usual + (now < w.late.until ? w.late.size * 10 : 0)) break;
    text += fakes::discovery_frame(next + 2, e.kind, e.payload);
    w.on_their_way.push_back({w.link->queued() + text.size(), next});
    // Good news counts from its first byte on, bad news from its last.
    if (e.kind == 2 && e.state == fakes::AnnouncedState::ready)
      oracle_.told_ready(w.router, w.start, e.server);
  }
  if (text.empty() && now < w.beat + 0.5) return;
  if (text.empty()) text = fakes::discovery_frame(events_.size() + 1, 0, "");
  w.beat = now;
  if (now < w.trickles.until)
    w.link->trickle(text, std::max<std::size_t>(4, text.size() / 6), 0.05);
  else
    w.link->write(text);
}

Task Discovery::follow(Watch& w) {
  constexpr Seconds kLook = 0.02;
  Event pause(scheduler_);
  for (;;) {
    accept(w);
    if (w.link) {
      Stream::Came came;
      while ((came = w.link->stream().read()) == Stream::Came::bytes) continue;
      if (came == Stream::Came::end)
        w.link.reset();
      else
        write_due(w);
    }
    count_as_told(w);
    co_await pause.wait(scheduler_.now() + kLook);
  }
}

}  // namespace walkpaddle::soak
