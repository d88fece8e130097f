/// \file
/// The fleet as one router's rollouts see it: the routers by number (this router is the last), their sites,
/// and which of them are alive. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// The routers of the fleet. A peer has its member number; this router has the number after the last peer.
class FleetView {
 public:
  /// Returns whether the peer with the given number is alive according to the membership.
  using IsAlive = std::function<bool(int)>;

  /// `peers` must be in the order of their member numbers.
  FleetView(std::vector<PlacedRouter> peers, PlacedRouter self, IsAlive is_alive)
      : routers_(std::move(peers)), is_alive_(std::move(is_alive)) {
    routers_.push_back(std::move(self));
    for (const auto& router : routers_)
      if (std::ranges::find(sites_, router.site) == sites_.end()) sites_.push_back(router.site);
  }

  const std::vector<PlacedRouter>& routers() const { return routers_; }  ///< all routers, by number
  const std::vector<std::string>& sites() const { return sites_; }  ///< distinct sites, in order of first use
  std::size_t size() const { return routers_.size(); }              ///< number of routers, with this one
  std::size_t majority() const { return routers_.size() / 2 + 1; }  ///< size of the smallest majority
  int self() const { return static_cast<int>(routers_.size()) - 1; }   ///< this router's number
  const PlacedRouter& self_router() const { return routers_.back(); }  ///< hash and site of this router
  /// The router with a number from 0 to size() - 1.
  const PlacedRouter& router(int number) const { return routers_[static_cast<std::size_t>(number)]; }
  /// Whether a router is alive. This router always is; for a peer the membership decides.
  bool alive(int number) const { return number == self() || is_alive_(number); }
  /// The index of the router's site in sites().
  std::size_t site_index(int number) const {
    return static_cast<std::size_t>(std::ranges::find(sites_, router(number).site) - sites_.begin());
  }

 private:
  std::vector<PlacedRouter> routers_;
  std::vector<std::string> sites_;
  IsAlive is_alive_;
};

}  // namespace walkpaddle::rollout
