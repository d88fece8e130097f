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

/// All endpoints by the host's index.
class EndpointTable {
 public:
  /// What a list says of one endpoint.
  struct Listing {
    std::uint64_t hash = 0;                      ///< stable hash of its name
    int location = 0;                            ///< index among the settings' locations
    int kind = 0;                                ///< its model, which gives its role
    int cell = 0;                                ///< those of one cell share what they have seen
    EndpointState state = EndpointState::ready;  ///< as the list says
    double weight = 1;                           ///< its size; 0 or less reads as 1
  };
  /// What a listing changed.
  enum class Change { gone, known, returned };

  /// `context` must outlive it.
  explicit EndpointTable(const PolicyContext& context) : context_(context) {}

  /// The endpoint of this index, made at first sight: references to others may move then.
  Endpoint& find_or_add(int index);
  /// One that was found or added before.
  Endpoint& operator[](int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  /// One that was found or added before.
  const Endpoint& operator[](int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  /// Of an element of this table.
  int index_of(const Endpoint& endpoint) const { return static_cast<int>(&endpoint - endpoints_.data()); }
  /// Indices are 0 to one less.
  int size() const { return static_cast<int>(endpoints_.size()); }

  /// A complete list names all endpoints that are not gone.
  void begin_list(bool complete);
  /// One endpoint of the list.
  Change update(int index, const Listing& listing);
  /// The order for attempts follows the list only from here on.
  void end_list();

  /// Endpoints of a role in the preference order of an object, each by its told size. Prevents small parents
  /// that congest while large ones have capacity.
  EndpointOrder::Ranking ranked(Role role, std::uint64_t object) const;
  /// The origin with the lowest index, -1 for none.
  int first_origin() const;
  /// How many of a role are ready here.
  int ready_count(Role role) const { return ready_count_[static_cast<std::size_t>(role)]; }

 private:
  Role role_of(int kind) const;
  void place(int index);

  const PolicyContext& context_;
  std::vector<Endpoint> endpoints_;
  std::array<EndpointOrder, kRoles> order_;  // by role: those that an attempt may go to
  std::array<int, kRoles> ready_count_{};    // of these, the ready ones
  bool list_complete_ = false;               // the list that is being read
  std::vector<int> changed_;                 // endpoints that it has named so far
};

}  // namespace walkpaddle::routing
