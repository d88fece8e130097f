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
constexpr Seconds kMaxClockAhead = 1;  // how far an observer's clock may be ahead of this router's

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

// Different for each router, even if the platform gives all of them the same seed.
std::uint32_t seed_of(const ReplicationService::Setup& setup) {
  return setup.seed ^ static_cast<std::uint32_t>(stable_hash(setup.name) >> 16);
}

// The time of the start in milliseconds, so it exceeds that of the previous start unless the clock was set
// back. In that case the peers' records of the previous start are refuted like a suspicion.
std::uint64_t incarnation_at(Seconds started) {
  return static_cast<std::uint64_t>(std::llround(started * 1e3));
}

std::uint64_t without_channel(std::uint64_t versions, compat::AnnouncedChannel channel) {
  constexpr std::uint64_t kChannelMask = 255;
  return versions & ~(kChannelMask << (8 * static_cast<int>(channel)));
}

}  // namespace

// An observer's id is the hash of the router's name. It is the same after a restart, so that a router's later
// observation replaces its earlier one.
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
      rollouts_(setup.rollouts ? std::make_unique<rollout::RolloutCoordinator>(log, *setup.rollouts, members_,
                                                                               gossip_, setup.store, started_)
                               : nullptr),
      transport_(scheduler, log, members_, gossip_, setup.listen, addresses_of(setup.peers),
                 [this] { observations_may_have_changed(); }),
      logged_states_(setup.peers.size(), membership::MemberState::never_seen) {
  announce_channels();
  build_name_table();
  if (setup_.store == nullptr) return;
  persister_.emplace(log_, *setup_.store, tracker_);
  restore();
}

// Leaves out the channels of freeze windows and rollouts if rollouts are disabled, since they are not read
// then.
void ReplicationService::announce_channels() {
  auto versions = compat::announcement(gossip::kChannelVersions);
  if (!rollouts_) {
    versions = without_channel(versions, compat::AnnouncedChannel::calendar);
    versions = without_channel(versions, compat::AnnouncedChannel::changes);
  }
  members_.announce(versions);
}

void ReplicationService::build_name_table() {
  names_[stable_hash(setup_.name)] = setup_.name;
  auto fleet = hashes_of(setup_.peers);
  for (std::size_t p = 0; p < fleet.size(); ++p) names_[fleet[p]] = setup_.peers[p].name;
  fleet.push_back(stable_hash(setup_.name));
  tracker_.set_fleet(std::move(fleet));
}

const std::string& ReplicationService::name_of(std::uint64_t hash) const {
  static const std::string unknown = "?";
  const auto it = names_.find(hash);
  return it == names_.end() ? unknown : it->second;
}

// Restores the state stored by the previous run, whether it was shut down or crashed.
void ReplicationService::restore() {
  try {
    setup_.store->for_each([&](std::string_view key, std::string_view value) {
      if (rollouts_ && rollout::RolloutCoordinator::owns(key)) rollouts_->restore(key, value, started_);
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
  if (std::exchange(observations_notified_, received) != received) setup_.on_observations();
}

// Sends snapshots of the policy's state to other routers and to the store, and passes a recovered one to the
// policy.
void ReplicationService::exchange_snapshots() {
  const Seconds now = scheduler_.now();
  if (const auto recovered = snapshots_.take_recovered()) {
    log_("learnt",
         "restored a snapshot {:.1f} s old, from before this start: limits of {} servers, counts of {} "
         "objects",
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
  for (std::size_t p = 0; p < logged_states_.size(); ++p) {
    const auto state = members_.peers()[p].state;
    if (std::exchange(logged_states_[p], state) != state)
      log_("member", "{}: {}", setup_.peers[p].name, to_string(state));
  }
  if (const auto report = gossip_.take_catch_up_report())
    log_("caught", "caught up in {:.3f} s, {} observations from {} routers", report->duration,
         report->observations, report->members);
}

void ReplicationService::on_turn_end() {
  constexpr Seconds kCheckInterval = 1;
  constexpr Seconds kSaveInterval = 2;  // what a crash loses is recovered from the peers
  const Seconds now = scheduler_.now();
  exchange_snapshots();
  if (rollouts_) rollouts_->poll(now);
  transport_.send_due();
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
