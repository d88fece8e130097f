#include "change/rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "base/text.h"
#include "change/change.capnp.h"
#include "replica/capnp_message.h"

namespace walkpaddle::change {

namespace {

using freeze::Act, freeze::Answer, freeze::Overtaken;
using replica::message_bytes;

constexpr std::size_t kLongestName = 64, kLongestWhy = 200, kMostSaid = 64;
constexpr std::uint64_t kRouters = 1024;  // a term is a count and who asks: no two ask for the same
constexpr Seconds kNever = 1e15;

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()) | 1; }

std::string item_of(const Document& d) {
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initDocument();
  b.setName(d.name.c_str()), b.setWork(d.work), b.setBefore(d.before.c_str()), b.setAfter(d.after.c_str());
  b.setBy(d.by.c_str()), b.setBody(d.body.c_str()), b.setTxns(d.txns);
  auto stages = b.initStages(static_cast<unsigned>(d.stages.size()));
  for (unsigned n = 0; n < d.stages.size(); ++n) stages.set(n, d.stages[n]);
  b.setLeastS(d.least), b.setLongestS(d.longest), b.setWarmUpS(d.warm_up), b.setReadyInS(d.ready_in);
  b.setAtOnce(d.at_once), b.setHarm(d.harm), b.setRatio(d.ratio);
  return message_bytes(message);
}

Document document_of(const schema::Document::Reader& b) {
  Document d{.name = b.getName(),
             .work = b.getWork(),
             .before = b.getBefore(),
             .after = b.getAfter(),
             .by = b.getBy(),
             .body = b.getBody(),
             .stages = {},
             .txns = b.getTxns(),
             .least = b.getLeastS(),
             .longest = b.getLongestS(),
             .warm_up = b.getWarmUpS(),
             .ready_in = b.getReadyInS(),
             .at_once = b.getAtOnce(),
             .harm = b.getHarm(),
             .ratio = b.getRatio()};
  for (const double s : b.getStages()) d.stages.push_back(s);
  if (const auto why = refusal(d); !why.empty()) throw InputError("a change: " + why);
  return d;
}

void put(schema::Counters::Builder b, const Counters& c) {
  b.setEpoch(c.epoch), b.setTxns(c.txns), b.setRefused(c.refused), b.setFailed(c.failed), b.setLate(c.late);
  b.setHops(c.hops), b.setFills(c.fills), b.setTurnedAway(c.turned_away), b.setBreaches(c.breaches);
  b.setMemoryMb(static_cast<float>(c.memory_mb)), b.setCpuS(c.cpu);
  auto took = b.initTook(Counters::kTimes);
  for (unsigned n = 0; n < c.took.size(); ++n) took.set(n, c.took[n]);
}

Counters counters_of(const schema::Counters::Reader& b) {
  Counters c{.epoch = b.getEpoch(),
             .txns = b.getTxns(),
             .refused = b.getRefused(),
             .failed = b.getFailed(),
             .late = b.getLate(),
             .hops = b.getHops(),
             .fills = b.getFills(),
             .turned_away = b.getTurnedAway(),
             .breaches = b.getBreaches(),
             .memory_mb = b.getMemoryMb(),
             .cpu = replica::checked_time(b.getCpuS())};
  if (!(c.memory_mb >= 0 && c.memory_mb < 1e9)) throw_bad_value("memory", std::to_string(c.memory_mb));
  const auto took = b.getTook();
  for (unsigned n = 0; n < std::min<unsigned>(took.size(), Counters::kTimes); ++n) c.took[n] = took[n];
  return c;
}

}  // namespace

Rollout::Rollout(const Setup& setup, freeze::Calendar& calendar, const Bounds& bounds, Seconds now)
    : setup_(setup),
      bounds_(bounds),
      calendar_(calendar),
      chance_(setup.seed),
      fleet_(setup.peers),
      started_(now),
      running_(setup.generation),
      driver_heard_(now),
      stepped_at_(now),
      due_(now),
      elect_at_(now) {
  fleet_.push_back(setup.self);
  for (const auto& f : fleet_)
    if (std::ranges::find(sites_, f.site) == sites_.end()) sites_.push_back(f.site);
}

void Rollout::say(std::string line) {
  if (said_.size() < kMostSaid) said_.push_back(std::move(line));
}

// ---- the replicated state ----------------------------------------------------------------------

// One item for each thing that is said; a later one takes the place of the earlier.
void Rollout::publish(const std::string& key, const std::string& item) {
  const auto id = id_of(item);
  auto& held = keys_[key];
  if (held == id) return;
  remove_item(std::exchange(held, id));
  add_item(item);
  due_ = 0;
}

Rollout::Course* Rollout::course(const std::string& name) {
  const auto it = courses_.find(name);
  return it == courses_.end() ? nullptr : &it->second;
}

void Rollout::set_document(const Document& d, Seconds now) {
  auto* c = course(d.name);
  if (c != nullptr && c->document == d) return;
  if (c != nullptr) {
    // Two documents under one name: the same one at every router, and nothing comes of it.
    if (d < c->document) {
      c->document = d;
      publish("d" + d.name, item_of(d));
    }
    set_stop(*c, {0, 0, "two documents have this name"}, now);
    return;
  }
  if (courses_.size() >= bounds_.changes) {
    // The oldest that is over makes room.
    const auto over = std::ranges::find_if(courses_, [&](const auto& of) {
      return (of.second.stop || of.second.decided.done) && of.second.document.after != running_ &&
             of.second.document.before != running_ && fleets_generation() != of.second.document.after;
    });
    if (over == courses_.end()) return say("change " + d.name + ": refused, there are too many changes");
    for (const char* kind : {"d", "o", "s"})
      if (const auto key = keys_.find(kind + over->first); key != keys_.end())
        remove_item(key->second), keys_.erase(key);
    courses_.erase(over);
  }
  Course fresh{.document = d};
  fresh.order = order_of(d, fleet_);
  fresh.sizes = stage_sizes(d, fleet());
  fresh.place = static_cast<std::size_t>(std::ranges::find(fresh.order, fleet() - 1) - fresh.order.begin());
  courses_[d.name] = std::move(fresh);
  publish("d" + d.name, item_of(d));
  if (const auto early = early_.extract(d.name)) set_stop(courses_[d.name], early.mapped(), now);
  say("change " + d.name + ": proposed by " + d.by + ", from " + d.before + " to " + d.after + " in " +
      std::to_string(stage_sizes(d, fleet()).size()) + " stages");
}

bool Rollout::set_order(Course& c, const Order& o) {
  const auto stages = static_cast<std::uint32_t>(c.sizes.size());
  Order joined{std::max(c.decided.term, o.term), std::min(stages, std::max(c.decided.stage, o.stage)),
               c.decided.done || (o.done && o.stage >= stages)};
  if (joined.stage == c.decided.stage && joined.done == c.decided.done && joined.term == c.decided.term)
    return false;
  if (joined.stage > c.decided.stage)
    say("change " + c.document.name + ": stage " + std::to_string(joined.stage) + " of " +
        std::to_string(stages) + ", " + std::to_string(c.sizes[joined.stage - 1]) + " of " +
        std::to_string(fleet()) + " routers");
  if (joined.done && !c.decided.done)
    say("change " + c.document.name + ": done, the fleet is at " + c.document.after);
  c.decided = joined;
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initOrder();
  b.setChange(c.document.name.c_str()), b.setTerm(joined.term), b.setStage(joined.stage),
      b.setDone(joined.done);
  publish("o" + c.document.name, message_bytes(message));
  return true;
}

// Of two stops the first in order stays, so that all hold the same words; that it stands does not change.
bool Rollout::set_stop(Course& c, const Stop& s, Seconds now) {
  if (c.stop && !(s < *c.stop)) return false;
  if (!c.stop) {
    c.stop_heard = now;
    say("change " + c.document.name + ": STOPPED, " + s.why);
    if (drive_ && drive_->change == c.document.name) drive_.reset();
  }
  c.stop = s;
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initStop();
  b.setChange(c.document.name.c_str()), b.setBy(s.by), b.setAt(s.at), b.setWhy(s.why.c_str());
  publish("s" + c.document.name, message_bytes(message));
  return true;
}

bool Rollout::propose(const Document& d, Seconds now) {
  const auto why = [&]() -> std::string {
    if (auto text = refusal(d); !text.empty()) return text;
    if (item_of(d).size() > kMaxItemBytes) return "its document is too long";
    // A generation's name stands for one thing: a second try has another.
    for (const auto& [name, c] : courses_)
      if (name != d.name && (c.document.after == d.after || c.document.before == d.after))
        return "generation " + d.after + " was named by change " + name + " already";
    return "";
  }();
  if (!why.empty()) return say("change " + d.name + ": refused, " + why), false;
  if (const auto* c = course(d.name); c != nullptr && c->document == d) return false;
  set_document(d, now);
  return course(d.name) != nullptr;
}

bool Rollout::stop(const std::string& name, const std::string& why, Seconds now) {
  const Stop s{setup_.self.router, now, why.substr(0, kLongestWhy)};
  auto* c = course(name);
  if (c == nullptr && early_.size() < bounds_.changes && name.size() <= kLongestName)
    early_.try_emplace(name, s);
  return c != nullptr && set_stop(*c, s, now);
}

std::size_t Rollout::join_order(std::uint64_t id) const {
  const auto it = std::ranges::find(keys_, id, [](const auto& key) { return key.second; });
  return it == keys_.end() ? 0 : std::string_view("dos").find(it->first.front());
}

bool Rollout::join(std::string_view bytes, Seconds now) {
  if (bytes.size() > kMaxItemBytes) throw_bad_value("item of length", std::to_string(bytes.size()));
  const auto before = pending_updates();
  replica::read_root<schema::Item>(bytes, kMaxItemBytes, [&](const schema::Item::Reader& item) {
    switch (item.which()) {
      case schema::Item::DOCUMENT:
        return set_document(document_of(item.getDocument()), now);
      case schema::Item::ORDER: {
        const auto b = item.getOrder();
        if (auto* c = course(b.getChange())) set_order(*c, {b.getTerm(), b.getStage(), b.getDone()});
        return;
      }
      case schema::Item::STOP: {
        const auto b = item.getStop();
        auto* c = course(b.getChange());
        if (c != nullptr)
          set_stop(*c,
                   {b.getBy(), replica::checked_time(b.getAt()),
                    std::string(replica::text_view(b.getWhy())).substr(0, kLongestWhy)},
                   now);
        return;
      }
    }
  });
  return pending_updates() > before;
}

// ---- what the fleet and this router stand at ---------------------------------------------------

std::string Rollout::fleets_generation() const {
  auto at = setup_.generation;
  // Each change is walked once at most, forth or back.
  std::set<std::string> walked;
  for (bool again = true; again;) {
    again = false;
    for (const auto& [name, c] : courses_) {
      if (walked.contains(name)) continue;
      const bool forth = c.decided.done && !c.stop && c.document.before == at;
      const bool back = !(c.decided.done && !c.stop) && c.document.after == at;
      if (!forth && !back) continue;
      at = forth ? c.document.after : c.document.before;
      walked.insert(name), again = true;
    }
  }
  return at;
}

// The one that is under way: of those that start from the fleet's generation the one that has come furthest.
const Rollout::Course* Rollout::active() const {
  const auto at = fleets_generation();
  const Course* best = nullptr;
  for (const auto& [name, c] : courses_)
    if (!c.stop && !c.decided.done && c.document.before == at &&
        (best == nullptr || c.decided.stage > best->decided.stage))
      best = &c;
  return best;
}

// Of the sites that are not frozen now: a frozen one holds its own routers, and the others go on without it.
// Where all are, all are asked for.
freeze::Calendar::Plan Rollout::plan(const Course& c, Seconds worst, Seconds now) const {
  std::vector<std::string> open;
  for (const auto& site : sites_)
    if (!calendar_.site_frozen(site, c.document.work, now)) open.push_back(site);
  return {.change = c.document.name,
          .work = c.document.work,
          .sites = open.empty() ? sites_ : open,
          .worst = worst};
}

Rollout::Phase Rollout::phase(const Course& c) const {
  if (moving_) return Phase::moving;
  if (running_ == c.document.after) return Phase::anew;
  if (failed(c)) return Phase::failed;
  return c.waits.empty() ? Phase::old : Phase::held;
}

std::optional<Rollout::Move> Rollout::next_move(Seconds now) {
  if (moving_) return std::nullopt;
  // A release is tried once while it is under way; one that this machine came to run and the fleet has is
  // taken again whenever its keeper starts the program before.
  if (const auto* c = tried_.empty() ? nullptr : course(tried_);
      c != nullptr && c->decided.done && running_ == c->document.after)
    tried_.clear();
  const auto move = [&](const Course& c, bool back) {
    moving_ = Move{back ? c.document.before : c.document.after, c.document, back};
    say("change " + c.document.name + ": this router moves to " + moving_->to + (back ? ", back" : ""));
    return moving_;
  };
  for (auto& [name, c] : courses_) {
    if (running_ == c.document.after && c.stop) {
      // Newest first, in groups: the last of the order at once, the others each at its time.
      const auto through =
          std::max<std::size_t>(c.turn, c.decided.stage > 0 ? c.sizes[c.decided.stage - 1] : 1);
      const auto after_me = through > c.place ? through - 1 - c.place : 0;
      const Seconds at = c.stop_heard + static_cast<Seconds>(after_me / at_once(c.document, fleet())) *
                                            back_pace(c.document);
      if (now >= at) return move(c, true);
      due_ = std::min(due_, at);
    }
    if (c.stop || running_ != c.document.before || failed(c)) continue;
    const bool turn = c.decided.done || (&c == active() && c.decided.stage > 0 && c.place < c.turn);
    if (!turn) continue;
    // What the whole fleet has, a router that returns takes even in a freeze: it is no change any more.
    const auto may = c.decided.done ? Answer{}
                                    : calendar_.ask(Act::start_stage,
                                                    {.change = c.document.name,
                                                     .work = c.document.work,
                                                     .sites = {setup_.self.site},
                                                     .worst = c.document.ready_in},
                                                    now);
    c.waits = may.may == Answer::May::now ? "" : may.why;
    if (c.waits.empty()) return move(c, false);
  }
  return std::nullopt;
}

void Rollout::moved(Seconds) {
  if (!moving_) return;
  running_ = moving_->to;
  counters_ = {};  // those of before are not of this generation
  say("change " + moving_->document.name + ": this router runs " + running_);
  moving_.reset();
  due_ = 0;
}

void Rollout::move_failed(const std::string& why, Seconds) {
  if (!moving_) return;
  say("change " + moving_->document.name + ": " + moving_->to +
      " did not become ready: " + why.substr(0, kLongestWhy));
  if (auto* c = course(moving_->document.name); c != nullptr && !moving_->back) c->failed = true;
  moving_.reset();
  due_ = 0;
}

// ---- letters -----------------------------------------------------------------------------------

Rollout::Report Rollout::report(const Course& c, bool granted) const {
  return {promised_, granted, c.acked, c.acked_under, phase(c), counters_, 0};
}

// Whether this router lets the change go on to `wanted`, asked under a term that it promised.
bool Rollout::agree(Course& c, std::uint64_t term, std::uint32_t wanted, Seconds now) {
  if (term != promised_ || c.stop || wanted == 0 || wanted > c.decided.stage + 1) return false;
  if (now < started_ + (setup_.lasting ? 0 : bounds_.lease)) return false;  // it may have forgotten a promise
  if (!calendar_.not_current(now).empty()) return false;
  if (!setup_.refuses(c.document).empty()) return false;
  c.acked = std::max(c.acked, wanted), c.acked_under = term;
  return true;
}

void Rollout::receive(int from, std::string_view bytes, Seconds now) {
  if (bytes.size() > kMaxItemBytes) throw_bad_value("letter of length", std::to_string(bytes.size()));
  replica::read_root<schema::Letter>(bytes, kMaxItemBytes, [&](const schema::Letter::Reader& l) {
    if (l.which() == schema::Letter::REPORT) {
      const auto b = l.getReport();
      if (b.getPhase() > static_cast<int>(Phase::held))
        throw_bad_value("phase", std::to_string(b.getPhase()));
      if (drive_ && hash_of(drive_->change) == b.getChange())
        heard(from,
              {b.getTerm(), b.getGranted(), b.getAcked(), b.getAckedUnder(), static_cast<Phase>(b.getPhase()),
               counters_of(b.getCounters()), b.getSent()},
              now);
      return;
    }
    if (l.which() != schema::Letter::ASK) return;
    const auto b = l.getAsk();
    const Ask a{b.getChange(), b.getTerm(), b.getVote(), b.getStage(), b.getWanted(), b.getTurn()};
    Course* c = nullptr;
    for (auto& [name, of] : courses_)
      if (hash_of(name) == a.change) c = &of;
    if (c == nullptr) return;  // its document comes by the news
    bool granted = false;
    if (a.vote) {
      const bool free = now - driver_heard_ > bounds_.lease || promised_to_ == from;
      const bool remembers = setup_.lasting || now > started_ + bounds_.lease;
      granted = a.term > promised_ && free && remembers && !c->stop;
      if (granted) promised_ = a.term, promised_to_ = from;
    } else if (a.term >= promised_) {
      promised_ = a.term, promised_to_ = from, driver_heard_ = now;
      if (drive_) drive_.reset();
      if (a.stage > 0) set_order(*c, {a.term, a.stage, false});
      if (c->decided.stage > 0) c->turn = std::max(c->turn, std::min<std::size_t>(a.turn, fleet()));
      if (a.wanted > 0) agree(*c, a.term, a.wanted, now);
    }
    const auto r = report(*c, granted);
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<schema::Letter>().initReport();
    out.setChange(a.change), out.setTerm(r.term), out.setGranted(r.granted), out.setAcked(r.acked);
    out.setAckedUnder(r.acked_under);
    out.setPhase(static_cast<std::uint8_t>(r.phase));
    out.setSent(sent_ = std::max(sent_ + 1, static_cast<std::uint64_t>(now * 1e6)));
    put(out.initCounters(), r.counters);
    if (letters_.size() < 2 * fleet()) letters_.push_back({from, message_bytes(message)});
    due_ = 0;
  });
}

void Rollout::ask_all(Course& c, bool vote, std::uint32_t wanted) {
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Letter>().initAsk();
  b.setChange(hash_of(c.document.name)), b.setTerm(promised_), b.setVote(vote), b.setStage(c.decided.stage);
  b.setWanted(wanted), b.setTurn(static_cast<std::uint32_t>(drive_->turn));
  const auto bytes = message_bytes(message);
  for (int p = 0; p < self(); ++p)
    if (alive(p) && letters_.size() < 2 * fleet()) letters_.push_back({p, bytes});
}

std::optional<replica::ReplicatedMessage> Rollout::next_message(Seconds now) {
  step(now);
  if (letters_.empty()) return std::nullopt;
  auto letter = std::move(letters_.front());
  letters_.pop_front();
  return letter;
}

std::string Rollout::private_state() const {
  const bool leaves = moving_ && !moving_->back && moving_->document.work == freeze::kRelease;
  const auto& tried = leaves ? moving_->document.name : tried_;
  if (promised_ == 0 && tried.empty()) return {};
  return std::to_string(promised_) + " " + tried;
}

void Rollout::restore_private_state(std::string_view bytes) {
  promised_ = std::max(promised_, parse<std::uint64_t>(take_field(bytes, ' '), "term"));
  tried_ = bytes.substr(0, kLongestName);
}

// ---- the driver --------------------------------------------------------------------------------

void Rollout::step(Seconds now) {
  // One that stood still drives no more, and lets the others' driver speak first.
  if (now - stepped_at_ > bounds_.lease / 2) drive_.reset(), driver_heard_ = now;
  stepped_at_ = now;
  if (now < due_) return;
  due_ = now + bounds_.ask_again / 2;
  auto* c = active();
  if (drive_ && (c == nullptr || drive_->change != c->document.name)) drive_.reset();
  if (c == nullptr) {
    driver_heard_ = std::max(driver_heard_, now - bounds_.lease);
    due_ = now + bounds_.beat;
    return;
  }
  drive_ ? drive(*c, now) : elect(*c, now);
}

// The last in the order to change asks first: while it lives it drives to the end, as an old router.
void Rollout::elect(Course& c, Seconds now) {
  std::size_t after_me = 0;
  for (std::size_t n = c.place + 1; n < c.order.size(); ++n) after_me += alive(static_cast<int>(c.order[n]));
  const Seconds wait = bounds_.lease * (1 + 0.5 * static_cast<double>(std::min<std::size_t>(after_me, 8)));
  const bool fresh = c.decided.stage == 0 && promised_ == 0 && after_me == 0;  // nobody has driven yet
  if ((now - driver_heard_ < wait && !fresh) || now < elect_at_) return;
  if (!calendar_.not_current(now).empty()) return;
  elect_at_ = now + bounds_.lease * std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  promised_ = (promised_ / kRouters + 1) * kRouters + static_cast<std::uint64_t>(c.place);
  promised_to_ = self();
  drive_ = Drive{.change = c.document.name, .since = now, .ask_at = now};
  drive_->turn = c.turn;
  drive_->reports[self()] = {report(c, true), now};
  drive(c, now);
}

void Rollout::heard(int from, const Report& r, Seconds now) {
  auto& d = *drive_;
  if (r.term > promised_) {  // another was promised more
    elect_at_ = now + bounds_.lease;
    promised_ = std::max(promised_, r.term);  // the next term is past it
    drive_.reset();
    return;
  }
  auto& [last, at] = d.reports[from];
  // Datagrams overtake each other and come twice. Guards against a report from before a move that comes after
  // one of the move: it would tell of a router that went to move and is as before. One that is older by more
  // than any way takes is of another start, on a clock that went back.
  constexpr std::uint64_t kLongestWay = 5'000'000;
  if (r.sent > 0 && r.sent <= last.sent && last.sent - r.sent < kLongestWay) return;
  const bool granted = last.granted || (r.granted && r.term == promised_);
  last = r, at = now;
  last.granted = granted;
  note(from, r, now);
  if (d.phase == Driving::asking && r.acked > course(d.change)->decided.stage) due_ = 0;
}

// Who has moved, and who started anew soon after: that is a crash of the new generation.
void Rollout::note(int from, const Report& r, Seconds now) {
  auto& d = *drive_;
  auto& last = d.phases.try_emplace(from, r.phase).first->second;
  // One that went to move and is as before did not come up, though it remembers nothing of it.
  if (r.phase == Phase::failed || (last == Phase::moving && r.phase == Phase::old)) d.failed.insert(from);
  last = r.phase;
  const auto it = d.moved.find(from);
  if (it != d.moved.end() && r.counters.epoch > it->second.epoch && it->second.epoch > 0 &&
      now - it->second.at < bounds_.watch)
    d.failed.insert(from);
  if (r.phase == Phase::anew && it == d.moved.end()) d.moved[from] = {now, r.counters.epoch};
  if (it != d.moved.end() && it->second.epoch == 0) it->second.epoch = r.counters.epoch;
}

// Failed, or dead soon after their move. Where the old ones die as much it is a cut or another trouble of
// all.
std::size_t Rollout::did_not_start(Seconds now) const {
  const auto& d = *drive_;
  std::size_t died = 0, dead_old = 0, old_ones = 0;
  for (const auto& [n, moved] : d.moved)
    died += !alive(n) && now - moved.at < bounds_.watch + 2 * bounds_.lease;
  const Seconds patience = courses_.at(d.change).document.ready_in + bounds_.lease;
  for (const auto& [n, at] : d.given) died += !alive(n) && !d.moved.contains(n) && now > at + patience;
  for (int n = 0; n < static_cast<int>(fleet()); ++n)
    if (!d.moved.contains(n) && !d.given.contains(n)) ++old_ones, dead_old += !alive(n);
  const auto tried = std::max(d.moved.size(), d.given.size());
  const bool common = 2 * dead_old * tried >= died * old_ones && dead_old > 0;
  return d.failed.size() + (common ? 0 : died);
}

void Rollout::drive(Course& c, Seconds now) {
  auto& d = *drive_;
  d.reports[self()] = {report(c, true), now};
  note(self(), d.reports[self()].first, now);
  const auto fresh = static_cast<std::size_t>(std::ranges::count_if(
      d.reports, [&](const auto& r) { return now - r.second.second <= fresh_within(); }));

  if (d.phase == Driving::electing) {
    const auto granted = static_cast<std::size_t>(
        std::ranges::count_if(d.reports, [](const auto& r) { return r.second.first.granted; }));
    if (granted >= majority()) {
      // What a majority agreed to under an earlier term may be decided: one of this majority agreed to it. It
      // is asked for again, as a stop may stand since; what came before it was decided.
      std::uint32_t agreed = c.decided.stage;
      for (const auto& [n, r] : d.reports) agreed = std::max(agreed, r.first.acked);
      if (agreed > c.decided.stage + 1) set_order(c, {promised_, agreed - 1, false});
      d.phase = agreed > c.decided.stage ? Driving::asking
                : c.decided.stage == 0   ? Driving::watching
                                         : Driving::judging;
      d.stage_at = d.tick_at = now;
      d.judge.emplace(Judge::Bounds{.ratio = c.document.ratio, .harm = c.document.harm});
      say("change " + c.document.name + ": this router drives it, term " + std::to_string(promised_));
      d.ask_at = now;
    } else if (now - d.since > bounds_.lease) {
      drive_.reset();
      return;
    }
  } else if (fresh < majority()) {
    say("change " + c.document.name + ": no majority answers, this router drives it no more");
    driver_heard_ = now;
    drive_.reset();
    return;
  }

  if (d.phase != Driving::electing && now >= d.tick_at) judge(c, now);
  if (!drive_) return;
  if (d.phase == Driving::asking) {
    const auto agreed = static_cast<std::size_t>(std::ranges::count_if(d.reports, [&](const auto& r) {
      return r.second.first.acked > c.decided.stage && r.second.first.acked_under == promised_;
    }));
    if (agreed >= majority() && !c.stop) {
      set_order(c, {promised_, c.decided.stage + 1, false});
      d.phase = Driving::judging;
      d.stage_at = d.tick_at = now, d.held_back = true, d.waits.clear();
      d.judge->begin_stage();
      d.ask_at = now;
    }
  }
  if (d.phase == Driving::judging) give_turns(c, now);
  if (now >= d.ask_at) {
    const bool urgent = d.phase == Driving::electing || d.phase == Driving::asking;
    d.ask_at = now + (urgent ? bounds_.ask_again : bounds_.beat);
    const auto wanted = d.phase == Driving::asking ? c.decided.stage + 1 : 0;
    if (wanted > 0 && agree(c, promised_, wanted, now)) d.reports[self()] = {report(c, true), now};
    ask_all(c, d.phase == Driving::electing, wanted);
  }
}

// In the order, at most a share of each site moving at a time; who is down or held is passed over and takes
// its turn when it can.
void Rollout::give_turns(Course& c, Seconds now) {
  auto& d = *drive_;
  const auto last = c.decided.stage == c.sizes.size();
  // A stage is so many that can move: those that are down or held do not stand for it.
  const auto can = [&](std::size_t n) {
    const auto it = d.reports.find(static_cast<int>(n));
    // One that went down in its turn stands for it all the same: it may be the change that did it.
    if (d.given.contains(static_cast<int>(n))) return true;
    return alive(static_cast<int>(n)) && (it == d.reports.end() || it->second.first.phase != Phase::held);
  };
  auto room = c.sizes[c.decided.stage - 1];
  // The last of all wait until the judge has seen what the rest do: else nobody is left to compare with.
  if (last && d.held_back && c.sizes.size() > 1) {
    const auto all = static_cast<std::size_t>(std::ranges::count_if(c.order, can));
    room = all - std::min(all, std::max<std::size_t>(1, fleet() / 10));
  }
  std::size_t through = 0;
  for (std::size_t n = 0; n < fleet() && (room > 0 || (last && !d.held_back)); ++n) {
    if (can(c.order[n])) room -= std::min<std::size_t>(room, 1);
    through = n + 1;
  }
  const auto unsettled = [&](int n) {
    if (!alive(n)) return false;
    const auto it = d.reports.find(n);
    if (it == d.reports.end()) return true;
    return it->second.first.phase == Phase::old || it->second.first.phase == Phase::moving;
  };
  std::map<std::string_view, std::size_t> moving, of_site;
  for (const auto& f : fleet_) ++of_site[f.site];
  for (std::size_t n = 0; n < d.turn; ++n)
    if (const auto r = static_cast<int>(c.order[n]); unsettled(r)) ++moving[fleet_[c.order[n]].site];
  const auto before = d.turn;
  while (d.turn < through) {
    const auto site = std::string_view(fleet_[c.order[d.turn]].site);
    if (moving[site] >= at_once(c.document, of_site[site])) break;
    if (unsettled(static_cast<int>(c.order[d.turn]))) ++moving[site];
    if (const auto n = static_cast<int>(c.order[d.turn]); alive(n)) d.given.try_emplace(n, now);
    ++d.turn;
  }
  c.turn = std::max(c.turn, d.turn);
  if (d.turn > before) d.ask_at = std::min(d.ask_at, now);
}

// Those of the stage that hold the new generation past its warm-up, or cannot.
std::size_t Rollout::settled(const Course& c, Seconds now) const {
  const auto& d = *drive_;
  std::size_t count = 0;
  for (std::size_t n = 0; n < d.turn; ++n) {
    const auto r = static_cast<int>(c.order[n]);
    const auto it = d.reports.find(r);
    const auto moved = d.moved.find(r);
    if (!alive(r))
      ++count;
    else if (it != d.reports.end() &&
             (it->second.first.phase == Phase::failed || it->second.first.phase == Phase::held))
      ++count;
    else if (moved != d.moved.end() && now >= moved->second.at + c.document.warm_up)
      ++count;
  }
  return count;
}

void Rollout::judge(Course& c, Seconds now) {
  auto& d = *drive_;
  d.tick_at = now + bounds_.beat;
  const auto rest = worst(c.document, fleet()) - c.document.longest * c.decided.stage;
  const auto back = way_back(c.document, fleet());
  if (c.decided.stage > 0 && calendar_.overtaken(plan(c, rest, now), back, now) == Overtaken::goes_back) {
    stop(c.document.name,
         "overtaken by a freeze window that was declared late: it goes back while there is time", now);
    return;
  }
  // What has come since the last look, of each router whose counters are of one epoch and one generation.
  std::vector<Judge::Sample> samples;
  for (const auto& [n, r] : d.reports) {
    const auto& [report, at] = r;
    if (now - at > fresh_within() || report.counters.epoch == 0) continue;
    const bool after = report.phase == Phase::anew;
    if (report.phase == Phase::moving) continue;
    const auto& who = fleet_[static_cast<std::size_t>(n)];
    const auto site = static_cast<int>(std::ranges::find(sites_, who.site) - sites_.begin());
    auto& last = d.judged[n];
    if (d.phase == Driving::watching && !after) {
      last = report.counters;
      continue;
    }
    if (last.epoch == 0 && !after) {
      d.judge->history(who.router, report.counters);  // a driver that came later: its past so far
    } else {
      samples.push_back({who.router, site, after, report.counters.since(last)});
    }
    last = report.counters;
  }
  if (d.phase == Driving::watching) return go_on(c, now);
  d.judge->tick(samples);

  const auto bad = did_not_start(now);
  const auto allowed = c.decided.stage <= 1
                           ? 0
                           : static_cast<std::size_t>(bounds_.failed * static_cast<double>(d.moved.size()));
  if (bad > allowed) {
    stop(c.document.name,
         std::to_string(bad) + " of the routers that moved did not become ready, or died soon after", now);
    return;
  }
  if (d.judge->word() == Judge::Word::worse) {
    stop(c.document.name, d.judge->why(), now);
    return;
  }
  go_on(c, now);
}

// Goes on, waits or stops: past what a stage needs, with leave of the calendar, and no doubt left.
void Rollout::go_on(Course& c, Seconds now) {
  auto& d = *drive_;
  const auto stages = c.sizes.size();
  const auto& doc = c.document;
  if (d.phase == Driving::asking) return;
  if (c.decided.stage == 0) {
    const auto refused = setup_.refuses(doc);
    const auto may = calendar_.ask(Act::propose, plan(c, worst(doc, fleet()), now), now);
    d.waits = !refused.empty() ? refused : may.why;
    // Before the first router moves the past of all is taken down; what a router reads is known by then.
    if (now < d.stage_at + doc.least) return;
    if (!refused.empty() || may.may == Answer::May::never) {
      stop(doc.name, "refused: " + d.waits, now);
      return;
    }
    if (may.may != Answer::May::now) return;
    for (const auto& [n, counters] : d.judged)
      d.judge->history(fleet_[static_cast<std::size_t>(n)].router, counters);
    d.phase = Driving::asking, d.ask_at = now;
    return;
  }
  const bool last = c.decided.stage == stages;
  const bool all_moved = settled(c, now) == d.turn;
  const bool everybody = last && d.turn == fleet();
  // How many stand for the two sides now.
  std::size_t old_ones = 0, new_ones = 0, held = 0;
  for (const auto& [n, r] : d.reports) {
    if (!alive(n)) continue;
    old_ones += r.first.phase == Phase::old || r.first.phase == Phase::held;
    new_ones += r.first.phase == Phase::anew;
    held += r.first.phase == Phase::held;
  }
  if (everybody) {
    if (!all_moved || old_ones > 0) {
      d.waits = held > 0 ? std::to_string(held) + " routers are held by a freeze window at their site" : "";
      return;
    }
    set_order(c, {promised_, static_cast<std::uint32_t>(stages), true});
    drive_.reset();
    return;
  }
  const bool seen = d.judge->txns(true) >= doc.txns && (old_ones == 0 || d.judge->txns(false) >= doc.txns);
  const bool doubt = d.judge->word() == Judge::Word::doubtful;
  if (now >= d.stage_at + doc.least && all_moved && new_ones > 0 && seen && !doubt) {
    if (last) {
      d.held_back = false;
      return;
    }
    const auto may = calendar_.ask(Act::go_on, plan(c, doc.longest + way_back(doc, fleet()), now), now);
    d.waits = may.may == Answer::May::now ? "" : may.why;
    if (may.may == Answer::May::now) d.phase = Driving::asking, d.ask_at = now;
    return;
  }
  d.waits = doubt ? "in doubt: " + d.judge->why() : "";
  if (now < d.stage_at + doc.longest || held > 0) return;
  stop(doc.name,
       doubt ? "still in doubt after its longest time: " + d.judge->why()
             : "too little was seen in the longest time of stage " + std::to_string(c.decided.stage) + ": " +
                   std::to_string(d.judge->txns(true)) + " txns with the new generation, " +
                   std::to_string(d.judge->txns(false)) + " with the old, " + std::to_string(doc.txns) +
                   " wanted",
       now);
}

std::vector<Rollout::Standing> Rollout::standing(Seconds now) const {
  std::vector<Standing> all;
  for (const auto& [name, c] : courses_) {
    Standing s{.document = c.document,
               .stage = c.decided.stage,
               .stages = static_cast<std::uint32_t>(c.sizes.size()),
               .done = c.decided.done,
               .stopped = c.stop.has_value(),
               .why = c.stop ? c.stop->why : c.waits,
               .drives = driving() && drive_->change == name,
               .through = c.decided.done ? fleet() : c.turn,
               .fleet = fleet()};
    if (s.drives && drive_->judge) {
      s.txns[0] = drive_->judge->txns(false), s.txns[1] = drive_->judge->txns(true);
      if (s.why.empty()) s.why = drive_->waits;
    }
    if (!c.stop && !c.decided.done && s.why.empty()) s.why = calendar_.not_current(now);
    all.push_back(std::move(s));
  }
  return all;
}

}  // namespace walkpaddle::change
