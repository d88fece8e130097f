// What hundreds of routers send a cold cache server in sum, each by itself: never past what its settings
// allow it, N in a window, by more than chance, 2 roots of N and 2.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "routing/policy.h"

using namespace walkpaddle;

namespace {

struct Day {
  int routers = 20;
  unsigned seed = 1;
  double uneven = 1;     // a tenth of the routers see so many times the others' traffic
  Seconds comes_up = 0;  // connections to the cold one come up late, by up to this
  SlowStartSettings cold{0.25, 4, 12, 1};
  double cores = 5, load = 0.55;
  Seconds work = 0.1;             // of a txn, in the mean
  int caches = 10, replaced = 1;  // so many of them, by as many cold ones
  bool anew = false;              // seven in ten routers start when these do
  Seconds told = 0.5;             // after the change
};

// Routers, caches, a parent and an origin; at 10 s some caches go and as many cold ones come. Gives how far
// the sum of sends to one of these was past its bound at worst, in requests.
class World {
 public:
  explicit World(const Day& day) : day_(day), chance_(day.seed) {}

  double worst() {
    brains_.resize(static_cast<std::size_t>(day_.routers));
    txns_.resize(brains_.size());
    for (int r = 0; r < day_.routers; ++r) start(r), arrive(r);
    constexpr Seconds kEnd = 30;
    at(kStart + day_.told, [this] {
      for (int r = 0; r < day_.routers; ++r) {
        if (day_.anew && r % 10 < 7) start(r);
        auto& b = *brains_[static_cast<std::size_t>(r)];
        b.clock(now_);
        b.begin_endpoint_list(false);
        for (int m = 0; m < day_.replaced; ++m) {
          b.update_endpoint(m, hash(m), 0, 1, 0, EndpointState::gone, 1, 0);
          b.update_endpoint(kCold + m, hash(kCold + m), 0, 1, 0, EndpointState::ready, 1, kStart);
        }
        b.end_endpoint_list();
        pull(r);
      }
    });
    while (!events_.empty() && events_.top().at < kEnd) {
      auto e = events_.top();
      events_.pop();
      now_ = e.at;
      e.call();
    }
    double worst = -1e9;
    for (int m = 0; m < day_.replaced; ++m) worst = std::max(worst, worst_of(sends_[kCold + m]));
    return worst;
  }
  std::size_t sends() const {
    std::size_t all = 0;
    for (const auto& [m, times] : sends_) all += times.size();
    return all;
  }

 private:
  static constexpr int kCold = 50;
  static constexpr Seconds kStart = 10;

  double worst_of(std::vector<Seconds> times) const {
    std::sort(times.begin(), times.end());
    double worst = -1e9;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[first] < times[last] - day_.cold.window) ++first;
      const double warmed = std::min(1.0, (times[last] - kStart) / day_.cold.duration);
      if (warmed >= 1) break;
      const double part = day_.cold.initial_share + (1 - day_.cold.initial_share) * warmed;
      const double n = day_.cold.multiple * part * day_.cores / day_.work * day_.cold.window;
      worst = std::max(worst, static_cast<double>(last - first + 1) - (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }

  void start(int r) {
    constexpr double kPace = 1000;
    auto& brain = brains_[static_cast<std::size_t>(r)];
    ++starts_[r];
    brain = make_routing_policy(day_.seed * 1000 + static_cast<unsigned>(r));
    txns_[static_cast<std::size_t>(r)].clear();
    auto& b = *brain;
    b.set_placement({0, day_.routers, day_.routers});
    b.set_roles({8, 9, true});
    b.add_request_class({.latency_objective = 0.4, .latency_objective_stretch = 2, .deadline = 5});
    b.set_retries({4, true});
    b.set_fills({SiblingFills::none, true, FillReporting::all, kPace});
    b.set_slow_start(day_.cold, {0.1, 2, 20, 1});
    b.set_weights_are_transfers(false);
    b.set_client_settings({false, 0.5});
    b.set_discovery_polling(false);
    b.clock(now_);
    b.begin_endpoint_list(true);
    for (int m = 0; m < day_.caches; ++m) b.update_endpoint(m, hash(m), 0, 1, 0, EndpointState::ready, 1, 0);
    b.update_endpoint(90, hash(90), 1, 8, 0, EndpointState::ready, 1, 0);
    b.update_endpoint(91, hash(91), 1, 9, 0, EndpointState::ready, 1, 0);
    b.end_endpoint_list();
    pull(r);
  }

  static std::uint64_t hash(int m) { return 0x9e3779b97f4a7c15u * static_cast<unsigned>(m + 1); }
  struct At {
    Seconds at;
    std::function<void()> call;
    bool operator<(const At& other) const { return at > other.at; }
  };
  struct Open {
    bool live = false;
    int hop = -1;
    Seconds work = 0;
  };
  void at(Seconds when, std::function<void()> call) { events_.push({when, std::move(call)}); }

  void arrive(int r) {
    const bool busy = r % 10 == 0;
    const double share = (busy ? day_.uneven : 1) / (0.9 + 0.1 * day_.uneven) / day_.routers;
    const double rate = day_.load * day_.caches * day_.cores / day_.work * share;
    at(now_ + std::exponential_distribution<>(rate)(chance_), [this, r] {
      auto& all = txns_[static_cast<std::size_t>(r)];
      int i = 0;
      while (i < static_cast<int>(all.size()) && all[static_cast<std::size_t>(i)].live) ++i;
      if (i == static_cast<int>(all.size())) all.emplace_back();
      all[static_cast<std::size_t>(i)] = {true, -1, std::exponential_distribution<>(1 / day_.work)(chance_)};
      auto& b = *brains_[static_cast<std::size_t>(r)];
      b.clock(now_);
      const auto object = static_cast<std::uint64_t>(std::pow(2000, uniform_(chance_)));
      b.request_received(i, 0, hash(static_cast<int>(object)), 0, 1, 0, now_ + 5, false);
      pull(r);
      arrive(r);
    });
  }

  void pull(int r) {
    auto& b = *brains_[static_cast<std::size_t>(r)];
    while (const auto d = b.next()) {
      using Kind = Decision::Kind;
      if (d->kind == Kind::wake_up)
        at(d->time, [this, r] {
          auto& timer_fired = *brains_[static_cast<std::size_t>(r)];
          timer_fired.clock(now_);
          timer_fired.timer_fired();
          pull(r);
        });
      if (d->kind == Kind::reject || d->kind == Kind::fail)
        txns_[static_cast<std::size_t>(r)][static_cast<std::size_t>(d->request)].live = false;
      if (d->kind == Kind::cancel)
        end(r, d->request, d->attempt, AttemptOutcome::cancelled, FillOutcome::none, 0.01, 0.01);
      if (d->kind == Kind::forward) deliver(r, *d);
    }
  }

  void deliver(int r, const Decision& d) {
    auto& t = txns_[static_cast<std::size_t>(r)][static_cast<std::size_t>(d.request)];
    ++t.hop;
    Seconds late = 0;
    for (const int m : {d.endpoint, d.source == d.endpoint ? -1 : d.source})
      if (m >= kCold && m < kCold + day_.replaced) {
        late = day_.comes_up * uniform_(chance_);
        sends_[m].push_back(now_ + late);
      }
    const bool hit = uniform_(chance_) < 0.7;
    const Seconds took = late + 0.01 + t.work + (hit ? 0 : 0.05);
    end(r, d.request, t.hop, AttemptOutcome::served, hit ? FillOutcome::hit : FillOutcome::from_origin, took,
        took);
  }

  void end(int r, int i, int hop, AttemptOutcome v, FillOutcome note, Seconds after, Seconds took) {
    at(now_ + after, [=, this, of = starts_[r]] {
      if (starts_[r] != of) return;  // of the router before
      auto& t = txns_[static_cast<std::size_t>(r)][static_cast<std::size_t>(i)];
      if (!t.live || t.hop != hop) return;
      const bool over = v == AttemptOutcome::served;
      if (over) t.live = false;
      auto& b = *brains_[static_cast<std::size_t>(r)];
      b.clock(now_);
      b.attempt_ended(i, hop, v, note, took, 0.01, t.work, over);
      pull(r);
    });
  }

  const Day day_;
  std::mt19937 chance_;
  std::uniform_real_distribution<> uniform_{0, 1};
  Seconds now_ = 0;
  std::priority_queue<At> events_;
  std::vector<std::unique_ptr<RoutingPolicy>> brains_;
  std::vector<std::vector<Open>> txns_;
  std::map<int, int> starts_;                  // by router
  std::map<int, std::vector<Seconds>> sends_;  // by cold server
};

}  // namespace

TEST_CASE("given routers that each know their own traffic, then cold caches bear what all send them in sum") {
  const int routers = GENERATE(20, 300);
  const double uneven = GENERATE(1.0, 4.0);
  const Seconds late = GENERATE(0.0, 1.0);
  const int replaced = GENERATE(1, 6);
  const bool anew = GENERATE(false, true);
  const auto cold = GENERATE(SlowStartSettings{0.25, 4, 12, 1}, SlowStartSettings{0.1, 2, 8, 1},
                             SlowStartSettings{0.16, 3, 8, 3});
  World w({.routers = routers,
           .seed = 7,
           .uneven = uneven,
           .comes_up = late,
           .cold = cold,
           .replaced = replaced,
           .anew = anew});
  const double worst = w.worst();
  INFO(routers << " routers, uneven " << uneven << ", late by " << late << ", " << replaced << " replaced, "
               << (anew ? "started anew, " : "") << cold.initial_share << " of " << cold.multiple << ": "
               << w.sends() << " sends, at worst " << worst << " past the bound");
  CHECK(worst <= 0);
  CHECK(w.sends() > 50);  // they are used all the same
}

TEST_CASE("given heavy objects, or a list that is late, then cold caches bear what all send them in sum") {
  const int routers = GENERATE(20, 300);
  const Seconds work = GENERATE(0.02, 0.4, 1.0);
  const Seconds told = GENERATE(0.05, 4.0);
  const bool anew = GENERATE(false, true);
  const double load = GENERATE(0.55, 1.1);
  World w({.routers = routers,
           .seed = 11,
           .uneven = 4,
           .load = load,
           .work = work,
           .replaced = 3,
           .anew = anew,
           .told = told});
  const double worst = w.worst();
  INFO(routers << " routers, work " << work << ", told after " << told << (anew ? ", started anew" : "")
               << ", load " << load << ": " << w.sends() << " sends, at worst " << worst
               << " past the bound");
  CHECK(worst <= 0);
  CHECK(w.sends() > 0);
}
