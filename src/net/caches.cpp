#include "net/caches.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>

#include "net/resp.h"
#include "settings.h"
#include "text.h"

namespace walkpaddle::net {

struct Connection {
  Connection(Scheduler& scheduler, Outbox& outbox, Fd fd, int m)
      : member(m), stream(scheduler, outbox, std::move(fd)) {}
  const int member;
  Stream stream;
  bool up = false;
  bool silent = false;  // a hop timed out with nothing heard since it was written: no new ones
  guard::EndpointClose closing = guard::EndpointClose::silent;  // why, once it is silent
  std::unordered_map<std::uint64_t, Hop*> open;                 // null: over, an answer may still come
  std::deque<std::uint64_t> over;                               // the latest of these, oldest first
  std::size_t live = 0;                                         // those not given up
  Sec heard = 0, used = 0;
  std::uint64_t answers = 0;  // whole ones that came
};

struct Caches::Peer {
  std::string id;
  Address address;
  Listed state = Listed::gone;
  std::list<Connection*> connections;  // they live in their tasks
  std::size_t dialing = 0;
  bool wants_descriptors = false;  // its dial waits for one: our own want, no sign of its health
  Sec quickest = 0.05;  // least time from a hop to its answer; at first more than any way between machines
  Sec usual = 0.1;      // mean time from a hop to its answer; at first that of a slow server
  std::vector<Hop*> waiting;  // in the order of their coming
};

Hop::Hop(Scheduler& scheduler, Caches& caches, What what)
    : scheduler_(scheduler),
      caches_(caches),
      what_(std::move(what)),
      event_(scheduler),
      started_(scheduler.now()) {
  caches_.start(*this);
}

Hop::~Hop() {
  if (!ended()) caches_.hops_.erase(place_);
  caches_.give_up(*this);
  ended_as(Verdict::called_off);
}

void Hop::ended_as(Verdict verdict) {
  if (!std::exchange(begun_, false)) return;
  caches_.guard_->attempt_ended(*what_.record, verdict, written_at_);
}

void Hop::finish(Verdict verdict) {
  if (!ended()) caches_.hops_.erase(place_);
  ended_as(verdict);
  if (caches_.guard_ != nullptr)
    ++caches_.guard_->counters().attempts_ended[static_cast<std::size_t>(verdict)];
  state_ = State::ended;
  over_ = nullptr;
  end_.verdict = verdict;
  event_.set();
}

namespace {

// A deadline that was written into our own buffer goes stale there. Well under the slack that a server's
// deadline may have (0.15 s, docs/promises.md).
constexpr Sec kUnsent = 0.1;

}  // namespace

bool Hop::nothing_left() const { return state_ == State::written && over_->stream.handed() <= first_byte_; }

Event::Awaiter Hop::wait() {
  if (state_ == State::settling) return event_.wait(settled_at_);
  if (nothing_left()) return event_.wait(std::min(what_.until, written_at_ + kUnsent));
  return event_.wait(state_ == State::waiting
                         ? std::min({what_.until, what_.by, started_ + caches_.dial_within_})
                         : what_.until);
}

void Hop::time_came() {
  const Sec now = scheduler_.now();
  if (state_ == State::settling && now >= settled_at_) {
    caches_.give_up(*this);
    return finish(end_.verdict);
  }
  if (state_ == State::waiting && now >= what_.by) return drop();
  if (state_ == State::waiting && now >= started_ + caches_.dial_within_) {
    caches_.give_up(*this);
    return finish(caches_.peer(what_.member).wants_descriptors ? Verdict::not_sent : Verdict::no_connection);
  }
  if (nothing_left() && now >= written_at_ + kUnsent) {
    over_->silent = true;  // no others wait behind it
    return drop();
  }
  if ((state_ == State::waiting || state_ == State::written) && now >= what_.until)
    settle(Verdict::timed_out);
}

void Hop::wait_again() {
  ended_as(Verdict::not_sent);
  state_ = State::waiting;
  over_ = nullptr;
  caches_.peer(what_.member).waiting.push_back(this);
  event_.set();  // its task waits for another time now
}

void Hop::call_off() { settle(Verdict::called_off); }

void Hop::drop() {
  if (ended()) return;
  const bool unsent = caches_.take_back(*this);
  caches_.give_up(*this);
  finish(unsent ? Verdict::not_sent : Verdict::called_off);
}

void Hop::drop_unsent() {
  if (!ended() && caches_.take_back(*this)) drop();
}

// Guards against two hops of a txn out at once, and against an answer to the first that is taken for the
// second's: what is called off ends only when the word of it must have arrived and what crossed it has come
// back.
void Hop::settle(Verdict verdict) {
  if (ended() || state_ == State::settling) return;
  // Only where an answer had to come by now: a server may drop a request with little time left without a
  // word.
  constexpr double kWellPast = 4;
  // One that is called off may be repeated, so its connection ends in any case: a cancel alone may not arrive
  // there.
  const bool due = verdict != Verdict::timed_out || !what_.last ||
                   scheduler_.now() - written_at_ > kWellPast * caches_.peer(what_.member).usual;
  if (state_ == State::written && due && over_->heard <= written_at_) over_->silent = true;
  if (caches_.take_back(*this)) return drop();
  if (verdict == Verdict::timed_out && what_.last) {
    caches_.give_up(*this);
    return finish(verdict);
  }
  caches_.cancel(*this);
  end_.verdict = verdict;
  settled_at_ = scheduler_.now() + 2 * caches_.peer(what_.member).quickest;
  state_ = State::settling;
  event_.set();  // its task waits for another time now
}

Caches::Caches(Scheduler& scheduler, Outbox& outbox, Log& log, std::size_t most_connections,
               int hops_a_connection, Sec dial_within, Sec closed_when_idle, bool cancels)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      most_connections_(most_connections),
      hops_a_connection_(std::max(1, hops_a_connection)),
      dial_within_(dial_within),
      idle_(closed_when_idle * 0.6),  // well before the other side, so that no hop crosses its close
      cancels_(cancels) {}

Caches::~Caches() = default;

int Caches::member(std::string_view id) {
  const auto [it, fresh] = index_.try_emplace(std::string(id), static_cast<int>(peers_.size()));
  if (fresh) {
    peers_.push_back(std::make_unique<Peer>());
    peers_.back()->id = id;
  }
  return it->second;
}

std::string_view Caches::id(int member) const { return peer(member).id; }
const Address& Caches::address(int member) const { return peer(member).address; }
bool Caches::listed_ready(int member) const { return peer(member).state == Listed::ready; }

int Caches::known(std::string_view id) const {
  const auto it = index_.find(std::string(id));
  return it == index_.end() ? -1 : it->second;
}

template <class F>
void Caches::drop_unsent(F&& concerned) {
  const std::vector<Hop*> hops(hops_.begin(), hops_.end());
  for (auto* hop : hops)
    if (concerned(*hop)) hop->drop_unsent();
}

void Caches::told(int member, const Address& address, Listed state) {
  auto& p = peer(member);
  if (p.address != address || state == Listed::gone)  // what runs goes on; new hops use new connections
    for (auto* c : p.connections) {
      c->silent = true, c->closing = guard::EndpointClose::moved_or_gone;
      if (c->up && c->live == 0) c->stream.close();
    }
  p.address = address;
  p.state = state;
  if (state != Listed::ready)
    drop_unsent([&](const Hop& h) { return h.what_.member == member || h.what_.source == member; });
}

bool Caches::command(int member, std::string_view text) {
  auto& p = peer(member);
  if (p.state == Listed::gone) return false;
  for (auto* c : p.connections)
    if (c->up && !c->silent) return c->stream.write(text), true;
  if (p.dialing == 0) scheduler_.start_isolated(connection(member));
  return false;
}

void Caches::start(Hop& hop) {
  auto& p = peer(hop.what_.member);
  hop.place_ = hops_.insert(hops_.end(), &hop);
  p.waiting.push_back(&hop);
  place(p);
  if (!hop.ended() && hop.state_ == Hop::State::waiting) dial_for(hop.what_.member);
}

// Gives waiting hops to the connections that have room, to the one with the fewest. Where that has some
// already, another is dialled for those to come: what spoils one answer costs all that share its connection.
void Caches::place(Peer& p) {
  constexpr std::size_t kMostSpread = 24;  // connections of one peer that are dialled while others have room
  bool crowded = false;
  for (auto it = p.waiting.begin(); it != p.waiting.end();) {
    auto* hop = *it;
    Connection* best = nullptr;
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
bool Caches::may_write(Hop& hop, const Connection& c, Sec deadline) {
  const auto& w = hop.what_;
  if (guard_ == nullptr || w.record == nullptr) return true;
  const guard::AttemptFacts facts{.endpoint = peer(w.member).state,
                                  .source = w.source >= 0 ? peer(w.source).state : Listed::ready,
                                  .connection_ended = !c.stream.writable_still(),
                                  .deadline = deadline,
                                  .copies_since = w.copies_since};
  hop.begun_ = guard_->may_begin(*w.record, facts, scheduler_.now()) == guard::Invariant::none;
  return hop.begun_;
}

void Caches::closed_as(guard::EndpointClose why) {
  if (guard_ != nullptr) guard_->counters().closed(why);
}

void Caches::write(Hop& hop, Connection& c) {
  const Sec now = scheduler_.now();
  const auto& w = hop.what_;
  // Down to whole milliseconds: never longer than the txn has.
  const auto limit = std::max(1L, static_cast<long>(std::floor((w.until - scheduler_.now_exactly()) * 1e3)));
  if (!may_write(hop, c, static_cast<Sec>(limit) / 1e3)) return hop.finish(Verdict::not_sent);
  hop.first_byte_ = c.stream.written();
  c.stream.write(words_text({"serve", w.id_text, w.fields + ",limit=" + std::to_string(limit), w.body}));
  c.open[w.id] = &hop;
  ++c.live;
  c.used = now;
  hop.over_ = &c;
  hop.state_ = Hop::State::written;
  hop.written_at_ = now;
  hop.last_byte_ = c.stream.written();
  hop.event_.set();  // its task waits for another time now
}

void Caches::give_up(Hop& hop) {
  if (hop.state_ == Hop::State::waiting) std::erase(peer(hop.what_.member).waiting, &hop);
  if (hop.over_ == nullptr) return;
  auto& c = *hop.over_;
  if (hop.state_ == Hop::State::written) cancel(hop);
  over_at(c, hop, hop.state_ == Hop::State::written);
  --c.live;
  hop.over_ = nullptr;
  if (c.silent && c.live == 0) c.stream.close();
}

// Guards against an answer that comes late, or twice, and is taken for that of the txn's next hop: where one
// may come, or would make an effect happen twice, no other hop of the txn goes over this connection. Others
// may: a dial and a place at the peer for each cost more than a hop that ends too soon.
void Caches::over_at(Connection& c, const Hop& hop, bool may_answer) {
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
bool Caches::take_back(Hop& hop) {
  if (hop.state_ == Hop::State::waiting) return true;
  if (hop.state_ != Hop::State::written) return false;
  auto& c = *hop.over_;
  if (!c.stream.take_back(hop.first_byte_, hop.last_byte_)) return false;
  const auto bytes = hop.last_byte_ - hop.first_byte_;
  c.open.erase(hop.what_.id);
  for (auto& [id, other] : c.open)
    if (other != nullptr && other->first_byte_ >= hop.last_byte_)
      other->first_byte_ -= bytes, other->last_byte_ -= bytes;
  --c.live;
  hop.over_ = nullptr;
  hop.state_ = Hop::State::waiting;
  hop.ended_as(Verdict::not_sent);
  if (c.silent && c.live == 0) c.stream.close();
  return true;
}

void Caches::cancel(Hop& hop) {
  if (cancels_) hop.over_->stream.write(words_text({"cancel", hop.what_.id_text}));
}

// As many connections on their way as the waiting hops fill.
void Caches::dial_for(int member) {
  auto& p = peer(member);
  const auto wanted = (p.waiting.size() + hops_a_connection_ - 1) / hops_a_connection_;
  for (auto more = wanted; more > p.dialing && !p.waiting.empty(); --more)
    scheduler_.start_isolated(connection(member));
}

void Caches::dial_failed(Peer& p, std::string_view why, guard::EndpointClose reason) {
  closed_as(reason);
  log_("connect", "{} at {}: {}", p.id, text_of(p.address), why);
  if (p.dialing > 0 || std::ranges::any_of(p.connections, [](auto* c) { return c->up && !c->silent; }))
    return;
  for (auto* hop : std::exchange(p.waiting, {})) hop->finish(Verdict::no_connection);
}

// With all places taken, an idle connection to another peer goes: its descriptor is free at the turn's end.
bool Caches::make_room() {
  Connection* first = nullptr;
  for (auto* c : all_connections_)
    if (c->up && !c->silent && c->live == 0 && (first == nullptr || c->used < first->used)) first = c;
  if (first != nullptr) {
    first->silent = true, first->closing = guard::EndpointClose::made_room;
    first->stream.close();
  }
  return first != nullptr;
}

Task Caches::connection(int member) {
  constexpr Sec kPause = 0.02;  // without a descriptor: until some connections may have closed
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
  Connection c(scheduler_, outbox_, std::move(fd), member);
  struct Place {
    Caches& caches;
    Peer& peer;
    Connection& connection;
    std::list<Connection*>::iterator at, among_all;
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
  constexpr Sec kRest = 0.4;
  constexpr std::size_t kLeast = 1024;
  Sec moved = c.heard;       // when the answer that has begun last moved on
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
    const Sec until = begun        ? moved + kRest
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
    if (hop->state_ == Hop::State::written && c.stream.handed() <= hop->first_byte_)
      hop->wait_again();
    else
      hop->finish(hop->state_ == Hop::State::settling    ? hop->end_.verdict
                  : c.stream.handed() >= hop->last_byte_ ? Verdict::broken
                                                         : Verdict::no_connection);
  }
  if (!p.waiting.empty()) dial_for(member);
}

bool Caches::take_answers(Connection& c) {
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
  } catch (const Malformed& e) {
    log_("answer", "{}", e.what());
    return false;
  }
}

void Caches::answer(Connection& c, const std::vector<std::string_view>& words) {
  if (words.size() < 2) bad("answer", "");
  if (commands_ != nullptr && words[0] == "purges") return commands_->command_answered(c.member, words);
  const auto id = parse<std::uint64_t>(words[0], "id", 16);
  const auto verdict = choose<int>(words[1],
                                   {{"served", static_cast<int>(Verdict::completed)},
                                    {"still_good", static_cast<int>(Verdict::completed)},
                                    {"not_here", static_cast<int>(Verdict::lacking)},
                                    {"overload", static_cast<int>(Verdict::not_taken)},
                                    {"crashed", static_cast<int>(Verdict::error)},
                                    {"nobody", static_cast<int>(Verdict::not_sent)}},
                                   -1);
  if (verdict < 0) bad("answer", words[1]);
  const auto fields = words.size() > 2 ? words[2] : std::string_view();
  const auto note = choose<Note>(field(fields, "tell").value_or(""),
                                 {{"mem", Note::hit},
                                  {"parent", Note::filled},
                                  {"origin", Note::by_origin},
                                  {"shared", Note::joined},
                                  {"old", Note::old_copy},
                                  {"denied", Note::source_refused},
                                  {"unreached", Note::source_unreached},
                                  {"absent", Note::source_lacks},
                                  {"crowded", Note::no_fill_place},
                                  {"behind", Note::origin_failed}},
                                 Note::none);
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
  const Sec took = scheduler_.now() - hop->written_at_;
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
    while (!tags->empty() && end.tags.size() < kMostTags) end.tags.push_back(stable_hash(cut(*tags, '+')));
  }
  if (words.size() > 3) end.body = words[3];
  hop->finish(static_cast<Verdict>(verdict));
}

}  // namespace walkpaddle::net
