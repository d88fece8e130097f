// The warm-start snapshot. As text: it is read back as written, and a damaged text is refused or gives the
// same snapshot. In the routing policy, in virtual time: what routers send to warm and cold endpoints in the
// first seconds after a start, without a snapshot, with a plausible one and with wrong ones.
#include <rapidcheck.h>

#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "base/text.h"
#include "config/settings.h"
#include "routing/policy.h"
#include "warm_start/snapshot_file.h"

using namespace walkpaddle;

namespace {

warm_start::SnapshotFile arbitrary_snapshot() {
  warm_start::SnapshotFile k{.family = "edge", .client_kb_per_s = 6000, .written_at = 1000};
  const auto classes = *rc::gen::inRange(0, 5), endpoints = *rc::gen::inRange(0, 5);
  for (int n = 0; n < classes; ++n)
    k.service_times.push_back(
        {"rule" + std::to_string(n), *rc::gen::inRange(1, 600000) / 1e3, *rc::gen::inRange(1, 1000)});
  for (int n = 0; n < endpoints; ++n)
    k.unreachable.push_back({"s-" + std::to_string(n), *rc::gen::inRange(0, 1000000) / 1e3});
  return k;
}

bool same(const warm_start::SnapshotFile& a, const warm_start::SnapshotFile& b) {
  return warm_start::serialize(a) == warm_start::serialize(b);
}

// The reason for which a text is refused, or "accepted".
std::string refusal(const std::string& text, std::string_view family, double client_kb_per_s,
                    Seconds now) try {
  warm_start::parse_snapshot(text, family, client_kb_per_s, now);
  return "accepted";
} catch (const InputError& e) {
  return e.what();
}

// Slow start: a cold endpoint starts with the share kInitialShare of its capacity, which grows over
// kWarmUpTime. In each window it may be sent kMultiple times its capacity at that time.
constexpr Seconds kStart = 5000, kWindow = 1, kWarmUpTime = 13;
constexpr double kInitialShare = 0.15, kMultiple = 2;

struct Totals {
  int requests = 0, rejected = 0, first[3] = {};  // first: first attempts of the routers, by endpoint
  double most[3] = {};  // largest work sent to an endpoint in a window, as a share of its slow-start limit
};

// Runs routers for 4 s in one location with three endpoints: one is warm, one is listed as cold, and one has
// restarted, which the endpoint list does not show yet. Answers arrive after their service time.
Totals simulate_start(int routers, const WarmStartSnapshot* snapshot) {
  constexpr Seconds kServiceTime = 0.2, kDuration = 4;
  constexpr double kConcurrency = 6;  // concurrent transfers of an endpoint
  struct Work {
    Seconds at;
    double work;  // transfer-seconds
  };
  std::deque<Work> sent[3];
  Totals totals;
  struct InFlight {
    Seconds at;
    int request, attempt;
  };
  struct Router {
    std::unique_ptr<RoutingPolicy> policy;
    std::deque<InFlight> in_flight;
    std::vector<int> attempts;  // by request
    bool first = true;          // no attempt was sent yet
  };
  std::vector<Router> all;
  for (int n = 0; n < routers; ++n) {
    auto policy = make_routing_policy(static_cast<std::uint32_t>(n + 1));
    policy->set_placement({0, routers, routers});
    policy->set_roles({8, 9, false});
    policy->add_request_class({.latency_objective = 0.4, .latency_objective_stretch = 1.6, .deadline = 5});
    policy->set_retries({6, true});
    policy->set_fills({SiblingFills::none, true, FillReporting::all, 6000});
    policy->set_slow_start({kInitialShare, kMultiple, kWarmUpTime, kWindow}, {0.066, 2, 22, kWindow});
    policy->set_weights_are_transfers(false);
    policy->clock(kStart);
    policy->begin_endpoint_list(true);
    const Seconds starts[3] = {0, kStart - 1, 0};
    for (int m = 0; m < 3; ++m)
      policy->update_endpoint(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, EndpointState::ready, 1,
                              starts[m]);
    policy->update_endpoint(3, stable_hash("par"), 1, 8, 0, EndpointState::ready, 1, 0);
    policy->update_endpoint(4, stable_hash("origin"), 1, 9, 0, EndpointState::ready, 1, 0);
    policy->end_endpoint_list();
    if (snapshot != nullptr) policy->restore_snapshot(*snapshot);
    all.push_back({std::move(policy), {}, {}});
  }
  std::mt19937 random(3);
  for (Seconds now = kStart; now < kStart + kDuration; now += 0.01)
    for (auto& router : all) {
      router.policy->clock(now);
      while (!router.in_flight.empty() && router.in_flight.front().at <= now) {
        const auto ended = router.in_flight.front();
        router.in_flight.pop_front();
        router.policy->attempt_ended(ended.request, ended.attempt, AttemptOutcome::served, FillOutcome::hit,
                                     kServiceTime, 0, 0, true);
      }
      if (random() % 50 == 0) {  // two requests per second
        const int t = static_cast<int>(router.attempts.size());
        router.attempts.push_back(0);
        ++totals.requests;
        router.policy->request_received(t, 0, stable_hash(std::to_string(random())), 0, 0, 0, now + 5, false);
      }
      router.policy->timer_fired();
      while (const auto d = router.policy->next()) {
        if (d->kind == Decision::Kind::reject || d->kind == Decision::Kind::fail) ++totals.rejected;
        if (d->kind != Decision::Kind::forward || d->endpoint > 2) continue;
        router.in_flight.push_back(
            {now + kServiceTime, d->request, router.attempts[static_cast<std::size_t>(d->request)]++});
        if (std::exchange(router.first, false)) ++totals.first[d->endpoint];
        auto& window = sent[d->endpoint];
        window.push_back({now, kServiceTime});
        while (window.front().at < now - kWindow) window.pop_front();
        double sum = 0;
        for (const auto& x : window) sum += x.work;
        auto& most = totals.most[d->endpoint];
        const Seconds age = now - kWindow / 2 -
                            (d->endpoint == 1 ? kStart - 1 : kStart - 0.5);  // in the middle of the window
        const double share =
            d->endpoint == 0 ? 1 : kInitialShare + (1 - kInitialShare) * std::max(0.0, age) / kWarmUpTime;
        most = std::max(most, sum / (kMultiple * kConcurrency * kWindow * share));
      }
    }
  return totals;
}

// The attempts that a router sends at once, and how many of these have the cache retain what it fills.
struct Burst {
  int attempts = 0, retained = 0;
};
// Gives a router 400 requests at one time, with two warm endpoints.
Burst simulate_burst(const WarmStartSnapshot* snapshot) {
  auto policy = make_routing_policy(1);
  policy->set_placement({0, 1, 1});
  policy->set_roles({8, 9, true});
  policy->add_request_class({.latency_objective = 1, .deadline = 5, .priority = 1});
  policy->set_retries({6, true});
  policy->set_fills({SiblingFills::none, true, FillReporting::all, 6000});
  policy->set_weights_are_transfers(false);
  policy->clock(kStart);
  policy->begin_endpoint_list(true);
  for (int m = 0; m < 2; ++m)
    policy->update_endpoint(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, EndpointState::ready, 1, 0);
  policy->update_endpoint(3, stable_hash("par"), 1, 8, 0, EndpointState::ready, 1, 0);
  policy->update_endpoint(4, stable_hash("origin"), 1, 9, 0, EndpointState::ready, 1, 0);
  policy->end_endpoint_list();
  if (snapshot != nullptr) policy->restore_snapshot(*snapshot);
  for (int t = 0; t < 400; ++t)
    policy->request_received(t, 0, stable_hash(std::to_string(t)), 0, 0, 0, kStart + 5, false);
  Burst burst;
  while (const auto d = policy->next())
    if (d->kind == Decision::Kind::forward) ++burst.attempts, burst.retained += d->retention_rank > 0;
  return burst;
}

void print(const char* name, const Totals& t) {
  std::printf(
      "%s: rejected %.2f; first attempts %d warm, %d listed cold, %d restarted; share of the limit %.2f, "
      "%.2f\n",
      name, static_cast<double>(t.rejected) / t.requests, t.first[0], t.first[1], t.first[2], t.most[1],
      t.most[2]);
}

}  // namespace

int main() {
  bool good = rc::check("a serialised snapshot is parsed back", [] {
    const auto k = arbitrary_snapshot();
    RC_ASSERT(same(warm_start::parse_snapshot(warm_start::serialize(k), "edge", 6000, 1010), k));
  });
  good = rc::check("a text with a changed byte is refused or gives the same snapshot",
                   [] {
                     const auto k = arbitrary_snapshot();
                     auto text = warm_start::serialize(k);
                     text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                     try {
                       RC_ASSERT(same(warm_start::parse_snapshot(text, "edge", 6000, 1010), k));
                     } catch (const InputError&) {
                     }
                   }) &&
         good;
  good = rc::check("a truncated text is refused",
                   [] {
                     const auto text = warm_start::serialize(arbitrary_snapshot());
                     const auto size = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
                     RC_ASSERT(refusal(text.substr(0, size), "edge", 6000, 1010) != "accepted");
                   }) &&
         good;
  std::printf("properties %s\n", good ? "hold" : "FAIL");

  warm_start::SnapshotFile k{.family = "edge",
                             .client_kb_per_s = 6000,
                             .written_at = 1000,
                             .service_times = {{"page", 0.2, 40}},
                             .unreachable = {}};
  const auto text = warm_start::serialize(k);
  std::printf("unchanged: %s\n", refusal(text, "edge", 6000, 1010).c_str());
  std::printf("two hours later: %s\n", refusal(text, "edge", 6000, 8200).c_str());
  std::printf("written an hour ahead: %s\n", refusal(text, "edge", 6000, -2600).c_str());
  std::printf("other kind of service: %s\n", refusal(text, "mesh", 6000, 1010).c_str());
  std::printf("other client bandwidth: %s\n", refusal(text, "edge", 9000, 1010).c_str());
  std::printf("too large: %s\n", refusal(text + std::string(70000, ' '), "edge", 6000, 1010).c_str());
  k.service_times.assign(1000, {"page", 0.2, 40});
  std::printf("a thousand request classes: %zu are kept\n",
              warm_start::parse_snapshot(warm_start::serialize(k), "edge", 6000, 1010).service_times.size());

  const WarmStartSnapshot plausible{.service_times = {{0.2, 40}}, .unreachable = {{2, 4999.5}}};
  const WarmStartSnapshot wrong{.service_times = {{1e-9, 1000000}},
                                .unreachable = {{0, 9999}, {1, 1}, {4, 4999}}};
  print("no snapshot", simulate_start(20, nullptr));
  print("snapshot", simulate_start(20, &plausible));
  print("wrong values", simulate_start(20, &wrong));
  const WarmStartSnapshot long_times{.service_times = {{600, 40}}, .unreachable = {}};
  print("service time above the deadline", simulate_start(20, &long_times));

  WarmStartSnapshot limits{.limits = {{0, 60, 40}, {1, 60, 40}, {2, 60, 40}, {3, 60, 40}, {4, 60, 40}},
                           .link_limit = 60,
                           .miss_ratio = 0.1};
  for (int o = 0; o < 400; ++o) limits.objects.push_back({stable_hash(std::to_string(o)), 1.5});
  const auto print_burst = [](const char* name, const WarmStartSnapshot* snapshot) {
    const auto burst = simulate_burst(snapshot);
    std::printf("%s: %d attempts at once, %d of them retained\n", name, burst.attempts, burst.retained);
  };
  print_burst("no snapshot", nullptr);
  print_burst("limits and reference counters", &limits);
  limits.age = 60;
  print_burst("snapshot one minute old", &limits);
  limits.age = 600;
  print_burst("snapshot ten minutes old", &limits);
  const WarmStartSnapshot huge{.limits = {{0, 1e6, 1e6}, {1, 1e6, 1e6}, {2, 1e6, 1e6}, {7, 1e6, 1e6}},
                               .link_limit = 1e6,
                               .miss_ratio = 0};
  print("huge limits", simulate_start(20, &huge));
  return good ? 0 : 1;
}
