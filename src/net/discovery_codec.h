/// \file
/// Decodes the frames of discovery into watch events, and declares the interface for these events. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/stream.h"
#include "routing/policy.h"

namespace walkpaddle::net {

/// Receives the decoded events. Times are stamps of discovery's own clock (see DiscoveryClock), 0 for none.
class DiscoveryEvents {
 public:
  /// The events of the configuration follow, until end_initial_events(). `newest_stamp`: the newest stamp
  /// among them, 0 if there is none.
  virtual void begin_initial_events(Seconds newest_stamp) = 0;
  /// The events after this call are live: they are reported while they happen.
  virtual void end_initial_events() = 0;
  /// Endpoints follow, until end_endpoint_list(). `whole`: all that exist; otherwise those that changed.
  virtual void begin_endpoint_list(bool whole) = 0;
  /// One endpoint. `kind`: index of its model; `cell`: its group of machines; `started`: stamp of its start.
  virtual void update_endpoint(std::string_view id, const Address& address, int location, int kind, int cell,
                               EndpointState state, double weight, Seconds started) = 0;
  /// The list is complete.
  virtual void end_endpoint_list() = 0;
  /// An object is purged: copies of it that were made before `at` must not be served.
  virtual void purged(std::string_view object, Seconds at) = 0;
  /// All objects of a group are purged.
  virtual void purged_group(std::uint32_t group, Seconds at) = 0;

 protected:
  ~DiscoveryEvents() = default;
};

/// Decodes the frame at the start of `bytes`. An event with a number above `last` is reported to `events` and
/// its number stored in `seen`; `last` advances if the event is the next one. Gives the size of the frame in
/// bytes, 0 while it is incomplete. Throws InputError for a malformed frame, before anything is reported.
std::size_t read_frame(std::string_view bytes, std::uint64_t& last, DiscoveryEvents& events,
                       std::uint64_t& seen);

/// The first message to discovery: the number of the last event that was received, 8 bytes in network byte
/// order.
std::string hello_text(std::uint64_t last);

}  // namespace walkpaddle::net
