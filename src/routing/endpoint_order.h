/// \file
/// The endpoints of one role, ranked for each object by weighted rendezvous hashing (Thaler and Ravishankar,
/// 1998). All routers compute the same ranking. An endpoint of twice the weight ranks first for twice as many
/// objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walkpaddle::routing {

/// A set of endpoints, kept sorted by index.
class EndpointOrder {
 public:
  /// One endpoint of the set.
  struct Endpoint {
    int index = 0;                 ///< assigned by the caller
    std::uint64_t mixed_hash = 0;  ///< its stable hash after mixing
    double weight = 1;             ///< above 0
  };

  /// Removes all endpoints.
  void clear();
  /// Adds an endpoint, or replaces the one of this index.
  void add(int index, std::uint64_t hash, double weight);
  /// Removes an endpoint if it is in the set.
  void remove(int index);
  const std::vector<Endpoint>& all() const { return all_; }  ///< in ascending order of index

  /// The endpoints ranked for one object, best first. Valid until the set changes. Construction computes the
  /// cost of each endpoint once but sorts only the first few, which take most attempts; the full sort runs
  /// when a later place is requested.
  class Ranking {
   public:
    /// `order` must outlive the ranking.
    Ranking(const EndpointOrder& order, std::uint64_t object);
    /// The index of the endpoint at this place, from 0; -1 past the last.
    int at(std::size_t place);
    std::size_t size() const { return order_->all_.size(); }  ///< number of endpoints

   private:
    struct Ranked {
      double cost;  // the lowest ranks first; ties are broken by the lower index
      int index;
      bool operator<(const Ranked& o) const { return cost != o.cost ? cost < o.cost : index < o.index; }
    };
    void rank_first();
    void rank_all();
    double cost_of(const Endpoint& endpoint) const;

    static constexpr std::size_t kInitiallyRanked = 8;  // later places are rarely needed
    const EndpointOrder* order_;
    std::uint64_t object_;
    bool complete_ = false;
    std::vector<Ranked> ranked_;
  };

 private:
  std::vector<Endpoint> all_;
  std::size_t weighted_ = 0;  // number of endpoints whose weight is not 1
};

}  // namespace walkpaddle::routing
