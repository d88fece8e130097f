// The event bus's frames, and the events that they and the configuration hold. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/stream.h"
#include "routing/policy.h"

namespace walkpaddle::net {

// Where the decoded events go.
class DiscoveryEvents {
 public:
  // The events of a configuration follow, up to known_end(); the newest stamp among them, 0 for none.
  virtual void known_begin(Seconds newest_stamp) = 0;
  virtual void known_end() = 0;
  virtual void begin_endpoint_list(bool whole) = 0;
  virtual void update_endpoint(std::string_view id, const Address& address, int location, int kind, int cell,
                               EndpointState state, double weight, Seconds started) = 0;
  virtual void end_endpoint_list() = 0;
  virtual void purged(std::string_view object, Seconds at) = 0;
  virtual void purged_group(std::uint32_t group, Seconds at) = 0;

 protected:
  ~DiscoveryEvents() = default;
};

// One frame at the front of `bytes`, handed to `events` if its number is past `last`, which it moves on if it
// is the next; `seen` is set to its number. Gives the bytes taken, 0 while the frame is not whole. What is no
// frame is InputError, and none of it is handed on.
std::size_t read_frame(std::string_view bytes, std::uint64_t& last, DiscoveryEvents& events,
                       std::uint64_t& seen);

std::string hello_text(std::uint64_t last);  // what is written to the bus first

}  // namespace walkpaddle::net
