#include "net/upstream_pool.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>

#include "base/text.h"
#include "config/settings.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

struct UpstreamConnection {
  UpstreamConnection(Scheduler& scheduler, Outbox& outbox, Fd fd, int m)
      : member(m), stream(scheduler, outbox, std::move(fd)) {}
  const int member;
  Stream stream;
  bool up = false;
  bool silent = false;  // a hop timed out with nothing heard since it was written: no new ones
  guard::EndpointClose closing = guard::EndpointClose::silent;  // why, once it is silent
  std::unordered_map<std::uint64_t, Attempt*> open;             // null: over, an answer may still come
  std::deque<std::uint64_t> over;                               // the latest of these, oldest first
  std::size_t live = 0;                                         // those not given up
  Seconds heard = 0, used = 0;
  std::uint64_t answers = 0;  // whole ones that came
};

struct UpstreamPool::Peer {
  std::string id;
  Address address;
  EndpointState state = EndpointState::gone;
  std::list<UpstreamConnection*> connections;  // they live in their tasks
  std::size_t dialing = 0;
  bool wants_descriptors = false;  // its dial waits for one: our own want, no sign of its health
  Seconds quickest =
      0.05;             // least time from a hop to its answer; at first more than any way between machines
  Seconds usual = 0.1;  // mean time from a hop to its answer; at first that of a slow server
  std::vector<Attempt*> waiting;  // in the order of their coming
};

Attempt::Attempt(Scheduler& scheduler, UpstreamPool& caches, What what)
    : scheduler_(scheduler),
      upstream_(caches),
      what_(std::move(what)),
      event_(scheduler),
      started_(scheduler.now()) {
  upstream_.start(*this);
}

Attempt::~Attempt() {
  if (!ended()) upstream_.hops_.erase(place_);
  upstream_.give_up(*this);
  ended_as(AttemptOutcome::cancelled);
}

void Attempt::ended_as(AttemptOutcome verdict) {
  if (!std::exchange(begun_, false)) return;
  upstream_.guard_->attempt_ended(*what_.record, verdict, written_at_);
}

void Attempt::finish(AttemptOutcome verdict) {
  if (!ended()) upstream_.hops_.erase(place_);
  ended_as(verdict);
  if (upstream_.guard_ != nullptr)
    ++upstream_.guard_->counters().attempts_ended[static_cast<std::size_t>(verdict)];
  state_ = State::ended;
  over_ = nullptr;
  end_.verdict = verdict;
  event_.set();
}

namespace {

// A deadline that was written into our own buffer goes stale there. Well under the slack that a server's
// deadline may have (0.15 s, docs/promises.md).
constexpr Seconds kUnsent = 0.1;

}  // namespace

bool Attempt::nothing_left() const {
  return state_ == State::written && over_->stream.handed() <= first_byte_;
}

Event::Awaiter Attempt::wait() {
  if (state_ == State::settling) return event_.wait(settled_at_);
  if (nothing_left()) return event_.wait(std::min(what_.until, written_at_ + kUnsent));
  return event_.wait(state_ == State::waiting
                         ? std::min({what_.until, what_.by, started_ + upstream_.dial_within_})
                         : what_.until);
}

void Attempt::time_came() {
  const Seconds now = scheduler_.now();
  if (state_ == State::settling && now >= settled_at_) {
    upstream_.give_up(*this);
    return finish(end_.verdict);
  }
  if (state_ == State::waiting && now >= what_.by) return drop();
  if (state_ == State::waiting && now >= started_ + upstream_.dial_within_) {
    upstream_.give_up(*this);
    return finish(upstream_.peer(what_.member).wants_descriptors ? AttemptOutcome::not_sent
                                                                 : AttemptOutcome::unreachable);
  }
  if (nothing_left() && now >= written_at_ + kUnsent) {
    over_->silent = true;  // no others wait behind it
    return drop();
  }
  if ((state_ == State::waiting || state_ == State::written) && now >= what_.until)
    settle(AttemptOutcome::timed_out);
}

void Attempt::wait_again() {
  ended_as(AttemptOutcome::not_sent);
  state_ = State::waiting;
  over_ = nullptr;
  upstream_.peer(what_.member).waiting.push_back(this);
  event_.set();  // its task waits for another time now
}

void Attempt::call_off() { settle(AttemptOutcome::cancelled); }

void Attempt::drop() {
  if (ended()) return;
  const bool unsent = upstream_.take_back(*this);
  upstream_.give_up(*this);
  finish(unsent ? AttemptOutcome::not_sent : AttemptOutcome::cancelled);
}

void Attempt::drop_unsent() {
  if (!ended() && upstream_.take_back(*this)) drop();
}

// Guards against two hops of a txn out at once, and against an answer to the first that is taken for the
// second's: what is called off ends only when the word of it must have arrived and what crossed it has come
// back.
void Attempt::settle(AttemptOutcome verdict) {
  if (ended() || state_ == State::settling) return;
  // Only where an answer had to come by now: a server may drop a request with little time left without a
  // word.
  constexpr double kWellPast = 4;
  // One that is called off may be repeated, so its connection ends in any case: a cancel alone may not arrive
  // there.
  const bool due = verdict != AttemptOutcome::timed_out || !what_.last ||
                   scheduler_.now() - written_at_ > kWellPast * upstream_.peer(what_.member).usual;
  if (state_ == State::written && due && over_->heard <= written_at_) over_->silent = true;
  if (upstream_.take_back(*this)) return drop();
  if (verdict == AttemptOutcome::timed_out && what_.last) {
    upstream_.give_up(*this);
    return finish(verdict);
  }
  upstream_.cancel(*this);
  end_.verdict = verdict;
  settled_at_ = scheduler_.now() + 2 * upstream_.peer(what_.member).quickest;
  state_ = State::settling;
  event_.set();  // its task waits for another time now
}

UpstreamPool::UpstreamPool(Scheduler& scheduler, Outbox& outbox, Log& log, std::size_t most_connections,
                           int hops_a_connection, Seconds dial_within, Seconds closed_when_idle, bool cancels)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      most_connections_(most_connections),
      hops_a_connection_(std::max(1, hops_a_connection)),
      dial_within_(dial_within),
      idle_(closed_when_idle * 0.6),  // well before the other side, so that no hop crosses its close
      cancels_(cancels) {}

UpstreamPool::~UpstreamPool() = default;

int UpstreamPool::member(std::string_view id) {
  const auto [it, fresh] = index_.try_emplace(std::string(id), static_cast<int>(peers_.size()));
  if (fresh) {
    peers_.push_back(std::make_unique<Peer>());
    peers_.back()->id = id;
  }
  return it->second;
}

std::string_view UpstreamPool::id(int member) const { return peer(member).id; }
const Address& UpstreamPool::address(int member) const { return peer(member).address; }
bool UpstreamPool::listed_ready(int member) const { return peer(member).state == EndpointState::ready; }

int UpstreamPool::known(std::string_view id) const {
  const auto it = index_.find(std::string(id));
  return it == index_.end() ? -1 : it->second;
}

template <class F>
void UpstreamPool::drop_unsent(F&& concerned) {
  const std::vector<Attempt*> hops(hops_.begin(), hops_.end());
  for (auto* hop : hops)
    if (concerned(*hop)) hop->drop_unsent();
}

void UpstreamPool::told(int member, const Address& address, EndpointState state) {
  auto& p = peer(member);
  if (p.address != address ||
      state == EndpointState::gone)  // what runs goes on; new hops use new connections
    for (auto* c : p.connections) {
      c->silent = true, c->closing = guard::EndpointClose::moved_or_gone;
      if (c->up && c->live == 0) c->stream.close();
    }
  p.address = address;
  p.state = state;
  if (state != EndpointState::ready)
    drop_unsent([&](const Attempt& h) { return h.what_.member == member || h.what_.source == member; });
}

bool UpstreamPool::command(int member, std::string_view text) {
  auto& p = peer(member);
  if (p.state == EndpointState::gone) return false;
  for (auto* c : p.connections)
    if (c->up && !c->silent) return c->stream.write(text), true;
  if (p.dialing == 0) scheduler_.start_isolated(connection(member));
  return false;
}

void UpstreamPool::start(Attempt& hop) {
  auto& p = peer(hop.what_.member);
  hop.place_ = hops_.insert(hops_.end(), &hop);
  p.waiting.push_back(&hop);
  place(p);
  if (!hop.ended() && hop.state_ == Attempt::State::waiting) dial_for(hop.what_.member);
}

// Gives waiting hops to the connections that have room, to the one with the fewest. Where that has some
// already, another is dialled for those to come: what spoils one answer costs all that share its connection.
void UpstreamPool::place(Peer& p) {
  constexpr std::size_t kMostSpread = 24;  // connections of one peer that are dialled while others have room
  bool crowded = false;
  for (auto it = p.waiting.begin(); it != p.waiting.end();) {
    auto* hop = *it;
    UpstreamConnection* best = nullptr;
    for (auto* c : p.connections)
      if (c->up && !c->silent && c->stream.writable_still() && c->live < hops_a_connection_ &&
          !c->open.contains(hop->what_.id) && (best == nullptr || c->live < best->live))
        best = c;
    if (best == nullptr) {
      ++it;
      continue;
    }
    // Guards against a hop that is written after the other side's end, and may then have run.
    if (best->live == 0 && best->stream.ended()) {
      best->silent = true, best->closing = guard::EndpointClose::by_endpoint;
      best->stream.close();
      continue;
    }
    crowded = crowded || best->live > 0;
    it = p.waiting.erase(it);
    write(*hop, *best);
  }
  const bool room = p.connections.size() < kMostSpread && connections_ < most_connections_ * 3 / 4;
  if (crowded && room && p.dialing == 0) scheduler_.start_isolated(connection(index_.at(p.id)));
}

// Asked last before the bytes go: whatever was decided before them may have been overtaken.
bool UpstreamPool::may_write(Attempt& hop, const UpstreamConnection& c, Seconds deadline) {
  const auto& w = hop.what_;
  if (guard_ == nullptr || w.record == nullptr) return true;
  const guard::AttemptFacts facts{.endpoint = peer(w.member).state,
                                  .source = w.source >= 0 ? peer(w.source).state : EndpointState::ready,
                                  .connection_ended = !c.stream.writable_still(),
                                  .deadline = deadline,
                                  .copies_made_since = w.copies_made_since};
  hop.begun_ = guard_->may_begin(*w.record, facts, scheduler_.now()) == guard::Invariant::none;
  return hop.begun_;
}

void UpstreamPool::closed_as(guard::EndpointClose why) {
  if (guard_ != nullptr) guard_->counters().closed(why);
}

void UpstreamPool::write(Attempt& hop, UpstreamConnection& c) {
  const Seconds now = scheduler_.now();
  const auto& w = hop.what_;
  // Down to whole milliseconds: never longer than the txn has.
  const auto limit = std::max(1L, static_cast<long>(std::floor((w.until - scheduler_.now_exactly()) * 1e3)));
  if (!may_write(hop, c, static_cast<Seconds>(limit) / 1e3)) return hop.finish(AttemptOutcome::not_sent);
  hop.first_byte_ = c.stream.written();
  c.stream.write(words_text({"serve", w.id_text, w.fields + ",limit=" + std::to_string(limit), w.body}));
  c.open[w.id] = &hop;
  ++c.live;
  c.used = now;
  hop.over_ = &c;
  hop.state_ = Attempt::State::written;
  hop.written_at_ = now;
  hop.last_byte_ = c.stream.written();
  hop.event_.set();  // its task waits for another time now
}

void UpstreamPool::give_up(Attempt& hop) {
  if (hop.state_ == Attempt::State::waiting) std::erase(peer(hop.what_.member).waiting, &hop);
  if (hop.over_ == nullptr) return;
  auto& c = *hop.over_;
  if (hop.state_ == Attempt::State::written) cancel(hop);
  over_at(c, hop, hop.state_ == Attempt::State::written);
  --c.live;
  hop.over_ = nullptr;
  if (c.silent && c.live == 0) c.stream.close();
}

// Guards against an answer that comes late, or twice, and is taken for that of the txn's next hop: where one
// may come, or would make an effect happen twice, no other hop of the txn goes over this connection. Others
// may: a dial and a place at the peer for each cost more than a hop that ends too soon.
void UpstreamPool::over_at(UpstreamConnection& c, const Attempt& hop, bool may_answer) {
  constexpr std::size_t kCrossing = 64;  // more than can be over in the time of one way and back
  const auto id = hop.what_.id;
  c.open.erase(id);
  if (!may_answer && !hop.what_.effect) return;
  c.open[id] = nullptr;
  c.over.push_back(id);
  if (c.over.size() <= kCrossing) return;
  if (const auto it = c.open.find(c.over.front()); it != c.open.end() && it->second == nullptr)
    c.open.erase(it);
  c.over.pop_front();
}

// Guards against a hop that waits for a peer that reads nothing, and reaches it when its client has long
// left, its member drains or its window is over: of what the kernel has not taken, nothing was sent.
bool UpstreamPool::take_back(Attempt& hop) {
  if (hop.state_ == Attempt::State::waiting) return true;
  if (hop.state_ != Attempt::State::written) return false;
  auto& c = *hop.over_;
  if (!c.stream.take_back(hop.first_byte_, hop.last_byte_)) return false;
  const auto bytes = hop.last_byte_ - hop.first_byte_;
  c.open.erase(hop.what_.id);
  for (auto& [id, other] : c.open)
    if (other != nullptr && other->first_byte_ >= hop.last_byte_)
      other->first_byte_ -= bytes, other->last_byte_ -= bytes;
  --c.live;
  hop.over_ = nullptr;
  hop.state_ = Attempt::State::waiting;
  hop.ended_as(AttemptOutcome::not_sent);
  if (c.silent && c.live == 0) c.stream.close();
  return true;
}

void UpstreamPool::cancel(Attempt& hop) {
  if (cancels_) hop.over_->stream.write(words_text({"cancel", hop.what_.id_text}));
}

// As many connections on their way as the waiting hops fill.
void UpstreamPool::dial_for(int member) {
  auto& p = peer(member);
  const auto wanted = (p.waiting.size() + hops_a_connection_ - 1) / hops_a_connection_;
  for (auto more = wanted; more > p.dialing && !p.waiting.empty(); --more)
    scheduler_.start_isolated(connection(member));
}

void UpstreamPool::dial_failed(Peer& p, std::string_view why, guard::EndpointClose reason) {
  closed_as(reason);
  log_("connect", "{} at {}: {}", p.id, text_of(p.address), why);
  if (p.dialing > 0 || std::ranges::any_of(p.connections, [](auto* c) { return c->up && !c->silent; }))
    return;
  for (auto* hop : std::exchange(p.waiting, {})) hop->finish(AttemptOutcome::unreachable);
}

// With all places taken, an idle connection to another peer goes: its descriptor is free at the turn's end.
bool UpstreamPool::make_room() {
  UpstreamConnection* first = nullptr;
  for (auto* c : all_connections_)
    if (c->up && !c->silent && c->live == 0 && (first == nullptr || c->used < first->used)) first = c;
  if (first != nullptr) {
    first->silent = true, first->closing = guard::EndpointClose::made_room;
    first->stream.close();
  }
  return first != nullptr;
}

Task UpstreamPool::connection(int member) {
  constexpr Seconds kPause = 0.02;  // without a descriptor: until some connections may have closed
  auto& p = peer(member);
  struct Count {
    std::size_t &all, &dialing;
    bool held = false, up = false;
    void hold() { held = true, ++all; }
    void is_up() { up = true, --dialing; }
    ~Count() { all -= held, dialing -= !up; }
  } count{connections_, ++p.dialing};
  // Guards against connections that take the descriptors of clients and of the bus: past their part of them
  // a dial waits until one is free.
  Fd fd;
  for (;;) {
    const bool room = connections_ < most_connections_ || make_room();
    if (room) fd = dial(p.address);
    const int why = room ? errno : EMFILE;
    if (fd) break;
    if (!is_own_want(why)) {
      p.wants_descriptors = false;
      count.is_up();
      dial_failed(p, std::strerror(why), guard::EndpointClose::refused);
      co_return;
    }
    log_("connect", "{} at {}: {}, {} connections", p.id, text_of(p.address), std::strerror(why),
         connections_);
    p.wants_descriptors = true;
    if (room) make_room();
    Event pause(scheduler_);
    co_await pause.wait(scheduler_.now() + kPause);
    if (p.waiting.empty()) {
      p.wants_descriptors = false;
      co_return;
    }
  }
  p.wants_descriptors = false;
  count.hold();
  UpstreamConnection c(scheduler_, outbox_, std::move(fd), member);
  struct Place {
    UpstreamPool& caches;
    Peer& peer;
    UpstreamConnection& connection;
    std::list<UpstreamConnection*>::iterator at, among_all;
    ~Place() {  // also when the task is dropped before those of its hops
      for (const auto& [id, hop] : connection.open)
        if (hop != nullptr) hop->over_ = nullptr;
      peer.connections.erase(at);
      caches.all_connections_.erase(among_all);
    }
  } place_in_list{*this, p, c, p.connections.insert(p.connections.end(), &c),
                  all_connections_.insert(all_connections_.end(), &c)};
  const bool in_time = co_await c.stream.writable(scheduler_.now() + dial_within_);
  count.is_up();
  if (const int error = c.stream.error(); !in_time || error != 0) {
    dial_failed(p, in_time ? std::strerror(error) : "not up in time",
                in_time ? guard::EndpointClose::refused : guard::EndpointClose::not_up_in_time);
    co_return;
  }
  if (c.silent) {  // moved or gone meanwhile: those that wait go by what is listed now
    closed_as(guard::EndpointClose::moved_or_gone);
    if (!p.waiting.empty()) dial_for(member);
    co_return;
  }
  c.up = true;
  c.heard = c.used = scheduler_.now();
  place(p);
  // Bytes of one answer follow each other within a round trip; where they stop, or trickle, nothing on this
  // connection will be answered any more. A hundredth of a usual transfer's pace brings more than kLeast.
  constexpr Seconds kRest = 0.4;
  constexpr std::size_t kLeast = 1024;
  Seconds moved = c.heard;   // when the answer that has begun last moved on
  std::size_t moved_at = 0;  // with so much of it held
  std::string_view why = "closed by the other side";
  auto reason = guard::EndpointClose::by_endpoint;
  for (;;) {
    const bool resting = c.stream.in().empty();
    const auto answers = c.answers;
    const auto came = c.stream.read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::bytes) {
      c.heard = scheduler_.now();
      if (!take_answers(c)) {
        why = "an answer that cannot be read", reason = guard::EndpointClose::answer_unusable;
        break;
      }
      if (const auto held = c.stream.in().size();
          resting || c.answers != answers || held >= moved_at + kLeast)
        moved = c.heard, moved_at = held;
      if (!c.stream.in().empty() && c.heard >= moved + kRest) {
        why = "an answer that trickles", reason = guard::EndpointClose::answer_trickles;
        break;
      }
      place(p);
      continue;
    }
    const bool begun = !c.stream.in().empty();
    const Seconds until = begun        ? moved + kRest
                          : c.live > 0 ? kNoTime
                                       : std::max(c.used + idle_, scheduler_.now() + 0.1);
    const bool told = co_await c.stream.readable(until);
    if (told) continue;
    if (begun && scheduler_.now() >= moved + kRest) {
      why = "an answer that stopped midway", reason = guard::EndpointClose::answer_stopped;
      break;
    }
    if (c.live == 0 && scheduler_.now() >= c.used + idle_) {
      why = "", reason = guard::EndpointClose::idle;
      break;
    }
  }
  c.up = false;
  closed_as(c.silent ? c.closing : reason);
  if (commands_ != nullptr) commands_->connection_lost(member);
  if (!why.empty() && c.live > 0) log_("connection", "{}: {}, {} hops out", p.id, why, c.live);
  // A hop of which nothing has left waits again. Guards against a close that follows an answer: the member
  // had room for the next hop on this connection, and would look as if nobody were there.
  for (auto& [id, hop] : std::exchange(c.open, {})) {
    if (hop == nullptr) continue;
    if (hop->state_ == Attempt::State::written && c.stream.handed() <= hop->first_byte_)
      hop->wait_again();
    else
      hop->finish(hop->state_ == Attempt::State::settling ? hop->end_.verdict
                  : c.stream.handed() >= hop->last_byte_  ? AttemptOutcome::connection_broken
                                                          : AttemptOutcome::unreachable);
  }
  if (!p.waiting.empty()) dial_for(member);
}

bool UpstreamPool::take_answers(UpstreamConnection& c) {
  constexpr std::size_t kMostWords = 8, kMostBytes = 248'000;  // the largest object, and fields
  Words answer_words;
  try {
    for (;;) {
      read_words(c.stream.in(), kMostWords, kMostBytes, answer_words);
      if (answer_words.used == 0) return true;
      answer(c, answer_words.words);
      c.stream.consume(answer_words.used);
      ++c.answers;
    }
  } catch (const InputError& e) {
    log_("answer", "{}", e.what());
    return false;
  }
}

void UpstreamPool::answer(UpstreamConnection& c, const std::vector<std::string_view>& words) {
  if (words.size() < 2) throw_bad_value("answer", "");
  if (commands_ != nullptr && words[0] == "purges") return commands_->command_answered(c.member, words);
  const auto id = parse<std::uint64_t>(words[0], "id", 16);
  const auto verdict = value_of_name<int>(words[1],
                                          {{"served", static_cast<int>(AttemptOutcome::served)},
                                           {"still_good", static_cast<int>(AttemptOutcome::served)},
                                           {"not_here", static_cast<int>(AttemptOutcome::not_cached)},
                                           {"overload", static_cast<int>(AttemptOutcome::rejected)},
                                           {"crashed", static_cast<int>(AttemptOutcome::error)},
                                           {"nobody", static_cast<int>(AttemptOutcome::not_sent)}},
                                          -1);
  if (verdict < 0) throw_bad_value("answer", words[1]);
  const auto fields = words.size() > 2 ? words[2] : std::string_view();
  const auto note = value_of_name<FillOutcome>(field(fields, "tell").value_or(""),
                                               {{"mem", FillOutcome::hit},
                                                {"parent", FillOutcome::filled},
                                                {"origin", FillOutcome::from_origin},
                                                {"shared", FillOutcome::coalesced},
                                                {"old", FillOutcome::stale_copy},
                                                {"denied", FillOutcome::source_rejected},
                                                {"unreached", FillOutcome::source_unreachable},
                                                {"absent", FillOutcome::source_not_cached},
                                                {"crowded", FillOutcome::no_fill_capacity},
                                                {"behind", FillOutcome::origin_failed}},
                                               FillOutcome::none);
  constexpr std::size_t kMostTags = 32;  // more than are remembered of an object
  const auto age_text = field(fields, "age");
  const double age = age_text ? std::max(0.0, parse<double>(*age_text, "age") / 1e3) : -1;
  const auto etag = field(fields, "etag").value_or("");
  const auto it = c.open.find(id);
  if (it == c.open.end()) return;
  auto* hop = it->second;
  c.used = scheduler_.now();
  if (hop == nullptr) return;
  over_at(c, *hop, false);
  --c.live;
  hop->over_ = nullptr;
  constexpr double kLately = 0.1;  // of ten answers
  auto& at = peer(hop->what_.member);
  const Seconds took = scheduler_.now() - hop->written_at_;
  at.quickest = std::min(at.quickest, took);
  at.usual += (took - at.usual) * kLately;
  auto& end = hop->end_;
  end.note = note;
  end.told = told_by(fields);
  end.still_good = words[1] == "still_good";
  end.etag = etag;
  end.age = age;
  if (auto tags = field(fields, "tags")) {
    end.tags_told = true;
    while (!tags->empty() && end.tags.size() < kMostTags)
      end.tags.push_back(stable_hash(take_field(*tags, '+')));
  }
  if (words.size() > 3) end.body = words[3];
  hop->finish(static_cast<AttemptOutcome>(verdict));
}

}  // namespace walkpaddle::net
