/// \file
/// All endpoints that discovery has ever listed, and for each role the endpoints that attempts can be sent
/// to, ranked per object.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "routing/context.h"
#include "routing/endpoint.h"
#include "routing/endpoint_order.h"

namespace walkpaddle::routing {

/// All endpoints, by the index that the host assigns.
class EndpointTable {
 public:
  /// An endpoint list's entry for one endpoint.
  struct Listing {
    std::uint64_t hash = 0;  ///< stable hash of the endpoint's name
    int location = 0;        ///< index among the settings' locations
    int kind = 0;            ///< its model, which determines its role
    int cell = 0;            ///< endpoints of a cell share the idempotency keys they have received
    EndpointState state = EndpointState::ready;  ///< state according to the list
    double weight = 1;                           ///< its relative capacity; 0 or less counts as 1
  };
  /// Effect of an entry: the endpoint is gone, is listed as before or for the first time, or is listed again
  /// after it was gone.
  enum class Change { gone, known, returned };

  /// `context` must outlive it.
  explicit EndpointTable(const PolicyContext& context) : context_(context) {}

  /// The endpoint of this index, created if needed; creation invalidates references to other endpoints.
  Endpoint& find_or_add(int index);
  /// The endpoint of this index, which must exist.
  Endpoint& operator[](int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  /// The endpoint of this index, which must exist.
  const Endpoint& operator[](int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  /// The index of an endpoint, which must be an element of this table.
  int index_of(const Endpoint& endpoint) const { return static_cast<int>(&endpoint - endpoints_.data()); }
  /// Number of endpoints; indices start from 0.
  int size() const { return static_cast<int>(endpoints_.size()); }

  /// Starts an endpoint list. Endpoints that a complete list does not name are gone.
  void begin_list(bool complete);
  /// Applies one entry of the list.
  Change update(int index, const Listing& listing);
  /// Ends the list. The rankings change only here.
  void end_list();

  /// The endpoints of a role, ranked for an object and weighted by capacity, so that small parents do not
  /// congest while large ones have capacity.
  EndpointOrder::Ranking ranked(Role role, std::uint64_t object) const;
  /// The origin with the lowest index; -1 if there is none.
  int first_origin() const;
  /// Number of ready endpoints of a role that attempts can be sent to; of caches only those of this location.
  int ready_count(Role role) const { return ready_count_[static_cast<std::size_t>(role)]; }

 private:
  Role role_of(int kind) const;
  void place(int index);

  const PolicyContext& context_;
  std::vector<Endpoint> endpoints_;
  std::array<EndpointOrder, kRoles> order_;  // by role: endpoints that attempts can be sent to
  std::array<int, kRoles> ready_count_{};    // by role: number of these that are ready
  bool list_complete_ = false;               // whether the list being read is complete
  std::vector<int> changed_;                 // endpoints changed by the list being read
};

}  // namespace walkpaddle::routing
