// Simulates the attempts that hundreds of uncoordinated routers send to a cold cache in sum. The slow-start
// settings allow N attempts per window; the sum may exceed that only by chance, taken as 2 * sqrt(N) + 2.
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

struct Conditions {
  int routers = 20;
  unsigned seed = 1;
  double busy_factor = 1;         // traffic of a router of the busiest tenth, as a multiple of the others'
  Seconds max_connect_delay = 0;  // attempts at a cold cache start late, by up to this
  SlowStartSettings cold{0.25, 4, 12, 1};
  double cores = 5, load = 0.55;
  Seconds work = 0.1;             // mean of a request
  int caches = 10, replaced = 1;  // number of caches, and of those replaced by cold ones
  bool routers_restart = false;   // seven in ten routers start when they receive the endpoint list
  Seconds list_delay = 0.5;       // time from the replacement until the routers receive the endpoint list
};

// Routers, caches, a parent and an origin. At 10 s some caches are replaced by as many cold ones.
class Simulation {
 public:
  explicit Simulation(const Conditions& conditions) : conditions_(conditions), random_(conditions.seed) {}

  // Runs the simulation. Returns the largest number of attempts by which a cold cache exceeded its bound;
  // negative if all stayed below it.
  double worst_excess() {
    policies_.resize(static_cast<std::size_t>(conditions_.routers));
    requests_.resize(policies_.size());
    for (int r = 0; r < conditions_.routers; ++r) start(r), schedule_arrival(r);
    constexpr Seconds kEnd = 30;
    schedule(kReplacedAt + conditions_.list_delay, [this] {
      for (int r = 0; r < conditions_.routers; ++r) {
        if (conditions_.routers_restart && r % 10 < 7) start(r);
        auto& b = *policies_[static_cast<std::size_t>(r)];
        b.clock(now_);
        b.begin_endpoint_list(false);
        for (int m = 0; m < conditions_.replaced; ++m) {
          b.update_endpoint(m, hash(m), 0, 1, 0, EndpointState::gone, 1, 0);
          b.update_endpoint(kFirstCold + m, hash(kFirstCold + m), 0, 1, 0, EndpointState::ready, 1,
                            kReplacedAt);
        }
        b.end_endpoint_list();
        handle_decisions(r);
      }
    });
    while (!events_.empty() && events_.top().at < kEnd) {
      auto e = events_.top();
      events_.pop();
      now_ = e.at;
      e.call();
    }
    double worst = -1e9;
    for (int m = 0; m < conditions_.replaced; ++m)
      worst = std::max(worst, worst_excess_of(attempts_[kFirstCold + m]));
    return worst;
  }
  // Number of attempts at cold caches.
  std::size_t attempts() const {
    std::size_t all = 0;
    for (const auto& [m, times] : attempts_) all += times.size();
    return all;
  }

 private:
  static constexpr int kFirstCold = 50;
  static constexpr Seconds kReplacedAt = 10;

  // Largest excess over the bound at one cold cache, given the times of its attempts.
  double worst_excess_of(std::vector<Seconds> times) const {
    std::sort(times.begin(), times.end());
    double worst = -1e9;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[first] < times[last] - conditions_.cold.window) ++first;
      const double warmed = std::min(1.0, (times[last] - kReplacedAt) / conditions_.cold.duration);
      if (warmed >= 1) break;
      const double part = conditions_.cold.initial_share + (1 - conditions_.cold.initial_share) * warmed;
      const double n =
          conditions_.cold.multiple * part * conditions_.cores / conditions_.work * conditions_.cold.window;
      worst = std::max(worst, static_cast<double>(last - first + 1) - (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }

  // Starts or restarts router `r`.
  void start(int r) {
    constexpr double kClientRate = 1000;
    auto& policy = policies_[static_cast<std::size_t>(r)];
    ++starts_[r];
    policy = make_routing_policy(conditions_.seed * 1000 + static_cast<unsigned>(r));
    requests_[static_cast<std::size_t>(r)].clear();
    auto& b = *policy;
    b.set_placement({0, conditions_.routers, conditions_.routers});
    b.set_roles({8, 9, true});
    b.add_request_class({.latency_objective = 0.4, .latency_objective_stretch = 2, .deadline = 5});
    b.set_retries({4, true});
    b.set_fills({SiblingFills::none, true, FillReporting::all, kClientRate});
    b.set_slow_start(conditions_.cold, {0.1, 2, 20, 1});
    b.set_weights_are_transfers(false);
    b.set_client_settings({false, 0.5});
    b.set_discovery_polling(false);
    b.clock(now_);
    b.begin_endpoint_list(true);
    for (int m = 0; m < conditions_.caches; ++m)
      b.update_endpoint(m, hash(m), 0, 1, 0, EndpointState::ready, 1, 0);
    b.update_endpoint(90, hash(90), 1, 8, 0, EndpointState::ready, 1, 0);
    b.update_endpoint(91, hash(91), 1, 9, 0, EndpointState::ready, 1, 0);
    b.end_endpoint_list();
    handle_decisions(r);
  }

  static std::uint64_t hash(int m) { return 0x9e3779b97f4a7c15u * static_cast<unsigned>(m + 1); }
  struct TimedCall {
    Seconds at;
    std::function<void()> call;
    bool operator<(const TimedCall& other) const { return at > other.at; }
  };
  struct OpenRequest {
    bool live = false;
    int attempt = -1;
    Seconds work = 0;
  };
  void schedule(Seconds when, std::function<void()> call) { events_.push({when, std::move(call)}); }

  void schedule_arrival(int r) {
    const bool busy = r % 10 == 0;
    const double share =
        (busy ? conditions_.busy_factor : 1) / (0.9 + 0.1 * conditions_.busy_factor) / conditions_.routers;
    const double rate = conditions_.load * conditions_.caches * conditions_.cores / conditions_.work * share;
    schedule(now_ + std::exponential_distribution<>(rate)(random_), [this, r] {
      auto& all = requests_[static_cast<std::size_t>(r)];
      int i = 0;
      while (i < static_cast<int>(all.size()) && all[static_cast<std::size_t>(i)].live) ++i;
      if (i == static_cast<int>(all.size())) all.emplace_back();
      all[static_cast<std::size_t>(i)] = {true, -1,
                                          std::exponential_distribution<>(1 / conditions_.work)(random_)};
      auto& b = *policies_[static_cast<std::size_t>(r)];
      b.clock(now_);
      const auto object = static_cast<std::uint64_t>(std::pow(2000, uniform_(random_)));
      b.request_received(i, 0, hash(static_cast<int>(object)), 0, 1, 0, now_ + 5, false);
      handle_decisions(r);
      schedule_arrival(r);
    });
  }

  void handle_decisions(int r) {
    auto& b = *policies_[static_cast<std::size_t>(r)];
    while (const auto d = b.next()) {
      using Kind = Decision::Kind;
      if (d->kind == Kind::wake_up)
        schedule(d->time, [this, r] {
          auto& policy = *policies_[static_cast<std::size_t>(r)];
          policy.clock(now_);
          policy.timer_fired();
          handle_decisions(r);
        });
      if (d->kind == Kind::reject || d->kind == Kind::fail)
        requests_[static_cast<std::size_t>(r)][static_cast<std::size_t>(d->request)].live = false;
      if (d->kind == Kind::cancel)
        end(r, d->request, d->attempt, AttemptOutcome::cancelled, FillOutcome::none, 0.01, 0.01);
      if (d->kind == Kind::forward) answer_attempt(r, *d);
    }
  }

  void answer_attempt(int r, const Decision& d) {
    auto& t = requests_[static_cast<std::size_t>(r)][static_cast<std::size_t>(d.request)];
    ++t.attempt;
    Seconds connect_delay = 0;
    for (const int m : {d.endpoint, d.source == d.endpoint ? -1 : d.source})
      if (m >= kFirstCold && m < kFirstCold + conditions_.replaced) {
        connect_delay = conditions_.max_connect_delay * uniform_(random_);
        attempts_[m].push_back(now_ + connect_delay);
      }
    const bool hit = uniform_(random_) < 0.7;
    const Seconds took = connect_delay + 0.01 + t.work + (hit ? 0 : 0.05);
    end(r, d.request, t.attempt, AttemptOutcome::served, hit ? FillOutcome::hit : FillOutcome::from_origin,
        took, took);
  }

  // Schedules the end of an attempt of request `i`.
  void end(int r, int i, int attempt, AttemptOutcome outcome, FillOutcome fill, Seconds after, Seconds took) {
    schedule(now_ + after, [=, this, of = starts_[r]] {
      if (starts_[r] != of) return;  // the attempt belonged to the router before its restart
      auto& t = requests_[static_cast<std::size_t>(r)][static_cast<std::size_t>(i)];
      if (!t.live || t.attempt != attempt) return;
      const bool request_ended = outcome == AttemptOutcome::served;
      if (request_ended) t.live = false;
      auto& b = *policies_[static_cast<std::size_t>(r)];
      b.clock(now_);
      b.attempt_ended(i, attempt, outcome, fill, took, 0.01, t.work, request_ended);
      handle_decisions(r);
    });
  }

  const Conditions conditions_;
  std::mt19937 random_;
  std::uniform_real_distribution<> uniform_{0, 1};
  Seconds now_ = 0;
  std::priority_queue<TimedCall> events_;
  std::vector<std::unique_ptr<RoutingPolicy>> policies_;
  std::vector<std::vector<OpenRequest>> requests_;
  std::map<int, int> starts_;                     // number of starts, by router
  std::map<int, std::vector<Seconds>> attempts_;  // times of the attempts, by cold cache
};

}  // namespace

TEST_CASE("given routers that know only their own traffic, then attempts at cold caches are bounded in sum") {
  const int routers = GENERATE(20, 300);
  const double busy_factor = GENERATE(1.0, 4.0);
  const Seconds max_connect_delay = GENERATE(0.0, 1.0);
  const int replaced = GENERATE(1, 6);
  const bool routers_restart = GENERATE(false, true);
  const auto cold = GENERATE(SlowStartSettings{0.25, 4, 12, 1}, SlowStartSettings{0.1, 2, 8, 1},
                             SlowStartSettings{0.16, 3, 8, 3});
  Simulation simulation({.routers = routers,
                         .seed = 7,
                         .busy_factor = busy_factor,
                         .max_connect_delay = max_connect_delay,
                         .cold = cold,
                         .replaced = replaced,
                         .routers_restart = routers_restart});
  const double excess = simulation.worst_excess();
  INFO(routers << " routers, busy factor " << busy_factor << ", connect delay up to " << max_connect_delay
               << " s, " << replaced << " replaced, " << (routers_restart ? "routers restarted, " : "")
               << "initial share " << cold.initial_share << ", multiple " << cold.multiple << ": "
               << simulation.attempts() << " attempts, largest excess over the bound " << excess);
  CHECK(excess <= 0);
  CHECK(simulation.attempts() > 50);  // the cold caches are used nevertheless
}

TEST_CASE("given large objects or a late endpoint list, then attempts at cold caches are bounded in sum") {
  const int routers = GENERATE(20, 300);
  const Seconds work = GENERATE(0.02, 0.4, 1.0);
  const Seconds list_delay = GENERATE(0.05, 4.0);
  const bool routers_restart = GENERATE(false, true);
  const double load = GENERATE(0.55, 1.1);
  Simulation simulation({.routers = routers,
                         .seed = 11,
                         .busy_factor = 4,
                         .load = load,
                         .work = work,
                         .replaced = 3,
                         .routers_restart = routers_restart,
                         .list_delay = list_delay});
  const double excess = simulation.worst_excess();
  INFO(routers << " routers, work " << work << " s, list delay " << list_delay << " s"
               << (routers_restart ? ", routers restarted" : "") << ", load " << load << ": "
               << simulation.attempts() << " attempts, largest excess over the bound " << excess);
  CHECK(excess <= 0);
  CHECK(simulation.attempts() > 0);
}
