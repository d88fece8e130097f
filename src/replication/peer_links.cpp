#include "replication/peer_links.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "io/accept_loop.h"
#include "io/read_slice.h"
#include "replication/link_codec.h"

namespace walkpaddle::replication {

using purge::PurgeKind, purge::PurgeReplication, purge::PurgeStamp;

namespace {

constexpr std::size_t kMaxNameBytesShown = 60;

std::string quoted(std::string_view name) {
  return "'" + std::string(name.substr(0, kMaxNameBytesShown)) + "'";
}

}  // namespace

// Handles the messages of one connection. The peer is known from its hello, or beforehand if it was dialled.
struct PeerLinks::Session final : LinkMessageHandler {
  Session(PeerLinks& its_links, Stream& its_stream, std::optional<int> dialled_peer)
      : links(its_links),
        stream(its_stream),
        peer(dialled_peer),
        last_message_at(its_links.scheduler_.now()) {}
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() {
    if (!peer || links.link(*peer).stream != &stream) return;
    links.link(*peer).stream = nullptr;
    replication().disconnected(*peer);
    links.log_("fleet", "{}: connection ended", links.name_of(*peer));
  }

  void hello(int version, std::string_view name) override {
    if (greeted) throw InputError("unexpected second hello");
    if (version < 1) throw_bad_value("version", std::to_string(version));
    const auto sender = links.peer_named(name);
    if (!sender) throw InputError("hello from an unknown router, " + quoted(name));
    if (peer && sender != peer) throw InputError("hello with another router's name, " + quoted(name));
    auto& link = links.link(*sender);
    if (!peer && link.dials)
      throw InputError("connection from a peer that this router dials: " + std::string(name));
    if (link.stream != nullptr) {  // a second connection means that the peer has given up the first
      link.stream->close();
      replication().disconnected(*sender);
    }
    peer = sender;
    greeted = true;
    link.stream = &stream;
    if (!link.dials) stream.write(encode_hello(links.setup_.name));
    replication().connected(*sender);
    links.log_("fleet", "{}: connected", name);
  }

  void heartbeat(Seconds remote_time, Seconds echo, bool complete) override {
    replication().heartbeat_begin(greeted_peer(), remote_time, echo, complete);
  }

  void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t dropped, Seconds evicted_ago) override {
    replication().heartbeat_head(greeted_peer(), issuer, number, dropped, evicted_ago,
                                 links.scheduler_.now());
  }

  void heartbeat_end() override {
    const Seconds now = links.scheduler_.now();
    replication().heartbeat_end(greeted_peer(), now);
    links.purges_.after_input(now);
  }

  void entry(const PurgeStamp& stamp, PurgeKind kind, std::string_view target) override {
    const int sender = greeted_peer();
    const Seconds now = links.scheduler_.now();
    if (links.purges_.add(stamp, kind, target, now) == purge::AddResult::full)
      links.log_("fleet", "{}: rejected a purge because the log is at a limit; it will be requested again",
                 links.name_of(sender));
    replication().entry_added(now);
    links.purges_.after_input(now);
  }

  void request(std::uint64_t issuer, std::uint64_t from_number) override {
    replication().request_received(greeted_peer(), issuer, from_number);
  }

  // Handles the messages received so far, until the slice is over; false if one is malformed.
  bool take_messages(const TimeSlice& slice) {
    try {
      while (!slice.is_over()) {
        const auto used = read_link_message(stream.in(), *this);
        if (used == 0) break;
        stream.consume(used);
        last_message_at = links.scheduler_.now();
      }
      return true;
    } catch (const InputError& e) {
      links.log_("fleet", "{}: {}", peer ? links.name_of(*peer) : "a connection", e.what());
      return false;
    }
  }

  int greeted_peer() const {
    if (!greeted) throw InputError("message before hello");
    return *peer;
  }
  PurgeReplication& replication() const { return *links.purges_.replication(); }

  PeerLinks& links;
  Stream& stream;
  std::optional<int> peer;
  bool greeted = false;
  Seconds last_message_at;
};

PeerLinks::PeerLinks(Scheduler& scheduler, Outbox& outbox, Log& log, purge::PurgeRegistry& purges,
                     const Setup& setup)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      purges_(purges),
      setup_(setup),
      links_(setup.peers.size()),
      busy_tasks_(scheduler),
      listener_(scheduler, listen_on(setup.listen)),
      timer_moved_(scheduler),
      session_ended_(scheduler) {
  scheduler_.start(accept_connections(scheduler_, listener_, busy_tasks_, [this](Fd fd) {
    const std::size_t max_sessions = 2 * links_.size() + 4;  // leaves room for sessions without a hello yet
    if (sessions_ < max_sessions) scheduler_.start(run_session(std::move(fd), std::nullopt, session_ended_));
  }));
  scheduler_.start(run_timer());
  for (int peer = 0; peer < static_cast<int>(links_.size()); ++peer) {
    if (setup_.name >= name_of(peer)) continue;
    link(peer).dials = true;
    scheduler_.start(maintain_connection(peer));
  }
}

std::optional<int> PeerLinks::peer_named(std::string_view name) const {
  const auto it = std::ranges::find(setup_.peers, name, &Peer::name);
  if (it == setup_.peers.end()) return std::nullopt;
  return static_cast<int>(it - setup_.peers.begin());
}

// Runs one connection, accepted or dialled, until the peer closes it, sends nothing for kSilenceTimeout, or
// sends a malformed message.
Task PeerLinks::run_session(Fd fd, std::optional<int> dialled_peer, Event& ended) {
  constexpr Seconds kDialTimeout = 0.5;
  constexpr Seconds kSilenceTimeout = 2;
  struct Count {
    std::size_t& sessions;
    Event& ended;
    ~Count() {
      --sessions;
      ended.set();
    }
  } count{++sessions_, ended};
  Stream stream(scheduler_, outbox_, std::move(fd));
  if (dialled_peer) {
    const bool in_time = co_await stream.writable(scheduler_.now() + kDialTimeout);
    if (!in_time || stream.error() != 0) co_return;
  }
  Session session(*this, stream, dialled_peer);
  if (dialled_peer) stream.write(encode_hello(setup_.name));
  TimeSlice slice(scheduler_, busy_tasks_);
  for (;;) {
    while (slice.must_wait()) co_await slice.next_turn();
    const auto came = read_slice(stream, slice, [&] { return session.take_messages(slice); });
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::bytes) {
      co_await slice.next_turn();
      continue;
    }
    co_await stream.readable(session.last_message_at + kSilenceTimeout);
    if (scheduler_.now() >= session.last_message_at + kSilenceTimeout) break;
  }
}

Task PeerLinks::maintain_connection(int peer) {
  // Well below the default lease, and a negligible load on a peer that is starting.
  constexpr Seconds kRetryPause = 0.2;
  Event ended(scheduler_);
  Event pause(scheduler_);
  for (;;) {
    if (Fd fd = dial(setup_.peers[static_cast<std::size_t>(peer)].address)) {
      scheduler_.start(run_session(std::move(fd), peer, ended));
      co_await ended.wait();
    }
    co_await pause.wait(scheduler_.now() + kRetryPause);
  }
}

void PeerLinks::send(const PurgeReplication::Outgoing& outgoing) {
  // A peer with more unsent bytes than this does not read. The connection is closed; the peer requests what
  // it lacks once it is connected again.
  constexpr std::size_t kMaxUnsentBytes = 4 << 20;
  using Kind = PurgeReplication::Outgoing::Kind;
  auto* stream = link(outgoing.peer).stream;
  if (stream == nullptr) return;
  if (stream->unsent() > kMaxUnsentBytes) return stream->close();
  switch (outgoing.kind) {
    case Kind::heartbeat:
      return stream->write(
          encode_heartbeat(purges_.log(), *purges_.replication(), scheduler_.now(), outgoing.echo));
    case Kind::entry:
      return stream->write(encode_purge(*outgoing.entry));
    case Kind::request:
      return stream->write(encode_request(outgoing.issuer, outgoing.from_number));
  }
}

void PeerLinks::on_turn_end() {
  auto& replication = *purges_.replication();
  const Seconds now = scheduler_.now();
  while (const auto outgoing = replication.next(now)) send(*outgoing);
  const Seconds due = replication.next_due();
  if (due < timer_due_) {
    timer_due_ = due;
    timer_moved_.set();
  }
}

// Makes the scheduler run a turn when a heartbeat is due, even if there is no input.
Task PeerLinks::run_timer() {
  for (;;) {
    const bool moved = co_await timer_moved_.wait(timer_due_);
    if (!moved) timer_due_ = kNoTime;
  }
}

}  // namespace walkpaddle::replication
