#include "replication/replication_service.h"

#include <cmath>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "base/hash.h"
#include "gossip/codec.h"
#include "gossip/protocol_version.h"

namespace walkpaddle::replication {

namespace {

constexpr std::string_view kSnapshotKey = "l";
constexpr Seconds kMaxClockAhead = 1;  // of a router that observes

std::vector<std::uint64_t> hashes_of(const std::vector<Peer>& peers) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(peers.size());
  for (const auto& peer : peers) hashes.push_back(stable_hash(peer.name));
  return hashes;
}

std::vector<Address> addresses_of(const std::vector<Peer>& peers) {
  std::vector<Address> addresses;
  addresses.reserve(peers.size());
  for (const auto& peer : peers) addresses.push_back(peer.address);
  return addresses;
}

// Of its own for each router, also where a platform hands all the same seed.
std::uint32_t seed_of(const ReplicationService::Setup& setup) {
  return setup.seed ^ static_cast<std::uint32_t>(stable_hash(setup.name) >> 16);
}

// The start's time: greater than the last start's, where clocks do not go back; where they do, the fleet's
// record of the last start is refuted like a suspicion.
std::uint64_t incarnation_at(Seconds started) {
  return static_cast<std::uint64_t>(std::llround(started * 1e3));
}

std::uint64_t without_channel(std::uint64_t versions, compat::AnnouncedChannel channel) {
  constexpr std::uint64_t kChannelMask = 255;
  return versions & ~(kChannelMask << (8 * static_cast<int>(channel)));
}

}  // namespace

// Observers are the routers by name: the same after a restart, so a router's later observation replaces its
// earlier one.
ReplicationService::ReplicationService(Scheduler& scheduler, Log& log, const Setup& setup)
    : scheduler_(scheduler),
      log_(log),
      setup_(setup),
      started_(scheduler.now()),
      tracker_(stable_hash(setup.name), static_cast<int>(setup.peers.size()) + 1, {}, {}, kMaxClockAhead,
               seed_of(setup)),
      members_(stable_hash(setup.name), hashes_of(setup.peers), incarnation_at(started_), {},
               seed_of(setup) + 1, started_),
      snapshots_(members_, {}, started_),
      gossip_(members_, tracker_, snapshots_, {}, seed_of(setup) + 2, started_),
      changes_(setup.changes ? std::make_unique<rollout::RolloutCoordinator>(log, *setup.changes, members_,
                                                                             gossip_, setup.store, started_)
                             : nullptr),
      transport_(scheduler, log, members_, gossip_, setup.listen, addresses_of(setup.peers),
                 [this] { observations_may_have_changed(); }),
      logged_(setup.peers.size(), membership::MemberState::never_seen) {
  announce_channels();
  learn_names();
  if (setup_.store == nullptr) return;
  persister_.emplace(log_, *setup_.store, tracker_);
  restore();
}

// Calendar and changes are read only where they are switched on.
void ReplicationService::announce_channels() {
  auto versions = compat::announcement(gossip::kChannelVersions);
  if (!changes_) {
    versions = without_channel(versions, compat::AnnouncedChannel::calendar);
    versions = without_channel(versions, compat::AnnouncedChannel::changes);
  }
  members_.announce(versions);
}

void ReplicationService::learn_names() {
  names_[stable_hash(setup_.name)] = setup_.name;
  auto fleet = hashes_of(setup_.peers);
  for (std::size_t p = 0; p < fleet.size(); ++p) names_[fleet[p]] = setup_.peers[p].name;
  fleet.push_back(stable_hash(setup_.name));
  tracker_.set_fleet(std::move(fleet));
}

const std::string& ReplicationService::name_of(std::uint64_t hash) const {
  static const std::string stranger = "?";
  const auto it = names_.find(hash);
  return it == names_.end() ? stranger : it->second;
}

// What this router held when it ended, however it ended.
void ReplicationService::restore() {
  try {
    setup_.store->for_each([&](std::string_view key, std::string_view value) {
      if (changes_ && rollout::RolloutCoordinator::owns(key)) changes_->restore(key, value, started_);
      if (key == kSnapshotKey) snapshots_.restore(gossip::decode_snapshot(value));
      if (ObservationPersister::owns(key)) persister_->restore(value, started_);
    });
  } catch (const InputError& e) {
    throw StoreError(std::string("store: ") + e.what());
  }
  persister_->log_restored();
}

void ReplicationService::observations_may_have_changed() {
  const auto received = gossip_.observations_received();
  if (std::exchange(received_before_, received) != received) setup_.on_observations();
}

// What the policy has learnt goes to other routers and to disk; what comes back goes to the policy.
void ReplicationService::exchange_snapshots() {
  const Seconds now = scheduler_.now();
  if (const auto recovered = snapshots_.take_recovered()) {
    log_("learnt", "{:.1f} s old, from before this start: limits of {} servers, counts of {} objects",
         now - recovered->taken_at, recovered->limits.size(), recovered->objects.size());
    setup_.restore_snapshot(*recovered);
  }
  if (!snapshots_.due(now)) return;
  auto snapshot = setup_.take_snapshot();
  snapshot.taken_at = now;
  if (setup_.store != nullptr && !setup_.store->failed())
    setup_.store->put(std::string(kSnapshotKey), gossip::encode_snapshot(snapshot), 0);
  snapshots_.replicate(std::move(snapshot), now);
}

void ReplicationService::log_changes() {
  for (std::size_t p = 0; p < logged_.size(); ++p) {
    const auto state = members_.peers()[p].state;
    if (std::exchange(logged_[p], state) != state)
      log_("member", "{}: {}", setup_.peers[p].name, to_string(state));
  }
  if (const auto report = gossip_.take_catch_up_report())
    log_("caught", "caught up in {:.3f} s, {} facts from {} routers", report->duration, report->observations,
         report->members);
}

void ReplicationService::pull() {
  constexpr Seconds kCheckInterval = 1;
  constexpr Seconds kSaveInterval = 2;  // a crash costs what the peers know anyway
  const Seconds now = scheduler_.now();
  exchange_snapshots();
  if (changes_) changes_->poll(now);
  transport_.pull();
  log_changes();
  if (now >= check_at_) {
    check_at_ = now + kCheckInterval;
    setup_.on_observations();
  }
  if (persister_ && now >= save_at_) {
    save_at_ = now + kSaveInterval;
    persister_->save();
  }
}

}  // namespace walkpaddle::replication
