// All decisions of walkpaddle. The interface stands in brain.h: a host sets the parts up, feeds inputs,
// which only update what is known, and then pulls next() until it is empty.
// The design (docs/design.md): reference counters decide whether a fill is kept; hash order picks the edge
// cache and the parent. Beside it stand six mechanisms:
//   1 limits in flight, grown by one and cut by a share     4 further hops, by what an outcome proves
//   2 health by symptom: failing, silent, trial returns      5 age limits by purges, in every hop and source
//   3 cold budgets for fresh caches and parents              6 early ends: hold briefly, else reject
#include "routing/policy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "routing/concurrency_limit.h"
#include "routing/endpoint_order.h"
#include "routing/reference_counter.h"

namespace walkpaddle {

using routing::ConcurrencyLimit, routing::EndpointOrder, routing::ReferenceCounters;

namespace {

constexpr Seconds kNever = 1e15;
constexpr double kThreshold = 1;  // the design's forwarding threshold: kept from the second txn on
constexpr int kLowestRank = 1, kMiddleRank = 2;

// A copy is of one part. Guards against a hot object, or a flow, whose parts all meet at one cache.
std::uint64_t copy_of(std::uint64_t object, int part) {
  return object ^ (static_cast<std::uint64_t>(part) * 0x9e3779b97f4a7c15u);
}

enum class Role { cache, par, origin };

struct Endpoint {
  std::uint64_t hash = 0;
  int location = -1, cell = -1;
  Role role = Role::cache;
  bool listed = false, ready = false, seen = false, named = false, unreached = false;
  bool counted = false;  // among those that are ready here, of the role counted_as
  int counted_as = 0;
  bool may_be_cold = false;      // it stands in `starting`
  double weight = 1, busy = -1;  // busy: as it reports, -1 if it does not
  Seconds started = -kNever;
  double failing = 0;
  Seconds aside_until = -kNever, hold = 0;
  int trial = 0, out = 0;
  Seconds heard = -kNever, busy_since = 0;
  double gap = 0.1;
  ConcurrencyLimit hops, fills{.least = 1};
  double spent = 0;
  Seconds spent_at = 0;
};

// A mean as it is in quiet; until enough came in quiet, of whatever comes: something is known at once.
// Guards against a busy start, where the few answers that come in quiet are those of the smallest objects,
// and against means that follow a queue: one of many routers may see ten answers a second, few in quiet.
struct Quiet {
  double mean = 0, calm = 0;
  int seen = 0, in_quiet = 0, unproved = 0;  // unproved: answers to come before a carried mean counts fully
  // Quiet that is guessed by what is in flight here takes ten, which halve the doubt of three; quiet that the
  // member tells takes two, enough that one small object does not stand for all.
  void see(double value, bool quiet, bool told = true) {
    constexpr int kOver = 50;  // seconds of answers
    unproved = std::max(0, unproved - 1);
    if (quiet) calm += (value - calm) / std::min(++in_quiet, kOver);
    mean = in_quiet >= (told ? 2 : 10) ? calm : mean + (value - mean) / std::min(++seen, kOver);
  }
};

struct Attempt {
  int member = -1, source = -1, behind = -1;  // behind: the origin, where a parent's miss goes
  bool out = true, failed = false, source_failed = false, moving = false, fill = false, cached_only = false;
  Seconds sent = 0;
  double weight = 0, chance = 1;  // chance: that it draws a fill
  double through = 0;             // what of it is held for the origin behind
};

struct RequestState {
  bool live = false, keep = false, queued = false, looked = false, par_lacks = false, erred = false,
       sized = false;  // sized: by the client
  int rule = 0, out = 0, turned_away = 0, failed_at_once = 0;
  std::uint64_t object = 0, copy = 0;  // copy: of its object's part
  std::uint32_t group = 0;
  double kbytes = 0, in_flight = 1,
         represented_requests = 0;  // stands_for: a lookup's unseen txns, 0 for a txn
  Seconds taken = 0, expires = 0, may_have_run = kNever, since = 0;  // since: copies made before are purged
  int ran_at = -1;
  std::vector<Attempt> hops{};
};

bool proves_not_run(AttemptOutcome v) {
  return v == AttemptOutcome::rejected || v == AttemptOutcome::unreachable || v == AttemptOutcome::not_sent ||
         v == AttemptOutcome::not_cached;
}

class Mind final : public RoutingPolicy {
 public:
  explicit Mind(std::uint32_t seed) : chance_source(seed) {}
  void set_placement(const RouterPlacement& p) override { place = p, link.share(p.routers_here); }
  void set_roles(const EndpointRoles& r) override { roles = r; }
  void add_request_class(const RequestClass& rule) override {
    rules.push_back(rule);
    for (auto& e : excess) e.emplace_back(rule.latency_objective, rule.latency_objective);
    mean_work.push_back({.mean = rule.latency_objective});  // until hits tell: longer than most sendings
  }
  void set_retries(const RetrySettings& h) override { hopping = h; }
  void set_fills(const FillSettings& f) override { filling = f; }
  void set_slow_start(const SlowStartSettings& c, const SlowStartSettings& p) override {
    cold_cache = c, cold_par = p;
  }
  void set_weight_meaning(bool tell_transfers) override { weights_tell = tell_transfers; }
  void set_client_habits(const ClientSettings& c) override { clients = c; }
  void set_discovery_polling(bool must_ask) override { asks = must_ask; }
  void clock(Seconds at) override { now = at; }
  void begin_endpoint_list(bool whole) override {
    list_whole = whole;
    if (!whole) return;
    for (auto& x : members) x.named = false;
  }
  void end_endpoint_list() override {
    if (list_whole)
      for (std::size_t m = 0; m < members.size(); ++m) {
        auto& x = members[m];
        if (x.listed && !x.named)
          x.listed = false, changed.push_back(static_cast<int>(m));  // not in it: gone
      }
    for (const int m : std::exchange(changed, {})) take_in_order(m);
  }
  void endpoint_list_failed() override { ask_at = now + 1; }
  void client_left(int i) override {
    if (txns[i].live) expect_back(txns[i]);
    finish(txns[i]);
  }
  void load_reported(int m, double busy) override { member(m).busy = busy; }
  void set_represented_requests(int i, double in_flight, double all) override {
    txns[i].in_flight = in_flight, txns[i].represented_requests = all;
  }
  void copies_made_since(int i, Seconds made) override { txns[i].since = made; }
  void copies_no_older_than(Seconds age) override { oldest = age; }
  WarmStartSnapshot snapshot() const override {
    WarmStartSnapshot l;
    for (const auto& q : mean_work) l.service_times.push_back({q.mean, q.seen});
    for (const auto& e : counts.all())
      if (e.count > kThreshold) l.objects.push_back({e.object, e.count});
    l.link_limit = link.cap, l.miss_ratio = misses.in_quiet > 0 ? misses.calm : -1;
    for (int m = 0; m < static_cast<int>(members.size()); ++m) {
      const auto& x = members[m];
      if (x.unreached && x.listed) l.unreachable.push_back({m, x.started});
      if (!x.unreached && x.listed && !is_cold(x)) l.limits.push_back({m, x.hops.cap, x.fills.cap});
    }
    return l;
  }
  // A carried mean stands for what is yet to be seen; against cold budgets it counts only once it is proved.
  void restore_snapshot(const WarmStartSnapshot& l) override {
    constexpr int kMost = 10;  // as many answers of the last start as a guessed quiet takes
    for (std::size_t r = 0; r < std::min(rules.size(), l.service_times.size()); ++r)
      if (const auto& [sending, answers] = l.service_times[r];
          answers > 0 && sending > 0 && sending < rules[r].deadline) {
        const int seen = std::min(answers, kMost);
        mean_work[r] = {.mean = sending, .calm = sending, .seen = seen, .in_quiet = seen, .unproved = kMost};
      }
    // Limits that were reached before: a minute halves what they count. Never of a cold member, nor where one
    // was cut since. Guards against a returner that turns away what it bore before it went.
    const auto raise = [&](ConcurrencyLimit& x, double cap) {
      if (!x.crowded) x.cap = std::max(x.cap, cap * std::exp2(-l.age / 60));
    };
    raise(link, l.link_limit);
    for (const auto& [o, n] : l.objects)  // halved as the design halves them
      if (auto& c = counts.at(o, now).count; l.age < 300) c = std::max<float>(c, n * std::exp2(-l.age / 30));
    if (l.miss_ratio >= 0)
      misses = {.mean = l.miss_ratio, .calm = l.miss_ratio, .seen = kMost, .in_quiet = kMost};
    for (const auto& r : l.limits)
      if (auto& x = member(r.endpoint); x.listed && !is_cold(x))
        raise(x.hops, r.attempts), raise(x.fills, r.fills);
    for (const auto& [m, at] : l.unreachable)
      if (auto& x = member(m); x.listed && x.started < at && at <= now)
        begin_afresh(x, at), x.unreached = true;
  }
  Ejections ejections() const override { return ejected; }
  void timer_fired() override {
    if (now >= woken_for - 1e-6) woken_for = kNever;
  }

 private:
  std::mt19937 chance_source;
  Ejections ejected;
  Seconds now = 0, woken_for = kNever, tick_at = 0, halve_at = 0;
  Seconds ask_at = 0, oldest = 0;  // oldest: what any copy may be, 0 for no limit
  bool weights_tell = false, asks = false;
  RouterPlacement place;
  EndpointRoles roles;
  RetrySettings hopping;
  FillSettings filling;
  ClientSettings clients;
  SlowStartSettings cold_cache, cold_par;
  struct Warm {
    double served = 0, rate = 0;
  } warm[2];  // caches, parents: work lately got through a warm member, in the mean
  std::vector<RequestClass> rules;
  std::vector<Quiet> mean_work;  // by rule: sending time, from told sizes or hits
  // By whether the size was known, by rule: mean, deviation of hop times past the sending that was known.
  std::vector<std::pair<double, double>> excess[2];
  Quiet misses{.mean = 0.5};      // share of hops to a cache that draw a fill
  Quiet par_misses{.mean = 0.5};  // share of fills from a parent that it fetches from the origin
  double mean_txn = 0.4;

  ReferenceCounters counts;
  std::vector<Endpoint> members;
  EndpointOrder listed[3];    // by role: those a hop may go to
  int ready_here[3] = {};     // of these, the ready ones
  bool list_whole = false;    // the list that is being told
  std::vector<int> changed;   // members that it has named so far
  std::vector<int> starting;  // members that may be cold
  std::vector<RequestState> txns;
  ConcurrencyLimit link{.cap = 8, .least = 1.5};  // this router's fills over the location's link in
  std::set<std::pair<Seconds, int>> due;          // txns that wait for a time
  std::vector<int> waiting;                       // txns that wait for room
  std::vector<int> ready;                         // txns that want a decision
  std::vector<Decision> said;
  std::size_t said_from = 0;

  // ---- the list ----------------------------------------------------------------------------------------

  Endpoint& member(int m) {
    if (m >= static_cast<int>(members.size())) members.resize(m + 1);
    return members[m];
  }

  // A member's place among those that a hop may go to, as its listing now is.
  void take_in_order(int m) {
    auto& x = members[m];
    const auto role = static_cast<std::size_t>(x.role);
    for (std::size_t r = 0; r < std::size(listed); ++r)
      if (r != role) listed[r].remove(m);
    const bool here = x.listed && (x.role != Role::cache || x.location == place.location);
    if (here)
      listed[role].add(m, x.hash, x.weight);
    else
      listed[role].remove(m);
    if (x.counted) --ready_here[x.counted_as];
    x.counted = here && x.ready, x.counted_as = static_cast<int>(role);
    if (x.counted) ++ready_here[role];
  }

  void update_endpoint(int m, std::uint64_t hash, int location, int kind, int cell, EndpointState state,
                       double weight, Seconds started) override {
    auto& x = member(m);
    const bool returns = x.seen && !x.listed, first = !x.seen;
    x.hash = hash, x.location = location, x.cell = cell;
    x.role = kind == roles.origin_kind                ? Role::origin
             : kind == roles.parent_kind && kind >= 0 ? Role::par
                                                      : Role::cache;
    x.weight = weight > 0 ? weight : 1;
    x.ready = state == EndpointState::ready;
    x.listed = state != EndpointState::gone;
    changed.push_back(m);
    if (!x.listed) return;
    x.seen = x.named = true;
    if (first) {
      const int routers = x.role == Role::cache ? place.routers_here : place.routers;
      x.hops.share(routers), x.fills.share(routers, x.role == Role::cache ? 1 : 0.05);
    }
    const bool told = started > x.started + 1e-3 && started > 0;
    // Back from being gone with no new start told: taken as fresh.
    if (told || (returns && !is_cold(x))) begin_afresh(x, told ? started : now);
  }

  void begin_afresh(Endpoint& x, Seconds started) {
    x.started = started;
    if (!is_cold(x)) return;
    if (!std::exchange(x.may_be_cold, true)) starting.push_back(static_cast<int>(&x - members.data()));
    constexpr double kFirst = 2;  // a fresh member's cap; grows with its answers
    x.hops.cap = x.fills.cap = kFirst, x.hops.crowded = x.fills.crowded = true;
    // A random phase: the first hops of many routers must not meet there.
    x.spent = mean_txn * std::uniform_real_distribution<>(0, 1)(chance_source), x.spent_at = now;
    x.failing = x.hold = 0, x.trial = 0, x.aside_until = -kNever;
  }

  const SlowStartSettings& rule_of(const Endpoint& x) const {
    return x.role == Role::par ? cold_par : cold_cache;
  }
  bool is_cold(const Endpoint& x) const {
    return x.role != Role::origin && now - x.started < rule_of(x).duration;
  }

  // ---- health (mechanism 2) ----------------------------------------------------------------------------

  // Guards against members that are dead, cut off, frozen or failing, whatever the cause. Could harm when a
  // member is only slow: then it is tried again after the hold, one hop at a time.
  void set_aside(Endpoint& x) {
    constexpr Seconds kFirst = 0.5,
                      kMost = 4;  // from about a client's patience for one hop to a restart's time
    x.hold = std::clamp(x.hold * 2, kFirst, kMost);
    x.aside_until = now + x.hold, x.trial = 3;
  }

  void went_wrong(int m, bool hard) {
    auto& x = members[m];
    x.failing += (1 - x.failing) * 0.1;
    if ((hard || x.failing > 0.3 || x.trial > 0) && now >= x.aside_until) {
      ++(hard ? ejected.unreachable : ejected.failing);
      set_aside(x);
    }
  }

  void went_well(int m) {
    auto& x = members[m];
    x.failing *= 0.9;
    if (x.trial > 0 && now >= x.aside_until && --x.trial == 0) x.hold = 0;
  }

  void heard_from(int m) {
    auto& x = members[m];
    if (x.heard > 0) x.gap += (std::min(1.0, now - std::max(x.heard, x.busy_since)) - x.gap) * 0.1;
    x.heard = now;
  }

  bool usable(const Endpoint& x) const {
    return x.listed && x.ready && now >= x.aside_until && (x.trial == 0 || x.out == 0);
  }

  // A member with several hops out and no answer for many times its usual gap is taken as silent; the hops
  // that wait there are moved.
  void look_for_silence() {
    std::map<int, int> waiting;  // by member
    const auto silent = [&](const Endpoint& x, Seconds sent) {
      return now - std::max({x.heard, x.busy_since, sent}) > std::clamp(8 * x.gap, 0.6, 5.0);
    };
    const auto stuck = [&](const Attempt& h) {
      if (silent(members[h.member], h.sent)) return h.member;
      return h.fill && silent(members[h.source], h.sent) ? h.source : -1;
    };
    for (const auto& t : txns)
      for (const auto& h : t.hops)
        if (h.out && t.represented_requests <= 0)  // what follows a lookup is never heard of
          if (const int m = stuck(h); m >= 0) ++waiting[m];
    for (const auto& [m, attempts] : waiting)
      if (attempts >= 2 && now >= members[m].aside_until) ++ejected.silent, set_aside(members[m]);
    if (!hopping.can_cancel) return;
    for (std::size_t i = 0; i < txns.size(); ++i) {
      auto& t = txns[i];
      if (!t.live || t.represented_requests > 0 || rules[t.rule].idempotency != Idempotency::idempotent)
        continue;
      for (std::size_t n = 0; n < t.hops.size(); ++n) {
        auto& h = t.hops[n];
        if (!h.out || h.moving) continue;
        int m = stuck(h);
        if (m < 0 || now >= members[m].aside_until) {
          // Guards against hops that are lost one by one while their member answers others.
          if (now - h.sent < patience_of(t)) continue;

          m = h.fill ? h.source : h.member;
          (h.fill ? members[m].fills : members[m].hops).lost(now);
        }
        h.moving = true;
        (m == h.member ? h.failed : h.source_failed) = true;
        say({.kind = Decision::Kind::cancel, .request = static_cast<int>(i), .attempt = static_cast<int>(n)});
      }
    }
  }

  // How long a hop of this txn may take before it is held for lost: well past what its rule's hops lately
  // took beyond the told sending time.
  Seconds patience_of(const RequestState& t) const { return expected(t) + 8 * lately(t).second; }
  Seconds expected(const RequestState& t) const { return (t.kbytes > 0 ? work_of(t) : 0) + lately(t).first; }
  const std::pair<double, double>& lately(const RequestState& t) const {
    return excess[t.kbytes > 0][t.rule];
  }
  void took_so_long(const RequestState& t, Seconds took) {
    auto& [mean, dev] = excess[t.kbytes > 0][t.rule];
    const double over = took - (t.kbytes > 0 ? work_of(t) : 0);
    dev += (std::abs(over - mean) - dev) * 0.02;  // some seconds of answers
    mean += (over - mean) * 0.02;
  }

  // ---- cold budgets (mechanism 3) ----------------------------------------------------------------------

  // Each router spends by itself, so that all together stay inside the stated multiple without knowing of
  // each other. Its part of a member is the told size over the routers that may send there; where no size is
  // told, the mean rate it lately got through the warm members of that role: all routers' together fit one.
  double cold_rate(const Endpoint& x) const {
    constexpr double kMargin =
        0.6;  // with the burst of a quarter well under the stated multiple in any window
    const bool par = x.role == Role::par;
    const double routers = par ? place.routers : place.routers_here;
    // At least its part of one transfer: less than any machine's size.
    const double part = weights_tell ? x.weight / routers : std::max(1 / routers, warm[par].rate);
    const auto& r = rule_of(x);
    const double warmed = std::clamp((now - x.started) / std::max(r.duration, 1e-9), 0.0, 1.0);
    const double certain = r.initial_share + (1 - r.initial_share) * warmed;  // share of its capacity
    return kMargin * r.multiple * certain * part;
  }
  // Hops count at their rule's mean, fills at a parent at their own work.
  // A txn alone may overdraw; a lookup, which may stand for thousands, may not.
  bool cold_room(const Endpoint& x, double work, double represented_requests = 0) const {
    if (!is_cold(x)) return true;
    work *= std::max(1.0, represented_requests);
    const double rate = cold_rate(x);
    const double spent = std::max(0.0, x.spent - rate * (now - x.spent_at));
    return (spent <= 0 && represented_requests <= 1) || spent + work <= rate * rule_of(x).window / 4;
  }
  void spend(Endpoint& x, double work) {
    if (!is_cold(x)) return;
    x.spent = std::max(0.0, x.spent - cold_rate(x) * (now - x.spent_at)) + work;
    x.spent_at = now;
  }
  void served(const Endpoint& x, double work) {
    if (x.role != Role::origin && !is_cold(x)) warm[x.role == Role::par].served += work;
  }
  void count_warm(Seconds since) {
    constexpr Seconds kOver = 4;  // smooths single heavy answers
    std::erase_if(starting, [&](int m) { return !(members[m].may_be_cold = is_cold(members[m])); });
    for (const auto role : {Role::cache, Role::par}) {
      auto& w = warm[role == Role::par];
      const auto cold = std::ranges::count_if(
          starting, [&](int m) { return members[m].counted && members[m].role == role; });
      const auto members_warm = ready_here[static_cast<int>(role)] - cold;
      // With none warm, what was known of them stands.
      if (members_warm > 0) w.rate += (w.served / members_warm / since - w.rate) * since / kOver;
      w.served = 0;
    }
  }

  // ---- purges (mechanism 5) ----------------------------------------------------------------------------

  // The oldest copy that will do: 0 for the rule's fresh time, never 0 where a purge covers it. It goes with
  // the hop to its source and to what it joins.
  Seconds age_limit(const RequestState& t) const {
    const Seconds fresh = rules[t.rule].max_age;
    if (t.since <= 0 && oldest <= 0) return 0;
    const Seconds purged = t.since > 0 ? now - t.since : kNever;
    // Less the ticks between telling and sending.
    const Seconds limit = std::max(0.001, std::min(purged, oldest > 0 ? oldest : kNever) - 0.005);
    return fresh > 0 ? std::min(fresh, limit) : limit;
  }

  // ---- picking -----------------------------------------------------------------------------------------

  // Members of a role in the hash order of an object, each by its told size. Prevents small parents that jam
  // while large ones have room.
  EndpointOrder::Ranking order(std::uint64_t object, Role role) const {
    return {listed[static_cast<int>(role)], object};
  }

  static bool failed_at(const RequestState& t, int m) {
    return std::ranges::any_of(t.hops, [&](const Attempt& h) { return h.failed && h.member == m; });
  }
  static bool failed_from(const RequestState& t, int m) {
    return std::ranges::any_of(t.hops, [&](const Attempt& h) { return h.source_failed && h.source == m; });
  }

  double work_of(const RequestState& t) const {
    return t.kbytes > 0 && filling.client_rate > 0 ? t.kbytes / filling.client_rate : mean_work[t.rule].mean;
  }
  // What a hop counts on a cold cache: its rule's mean, no less than the SLA time until that is proved.
  double cold_work(int rule) const {
    const auto& q = mean_work[rule];
    return q.unproved > 0 ? std::max(q.mean, rules[rule].latency_objective) : q.mean;
  }
  // What a hop weighs against limits and bounds: its work in mean txns; a video counts for many pages.
  double weight_of(const RequestState& t) const {
    return t.represented_requests > 0 ? t.in_flight : std::clamp(work_of(t) / mean_txn, 0.1, 5.0);
  }

  // The first in order that is usable and fits; without room everywhere the txn waits.
  int first_of(EndpointOrder::Ranking& all, const std::function<bool(int)>& fit) const {
    for (std::size_t place = 0;; ++place) {
      const int m = all.at(place);
      if (m < 0 || (usable(members[m]) && fit(m))) return m;
    }
  }

  int pick_source(const RequestState& t) {
    const double w = weight_of(t), work = work_of(t);
    const auto room = [&](int m) { return members[m].fills.room(w, now); };
    auto parents = order(t.object, Role::par);
    const int par = first_of(
        parents, [&](int m) { return room(m) && !failed_from(t, m) && cold_room(members[m], work); });
    if (par >= 0) return par;
    auto origins = order(t.object, Role::origin);
    return first_of(origins, room);
  }

  int origin() const {
    const auto& all = listed[static_cast<int>(Role::origin)].all();
    return all.empty() ? -1 : all.front().index;
  }

  struct Route {
    int member = -1, source = -1;
    bool cached_only = false;
  };

  // What the usable members have out, and their weights, in sum.
  struct Sums {
    double used = 0, size = 0;
  };
  Sums sums_of(EndpointOrder::Ranking& all) const {
    Sums sums;
    for (std::size_t place = 0; place < all.size(); ++place)
      if (const auto& x = members[all.at(place)]; usable(x)) sums.used += x.hops.used, sums.size += x.weight;
    return sums;
  }

  Route pick(RequestState& t) {
    Route p;
    const double work = cold_work(t.rule), w = weight_of(t);
    const auto& e = counts.at(t.copy, now);
    const bool sib_known = e.sib >= 0 && now - e.sib_at < 10;  // about as long as pooled caches keep things
    auto caches = order(t.copy, Role::cache);
    const double chance = t.looked ? 1 : misses.mean;  // that this hop draws a fill
    constexpr double kOver = 1.3, kFew = 8;  // mean txns: less moves hot objects about, more jams a cache
    std::optional<Sums> sums;                // looked at only where a member has more than a few
    const auto takes = [&](int m) {
      const auto& x = members[m];
      double fair_part = kFew;
      if (x.hops.used + w > kFew) {
        if (!sums) sums = sums_of(caches);
        fair_part = std::max(kFew, kOver * (sums->used + 1) * x.weight / std::max(sums->size, 1e-9));
      }
      // No answer will make a limit grow for lookups: one that was never cut does not hold them.
      const bool room = x.hops.room(w, now) || (t.represented_requests > 0 && !x.hops.crowded);
      return !failed_at(t, m) && room && x.hops.used + w <= fair_part &&
             cold_room(x, work, t.represented_requests);
    };
    // Where answers tell nothing, a look does: a hit, or lacking and then a fill.
    if (filling.reporting == FillReporting::none && !t.looked)
      if (const int m = first_of(caches, takes); m >= 0) return {m, m, false};
    // A lookup names no source: what its client's misses draw is the cache's own doing, and unseen.
    if (t.represented_requests > 0)
      if (const int m = first_of(caches, takes); m >= 0) return {m, m, false};
    p.member = first_of(caches, [&](int m) {
      return takes(m) && ((sib_known && e.sib == m) ||
                          (members[m].fills.room(w * chance, now) && link.room(w * chance, now)));
    });
    if (p.member >= 0) {
      if (!t.keep && filling.siblings != SiblingFills::none && sib_known && e.sib != p.member &&
          usable(members[e.sib]) && !failed_from(t, e.sib) && cold_room(members[e.sib], work))
        return {p.member, e.sib, true};
      p.source = pick_source(t);
      // No room at the origin behind a parent: that is asked for what it holds, once. Guards against an
      // origin that serves nobody in time while what parents hold waits behind it.
      const int behind = origin();
      p.cached_only = p.source >= 0 && members[p.source].role == Role::par && behind >= 0 &&
                      !members[behind].fills.room(w * par_misses.mean, now);
      if (p.source >= 0 && !(p.cached_only && t.par_lacks)) return p;
    }
    // No room for a fill: the cache that would hold the object is asked for what it holds, once. Guards
    // against hits that wait behind fills, whatever holds those up.
    if (!t.looked)
      if (const int m = first_of(caches, takes); m >= 0) return {m, m, false};
    // No cache of the location can take it: straight to a parent. Never because the caches are merely full.
    const auto left = [&](int m) { return !failed_at(t, m) && cold_room(members[m], work); };
    if (!roles.direct || first_of(caches, left) >= 0 || !link.room(w, now)) return {};
    p.member = pick_source(t);
    auto origins = order(t.object, Role::origin);
    p.source = first_of(origins, [](int) { return true; });  // a parent alone fills nothing
    return p.source < 0 ? Route{} : p;
  }

  // An uncacheable rule goes straight to the origin, or through a cache where the origin takes no hops.
  Route pass(const RequestState& t) {
    int origin = -1;  // also while set aside: nobody else can run it
    auto origins = order(t.object, Role::origin);
    for (std::size_t place = 0; place < origins.size(); ++place)
      if (const int m = origins.at(place); members[m].ready) origin = m;
    if (origin < 0) return {};
    if (roles.direct) return {origin, origin, false};
    auto caches = order(t.copy, Role::cache);
    const int cache =
        first_of(caches, [&](int m) { return !failed_at(t, m) && cold_room(members[m], work_of(t)); });
    return {cache, cache < 0 ? -1 : origin, false};
  }

  // ---- txns --------------------------------------------------------------------------------------------

  void say(Decision d) { said.push_back(std::move(d)); }

  void want(int i) {
    auto& t = txns[i];
    if (!t.live || t.queued) return;
    t.queued = true, ready.push_back(i);
  }

  // What the rule of effects allows now.
  bool may_hop_again(const RequestState& t) const {
    const auto& r = rules[t.rule];
    if (t.may_have_run >= kNever || r.idempotency == Idempotency::idempotent) return true;
    if (r.idempotency == Idempotency::non_idempotent) return false;
    return now - t.may_have_run < r.deduplication_window - 0.05;
  }
  bool repeat_dropped_at(const RequestState& t, int m) const {
    const auto& r = rules[t.rule];
    if (r.idempotency != Idempotency::with_key || t.may_have_run >= kNever ||
        r.deduplication == DeduplicationScope::all)
      return true;
    const auto& first = members[t.ran_at];
    return r.deduplication == DeduplicationScope::location ? first.location == members[m].location
                                                           : first.cell == members[m].cell;
  }
  bool may_reject(const RequestState& t) const {
    const auto& r = rules[t.rule];
    return t.may_have_run >= kNever || r.idempotency == Idempotency::idempotent ||
           (r.idempotency == Idempotency::with_key && r.deduplication == DeduplicationScope::all);
  }

  static void finish(RequestState& t) { t.live = t.queued = false; }

  // A client that got no answer may come again; that is no new demand.
  void expect_back(const RequestState& t) {
    if (rules[t.rule].uncacheable) return;
    auto& e = counts.at(t.object, now);
    e.owed = std::min(e.owed + 1, 20), e.owed_at = now;
  }

  void give_up(int i, ShedReason why) {
    auto& t = txns[i];
    expect_back(t);
    const Seconds pause = std::min(clients.longest_retry_after, 0.25);
    say({.kind = may_reject(t) ? Decision::Kind::reject : Decision::Kind::fail,
         .request = i,
         .time = pause,
         .reason = why});
    finish(t);
  }

  void hold(int i, Seconds wait) { due.insert({std::min(now + wait, txns[i].expires - 0.01), i}); }

  void decide(int i) {
    auto& t = txns[i];
    t.queued = false;
    if (!t.live || t.out > 0) return;
    const auto& r = rules[t.rule];
    constexpr Seconds kLast = 0.015;  // no hop ends well in less
    if (now > t.expires - kLast) return give_up(i, ShedReason::deadline_exceeded);
    if (static_cast<int>(t.hops.size()) >= hopping.max_attempts) return give_up(i, ShedReason::attempts_used);
    if (!may_hop_again(t)) return give_up(i, ShedReason::not_idempotent);
    const Route p = r.uncacheable ? pass(t) : pick(t);
    if (p.member < 0 || !repeat_dropped_at(t, p.member)) {
      const Seconds spare = r.latency_objective + r.latency_objective_stretch * work_of(t) -
                            expected(t);  // later it would end too late
      const Seconds last =
          std::min(t.taken + std::clamp(spare / 2, 0.05, r.latency_objective), t.expires - 2 * kLast);
      if (now >= last) return give_up(i, ShedReason::no_capacity);
      waiting.push_back(i);
      due.insert({last, i});
      return;
    }
    send(i, p);
  }

  // At or under the threshold nothing is kept; where several routers serve the location, one's first is
  // mostly the location's later, and stays at the rank that leaves first. A look leaves what it finds as it
  // is.
  int rank_of(const RequestState& t, const Route& p) const {
    if (t.keep) return kMiddleRank;
    return place.routers_here > 1 && p.source != p.member ? kLowestRank : 0;
  }

  void send(int i, const Route& p) {
    auto& t = txns[i];
    const auto& r = rules[t.rule];
    const auto& e = counts.at(t.copy, now);
    const double work = work_of(t);
    Attempt h{.member = p.member,
              .source = p.source,
              .cached_only = p.cached_only,
              .sent = now,
              .weight = weight_of(t)};
    auto& x = members[p.member];
    h.fill = p.source != p.member && !(e.sib == p.member && now - e.sib_at < 10);
    if (h.fill && x.role == Role::cache && !t.looked && !r.uncacheable) h.chance = misses.mean;
    t.looked = t.looked || (p.source == p.member && x.role == Role::cache);
    if (h.fill && members[p.source].role == Role::par && !p.cached_only)
      h.behind = origin(), h.through = h.weight * h.chance * par_misses.mean;
    charge(t, h, 1);
    spend(x, (x.role == Role::cache ? cold_work(t.rule) : work) * std::max(1.0, t.represented_requests));
    if (auto& s = members[p.source]; p.source != p.member)
      spend(s, s.role == Role::cache ? cold_work(t.rule) : work);
    Decision d{.kind = Decision::Kind::forward, .request = i, .endpoint = p.member, .source = p.source};
    if (x.role == Role::cache && !r.uncacheable) d.retention_rank = rank_of(t, p);
    // After a failure, no hop waits for a fill that may be lost.
    const auto ill = [](const Attempt& o) { return o.failed || o.source_failed; };
    d.join_fill = filling.coalesces && !r.uncacheable && std::ranges::none_of(t.hops, ill);
    d.cached_only = p.cached_only, d.max_age = r.uncacheable ? 0 : age_limit(t);
    // Guards against a hop that waits for its connection until the group has forgotten the one before it.
    if (r.idempotency == Idempotency::with_key && t.may_have_run < kNever)
      d.start_by = t.may_have_run + r.deduplication_window - 0.05;
    t.hops.push_back(h);
    say(std::move(d));
  }

  void request_received(int i, int rule, std::uint64_t object, int part, std::uint32_t group, double kbytes,
                        Seconds expires, bool repeat) override {
    if (i >= static_cast<int>(txns.size())) txns.resize(i + 1);
    auto& t = txns[i];
    t = {.live = true,
         .rule = rule,
         .object = object,
         .copy = copy_of(object, part),
         .group = group,
         .kbytes = kbytes};
    t.taken = now, t.expires = expires, t.sized = kbytes > 0;
    if (kbytes > 0 && filling.client_rate > 0) mean_work[rule].see(kbytes / filling.client_rate, true);
    if (!rules[rule].uncacheable) {
      auto& e = counts.at(object, now);
      if (kbytes <= 0) t.kbytes = e.kbytes;
      mean_txn += (work_of(t) - mean_txn) * 0.01;
      const bool again = repeat || (!clients.marks_retries && e.owed > 0 && now - e.owed_at < 2);
      if (again && e.owed > 0) --e.owed;
      if (!again && part == 0) e.count += 1;
      t.keep = e.count > kThreshold;
    }
    want(i);
  }

  // A hop weighs on its member and, by its chance, on the link and its source: 1 at its start, -1 at its end.
  void charge(RequestState& t, Attempt& h, int sign) {
    t.out += sign, h.out = sign > 0;
    const Seconds took = now - h.sent;
    const double fill = h.weight * h.chance;
    const auto hold = [&](Endpoint& m) {
      if (m.out == 0) m.busy_since = now;
      m.out += sign;
    };
    auto& x = members[h.member];
    hold(x);
    x.hops.hold(h.weight, sign, took, now);
    if (h.fill || x.role != Role::cache)
      x.fills.hold(fill, sign, took, now), link.hold(fill, sign, took, now);
    if (h.fill) hold(members[h.source]), members[h.source].fills.hold(fill, sign, took, now);
    if (h.behind >= 0) members[h.behind].fills.hold(h.through, sign, took, now);
  }

  void attempt_ended(int i, int n, AttemptOutcome v, FillOutcome note, Seconds took, Seconds waited,
                     Seconds sending, bool over) override {
    auto& t = txns[i];
    if (n < 0 || n >= static_cast<int>(t.hops.size()) || !t.hops[n].out) return;
    auto& h = t.hops[n];
    charge(t, h, -1);
    const auto& r = rules[t.rule];
    auto& x = members[h.member];
    const bool other_source = h.source >= 0 && h.source != h.member;
    // Guards against big answers that look late against the mean: limits were cut to their floor for them.
    if (sending > 0 && v == AttemptOutcome::served && !r.uncacheable) {
      counts.at(t.object, now).kbytes = sending * filling.client_rate;
      mean_work[t.rule].see(sending, true);
    }
    const double work = sending > 0 ? sending : work_of(t);
    const bool was_hit = note == FillOutcome::hit || note == FillOutcome::stale_copy ||
                         (!other_source && x.role == Role::cache);
    if (v != AttemptOutcome::timed_out && v != AttemptOutcome::unreachable &&
        v != AttemptOutcome::cancelled && v != AttemptOutcome::not_sent)
      heard_from(h.member);
    if (other_source && (v == AttemptOutcome::served ? !was_hit : note >= FillOutcome::source_rejected) &&
        note != FillOutcome::source_unreachable && note != FillOutcome::no_fill_capacity)
      heard_from(h.source);
    if (v == AttemptOutcome::served) {
      if (is_cold(x)) x.hops.cap += 0.25, x.fills.cap += 0.25;  // a fresh cap grows with its answers
      if (std::exchange(x.unreached, false) && !is_cold(x)) begin_afresh(x, now);  // may have restarted
      went_well(h.member);
      took_so_long(t, took);
      served(x, x.role == Role::cache ? mean_work[t.rule].mean : work);
      // With neither sizes nor loads told, a late answer may be a big object's: it speaks less of a crowd.
      const double sure = t.kbytes > 0 || sending > 0 || x.busy >= 0 ? 1 : 0.8;
      // Past a known own time a wait is a queue: a quarter SLA time ends quick growth, two are late.
      const double most = sending > 0 ? 1.2 * work + r.latency_objective : r.latency_objective_stretch * work;
      const double late =
          took > r.latency_objective + std::min(most, r.latency_objective_stretch * work) ? sure : 0;
      const bool quick = sending > 0 && took - 1.2 * sending < r.latency_objective / 4;
      if (x.role == Role::cache && other_source) misses.see(was_hit ? 0 : 1, true);
      if (was_hit && !t.sized && sending <= 0)
        mean_work[t.rule].see(took, x.busy >= 0 ? x.busy < 0.7 : x.hops.used < 3, x.busy >= 0);
      // With no sizes told, what a quiet cache took past the wait for its source stands for the size, for the
      // parts to come: else one of ten big objects looks late on a quiet link, and limits stay at their
      // floors.
      if (!t.sized && sending <= 0 && !r.uncacheable && (x.busy >= 0 ? x.busy < 0.7 : x.hops.used < 3) &&
          (was_hit || (waited > 0 && link.late < ConcurrencyLimit::kTooMany / 2))) {
        auto& known = counts.at(t.object, now).kbytes;
        const float kb = (took - waited) * filling.client_rate;
        known = known > 0 ? std::min(known, kb) : kb;
      }
      if (x.role == Role::cache && was_hit) x.hops.answered(late, now, quick);
      if (!was_hit) link.answered(late, now, quick);
      if (x.role == Role::origin) x.fills.answered(late, now, quick);
      // Where the wait for the first byte is told, only that speaks of the origin.
      const bool fetched = note == FillOutcome::from_origin && waited > 0;
      if (h.behind >= 0 && note != FillOutcome::filled && note != FillOutcome::coalesced && !was_hit)
        members[h.behind].fills.answered(fetched ? waited > r.latency_objective : late, now, quick);
      if (h.behind >= 0 && (note == FillOutcome::filled || note == FillOutcome::from_origin))
        par_misses.see(note == FillOutcome::from_origin, true);
      if (other_source && !was_hit) {
        went_well(h.source);
        auto& s = members[h.source];
        served(s, work);
        s.fills.answered(late, now, quick);
        x.fills.answered(0, now, quick);
        if (is_cold(s)) s.fills.cap += 0.25;
      }
      auto& e = counts.at(t.object, now);
      // In a flow of parts, a copy found here or at a parent stands for a txn that another router counted:
      // many routers would else pass popular flows through. Could harm where it is this router's own.
      if (r.in_parts && note != FillOutcome::from_origin && (was_hit || note != FillOutcome::none))
        e.count = std::max<float>(e.count, 2 * kThreshold);
      if (x.role == Role::cache && !r.uncacheable && (was_hit || t.keep)) {
        auto& copy = counts.at(t.copy, now);
        copy.sib = h.member, copy.sib_at = now;
      }
    } else if (v != AttemptOutcome::cancelled && v != AttemptOutcome::not_sent) {
      h.failed = true;
      blame(t, h, v, note);
    }
    if (!proves_not_run(v) && v != AttemptOutcome::served && t.may_have_run >= kNever)
      t.may_have_run = h.sent, t.ran_at = h.member;
    if (over) finish(t);
    if (!t.live) return;
    if (v == AttemptOutcome::rejected || (r.uncacheable && may_hop_again(t))) {
      h.failed = h.failed && !r.uncacheable;
      // Turned away: again after a growing pause, so that a crowd is not answered with a storm.
      return hold(i, (note == FillOutcome::origin_failed ? 0.5 : 0.02) * (1 << std::min(4, t.turned_away++)));
    }
    // One that fails at once is repeated at once, elsewhere; from the second on the attempts that are left
    // are spread over a part of the time that is left. Prevents requests refused with most of their time
    // left, where every endpoint fails for a moment.
    const bool at_once = v == AttemptOutcome::unreachable || v == AttemptOutcome::connection_broken;
    if (at_once && ++t.failed_at_once > 1) {
      constexpr double kPart = 0.25;
      constexpr Seconds kLeast = 0.02, kMost = 0.5;
      const int attempts_left = std::max(1, hopping.max_attempts - static_cast<int>(t.hops.size()));
      return hold(i, std::clamp(kPart * (t.expires - now) / attempts_left, kLeast, kMost));
    }
    want(i);
  }

  void forget_sib(const RequestState& t, int m) {
    if (auto& e = counts.at(t.copy, now); e.sib == m) e.sib = -1;
  }

  // Whose fault a failed hop is, by what its outcome and note prove.
  void blame(RequestState& t, Attempt& h, AttemptOutcome v, FillOutcome note) {
    auto& x = members[h.member];
    const bool other_source = h.source >= 0 && h.source != h.member;
    // An origin that turns away cuts this router's part of it; what waits for it in vain speaks where others
    // are late.
    const bool spent = v == AttemptOutcome::timed_out && now > t.expires - 0.02;
    const int behind = x.role == Role::origin ? h.member : h.behind;
    if (behind >= 0 && spent)
      members[behind].fills.lost(now);
    else if (behind >= 0 && (note == FillOutcome::origin_failed || v == AttemptOutcome::rejected ||
                             (h.behind >= 0 && note == FillOutcome::none && v != AttemptOutcome::not_cached)))
      members[behind].fills.cut(now);
    if (note >= FillOutcome::source_rejected) {
      h.source_failed = other_source && note != FillOutcome::no_fill_capacity;
      h.failed = !h.source_failed;  // else the cache is as good as before
      if (note == FillOutcome::source_not_cached) forget_sib(t, h.source);
      if (note == FillOutcome::source_rejected && other_source) members[h.source].fills.cut(now);
      if (note == FillOutcome::source_unreachable && other_source) went_wrong(h.source, false);
      if (note == FillOutcome::no_fill_capacity) x.fills.cut(now);
      return;
    }
    // The cache had just answered a look; where nothing is told, its fill's error is the source's.
    if (v == AttemptOutcome::error && note == FillOutcome::none && t.looked && other_source) {
      h.source_failed = true, h.failed = false;
      return went_wrong(h.source, false);
    }
    if (v == AttemptOutcome::not_cached) {
      if (h.cached_only && members[h.source].role == Role::par) t.par_lacks = t.looked = true;
      h.source_failed = h.cached_only && members[h.source].role == Role::cache;
      h.failed = !h.cached_only && other_source;  // not where it was only asked for what it holds
      if (h.cached_only) forget_sib(t, h.source);
      return;
    }
    if (v == AttemptOutcome::rejected) {
      if (other_source && filling.reporting != FillReporting::all)
        members[h.source].fills.cut(now);
      else
        x.hops.cut(now), x.fills.cut(now);
      return;
    }
    if (v == AttemptOutcome::timed_out && now > t.expires - 0.02) {
      (h.fill || x.role != Role::cache ? link : x.hops).lost(now);
      if (h.fill) members[h.source].fills.lost(now);
      return;
    }
    // Nobody there: it may start again at any moment, sooner than the list can tell, and is cold from then
    // on. Guards against the trials of all routers at once, which pushed over what had just started.
    if (v == AttemptOutcome::unreachable) {
      x.unreached = true;
      if (!is_cold(x)) begin_afresh(x, now);
      x.started = now;
    }
    // A second member that fails the same txn speaks of the txn: ids that no member knows make none look ill.
    if (v == AttemptOutcome::error && std::exchange(t.erred, true)) return;
    // One broken connection proves little: a reset or a spoilt answer, where a death breaks many at once.
    went_wrong(h.member, v != AttemptOutcome::error && v != AttemptOutcome::connection_broken);
  }

  // ---- the host's pulls --------------------------------------------------------------------------------

  void tick() {
    constexpr Seconds kTick = 0.05, kHalving = 30;  // a tick well under any patience; the design's halving
    tick_at = now + kTick;
    if (now >= halve_at) {
      if (halve_at > 0) counts.halve();
      halve_at = now + kHalving;
    }
    look_for_silence();
    count_warm(kTick);
    // Once; again only after a failed call.
    if (asks && now >= ask_at) ask_at = kNever, say({.kind = Decision::Kind::poll_discovery});
  }

  // Those that wait for room go first by importance for the work they ask, then by age.
  void place_all() {
    for (const int i : waiting) want(i);
    waiting.clear();
    std::stable_sort(ready.begin(), ready.end(), [&](int a, int b) {
      const auto rank = [&](const RequestState& t) {
        return std::pair(-rules[t.rule].priority / std::max(0.001, work_of(t)), -t.taken);
      };
      return rank(txns[a]) < rank(txns[b]);
    });
    for (const int i : std::exchange(ready, {})) decide(i);
  }

  std::optional<Decision> next() override {
    if (said_from < said.size()) return said[said_from++];
    said.clear(), said_from = 0;
    if (now >= tick_at) tick();
    while (!due.empty() && due.begin()->first <= now) {
      const int i = due.begin()->second;
      due.erase(due.begin());
      want(i);
    }
    place_all();
    const Seconds next_due = due.empty() ? tick_at : std::min(tick_at, due.begin()->first);
    if (next_due < woken_for) say({.kind = Decision::Kind::wake_up, .time = woken_for = next_due});
    return said.empty() ? std::nullopt : std::optional(said[said_from++]);
  }
};

}  // namespace

std::unique_ptr<RoutingPolicy> make_routing_policy(std::uint32_t seed) {
  return std::make_unique<Mind>(seed);
}

}  // namespace walkpaddle
