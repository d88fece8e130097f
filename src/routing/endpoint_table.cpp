#include "routing/endpoint_table.h"

#include <utility>

namespace walkpaddle::routing {

Endpoint& EndpointTable::find_or_add(int index) {
  if (index >= size()) endpoints_.resize(static_cast<std::size_t>(index) + 1);
  return (*this)[index];
}

Role EndpointTable::role_of(int kind) const {
  if (kind == context_.roles.origin_kind) return Role::origin;
  if (kind == context_.roles.parent_kind && kind >= 0) return Role::parent;
  return Role::cache;
}

void EndpointTable::begin_list(bool complete) {
  list_complete_ = complete;
  if (!complete) return;
  for (auto& endpoint : endpoints_) endpoint.in_current_list = false;
}

EndpointTable::Change EndpointTable::update(int index, const Listing& listing) {
  auto& endpoint = find_or_add(index);
  const bool first = !endpoint.ever_listed;
  const bool returns = endpoint.ever_listed && !endpoint.listed;
  endpoint.hash = listing.hash;
  endpoint.location = listing.location;
  endpoint.cell = listing.cell;
  endpoint.role = role_of(listing.kind);
  endpoint.weight = listing.weight > 0 ? listing.weight : 1;
  endpoint.ready = listing.state == EndpointState::ready;
  endpoint.listed = listing.state != EndpointState::gone;
  changed_.push_back(index);
  if (!endpoint.listed) return Change::gone;
  endpoint.ever_listed = true;
  endpoint.in_current_list = true;
  if (first) {
    constexpr double kMinSharedFillFloor = 0.05;  // where all routers share a parent or the origin
    const bool is_cache = endpoint.role == Role::cache;
    const int routers = is_cache ? context_.placement.routers_in_location : context_.placement.routers;
    endpoint.attempts.divide_among(routers);
    endpoint.fills.divide_among(routers, is_cache ? 1 : kMinSharedFillFloor);
  }
  return returns ? Change::returned : Change::known;
}

void EndpointTable::end_list() {
  if (list_complete_) {
    for (int index = 0; index < size(); ++index) {
      auto& endpoint = (*this)[index];
      if (!endpoint.listed || endpoint.in_current_list) continue;
      endpoint.listed = false;
      changed_.push_back(index);
    }
  }
  for (const int index : std::exchange(changed_, {})) place(index);
}

// An endpoint's place among those that an attempt may go to, as its listing now is.
void EndpointTable::place(int index) {
  auto& endpoint = (*this)[index];
  const auto role = static_cast<std::size_t>(endpoint.role);
  for (std::size_t other = 0; other < kRoles; ++other)
    if (other != role) order_[other].remove(index);
  const bool here =
      endpoint.listed && (endpoint.role != Role::cache || endpoint.location == context_.placement.location);
  if (here)
    order_[role].add(index, endpoint.hash, endpoint.weight);
  else
    order_[role].remove(index);
  if (endpoint.counted) --ready_count_[static_cast<std::size_t>(endpoint.counted_as)];
  endpoint.counted = here && endpoint.ready;
  endpoint.counted_as = endpoint.role;
  if (endpoint.counted) ++ready_count_[role];
}

EndpointOrder::Ranking EndpointTable::ranked(Role role, std::uint64_t object) const {
  return {order_[static_cast<std::size_t>(role)], object};
}

int EndpointTable::first_origin() const {
  const auto& origins = order_[static_cast<std::size_t>(Role::origin)].all();
  return origins.empty() ? -1 : origins.front().index;
}

}  // namespace walkpaddle::routing
