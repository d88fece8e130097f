/// \file
/// The fleet as one router's rollouts see it: the routers by number, this router last; their sites; who is
/// alive. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// The routers of the fleet, by their numbers among this router's members; this router has the last number.
class FleetView {
 public:
  /// Whether the peer of a number is alive, as the membership knows it.
  using IsAlive = std::function<bool(int)>;

  /// `peers` in the order of their numbers.
  FleetView(std::vector<PlacedRouter> peers, PlacedRouter self, IsAlive is_alive)
      : routers_(std::move(peers)), is_alive_(std::move(is_alive)) {
    routers_.push_back(std::move(self));
    for (const auto& router : routers_)
      if (std::ranges::find(sites_, router.site) == sites_.end()) sites_.push_back(router.site);
  }

  const std::vector<PlacedRouter>& routers() const { return routers_; }  ///< by number
  const std::vector<std::string>& sites() const { return sites_; }       ///< each once, as first met
  std::size_t size() const { return routers_.size(); }                   ///< this router included
  std::size_t majority() const { return routers_.size() / 2 + 1; }       ///< the least that is one
  int self() const { return static_cast<int>(routers_.size()) - 1; }     ///< this router's number
  const PlacedRouter& self_router() const { return routers_.back(); }    ///< this router
  /// The router of a number from 0 to size() - 1.
  const PlacedRouter& router(int number) const { return routers_[static_cast<std::size_t>(number)]; }
  /// This router is; a peer, as the membership knows it.
  bool alive(int number) const { return number == self() || is_alive_(number); }
  /// Where the router's site stands in sites().
  std::size_t site_index(int number) const {
    return static_cast<std::size_t>(std::ranges::find(sites_, router(number).site) - sites_.begin());
  }

 private:
  std::vector<PlacedRouter> routers_;
  std::vector<std::string> sites_;
  IsAlive is_alive_;
};

}  // namespace walkpaddle::rollout
