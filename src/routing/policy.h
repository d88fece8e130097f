/// \file
/// Interface of the routing policy. The host passes settings and inputs, which only update the policy's
/// state, and then calls next() for decisions until there are none left. The policy does no I/O and has no
/// threads; all calls come from one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle {

/// Decides for each request to which endpoint it is forwarded, from which source a miss is filled, and
/// whether the fill is cached.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /// \name Settings
  /// To be set before the first input. Retries, fills and client settings may be changed later.
  /// @{

  /// Sets the location of this router and the number of routers.
  virtual void set_placement(const RouterPlacement& placement) = 0;
  /// Sets the roles of endpoint models. Must precede the first endpoint list.
  virtual void set_roles(const EndpointRoles& roles) = 0;
  /// Adds a request class. Classes are numbered from 0 in the order of these calls.
  virtual void add_request_class(const RequestClass& request_class) = 0;
  /// Sets the limits on retries.
  virtual void set_retries(const RetrySettings& retries) = 0;
  /// Sets the capabilities of the caches.
  virtual void set_fills(const FillSettings& fills) = 0;
  /// Sets the slow start of cold caches and of cold parents.
  virtual void set_slow_start(const SlowStartSettings& caches, const SlowStartSettings& parents) = 0;
  /// Sets whether an endpoint's weight is the capacity of its link, in transfers at the client rate, rather
  /// than a number without a unit.
  virtual void set_weights_are_transfers(bool weights_are_transfers) = 0;
  /// Sets the behaviour of clients.
  virtual void set_client_settings(const ClientSettings& clients) = 0;
  /// Sets whether the endpoint list arrives only in reply to a poll_discovery decision.
  virtual void set_discovery_polling(bool must_poll) = 0;
  /// @}

  /// The state to save for a warm start.
  virtual WarmStartSnapshot snapshot() const = 0;
  /// Restores saved state. Must follow the settings and the first endpoint list.
  virtual void restore_snapshot(const WarmStartSnapshot& snapshot) = 0;
  virtual Ejections ejections() const = 0;  ///< number of ejections since the start

  /// \name Inputs
  /// @{

  /// Sets the current time. Must precede the other inputs of that time.
  virtual void clock(Seconds now) = 0;
  /// Starts an endpoint list. Endpoints that a complete list does not name are gone at its end.
  virtual void begin_endpoint_list(bool complete) = 0;
  /// Passes one entry of the list. `started` is the time of the endpoint's start; 0: long ago.
  virtual void update_endpoint(int endpoint, std::uint64_t hash, int location, int kind, int cell,
                               EndpointState state, double weight, Seconds started) = 0;
  /// Ends the list. The rankings change only here.
  virtual void end_endpoint_list() = 0;
  /// Reports that a requested endpoint list did not arrive.
  virtual void endpoint_list_failed() = 0;
  /// Passes a new request. The host chooses the index `request`, which is free again once the request is
  /// answered and its attempts have ended. `object` is the hash of the object's name; `kbytes` its size, 0 if
  /// not known; `expires` the request's deadline as a point in time; `is_retry` whether the client marked it
  /// as a retry.
  virtual void request_received(int request, int request_class, std::uint64_t object, int part,
                                std::uint32_t group, double kbytes, Seconds expires, bool is_retry) = 0;
  /// Marks a request as a lookup, directly after request_received(). The host answers a lookup with the
  /// endpoint that is decided for it. The lookup represents `requests` requests, `in_flight` at a time, that
  /// the router does not see. Its attempt stays in flight for as long as these may last and then ends as
  /// not_sent.
  virtual void set_represented_requests(int request, double in_flight, double requests) = 0;
  /// Reports that the client has left. No decision follows for the request.
  virtual void client_left(int request) = 0;
  /// Passes a load report: `busy` is the share of its capacity that the endpoint has in use.
  virtual void load_reported(int endpoint, double busy) = 0;
  /// Reports that the router itself does not read the answer of an attempt on, for want of memory. Until this
  /// time its endpoint is not to blame for silence. To be repeated while the wait lasts.
  virtual void answer_delayed(int request, int attempt) = 0;
  /// Reports the end of an attempt, by its number in the request. `took` is the time since its sending;
  /// `waited` the part of it until the source's first byte or failure, 0 if not reported; `sending` the time
  /// to send the answer at the client's rate, 0 if its size is not known; `request_over` whether the request
  /// is answered by it.
  virtual void attempt_ended(int request, int attempt, AttemptOutcome outcome, FillOutcome fill, Seconds took,
                             Seconds waited, Seconds sending, bool request_over) = 0;
  /// Sets the time before which copies of the request's object are purged; 0: none are. To be called for each
  /// request and again when a purge changes the time.
  virtual void set_valid_since(int request, Seconds valid_since) = 0;
  /// Sets the maximum age of a copy of any object; 0: unlimited.
  virtual void set_max_copy_age(Seconds age) = 0;
  /// Reports that the time of a wake_up decision has come.
  virtual void timer_fired() = 0;
  /// @}

  /// The next decision; none if all have been returned.
  virtual std::optional<Decision> next() = 0;
};

/// Creates a policy. `seed` initialises its random numbers: two policies with the same seed and inputs make
/// the same decisions.
std::unique_ptr<RoutingPolicy> make_routing_policy(std::uint32_t seed);

}  // namespace walkpaddle
