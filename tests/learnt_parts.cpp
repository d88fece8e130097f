// What is learnt, as text: what is written reads back; whatever happens to the text, it is refused or the
// same. And the first seconds of routers that take it over, in virtual time: what a box that was not reached
// gets.
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

warm_start::SnapshotFile some_snapshot() {
  warm_start::SnapshotFile k{.family = "edge", .client_kb_per_s = 6000, .written_at = 1000};
  const auto rules = *rc::gen::inRange(0, 5), members = *rc::gen::inRange(0, 5);
  for (int n = 0; n < rules; ++n)
    k.service_times.push_back(
        {"rule" + std::to_string(n), *rc::gen::inRange(1, 600000) / 1e3, *rc::gen::inRange(1, 1000)});
  for (int n = 0; n < members; ++n)
    k.unreachable.push_back({"s-" + std::to_string(n), *rc::gen::inRange(0, 1000000) / 1e3});
  return k;
}

bool same(const warm_start::SnapshotFile& a, const warm_start::SnapshotFile& b) {
  return warm_start::serialize(a) == warm_start::serialize(b);
}

std::string refusal(const std::string& text, std::string_view family, double pace, Seconds now) try {
  warm_start::parse_snapshot(text, family, pace, now);
  return "taken";
} catch (const InputError& e) {
  return e.what();
}

// One location: a box that is warm, one that the list tells of as cold, one that restarted and that no list
// has told of yet. Each router sends for 4 s; answers come after their own time.
constexpr Seconds kStart = 5000, kWindow = 1, kWarm = 13;
constexpr double kFrom = 0.15, kMultiple = 2;

struct Seen {
  int taken = 0, rejected = 0, first[3] = {};
  double most[3] = {};  // largest work in a window, over what the box may be sent then
};

Seen first_seconds(int routers, const WarmStartSnapshot* learnt) {
  constexpr Seconds kSending = 0.2, kLong = 4;
  constexpr double kSize = 6;  // transfers at once
  struct Work {
    Seconds at;
    double work;
  };
  std::deque<Work> sent[3];
  Seen seen;
  struct Out {
    Seconds at;
    int txn, hop;
  };
  struct One {
    std::unique_ptr<RoutingPolicy> brain;
    std::deque<Out> out;
    std::vector<int> hops;
    bool first = true;
  };
  std::vector<One> all;
  for (int n = 0; n < routers; ++n) {
    auto b = make_routing_policy(static_cast<std::uint32_t>(n + 1));
    b->set_placement({0, routers, routers});
    b->set_roles({8, 9, false});
    b->add_request_class({.latency_objective = 0.4, .latency_objective_stretch = 1.6, .deadline = 5});
    b->set_retries({6, true});
    b->set_fills({SiblingFills::none, true, FillReporting::all, 6000});
    b->set_slow_start({kFrom, kMultiple, kWarm, kWindow}, {0.066, 2, 22, kWindow});
    b->set_weights_are_transfers(false);
    b->clock(kStart);
    b->begin_endpoint_list(true);
    const Seconds starts[3] = {0, kStart - 1, 0};
    for (int m = 0; m < 3; ++m)
      b->update_endpoint(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, EndpointState::ready, 1,
                         starts[m]);
    b->update_endpoint(3, stable_hash("par"), 1, 8, 0, EndpointState::ready, 1, 0);
    b->update_endpoint(4, stable_hash("origin"), 1, 9, 0, EndpointState::ready, 1, 0);
    b->end_endpoint_list();
    if (learnt != nullptr) b->restore_snapshot(*learnt);
    all.push_back({std::move(b), {}, {}});
  }
  std::mt19937 chance(3);
  for (Seconds now = kStart; now < kStart + kLong; now += 0.01)
    for (auto& one : all) {
      one.brain->clock(now);
      while (!one.out.empty() && one.out.front().at <= now) {
        const auto o = one.out.front();
        one.out.pop_front();
        one.brain->attempt_ended(o.txn, o.hop, AttemptOutcome::served, FillOutcome::hit, kSending, 0, 0,
                                 true);
      }
      if (chance() % 50 == 0) {  // two txns a second
        const int t = static_cast<int>(one.hops.size());
        one.hops.push_back(0);
        ++seen.taken;
        one.brain->request_received(t, 0, stable_hash(std::to_string(chance())), 0, 0, 0, now + 5, false);
      }
      one.brain->timer_fired();
      while (const auto d = one.brain->next()) {
        if (d->kind == Decision::Kind::reject || d->kind == Decision::Kind::fail) ++seen.rejected;
        if (d->kind != Decision::Kind::forward || d->endpoint > 2) continue;
        one.out.push_back({now + kSending, d->request, one.hops[static_cast<std::size_t>(d->request)]++});
        if (std::exchange(one.first, false)) ++seen.first[d->endpoint];
        auto& w = sent[d->endpoint];
        w.push_back({now, kSending});
        while (w.front().at < now - kWindow) w.pop_front();
        double sum = 0;
        for (const auto& x : w) sum += x.work;
        auto& most = seen.most[d->endpoint];
        const Seconds age = now - kWindow / 2 - (d->endpoint == 1 ? kStart - 1 : kStart - 0.5);  // mid-window
        const double able = d->endpoint == 0 ? 1 : kFrom + (1 - kFrom) * std::max(0.0, age) / kWarm;
        most = std::max(most, sum / (kMultiple * kSize * kWindow * able));
      }
    }
  return seen;
}

// Of 400 txns at one moment, how many hops a router sends out at once to two warm boxes, and how many of
// these keep what they fill.
struct AtOnce {
  int hops = 0, kept = 0;
};
AtOnce at_once(const WarmStartSnapshot* learnt) {
  auto b = make_routing_policy(1);
  b->set_placement({0, 1, 1});
  b->set_roles({8, 9, true});
  b->add_request_class({.latency_objective = 1, .deadline = 5, .priority = 1});
  b->set_retries({6, true});
  b->set_fills({SiblingFills::none, true, FillReporting::all, 6000});
  b->set_weights_are_transfers(false);
  b->clock(kStart);
  b->begin_endpoint_list(true);
  for (int m = 0; m < 2; ++m)
    b->update_endpoint(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, EndpointState::ready, 1, 0);
  b->update_endpoint(3, stable_hash("par"), 1, 8, 0, EndpointState::ready, 1, 0);
  b->update_endpoint(4, stable_hash("origin"), 1, 9, 0, EndpointState::ready, 1, 0);
  b->end_endpoint_list();
  if (learnt != nullptr) b->restore_snapshot(*learnt);
  for (int t = 0; t < 400; ++t)
    b->request_received(t, 0, stable_hash(std::to_string(t)), 0, 0, 0, kStart + 5, false);
  AtOnce out;
  while (const auto d = b->next())
    if (d->kind == Decision::Kind::forward) ++out.hops, out.kept += d->retention_rank > 0;
  return out;
}

void print(const char* name, const Seen& s) {
  std::printf(
      "%s: rejected %.2f; first hops %d warm, %d told cold, %d restarted; of its multiple %.2f, %.2f\n", name,
      static_cast<double>(s.rejected) / s.taken, s.first[0], s.first[1], s.first[2], s.most[1], s.most[2]);
}

}  // namespace

int main() {
  bool good = rc::check("what is written reads back", [] {
    const auto k = some_snapshot();
    RC_ASSERT(same(warm_start::parse_snapshot(warm_start::serialize(k), "edge", 6000, 1010), k));
  });
  good = rc::check("a changed byte is refused, or changes nothing",
                   [] {
                     const auto k = some_snapshot();
                     auto text = warm_start::serialize(k);
                     text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                     try {
                       RC_ASSERT(same(warm_start::parse_snapshot(text, "edge", 6000, 1010), k));
                     } catch (const InputError&) {
                     }
                   }) &&
         good;
  good = rc::check("a text that is cut is refused",
                   [] {
                     const auto text = warm_start::serialize(some_snapshot());
                     const auto size = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
                     RC_ASSERT(refusal(text.substr(0, size), "edge", 6000, 1010) != "taken");
                   }) &&
         good;
  std::printf("properties %s\n", good ? "hold" : "FAIL");

  warm_start::SnapshotFile k{.family = "edge",
                             .client_kb_per_s = 6000,
                             .written_at = 1000,
                             .service_times = {{"page", 0.2, 40}},
                             .unreachable = {}};
  const auto text = warm_start::serialize(k);
  std::printf("as written: %s\n", refusal(text, "edge", 6000, 1010).c_str());
  std::printf("two hours on: %s\n", refusal(text, "edge", 6000, 8200).c_str());
  std::printf("an hour back: %s\n", refusal(text, "edge", 6000, -2600).c_str());
  std::printf("at another place: %s\n", refusal(text, "mesh", 6000, 1010).c_str());
  std::printf("at another pace: %s\n", refusal(text, "edge", 9000, 1010).c_str());
  std::printf("too large: %s\n", refusal(text + std::string(70000, ' '), "edge", 6000, 1010).c_str());
  k.service_times.assign(1000, {"page", 0.2, 40});
  std::printf("a thousand rules: %zu are written\n",
              warm_start::parse_snapshot(warm_start::serialize(k), "edge", 6000, 1010).service_times.size());

  const WarmStartSnapshot good_one{.service_times = {{0.2, 40}}, .unreachable = {{2, 4999.5}}};
  const WarmStartSnapshot hostile{.service_times = {{1e-9, 1000000}},
                                  .unreachable = {{0, 9999}, {1, 1}, {4, 4999}}};
  print("nothing learnt", first_seconds(20, nullptr));
  print("learnt", first_seconds(20, &good_one));
  print("hostile", first_seconds(20, &hostile));
  const WarmStartSnapshot endless{.service_times = {{600, 40}}, .unreachable = {}};
  print("a sending time past the time limit", first_seconds(20, &endless));

  WarmStartSnapshot rooms{.limits = {{0, 60, 40}, {1, 60, 40}, {2, 60, 40}, {3, 60, 40}, {4, 60, 40}},
                          .link_limit = 60,
                          .miss_ratio = 0.1};
  for (int o = 0; o < 400; ++o) rooms.objects.push_back({stable_hash(std::to_string(o)), 1.5});
  const auto print_once = [](const char* name, const WarmStartSnapshot* learnt) {
    const auto s = at_once(learnt);
    std::printf("%s: %d hops at once, %d of them keep what they fill\n", name, s.hops, s.kept);
  };
  print_once("nothing learnt", nullptr);
  print_once("limits and counts learnt", &rooms);
  rooms.age = 60;
  print_once("a minute old", &rooms);
  rooms.age = 600;
  print_once("ten minutes old", &rooms);
  const WarmStartSnapshot wild{.limits = {{0, 1e6, 1e6}, {1, 1e6, 1e6}, {2, 1e6, 1e6}, {7, 1e6, 1e6}},
                               .link_limit = 1e6,
                               .miss_ratio = 0};
  print("limits without end", first_seconds(20, &wild));
  return good ? 0 : 1;
}
