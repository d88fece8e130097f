// One router's part in rolling changes as the program carries it out: the calendar and the rollout on the
// scheduler's clock, their items in the store, their words in the log, the checker's verdict for a release,
// and moves handed to the host. What is decided is decided in src/change, src/freeze and src/compat.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "change/rollout.h"
#include "compat/verdict.h"
#include "gossip/gossip.h"
#include "io/log.h"
#include "store/store.h"

namespace walkpaddle::fleet {

class Changes {
 public:
  struct Setup {
    std::string name, site, generation;
    struct Peer {
      std::string name, site;
    };
    std::vector<Peer> peers;  // in the order of Members' numbers
    std::uint32_t seed = 0;
    // The releases that are kept here, and the one of a generation; throws InputError where it cannot be
    // read.
    std::function<std::vector<compat::Release>()> kept;
    std::function<compat::Release(const std::string& generation)> release;
    // Runs the generation from now on, and says so by moved() or move_failed().
    std::function<void(const change::Rollout::Move&)> carry_out;
    std::function<change::Counters()> counted;
  };
  Changes(Log& log, const Setup& setup, const membership::Membership& members, gossip::Gossip& gossip,
          store::Store* store, Seconds now);

  void pull(Seconds now);  // at a turn's end
  Seconds next_due() const;
  void restore(std::string_view key, std::string_view value,
               Seconds now);  // an entry of the store that is its own
  static bool owns(std::string_view key) { return key.starts_with('k') || key.starts_with('o'); }

  freeze::Calendar& calendar() { return calendar_; }
  change::Rollout& rollout() { return rollout_; }
  const freeze::Calendar& calendar() const { return calendar_; }
  const change::Rollout& rollout() const { return rollout_; }

 private:
  std::string refuses(const change::Document& document) const;
  void keep(bool all);

  Log& log_;
  const Setup setup_;
  const membership::Membership& members_;
  gossip::Gossip& gossip_;
  store::Store* const store_;
  freeze::Calendar calendar_;
  change::Rollout rollout_;
  std::map<std::string, std::string> stored_;
  Seconds look_at_ = 0;
  mutable std::map<std::string, std::string> refusals_;  // by change: what was found; the folder is read once
  std::string said_;                                     // why the calendar was last not current
};

}  // namespace walkpaddle::fleet
