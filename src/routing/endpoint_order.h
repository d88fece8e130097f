/// \file
/// The endpoints of one role, and the order in which each object prefers them: weighted rendezvous hashing
/// (Thaler and Ravishankar, 1998), the same at every router. An endpoint of twice the weight comes first for
/// twice the objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walkpaddle::routing {

/// A set of endpoints; adding and removing one costs by its place, not by the number of all.
class EndpointOrder {
 public:
  /// One endpoint of the set.
  struct Endpoint {
    int index = 0;                 ///< the caller's
    std::uint64_t mixed_hash = 0;  ///< its stable hash, mixed
    double weight = 1;             ///< above 0
  };

  /// Removes all.
  void clear();
  /// Replaces what is known of that index.
  void add(int index, std::uint64_t hash, double weight);
  /// Nothing happens where it is not in the set.
  void remove(int index);
  const std::vector<Endpoint>& all() const { return all_; }  ///< by rising index

  /// The endpoints for one object, best first. It stands for as long as the set is not changed. It looks at
  /// each endpoint once and sorts only as far as it is asked, since the first few mostly take the attempt.
  class Ranking {
   public:
    /// `order` must outlive it.
    Ranking(const EndpointOrder& order, std::uint64_t object);
    /// The index of the endpoint at this place, from 0; -1 past the last.
    int at(std::size_t place);
    std::size_t size() const { return order_->all_.size(); }  ///< of all endpoints

   private:
    struct Ranked {
      double cost;  // the least first; of equals the lower index
      int index;
      bool operator<(const Ranked& o) const { return cost != o.cost ? cost < o.cost : index < o.index; }
    };
    void rank_first();
    void rank_all();
    double cost_of(const Endpoint& endpoint) const;

    static constexpr std::size_t kInitiallyRanked = 8;  // more are seldom tried
    const EndpointOrder* order_;
    std::uint64_t object_;
    bool complete_ = false;
    std::vector<Ranked> ranked_;
  };

 private:
  std::vector<Endpoint> all_;
  std::size_t weighted_ = 0;  // those whose weight is not 1
};

}  // namespace walkpaddle::routing
