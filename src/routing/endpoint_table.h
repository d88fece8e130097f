/// \file
/// The endpoints as discovery lists them: all that were ever named, and those of each role that an attempt
/// may go to, in the order in which each object prefers them.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "routing/context.h"
#include "routing/endpoint.h"
#include "routing/endpoint_order.h"

namespace walkpaddle::routing {

class EndpointTable {
 public:
  /// What a list says of one endpoint.
  struct Listing {
    std::uint64_t hash = 0;
    int location = 0;
    int kind = 0;
    int cell = 0;
    EndpointState state = EndpointState::ready;
    double weight = 1;
  };
  /// What a listing changed.
  enum class Change { gone, known, returned };

  explicit EndpointTable(const PolicyContext& context) : context_(context) {}

  /// The endpoint of this index, made at first sight: references to others may move then.
  Endpoint& find_or_add(int index);
  Endpoint& operator[](int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const Endpoint& operator[](int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  int index_of(const Endpoint& endpoint) const { return static_cast<int>(&endpoint - endpoints_.data()); }
  int size() const { return static_cast<int>(endpoints_.size()); }

  void begin_list(bool complete);
  Change update(int index, const Listing& listing);
  /// The order for attempts follows the list only from here on.
  void end_list();

  /// Endpoints of a role in the preference order of an object, each by its told size. Prevents small parents
  /// that congest while large ones have capacity.
  EndpointOrder::Ranking ranked(Role role, std::uint64_t object) const;
  /// The origin with the lowest index, -1 for none.
  int first_origin() const;
  /// How many of a role are ready here.
  int ready_here(Role role) const { return ready_here_[static_cast<std::size_t>(role)]; }

 private:
  Role role_of(int kind) const;
  void place(int index);

  const PolicyContext& context_;
  std::vector<Endpoint> endpoints_;
  std::array<EndpointOrder, kRoles> order_;  // by role: those that an attempt may go to
  std::array<int, kRoles> ready_here_{};     // of these, the ready ones
  bool list_complete_ = false;               // the list that is being read
  std::vector<int> changed_;                 // endpoints that it has named so far
};

}  // namespace walkpaddle::routing
