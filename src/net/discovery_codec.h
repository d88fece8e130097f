/// \file
/// The frames of discovery, and the events that they and the configuration hold. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/stream.h"
#include "routing/policy.h"

namespace walkpaddle::net {

/// Where the decoded events go. Times are stamps of discovery's own clock (see DiscoveryClock), 0 for none.
class DiscoveryEvents {
 public:
  /// The events of a configuration follow, up to end_initial_events(); the newest stamp among them, 0 for
  /// none.
  virtual void begin_initial_events(Seconds newest_stamp) = 0;
  /// What follows happens while it is told.
  virtual void end_initial_events() = 0;
  /// Endpoints follow, up to end_endpoint_list(): all that there are, or those that changed.
  virtual void begin_endpoint_list(bool whole) = 0;
  /// One endpoint: `kind` is its model, `cell` its group of machines, `started` the stamp of its start.
  virtual void update_endpoint(std::string_view id, const Address& address, int location, int kind, int cell,
                               EndpointState state, double weight, Seconds started) = 0;
  /// The list is complete.
  virtual void end_endpoint_list() = 0;
  /// Copies of an object that were made before `at` are not served.
  virtual void purged(std::string_view object, Seconds at) = 0;
  /// The same for all objects of a group.
  virtual void purged_group(std::uint32_t group, Seconds at) = 0;

 protected:
  ~DiscoveryEvents() = default;
};

/// Takes one frame off the front of `bytes`, and hands its event to `events` if its number is past `last`,
/// which moves on if it is the next; `seen` is set to its number. Gives the bytes taken, 0 while the frame is
/// not whole. Throws InputError for what is no frame, of which nothing is handed on.
std::size_t read_frame(std::string_view bytes, std::uint64_t& last, DiscoveryEvents& events,
                       std::uint64_t& seen);

/// What is written to discovery first: the last event that is held.
std::string hello_text(std::uint64_t last);

}  // namespace walkpaddle::net
