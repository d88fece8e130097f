#include "testbed/rollout_fleet.h"

#include <algorithm>
#include <cmath>

namespace walkpaddle::testbed {

using rollout::GenerationMove, rollout::RequestOutcome, rollout::Rollout, rollout::RolloutLimits,
    rollout::RolloutPlan, rollout::RolloutStatus;

RolloutFleet::RolloutFleet(const Setup& setup)
    : memory(0, setup.seed, setup.net,
             {.create_states = [this](SimulatedFleet::Router& r, Seconds now) { create_states(r, now); },
              .step = [this](SimulatedFleet::Router& r, Seconds now) { step(r, now); }},
             setup.now, setup.routers),
      setup_(setup),
      chance_(setup.seed + 17),
      machines_(static_cast<std::size_t>(setup.routers)) {
  memory.time_step = setup.time_step;
  // One router in ten receives four times the mean traffic, like the uneven load of hundreds of routers.
  for (auto& m : machines_)
    m.share = chance_() % 10 == 0 ? 4 : 0.4 + 0.1 * static_cast<double>(chance_() % 7);
  for (int n = 0; n < setup.routers; ++n) start(n);
}

RolloutPlan RolloutFleet::make_plan(const char* name, const char* before, const char* after) {
  return {.name = name,
          .work = freeze::kSettings,
          .before = before,
          .after = after,
          .author = "ana",
          .body = "allowed.max_attempts=2",
          .min_requests = 100,
          .min_stage_time = 10,
          .max_stage_time = 300,
          .warm_up = 4};
}

RolloutFleet::Quality RolloutFleet::uneven(unsigned seed, int n, Seconds now) {
  Quality q;
  q.refused = 0.004 * (1 + (n + static_cast<int>(seed)) % 4) * (1.5 + std::sin(now / 20));
  q.late = 0.02 * (1.5 + std::sin(now / 33));
  return q;
}

RolloutFleet::Quality RolloutFleet::quality(const std::string& generation, int n, Seconds now) const {
  return setup_.quality ? setup_.quality(generation, n, now) : Quality{};
}

void RolloutFleet::crash(int n) { memory.crash(n); }

void RolloutFleet::start(int n) {
  machines_[static_cast<std::size_t>(n)].started = memory.now;
  memory.start(n);
}

void RolloutFleet::create_states(SimulatedFleet::Router& r, Seconds now) {
  auto& m = machines_[static_cast<std::size_t>(r.number)];
  auto calendar = std::make_unique<freeze::Calendar>(SimulatedFleet::Router::name(r.number),
                                                     SimulatedFleet::Router::all(setup_.routers),
                                                     freeze::Calendar::Limits{});
  Rollout::Setup s{
      .self = {SimulatedFleet::Router::name(r.number), site_of(r.number, setup_.sites)},
      .peers = {},
      .generation = m.program,
      .seed = static_cast<std::uint32_t>(r.number) * 7 + setup_.seed,
      .durable = setup_.store,
      .alive =
          [&members = r.members](int p) {
            const auto state = members.peers()[static_cast<std::size_t>(p)].state;
            return state == membership::MemberState::alive || state == membership::MemberState::suspect;
          },
      .refusal = setup_.refuses ? setup_.refuses : [](const RolloutPlan&) { return std::string(); }};
  for (int p = 0; p < setup_.routers; ++p)
    if (p != r.number) s.peers.push_back({SimulatedFleet::Router::name(p), site_of(p, setup_.sites)});
  auto rollout = std::make_unique<Rollout>(s, *calendar, RolloutLimits{}, now);
  if (setup_.store) {
    if (const auto own = m.store.find("own"); own != m.store.end())
      rollout->restore_private_state(own->second);
    for (const char* kind : {"0", "1"})
      for (const auto& [key, item] : m.store)
        if (key.starts_with(kind))
          (kind[0] == '0' ? static_cast<replica::ReplicatedState&>(*calendar) : *rollout).join(item, now);
  }
  m.metrics.begin(static_cast<std::uint64_t>(now * 1e6), now + 4);
  m.cpu = 0;
  const auto q = quality(m.program, r.number, now);
  m.dies_at = q.dies_after > 0 ? memory.now + q.dies_after : 0;
  m.fails_at = !m.trying.empty() && !q.ready ? memory.now + 2 : 0;
  if (m.fails_at == 0) m.trying.clear();
  r.states.push_back(std::move(calendar));
  r.states.push_back(std::move(rollout));
}

void RolloutFleet::traffic(Machine& m, const std::string& generation, int n, Seconds now) {
  const auto q = quality(generation, n, now);
  const auto roll = [&] { return std::uniform_real_distribution<>(0, 1)(chance_); };
  const int count = std::poisson_distribution<>(setup_.rate * m.share * setup_.time_step)(chance_);
  for (int t = 0; t < count; ++t) {
    const double draw = roll();
    const auto outcome = draw < q.refused              ? RequestOutcome::rejected
                         : draw < q.refused + q.failed ? RequestOutcome::failed
                                                       : RequestOutcome::served;
    const Seconds took = roll() < q.late ? 1.5 : -q.time * std::log(std::max(1e-9, roll()));
    const int attempts = 1 + (roll() < q.retries);
    m.metrics.request_ended(outcome, took, 1, attempts, now);
    m.metrics.attempt_ended({.filled = roll() < q.fills, .rejected = false}, now);
    m.cpu += q.cpu;
    ++all_;
    harmed_ += generation != "g1" && (outcome != RequestOutcome::served || took > 1);
  }
  if (q.breaks_rule && count > 0) m.metrics.invariant_violated();
  m.metrics.load_measured(q.memory, m.cpu, now);
}

void RolloutFleet::step(SimulatedFleet::Router& r, Seconds now) {
  auto& m = machines_[static_cast<std::size_t>(r.number)];
  auto& calendar = static_cast<freeze::Calendar&>(*r.states[0]);
  auto& rollout = static_cast<Rollout&>(*r.states[1]);
  if (!r.gossip.catching_up() && r.members.alive_count() + 1 >= calendar.majority())
    calendar.majority_contacted(now);
  calendar.set_clock_offset(r.gossip.clock_offset(now));
  traffic(m, rollout.running(), r.number, now);
  rollout.set_metrics(m.metrics.metrics());
  for (auto& line : rollout.take_log_lines()) m.log_lines.push_back(std::move(line));
  if (setup_.store) {
    m.store.clear();
    for (auto& kind : r.states)
      for (int range = 0; range < replica::ReplicatedState::kDigestRanges; ++range)
        for (const auto id : kind->ids_of_range(range))
          m.store[std::to_string(kind->number()) + (kind->number() == 1 ? "abc"[0] : 'x') +
                  std::to_string(id)] = kind->bytes(id);
    if (auto own = rollout.private_state(); !own.empty()) m.store["own"] = own;
  }
  if (const auto move = rollout.next_move(now)) carry_out(r, *move, now);
  if (r.number == 0) supervise();
}

// Changes of settings take effect at once. A release takes an exit and a start of the router; supervise()
// returns to the earlier program if the new one does not become ready.
void RolloutFleet::carry_out(SimulatedFleet::Router& r, const GenerationMove& move, Seconds now) {
  auto& m = machines_[static_cast<std::size_t>(r.number)];
  auto& rollout = static_cast<Rollout&>(*r.states[1]);
  ++moves;
  if (move.plan.work == freeze::kSettings) {
    if (!quality(move.to, r.number, now).ready) return rollout.move_failed("refused by the routing policy");
    rollout.moved();
    m.metrics.begin(static_cast<std::uint64_t>(now * 1e6), now + move.plan.warm_up);
    const auto q = quality(move.to, r.number, now);
    m.dies_at = q.dies_after > 0 ? memory.now + q.dies_after : 0;
    return;
  }
  m.earlier = m.program, m.program = move.to, m.trying = move.to;
  m.back_at = memory.now + 1;
  m.dies_at = memory.now;  // until() crashes the router after this step
}

// Counts the routers that are due to start again. A router whose new program did not become ready
// exits and comes back with its earlier program.
void RolloutFleet::supervise() {
  int moving = 0;
  for (int n = 0; n < setup_.routers; ++n) {
    auto& m = machines_[static_cast<std::size_t>(n)];
    moving += m.back_at > 0;
    if (m.fails_at > 0 && memory.now >= m.fails_at) {
      m.program = m.earlier, m.trying.clear(), m.fails_at = 0;
      m.dies_at = memory.now, m.back_at = memory.now + 1;
      m.log_lines.push_back("not ready: back to " + m.program);
    }
  }
  most_moving = std::max(most_moving, moving);
}

bool RolloutFleet::until(Seconds most, const std::function<bool()>& holds, Seconds look) {
  for (const Seconds end = memory.now + most; memory.now < end;) {
    if (holds()) return true;
    go(look);
    for (int n = 0; n < setup_.routers; ++n) {
      auto& m = machines_[static_cast<std::size_t>(n)];
      if (m.dies_at > 0 && memory.now >= m.dies_at && up(n)) {
        m.dies_at = 0;
        if (m.back_at == 0) m.back_at = memory.now + 2;
        crash(n);
      }
      if (m.back_at > 0 && memory.now >= m.back_at && !up(n)) m.back_at = 0, start(n);
    }
  }
  return holds();
}

int RolloutFleet::with(const std::string& generation) {
  int count = 0;
  for (int n = 0; n < setup_.routers; ++n) count += up(n) && (*this)[n].running() == generation;
  return count;
}

int RolloutFleet::driver() {
  int best = -1;
  for (int n = 0; n < setup_.routers; ++n)
    if (up(n) && !memory[n].stalled && (*this)[n].driving() &&
        (best < 0 || (*this)[n].term() > (*this)[best].term()))
      best = n;
  return best;
}

RolloutStatus RolloutFleet::rollout_status(int n, const std::string& change) {
  for (const auto& s : (*this)[n].status(now(n)))
    if (s.plan.name == change) return s;
  return {};
}

bool RolloutFleet::stopped(const std::string& change) {
  for (int n = 0; n < setup_.routers; ++n)
    if (up(n) && !rollout_status(n, change).stopped) return false;
  return true;
}

bool RolloutFleet::done(const std::string& change) {
  for (int n = 0; n < setup_.routers; ++n)
    if (up(n) && !rollout_status(n, change).done) return false;
  return true;
}

std::uint32_t RolloutFleet::stage(const std::string& change) {
  std::uint32_t most = 0;
  for (int n = 0; n < setup_.routers; ++n)
    if (up(n)) most = std::max(most, rollout_status(n, change).stage);
  return most;
}

bool RolloutFleet::any_router_logged(const std::string& text) const {
  return std::ranges::any_of(machines_, [&](const Machine& m) {
    return std::ranges::any_of(m.log_lines,
                               [&](const auto& line) { return line.find(text) != std::string::npos; });
  });
}

}  // namespace walkpaddle::testbed
