#include "replication/observation_persister.h"

#include <string>
#include <utility>

#include "gossip/codec.h"
#include "store/key.h"

namespace walkpaddle::replication {

using replica::ObservationKey;

std::string ObservationPersister::key_of(const ObservationKey& key) {
  return store::encode_key(std::string(1, kPrefix), {key.endpoint, key.observer});
}

void ObservationPersister::restore(std::string_view value, Seconds now) {
  const auto observation = gossip::decode_observation(value);
  const ObservationKey key{observation.endpoint, observation.observer};
  const auto result = tracker_.receive(observation, now);
  if (result == replica::EndpointObservations::JoinResult::changed) {
    ++restored_;
    stored_[key] = observation.observed_at;
  } else {
    ++rejected_;
    stored_[key] = {};  // makes the next save() erase or replace it
  }
}

void ObservationPersister::log_restored() const {
  log_("facts",
       "{} observations of endpoints read from the store, {} rejected as outdated or from unknown routers",
       restored_, rejected_);
}

void ObservationPersister::save() {
  if (store_.failed()) {
    if (!std::exchange(failure_logged_, true))
      log_("store", "{}: observations of endpoints are not saved until writes succeed again",
           store_.last_error());
    return;
  }
  failure_logged_ = false;
  std::map<ObservationKey, replica::HybridTimestamp> now_stored;
  for (const auto& observation : tracker_.observations().all()) {
    const ObservationKey key{observation.endpoint, observation.observer};
    const auto it = stored_.find(key);
    const bool unchanged = it != stored_.end() && it->second == observation.observed_at;
    if (unchanged || store_.put(key_of(key), gossip::encode_observation(observation), 0))
      now_stored[key] = observation.observed_at;
  }
  for (const auto& [key, observed_at] : stored_)
    if (!now_stored.contains(key) && !store_.erase(key_of(key))) now_stored[key] = observed_at;
  stored_ = std::move(now_stored);
}

}  // namespace walkpaddle::replication
