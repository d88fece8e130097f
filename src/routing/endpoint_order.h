// The endpoints of one role, and the order in which each object prefers them: weighted rendezvous hashing
// (Thaler and Ravishankar, 1998), the same at every router. An endpoint of twice the weight comes first for
// twice the objects.
//
// Ranking looks at each endpoint once and sorts only as far as it is asked, since the first few mostly take
// the attempt; adding and removing one costs by its place, not by the number of all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walkpaddle::routing {

class EndpointOrder {
 public:
  struct Endpoint {
    int index = 0;             // the caller's
    std::uint64_t spread = 0;  // its hash, mixed
    double weight = 1;
  };
  void clear() { all_.clear(), weighted_ = 0; }
  void add(int index, std::uint64_t hash, double weight);  // replaces what is known of that index
  void remove(int index);
  const std::vector<Endpoint>& all() const { return all_; }  // by index

  // The endpoints for one object, best first. It stands for as long as the set is not changed.
  class Ranking {
   public:
    Ranking(const EndpointOrder& order, std::uint64_t object);
    int at(std::size_t place);  // -1 past the last
    std::size_t size() const { return order_->all_.size(); }

   private:
    struct Ranked {
      double cost;  // the least first; of equals the lower index
      int index;
      bool operator<(const Ranked& o) const { return cost != o.cost ? cost < o.cost : index < o.index; }
    };
    void rank_first();
    void rank_all();
    double cost_of(const Endpoint& endpoint) const;

    static constexpr std::size_t kFirst = 8;  // ranked at first: more are seldom tried
    const EndpointOrder* order_;
    std::uint64_t object_;
    bool whole_ = false;
    std::vector<Ranked> ranked_;
  };

 private:
  std::vector<Endpoint> all_;
  std::size_t weighted_ = 0;  // those whose weight is not 1
};

}  // namespace walkpaddle::routing
