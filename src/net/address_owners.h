/// \file
/// Which endpoint an address belongs to. The address of an endpoint that has gone may be taken by a new one,
/// and discovery may tell of the new one first: what is then still listed at that address is gone as well. No
/// I/O.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "io/stream.h"

namespace walkpaddle::net {

/// Follows the endpoint lists. Endpoints are small indices.
class AddressOwners {
 public:
  /// A list or a set of changes follows.
  void begin_list();
  /// One entry of it. `present`: the endpoint is not gone.
  void update(int endpoint, const Address& address, bool present);
  /// The list is over. Gives the endpoints whose address was taken by another one in this list, and that the
  /// list itself does not name; they count as gone from now on.
  std::vector<int> end_list();

 private:
  struct Entry {
    Address address;
    bool present = false;
    std::size_t named_in = 0;  // number of the last list that named it; 0: none
  };
  void remove(int endpoint);

  std::size_t list_ = 0;                    // number of the present list
  std::vector<Entry> entries_;              // by endpoint
  std::multimap<Address, int> by_address_;  // the endpoints that are present
  std::vector<int> taken_;                  // had an address that another endpoint has taken in this list
};

}  // namespace walkpaddle::net
