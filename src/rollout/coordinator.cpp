#include "rollout/coordinator.h"

#include <algorithm>

#include "base/hash.h"

namespace walkpaddle::rollout {

namespace {

/// Interval between full polls, which also update the clock offset and persist the items. The other polls do
/// only what cannot wait.
constexpr Seconds kFullPollInterval = 0.5;

std::vector<std::uint64_t> fleet_hashes(const RolloutCoordinator::Setup& setup) {
  std::vector<std::uint64_t> hashes{stable_hash(setup.name)};
  for (const auto& peer : setup.peers) hashes.push_back(stable_hash(peer.name));
  return hashes;
}

ReleaseCheck::Setup release_check_setup(const RolloutCoordinator::Setup& setup) {
  std::vector<std::string> peers;
  for (const auto& peer : setup.peers) peers.push_back(peer.name);
  return {.peers = std::move(peers), .kept_releases = setup.kept_releases, .release_of = setup.release_of};
}

}  // namespace

RolloutCoordinator::RolloutCoordinator(Log& log, const Setup& setup, const membership::Membership& members,
                                       gossip::Gossip& gossip, store::Store* store, Seconds now)
    : log_(log),
      setup_(setup),
      members_(members),
      gossip_(gossip),
      store_(store),
      release_check_(release_check_setup(setup), members),
      calendar_(stable_hash(setup.name), fleet_hashes(setup), {}),
      rollout_(rollout_setup(store != nullptr), calendar_, {}, now),
      persisted_({&calendar_, &rollout_}) {
  gossip_.add_state(calendar_);
  gossip_.add_state(rollout_);
}

Rollout::Setup RolloutCoordinator::rollout_setup(bool durable) {
  Rollout::Setup setup{.self = {stable_hash(setup_.name), setup_.site},
                       .peers = {},
                       .generation = setup_.generation,
                       .seed = setup_.seed,
                       .durable = durable,
                       .alive = [this](int peer) { return is_alive(peer); },
                       .refusal = [this](const RolloutPlan& plan) { return release_check_.refusal(plan); }};
  for (const auto& peer : setup_.peers) setup.peers.push_back({stable_hash(peer.name), peer.site});
  return setup;
}

bool RolloutCoordinator::is_alive(int peer) const {
  using State = membership::MemberState;
  const auto state = members_.peers()[static_cast<std::size_t>(peer)].state;
  return state == State::alive || state == State::suspect;
}

void RolloutCoordinator::restore(std::string_view key, std::string_view value, Seconds now) {
  persisted_.restore(key, value, now);
}

void RolloutCoordinator::poll(Seconds now) {
  const bool is_full = now >= next_full_poll_;
  update_calendar(now, is_full);
  rollout_.set_metrics(setup_.metrics());
  const auto move = rollout_.next_move(now);
  for (const auto& line : rollout_.take_log_lines()) log_("change", "{}", line);
  if (store_ != nullptr && !store_->failed())
    persisted_.persist(*store_,
                       is_full ? PersistedState::Extent::all : PersistedState::Extent::private_state);
  if (is_full) {
    next_full_poll_ = now + kFullPollInterval;
    release_check_.clear_cache();
    report_calendar(now);
  }
  if (move) setup_.carry_out(*move);
}

void RolloutCoordinator::update_calendar(Seconds now, bool is_full) {
  if (!gossip_.catching_up() && members_.alive_count() + 1 >= calendar_.majority())
    calendar_.majority_contacted(now);
  if (is_full) calendar_.set_clock_offset(gossip_.clock_offset(now));
}

void RolloutCoordinator::report_calendar(Seconds now) {
  auto why = calendar_.why_not_current(now).value_or("");
  if (why == reported_reason_) return;
  log_("freeze", "{}", why.empty() ? "the calendar is current" : why);
  reported_reason_ = std::move(why);
}

Seconds RolloutCoordinator::next_due() const { return std::min(next_full_poll_, rollout_.next_due()); }

}  // namespace walkpaddle::rollout
