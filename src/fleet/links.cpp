#include "fleet/links.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/text.h"
#include "replication/link_codec.h"

namespace walkpaddle::fleet {

// One connection's messages, from its first word on. The peer is known from its hello, or was dialled.
struct Links::Reader final : replication::LinkMessageHandler {
  Reader(Links& l, Stream& s, int p) : links(l), stream(s), peer(p) {}
  ~Reader() {
    if (peer < 0 || links.links_[peer].stream != &stream) return;
    links.links_[peer].stream = nullptr;
    links.purges_.sync()->down(peer);
    links.log_("fleet", "{}: connection ended", links.setup_.peers[peer].name);
  }

  void hello(int version, std::string_view name) override {
    if (greeted) throw InputError("a second hello");
    if (version < 1) throw_bad_value("version", std::to_string(version));
    const int who = links.peer_named(name);
    if (who < 0) throw InputError("a router of no known name, '" + std::string(name.substr(0, 60)) + "'");
    if (peer >= 0 && who != peer)
      throw InputError("another router's name, '" + std::string(name.substr(0, 60)) + "'");
    auto& link = links.links_[who];
    if (peer < 0 && link.dials) throw InputError("it is dialled from here: " + std::string(name));
    // A second connection means that the other side gave the first up.
    if (link.stream != nullptr) link.stream->close(), links.purges_.sync()->down(who);
    peer = who, greeted = true;
    link.stream = &stream;
    if (!link.dials) stream.write(replication::encode_hello(links.setup_.name));
    links.purges_.sync()->up(peer);
    links.log_("fleet", "{}: connected", name);
  }
  void known() const {
    if (!greeted) throw InputError("no hello first");
  }
  void beat(Seconds theirs, Seconds echo, bool whole) override {
    known(), sync().beat(peer, theirs, echo, whole);
  }
  void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t base, Seconds given_up_ago) override {
    sync().head(peer, issuer, number, base, given_up_ago, links.scheduler_.now());
  }
  void beat_end() override {
    sync().beat_end(peer, links.scheduler_.now()), links.purges_.after_input(links.scheduler_.now());
  }
  void entry(const Stamp& stamp, Kind kind, std::string_view what) override {
    known();
    const Seconds now = links.scheduler_.now();
    if (links.purges_.take(stamp, kind, what, now) == Took::full)
      links.log_("fleet", "{}: a purge had no place and will be asked for again",
                 links.setup_.peers[peer].name);
    sync().entries_came(now);
    links.purges_.after_input(now);
  }
  void want(std::uint64_t issuer, std::uint64_t from) override { known(), sync().want(peer, issuer, from); }
  Sync& sync() { return *links.purges_.sync(); }
  // False once the other side speaks what cannot be read.
  bool take_all() {
    try {
      while (const auto used = replication::read_link_message(stream.in(), *this)) {
        stream.consume(used);
        heard = links.scheduler_.now();
      }
      return true;
    } catch (const InputError& e) {
      links.log_("fleet", "{}: {}", peer < 0 ? "a connection" : links.setup_.peers[peer].name, e.what());
      return false;
    }
  }

  Links& links;
  Stream& stream;
  int peer;
  bool greeted = false;
  Seconds heard = 0;
};

Links::Links(Scheduler& scheduler, Outbox& outbox, Log& log, Purges& purges, const Setup& setup)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      purges_(purges),
      setup_(setup),
      links_(setup.peers.size()),
      listener_(scheduler, listen_on(setup.listen)),
      due_(scheduler),
      ended_(scheduler) {
  scheduler_.start(accept_all());
  scheduler_.start(keep_time());
  for (std::size_t n = 0; n < links_.size(); ++n)
    if (setup_.name < setup_.peers[n].name) {
      links_[n].dials = true;
      scheduler_.start(dial_on(static_cast<int>(n)));
    }
}

int Links::peer_named(std::string_view name) const {
  const auto it = std::ranges::find(setup_.peers, name, &Peer::name);
  return it == setup_.peers.end() ? -1 : static_cast<int>(it - setup_.peers.begin());
}

Task Links::accept_all() {
  constexpr Seconds kPause = 0.1;  // without descriptors left: until some connections may have closed
  const std::size_t kMost = 2 * links_.size() + 4;  // some that have not said who they are
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd) {
      if (sessions_ < kMost) scheduler_.start(session(std::move(fd), -1, ended_));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    const bool none = errno == EAGAIN;
    co_await listener_.came.wait(none ? kNoTime : scheduler_.now() + kPause);
  }
}

// One connection, from the accept or the dial on, until the other side ends it, is silent, or cannot be read.
Task Links::session(Fd fd, int dialled, Event& over) {
  constexpr Seconds kDial = 0.5, kSilence = 2;
  struct Ends {
    std::size_t& sessions;
    Event& over;
    ~Ends() { --sessions, over.set(); }
  } ends{++sessions_, over};
  Stream stream(scheduler_, outbox_, std::move(fd));
  if (dialled >= 0) {
    const bool in_time = co_await stream.writable(scheduler_.now() + kDial);
    if (!in_time || stream.error() != 0) co_return;
  }
  Reader reader(*this, stream, dialled);
  if (dialled >= 0) stream.write(replication::encode_hello(setup_.name));
  for (reader.heard = scheduler_.now();;) {
    const auto came = stream.read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::bytes) {
      if (!reader.take_all()) break;
      continue;
    }
    co_await stream.readable(reader.heard + kSilence);
    if (scheduler_.now() >= reader.heard + kSilence) break;
  }
}

Task Links::dial_on(int peer) {
  constexpr Seconds kPause = 0.2;  // well under a lease, and no load for a router that starts
  Event over(scheduler_), pause(scheduler_);
  for (;;) {
    if (Fd fd = dial(setup_.peers[peer].address)) {
      scheduler_.start(session(std::move(fd), peer, over));
      co_await over.wait();
    }
    co_await pause.wait(scheduler_.now() + kPause);
  }
}

void Links::pull() {
  // Past this the other side does not read: it asks again for what it lacks once it is back.
  constexpr std::size_t kUnread = 4 << 20;
  auto& sync = *purges_.sync();
  const Seconds now = scheduler_.now();
  using Kind = Sync::Send::Kind;
  while (const auto s = sync.next(now)) {
    auto* stream = links_[s->peer].stream;
    if (stream == nullptr) continue;
    if (stream->unsent() > kUnread) {
      stream->close();
      continue;
    }
    stream->write(s->kind == Kind::beat    ? replication::encode_heartbeat(purges_.book(), sync, now, s->echo)
                  : s->kind == Kind::entry ? replication::encode_purge(*s->entry)
                                           : replication::encode_request(s->issuer, s->from));
  }
  const Seconds due = sync.next_due();
  if (due < due_at_) due_at_ = due, due_.set();
}

// Turns come when something does; beats need one when nothing does.
Task Links::keep_time() {
  for (;;) {
    const bool moved = co_await due_.wait(due_at_);
    if (!moved) due_at_ = kNoTime;
  }
}

}  // namespace walkpaddle::fleet
