#include "soak/clients.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>

#include "base/text.h"
#include "config/settings.h"
#include "net/resp_parser.h"

namespace walkpaddle::soak {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr Seconds kCrossing = 0.05;  // a request that crosses an idle close within that is sent again, once
constexpr Seconds kIdleClose = 4;    // clients close connections that rest so long
constexpr Seconds kLongestWrite =
    0.2;                              // of a request that trickles: it was begun so long before its last byte
constexpr double kImpatient = 0.005;  // of the looks at what is open
constexpr int kLeastConnections = 4;
constexpr double kEachConnection = 8;  // requests a second: many rest, or ask a few times

}  // namespace

// One connection and what is open on it.
struct Clients::Conversation {
  std::shared_ptr<Link> link;
  int start = 0;  // of the process that it reached
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
      chance_(setup.seed),
      next_id_(static_cast<std::uint64_t>(process.number() + 1) << 32) {}

std::string Clients::item(int object) { return fmt::format("{:016x}", 0x7000 + object); }
int Clients::group(const std::string& item) { return static_cast<int>(stable_hash(item) % 8); }

int Clients::connections() const {
  return std::max(kLeastConnections, static_cast<int>(setup_.rate / kEachConnection));
}

void Clients::start() {
  scheduler_.start(front());
  for (int n = 0; n < connections(); ++n) scheduler_.start(connection());
}

void Clients::trouble(const Trouble& trouble, Seconds until) {
  active_[static_cast<int>(trouble.kind)] = {until, trouble.size};
  if (trouble.kind == Kind::clients_crowd) scheduler_.start(crowd(static_cast<int>(trouble.size), until));
  if (trouble.kind == Kind::clients_spoil) scheduler_.start(spoil());
}

std::shared_ptr<Link> Clients::call() {
  Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(process_.port())});
  return fd ? std::make_shared<Link>(scheduler_, outbox_, std::move(fd)) : nullptr;
}

// Asks a router that starts whether it is ready.
Task Clients::front() {
  constexpr Seconds kAsk = 0.02, kAnswer = 0.5;
  Event pause(scheduler_);
  for (;;) {
    co_await pause.wait(scheduler_.now() + kAsk);
    if (process_.phase() != Process::Phase::starting) continue;
    const auto link = call();
    if (!link) continue;
    co_await link->stream().writable(scheduler_.now() + kAnswer);
    if (link->stream().error() != 0) continue;
    link->write(net::words_text({"ALIVE", "1", ""}));
    const Seconds until = scheduler_.now() + kAnswer;
    while (scheduler_.now() < until && link->stream().read() == Stream::ReadResult::nothing)
      co_await link->stream().readable(until);
    if (link->stream().in().find("\r\nREADY\r\n") != std::string_view::npos) process_.is_ready();
  }
}

Oracle::Request Clients::draw_request() {
  Oracle::Request r;
  r.id = ++next_id_;
  r.router = process_.number(), r.start = process_.start_count();
  const double kind = roll();
  r.effect = kind < 0.08 ? Idempotency::single_shot : kind < 0.2 ? Idempotency::guarded : Idempotency::free;
  r.item = item(static_cast<int>(setup_.objects * roll() * roll()));
  r.group = group(r.item);
  r.part = r.effect == Idempotency::free ? static_cast<int>(3 * roll()) : 0;
  if (r.effect == Idempotency::guarded) r.key = fmt::format("{:016x}", r.id);
  r.limit = r.effect == Idempotency::free ? 0.6 + 1.4 * roll() : 1 + 2 * roll();
  if (drawn(Kind::clients_short_limits)) r.limit = 0.005 + 0.045 * roll();
  r.limit = std::floor(r.limit * 1e3) / 1e3;
  if (r.effect == Idempotency::free && roll() < 0.3)
    if (const auto it = tags_.find(fmt::format("{}.{}", r.item, r.part)); it != tags_.end())
      r.etag = it->second;
  return r;
}

std::string Clients::text_of(const Oracle::Request& r, const std::string& tag) const {
  constexpr const char* kClasses[] = {"page", "form", "order"};
  auto fields = fmt::format("txn={:016x},limit={},item={},seg={},bucket={}", r.id, std::lround(r.limit * 1e3),
                            r.item, r.part, r.group);
  if (!r.key.empty()) fields += ",unique=" + r.key;
  if (!r.etag.empty()) fields += ",etag=" + r.etag;
  return net::words_text({"EXEC", tag, kClasses[static_cast<int>(r.effect)], fields,
                          r.effect == Idempotency::free ? "" : "some bytes"});
}

void Clients::take_answers(Conversation& c) {
  net::Words words;
  for (;;) {
    net::read_words(c.link->stream().in(), 8, 1 << 20, words);
    if (words.used == 0) return;
    const auto& w = words.words;
    const auto it = c.open.find(std::string(w[0]));
    if (it != c.open.end()) {
      const auto& r = it->second;
      const auto fields = w.size() > 2 ? w[2] : std::string_view();
      oracle_.answered(r.id, w[1], fields, w.size() > 3 ? w[3] : std::string_view());
      if (const auto tag = net::field(fields, "etag"); tag && r.effect == Idempotency::free)
        tags_[fmt::format("{}.{}", r.item, r.part)] = *tag;
      c.open.erase(it), --open_;
      c.quiet_since = scheduler_.now(), ++c.answers;
    }
    c.link->stream().consume(words.used);
  }
}

// The other side ended the connection: which of the requests on it were lost, by the protocol page.
void Clients::at_end(Conversation& c) {
  // A request crosses an idle close if nothing older was open: the connection rested until then.
  const Seconds now = real_now();
  const bool rested = std::ranges::all_of(
      c.open, [&](const auto& o) { return now < o.second.sent + kCrossing + oracle_.worst_lag(); });
  for (const auto& [tag, r] : c.open) {
    --open_;
    if (process_.killed_at() > r.sent - kLongestWrite)
      oracle_.excused(r.id, "its router was killed");
    else if (process_.breaks_connections())
      oracle_.excused(r.id, "the network broke its connection");
    else if (c.answers == 0 && active(Kind::clients_crowd))
      oracle_.excused(r.id, "a new connection under a crowd");
    else if (rested)
      oracle_.crossed(r.id), to_send_again_.push_back(r);
    else
      oracle_.unanswered(r.id, c.link->stream().error() != 0 ? "connection reset" : "connection ended");
  }
  c.open.clear();
}

// A request that was on its way when the other side ended a resting connection: not taken, and never sent on.
void Clients::ask_across_end(Conversation& c) {
  auto request = draw_request();
  c.link->write(text_of(request, std::to_string(++c.tag)));
  request.sent = real_now();
  oracle_.sent(request);
  oracle_.crossed(request.id);
}

void Clients::forget_oldest(Conversation& c) {
  const auto oldest = std::ranges::min_element(c.open, {}, [](const auto& o) { return o.second.sent; });
  c.link->write(net::words_text({"FORGET", oldest->first}));
  oracle_.left(oldest->second.id), --open_;
  c.open.erase(oldest);
}

void Clients::leave(Conversation& c) {
  for (const auto& [tag, request] : c.open) oracle_.left(request.id), --open_;
  c.open.clear();
}

Task Clients::connection() {
  constexpr std::size_t kMostOpen = 24;
  Event pause(scheduler_);
  for (;;) {
    co_await pause.wait(scheduler_.now() + 0.02 * roll());
    if (over_ || !process_.takes_connections()) continue;
    Conversation c;
    c.link = call();
    if (!c.link) continue;
    auto& stream = c.link->stream();
    const bool up = co_await stream.writable(scheduler_.now() + 1);
    if (!up || stream.error() != 0) continue;
    c.start = process_.start_count();
    c.connected = c.quiet_since = scheduler_.now();
    // Some ask a few times and rest until somebody ends the connection.
    int left = 3 + static_cast<int>(40 * roll());
    const bool rests = roll() < 0.3;
    for (Seconds next = scheduler_.now();;) {
      const auto came = stream.read();
      if (came == Stream::ReadResult::end) {
        take_answers(c);
        if (rests && c.open.empty() && stream.error() == 0) {
          ask_across_end(c);
          co_await pause.wait(scheduler_.now() + kCrossing);
        }
        at_end(c);
        break;
      }
      if (came == Stream::ReadResult::bytes) {
        take_answers(c);
        continue;
      }
      const Seconds now = scheduler_.now();
      const bool idle = c.open.empty();
      if (idle && (over_ || (left <= 0 && !rests) || now > c.quiet_since + kIdleClose)) break;
      // Some give up what they wait for; where clients leave, many do, and some close at once.
      const bool leaves = drawn(Kind::clients_leave);
      if (!idle && (leaves || roll() < kImpatient)) {
        if (leaves && roll() < 0.3) {
          leave(c);
          break;
        }
        forget_oldest(c);
      }
      if (drawn(Kind::clients_half_close) && roll() < 0.1) {
        leave(c);
        c.link->half_close();
        co_await pause.wait(scheduler_.now() + 0.3);
        break;
      }
      if (active(Kind::clients_read_slowly) && !idle && roll() < 0.1) {
        const Seconds away = 0.1 + 0.4 * roll();
        for (const auto& [tag, request] : c.open) oracle_.reads_late(request.id, away);
        co_await pause.wait(scheduler_.now() + away);
        continue;
      }
      if (now >= next && !over_ && left > 0 && process_.takes_requests() &&
          c.start == process_.start_count() && c.open.size() < kMostOpen) {
        const double rate =
            setup_.rate / connections() * (active(Kind::clients_burst) ? size(Kind::clients_burst) : 1);
        next = std::max(next, now - 0.05) + std::exponential_distribution<>(rate)(chance_);
        auto request = draw_request();
        if (!to_send_again_.empty()) {
          const auto id = request.id;
          request = to_send_again_.back(), request.id = id;
          to_send_again_.pop_back();
        }
        const auto tag = std::to_string(++c.tag);
        const auto text = text_of(request, tag);
        --left;
        if (active(Kind::clients_trickle)) {
          const auto piece = std::max<std::size_t>(1, text.size() / 4);
          std::size_t at = 0;
          for (; at + piece < text.size() && !stream.broken(); at += piece) {
            c.link->write(std::string_view(text).substr(at, piece));
            co_await pause.wait(scheduler_.now() + 0.03);
          }
          c.link->write(std::string_view(text).substr(at));
        } else {
          c.link->write(text);
        }
        request.sent = real_now();
        oracle_.sent(request);
        c.open.emplace(tag, request), ++open_;
        continue;
      }
      const bool asks = left > 0 && !over_ && process_.takes_requests() && c.open.size() < kMostOpen;
      co_await stream.readable(asks ? std::min(next, now + 0.1) : now + 0.05);
    }
  }
}

// Idle clients that fill the descriptors.
Task Clients::crowd(int connections, Seconds until) {
  std::vector<std::shared_ptr<Link>> idle;
  Event pause(scheduler_);
  for (int n = 0; n < connections; ++n)
    if (auto link = call()) idle.push_back(std::move(link));
  co_await pause.wait(until);
}

// Clients that send nonsense, much at once, or half a message.
Task Clients::spoil() {
  Event pause(scheduler_);
  while (active(Kind::clients_spoil)) {
    co_await pause.wait(scheduler_.now() + 0.05);
    if (process_.phase() != Process::Phase::serving) continue;
    const auto link = call();
    if (!link) continue;
    co_await link->stream().writable(scheduler_.now() + 0.2);
    const double kind = roll();
    if (kind < 0.3)
      link->write("*3\r\n$4\r\nEXEC\r\n$-7\r\n" + std::string(2000, '\x80'));
    else if (kind < 0.6)
      link->write(net::words_text({"EXEC", "1", "page", "txn=zz,limit=-1"}));
    else if (kind < 0.8)
      link->write("*5\r\n$4\r\nEXEC\r\n$1\r\n1\r\n$4\r\npa");
    else
      link->write(std::string(300'000, '*'));
    co_await pause.wait(scheduler_.now() + 0.1);
    if (roll() < 0.5) link->reset();
  }
}

}  // namespace walkpaddle::soak
