#include "routing/endpoint_order.h"

#include <algorithm>
#include <cmath>

namespace walkpaddle::routing {

namespace {

// One step of splitmix64 (Steele, Lea and Flood, 2014): spreads an endpoint's hash against an object's.
std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace

void EndpointOrder::clear() {
  all_.clear();
  weighted_ = 0;
}

void EndpointOrder::add(int index, std::uint64_t hash, double weight) {
  remove(index);
  const auto at = std::ranges::lower_bound(all_, index, {}, &Endpoint::index);
  all_.insert(at, {index, mix(hash), weight});
  weighted_ += weight != 1;
}

void EndpointOrder::remove(int index) {
  const auto at = std::ranges::lower_bound(all_, index, {}, &Endpoint::index);
  if (at == all_.end() || at->index != index) return;
  weighted_ -= at->weight != 1;
  all_.erase(at);
}

EndpointOrder::Ranking::Ranking(const EndpointOrder& order, std::uint64_t object)
    : order_(&order), object_(object) {
  rank_first();
}

// With equal weights the logarithm changes no order, and is left out.
double EndpointOrder::Ranking::cost_of(const Endpoint& e) const {
  const double uniform = (static_cast<double>(mix(object_ ^ e.mixed_hash) >> 11) + 0.5) * 0x1p-53;
  return order_->weighted_ == 0 ? 1 - uniform : -std::log(uniform) / e.weight;
}

// The first few, by insertion into a short list: nearly all fail the first comparison.
void EndpointOrder::Ranking::rank_first() {
  ranked_.reserve(kInitiallyRanked + 1);
  for (const auto& e : order_->all_) {
    const Ranked r{cost_of(e), e.index};
    if (ranked_.size() == kInitiallyRanked && !(r < ranked_.back())) continue;
    ranked_.insert(std::upper_bound(ranked_.begin(), ranked_.end(), r), r);
    if (ranked_.size() > kInitiallyRanked) ranked_.pop_back();
  }
  complete_ = ranked_.size() == order_->all_.size();
}

void EndpointOrder::Ranking::rank_all() {
  ranked_.clear();
  for (const auto& e : order_->all_) ranked_.push_back({cost_of(e), e.index});
  std::ranges::sort(ranked_, [](const Ranked& a, const Ranked& b) { return a < b; });
  complete_ = true;
}

int EndpointOrder::Ranking::at(std::size_t place) {
  if (place >= ranked_.size() && !complete_) rank_all();
  return place < ranked_.size() ? ranked_[place].index : -1;
}

}  // namespace walkpaddle::routing
