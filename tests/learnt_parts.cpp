// What is learnt, as text: what is written reads back; whatever happens to the text, it is refused or the
// same. And the first seconds of routers that take it over, in virtual time: what a box that was not reached
// gets.
#include <rapidcheck.h>

#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "brain.h"
#include "learning/learnt.h"
#include "settings.h"
#include "text.h"

using namespace walkpaddle;

namespace {

learning::Kept some_kept() {
  learning::Kept k{.family = "edge", .pace = 6000, .written = 1000};
  const auto rules = *rc::gen::inRange(0, 5), members = *rc::gen::inRange(0, 5);
  for (int n = 0; n < rules; ++n)
    k.rules.push_back(
        {"rule" + std::to_string(n), *rc::gen::inRange(1, 600000) / 1e3, *rc::gen::inRange(1, 1000)});
  for (int n = 0; n < members; ++n)
    k.unreached.push_back({"s-" + std::to_string(n), *rc::gen::inRange(0, 1000000) / 1e3});
  return k;
}

bool same(const learning::Kept& a, const learning::Kept& b) {
  return learning::text_of(a) == learning::text_of(b);
}

std::string refusal(const std::string& text, std::string_view family, double pace, Sec now) try {
  learning::kept_of(text, family, pace, now);
  return "taken";
} catch (const Malformed& e) {
  return e.what();
}

// One location: a box that is warm, one that the list tells of as cold, one that restarted and that no list
// has told of yet. Each router sends for 4 s; answers come after their own time.
constexpr Sec kStart = 5000, kWindow = 1, kWarm = 13;
constexpr double kFrom = 0.15, kMultiple = 2;

struct Seen {
  int taken = 0, rejected = 0, first[3] = {};
  double most[3] = {};  // largest work in a window, over what the box may be sent then
};

Seen first_seconds(int routers, const Learnt* learnt) {
  constexpr Sec kSending = 0.2, kLong = 4;
  constexpr double kSize = 6;  // transfers at once
  struct Work {
    Sec at;
    double work;
  };
  std::deque<Work> sent[3];
  Seen seen;
  struct Out {
    Sec at;
    int txn, hop;
  };
  struct One {
    std::unique_ptr<Brain> brain;
    std::deque<Out> out;
    std::vector<int> hops;
    bool first = true;
  };
  std::vector<One> all;
  for (int n = 0; n < routers; ++n) {
    auto b = make_brain(static_cast<std::uint32_t>(n + 1));
    b->set_place({0, routers, routers});
    b->set_roles({8, 9, false});
    b->add_rule({.sla_time = 0.4, .sla_stretch = 1.6, .time_limit = 5});
    b->set_hopping({6, true});
    b->set_filling({Siblings::none, true, Notes::all, 6000});
    b->set_cold({kFrom, kMultiple, kWarm, kWindow}, {0.066, 2, 22, kWindow});
    b->set_weights(false);
    b->clock(kStart);
    b->list_begin(true);
    const Sec starts[3] = {0, kStart - 1, 0};
    for (int m = 0; m < 3; ++m)
      b->list_member(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, Listed::ready, 1, starts[m]);
    b->list_member(3, stable_hash("par"), 1, 8, 0, Listed::ready, 1, 0);
    b->list_member(4, stable_hash("origin"), 1, 9, 0, Listed::ready, 1, 0);
    b->list_end();
    if (learnt != nullptr) b->set_learnt(*learnt);
    all.push_back({std::move(b), {}, {}});
  }
  std::mt19937 chance(3);
  for (Sec now = kStart; now < kStart + kLong; now += 0.01)
    for (auto& one : all) {
      one.brain->clock(now);
      while (!one.out.empty() && one.out.front().at <= now) {
        const auto o = one.out.front();
        one.out.pop_front();
        one.brain->hop_ended(o.txn, o.hop, Verdict::completed, Note::hit, kSending, 0, 0, true);
      }
      if (chance() % 50 == 0) {  // two txns a second
        const int t = static_cast<int>(one.hops.size());
        one.hops.push_back(0);
        ++seen.taken;
        one.brain->txn_taken(t, 0, stable_hash(std::to_string(chance())), 0, 0, 0, now + 5, false);
      }
      one.brain->woken();
      while (const auto d = one.brain->next()) {
        if (d->kind == Decision::Kind::reject || d->kind == Decision::Kind::abort) ++seen.rejected;
        if (d->kind != Decision::Kind::deliver || d->member > 2) continue;
        one.out.push_back({now + kSending, d->txn, one.hops[static_cast<std::size_t>(d->txn)]++});
        if (std::exchange(one.first, false)) ++seen.first[d->member];
        auto& w = sent[d->member];
        w.push_back({now, kSending});
        while (w.front().at < now - kWindow) w.pop_front();
        double sum = 0;
        for (const auto& x : w) sum += x.work;
        auto& most = seen.most[d->member];
        const Sec age = now - kWindow / 2 - (d->member == 1 ? kStart - 1 : kStart - 0.5);  // mid-window
        const double able = d->member == 0 ? 1 : kFrom + (1 - kFrom) * std::max(0.0, age) / kWarm;
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
AtOnce at_once(const Learnt* learnt) {
  auto b = make_brain(1);
  b->set_place({0, 1, 1});
  b->set_roles({8, 9, true});
  b->add_rule({.sla_time = 1, .time_limit = 5, .importance = 1});
  b->set_hopping({6, true});
  b->set_filling({Siblings::none, true, Notes::all, 6000});
  b->set_weights(false);
  b->clock(kStart);
  b->list_begin(true);
  for (int m = 0; m < 2; ++m)
    b->list_member(m, stable_hash("box" + std::to_string(m)), 0, 1, 0, Listed::ready, 1, 0);
  b->list_member(3, stable_hash("par"), 1, 8, 0, Listed::ready, 1, 0);
  b->list_member(4, stable_hash("origin"), 1, 9, 0, Listed::ready, 1, 0);
  b->list_end();
  if (learnt != nullptr) b->set_learnt(*learnt);
  for (int t = 0; t < 400; ++t)
    b->txn_taken(t, 0, stable_hash(std::to_string(t)), 0, 0, 0, kStart + 5, false);
  AtOnce out;
  while (const auto d = b->next())
    if (d->kind == Decision::Kind::deliver) ++out.hops, out.kept += d->rank > 0;
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
    const auto k = some_kept();
    RC_ASSERT(same(learning::kept_of(learning::text_of(k), "edge", 6000, 1010), k));
  });
  good = rc::check("a changed byte is refused, or changes nothing",
                   [] {
                     const auto k = some_kept();
                     auto text = learning::text_of(k);
                     text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                     try {
                       RC_ASSERT(same(learning::kept_of(text, "edge", 6000, 1010), k));
                     } catch (const Malformed&) {
                     }
                   }) &&
         good;
  good = rc::check("a text that is cut is refused",
                   [] {
                     const auto text = learning::text_of(some_kept());
                     const auto size = *rc::gen::inRange<std::size_t>(0, text.size() - 1);
                     RC_ASSERT(refusal(text.substr(0, size), "edge", 6000, 1010) != "taken");
                   }) &&
         good;
  std::printf("properties %s\n", good ? "hold" : "FAIL");

  learning::Kept k{
      .family = "edge", .pace = 6000, .written = 1000, .rules = {{"page", 0.2, 40}}, .unreached = {}};
  const auto text = learning::text_of(k);
  std::printf("as written: %s\n", refusal(text, "edge", 6000, 1010).c_str());
  std::printf("two hours on: %s\n", refusal(text, "edge", 6000, 8200).c_str());
  std::printf("an hour back: %s\n", refusal(text, "edge", 6000, -2600).c_str());
  std::printf("at another place: %s\n", refusal(text, "mesh", 6000, 1010).c_str());
  std::printf("at another pace: %s\n", refusal(text, "edge", 9000, 1010).c_str());
  std::printf("too large: %s\n", refusal(text + std::string(70000, ' '), "edge", 6000, 1010).c_str());
  k.rules.assign(1000, {"page", 0.2, 40});
  std::printf("a thousand rules: %zu are written\n",
              learning::kept_of(learning::text_of(k), "edge", 6000, 1010).rules.size());

  const Learnt good_one{.rules = {{0.2, 40}}, .unreached = {{2, 4999.5}}};
  const Learnt hostile{.rules = {{1e-9, 1000000}}, .unreached = {{0, 9999}, {1, 1}, {4, 4999}}};
  print("nothing learnt", first_seconds(20, nullptr));
  print("learnt", first_seconds(20, &good_one));
  print("hostile", first_seconds(20, &hostile));
  const Learnt endless{.rules = {{600, 40}}, .unreached = {}};
  print("a sending time past the time limit", first_seconds(20, &endless));

  Learnt rooms{
      .rooms = {{0, 60, 40}, {1, 60, 40}, {2, 60, 40}, {3, 60, 40}, {4, 60, 40}}, .link = 60, .misses = 0.1};
  for (int o = 0; o < 400; ++o) rooms.objects.push_back({stable_hash(std::to_string(o)), 1.5});
  const auto print_once = [](const char* name, const Learnt* learnt) {
    const auto s = at_once(learnt);
    std::printf("%s: %d hops at once, %d of them keep what they fill\n", name, s.hops, s.kept);
  };
  print_once("nothing learnt", nullptr);
  print_once("limits and counts learnt", &rooms);
  rooms.age = 60;
  print_once("a minute old", &rooms);
  rooms.age = 600;
  print_once("ten minutes old", &rooms);
  const Learnt wild{
      .rooms = {{0, 1e6, 1e6}, {1, 1e6, 1e6}, {2, 1e6, 1e6}, {7, 1e6, 1e6}}, .link = 1e6, .misses = 0};
  print("limits without end", first_seconds(20, &wild));
  return good ? 0 : 1;
}
