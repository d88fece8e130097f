#include "fleet/share.h"

#include <cmath>

#include "base/text.h"
#include "config/settings.h"
#include "fleet/wire.h"

namespace walkpaddle::fleet {

namespace {

std::vector<std::uint64_t> names_of(const std::vector<Share::Peer>& peers) {
  std::vector<std::uint64_t> names;
  for (const auto& p : peers) names.push_back(stable_hash(p.name));
  return names;
}

std::vector<Address> addresses_of(const std::vector<Share::Peer>& peers) {
  std::vector<Address> addresses;
  for (const auto& p : peers) addresses.push_back(p.address);
  return addresses;
}

std::string key_of(const replica::Watch::Key& k) { return numbers_text("f", {k.server, k.observer}); }

constexpr std::string_view kLearnt = "l";

// Chance of its own for each router, also where a platform hands all the same seed.
std::uint32_t seed_of(const Share::Setup& s) {
  return s.seed ^ static_cast<std::uint32_t>(stable_hash(s.name) >> 16);
}

}  // namespace

// Observers are the routers by name: the same after a restart, so a router's later word replaces its earlier
// one. The incarnation is the start's time: greater than the last start's, where clocks do not go back; where
// they do, the fleet's word of the last start is refuted like a suspicion.
Share::Share(Scheduler& scheduler, Log& log, const Setup& setup)
    : scheduler_(scheduler),
      log_(log),
      setup_(setup),
      started_(scheduler.now()),
      watch_(stable_hash(setup.name), static_cast<int>(setup.peers.size()) + 1, {}, {}, 1.0, seed_of(setup)),
      members_(stable_hash(setup.name), names_of(setup.peers),
               static_cast<std::uint64_t>(std::llround(started_ * 1e3)), {}, seed_of(setup) + 1, started_),
      keepers_(members_, {}, started_),
      gossip_(members_, watch_, keepers_, {}, seed_of(setup) + 2, started_),
      changes_(setup.changes ? std::make_unique<rollout::RolloutCoordinator>(log, *setup.changes, members_,
                                                                             gossip_, setup.store, started_)
                             : nullptr),
      datagrams_(scheduler, log, members_, gossip_, setup.listen, addresses_of(setup.peers),
                 [this] {
                   if (std::exchange(looked_at_, gossip_.facts_heard()) != gossip_.facts_heard())
                     setup_.look_again();
                 }),
      said_(setup.peers.size(), Members::State::unheard) {
  // Calendar and changes are read only where they are switched on.
  auto reads = compat::announcement(kReads);
  if (!changes_)
    for (const auto channel : {compat::AnnouncedChannel::calendar, compat::AnnouncedChannel::changes})
      reads &= ~(std::uint64_t{255} << (8 * static_cast<int>(channel)));
  members_.announce(reads);
  names_[stable_hash(setup.name)] = setup.name;
  auto fleet = names_of(setup.peers);
  for (std::size_t p = 0; p < fleet.size(); ++p) names_[fleet[p]] = setup.peers[p].name;
  fleet.push_back(stable_hash(setup.name));
  watch_.members_of_fleet(std::move(fleet));
  if (setup_.store != nullptr) restore();
}

const std::string& Share::name_of(std::uint64_t name) const {
  static const std::string stranger = "?";
  const auto it = names_.find(name);
  return it == names_.end() ? stranger : it->second;
}

// What this router held when it ended, however it ended: facts keep the time at which they were seen.
void Share::restore() {
  std::size_t held = 0, refused = 0;
  try {
    setup_.store->each([&](std::string_view key, std::string_view value) {
      if (changes_ && rollout::RolloutCoordinator::owns(key)) changes_->restore(key, value, started_);
      if (key == kLearnt) keepers_.stored(stored_belief(value));
      if (!key.starts_with('f')) return;
      const auto fact = stored_fact(value);
      const bool taken = watch_.heard(fact, started_) == replica::Facts::Took::news;
      ++(taken ? held : refused);
      stored_[{fact.server, fact.observer}] = taken ? fact.seen : replica::Stamp{};
    });
  } catch (const InputError& e) {
    throw StoreError(std::string("store: ") + e.what());
  }
  log_("facts", "{} facts of servers read from the store, {} refused as too old or of strangers", held,
       refused);
}

// What changed since the last look; a look every two seconds: a crash costs what the peers know anyway.
void Share::keep() {
  auto& store = *setup_.store;
  if (store.failed()) {
    if (!std::exchange(said_failed_, true))
      log_("store", "{}: facts of servers do not last until it writes again", store.why());
    return;
  }
  said_failed_ = false;
  std::map<replica::Watch::Key, replica::Stamp> now;
  for (const auto& f : watch_.facts().all()) {
    const replica::Watch::Key key{f.server, f.observer};
    const auto it = stored_.find(key);
    const bool there = it != stored_.end() && it->second == f.seen;
    if (there || store.put(key_of(key), stored_text(f), 0)) now[key] = f.seen;
  }
  for (const auto& [key, seen] : stored_)
    if (!now.contains(key) && !store.erase(key_of(key)))
      now[key] = seen;  // no room now: again at the next look
  stored_ = std::move(now);
}

// What the module has learnt goes to its keepers and to disk; what comes back goes to the module.
void Share::believe() {
  const Seconds now = scheduler_.now();
  if (const auto back = keepers_.take_returned()) {
    log_("learnt", "{:.1f} s old, from before this start: limits of {} servers, counts of {} objects",
         now - back->at, back->rooms.size(), back->objects.size());
    setup_.take_learnt(*back);
  }
  if (!keepers_.wanted(now)) return;
  auto belief = setup_.learnt();
  belief.at = now;
  if (setup_.store != nullptr && !setup_.store->failed())
    setup_.store->put(std::string(kLearnt), stored_text(belief), 0);
  keepers_.learnt(std::move(belief), now);
}

void Share::say_changes() {
  for (std::size_t p = 0; p < said_.size(); ++p) {
    const auto state = members_.peers()[p].state;
    if (std::exchange(said_[p], state) == state) continue;
    log_("member", "{}: {}", setup_.peers[p].name, Members::kNames[static_cast<int>(state)]);
  }
  if (const auto caught = gossip_.take_caught())
    log_("caught", "caught up in {:.3f} s, {} facts from {} routers", caught->took, caught->facts,
         caught->members);
}

void Share::pull() {
  constexpr Seconds kLook = 1, kKeep = 2;
  const Seconds now = scheduler_.now();
  believe();
  if (changes_) changes_->poll(now);
  datagrams_.pull();
  say_changes();
  if (now >= look_at_) look_at_ = now + kLook, setup_.look_again();
  if (setup_.store != nullptr && now >= keep_at_) keep_at_ = now + kKeep, keep();
}

}  // namespace walkpaddle::fleet
