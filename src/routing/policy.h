/// \file
/// The interface of the routing policy: settings, inputs and one pull call. Inputs only update what is known;
/// next() hands out decisions one by one until none is left. No I/O, no threads: all calls come from the
/// host's one thread.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle {

/// Decides for each request where it goes, from where a miss is filled, and whether the fill is cached.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  /// \name Settings
  /// Before the first input; each part takes its own few. Retries, fills and client habits may be set again.
  /// @{

  /// Location and number of routers.
  virtual void set_placement(const RouterPlacement& placement) = 0;
  /// Before the first list: roles are told by it.
  virtual void set_roles(const EndpointRoles& roles) = 0;
  /// Classes are numbered from 0, in the order of these calls.
  virtual void add_request_class(const RequestClass& request_class) = 0;
  /// May be set again.
  virtual void set_retries(const RetrySettings& retries) = 0;
  /// May be set again.
  virtual void set_fills(const FillSettings& fills) = 0;
  /// Of cold endpoints, by role.
  virtual void set_slow_start(const SlowStartSettings& caches, const SlowStartSettings& parents) = 0;
  /// Endpoints' weights are links, in transfers at a client's rate.
  virtual void set_weights_are_transfers(bool weights_are_transfers) = 0;
  /// May be set again.
  virtual void set_client_settings(const ClientSettings& clients) = 0;
  /// The endpoint list comes only when it is asked for.
  virtual void set_discovery_polling(bool must_poll) = 0;
  /// @}

  /// What the next start may go on with.
  virtual WarmStartSnapshot snapshot() const = 0;
  /// After the settings and the first endpoint list.
  virtual void restore_snapshot(const WarmStartSnapshot& snapshot) = 0;
  virtual Ejections ejections() const = 0;  ///< since the start

  /// \name Inputs
  /// @{

  /// The present time; before any other input.
  virtual void clock(Seconds now) = 0;
  /// `complete`: what is not named until end_endpoint_list() is gone.
  virtual void begin_endpoint_list(bool complete) = 0;
  /// One endpoint of the list. `started`: 0 for long ago.
  virtual void update_endpoint(int endpoint, std::uint64_t hash, int location, int kind, int cell,
                               EndpointState state, double weight, Seconds started) = 0;
  /// The order of endpoints follows the list from here on.
  virtual void end_endpoint_list() = 0;
  /// The list that was asked for did not come.
  virtual void endpoint_list_failed() = 0;
  /// A request of the host's index; `kbytes`: 0 where the size is not known. `is_retry`: the client marked it
  /// as such.
  virtual void request_received(int request, int request_class, std::uint64_t object, int part,
                                std::uint32_t group, double kbytes, Seconds expires, bool is_retry) = 0;
  /// After request_received(): the request is a lookup, which the host answers with the endpoint. Its attempt
  /// stays in flight for as long as what follows unseen may last, and then ends as not_sent. It represents so
  /// many requests, `in_flight` at a time.
  virtual void set_represented_requests(int request, double in_flight, double requests) = 0;
  /// The client waits no more: no decision follows for the request.
  virtual void client_left(int request) = 0;
  /// `busy`: share of its capacity that the endpoint reports in use.
  virtual void load_reported(int endpoint, double busy) = 0;
  /// An attempt is over, by its number in the request. `waited`: of the time it took, until the source's
  /// first byte or its failure; 0 where that is not told. `sending`: the answer's own time at a client's
  /// rate, by its bytes; 0 where they are not seen.
  virtual void attempt_ended(int request, int attempt, AttemptOutcome outcome, FillOutcome fill, Seconds took,
                             Seconds waited, Seconds sending, bool request_over) = 0;
  /// Copies made before `made` are purged, for this request's object: told with the request and whenever it
  /// moves; 0 for none.
  virtual void set_valid_since(int request, Seconds made) = 0;
  /// No older copy of any object will do; 0 for no limit.
  virtual void set_max_copy_age(Seconds age) = 0;
  /// A wake_up decision's time has come.
  virtual void timer_fired() = 0;
  /// @}

  /// The next decision, until there is none.
  virtual std::optional<Decision> next() = 0;
};

/// `seed` draws what the policy leaves to chance; two with one seed and the same inputs decide alike.
std::unique_ptr<RoutingPolicy> make_routing_policy(std::uint32_t seed);

}  // namespace walkpaddle
