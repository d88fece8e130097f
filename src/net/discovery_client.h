/// \file
/// The client of discovery: receives the endpoint list and purges, first from the configuration and then as
/// live watch events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "io/log.h"
#include "io/turn_budget.h"
#include "net/address_owners.h"
#include "net/discovery_clock.h"
#include "net/discovery_codec.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"
#include "replica/observation_tracker.h"

namespace walkpaddle::net {

/// Keeps a connection to discovery, and passes its watch events to the upstream pool, the purge registry and
/// the routing policy.
///
/// Lifetimes: everything that it takes by reference or pointer must outlive it. Its task must be dropped
/// (Scheduler::drop_tasks) before it is destroyed. Threads: everything runs on the scheduler's one thread.
class DiscoveryClient final : public DiscoveryEvents {
 public:
  /// Starts nothing yet; see follow().
  DiscoveryClient(Scheduler& scheduler, Outbox& outbox, Log& log, RequestDispatcher& dispatcher,
                  UpstreamPool& upstream)
      : scheduler_(scheduler),
        outbox_(outbox),
        log_(log),
        dispatcher_(dispatcher),
        upstream_(upstream),
        reconnect_now_(scheduler),
        busy_tasks_(scheduler) {}

  /// The events of the configuration, up to number `last`, have been passed to this object.
  void set_last_event(std::uint64_t last) {
    last_ = last;
    has_initial_list_ = true;
  }
  /// Whether the endpoint list of the configuration has been received.
  bool has_initial_list() const { return has_initial_list_; }
  /// Sets the replicated endpoint observations; null if routers share none.
  void set_observations(replica::ObservationTracker* observations) { observations_ = observations; }
  /// Passes the fleet's observations to the routing policy where they are worse than the endpoint list.
  void apply_observations();
  /// Connects to discovery at this address and follows the events after the last one received. A further call
  /// moves to another address.
  void follow(const Address& address);

  void begin_initial_events(Seconds newest_stamp) override {
    clock_.begin_initial_events(newest_stamp, scheduler_.now());
  }
  void end_initial_events() override { clock_.end_initial_events(); }
  void begin_endpoint_list(bool whole) override;
  void update_endpoint(std::string_view id, const Address& address, int location, int kind, int cell,
                       EndpointState state, double weight, Seconds started) override;
  void end_endpoint_list() override;
  void purged(std::string_view object, Seconds at) override;
  void purged_group(std::uint32_t group, Seconds at) override;

 private:
  class StreamInUse;
  // The progress of one connection.
  struct Progress {
    Seconds progress_at = 0;            // when the last whole frame, or enough of a large one, was received
    std::size_t bytes_at_progress = 0;  // how much of an incomplete frame was there at that time
    bool received_frame = false;        // whether at least one whole frame was received
    std::string why = "closed";         // why the connection ended, for the log
  };

  using Listing = replica::ObservationTracker::Listing;
  void apply_listing(int endpoint, const Address& address, const Listing& listing);
  void end_superseded();
  Task follow_all();
  Fd dial_with_spare();
  void hold_spare();
  static bool dial_succeeded(const Stream& stream, bool in_time, Progress& progress);
  Stream::ReadResult read_frames(Stream& stream, TimeSlice& slice, Progress& progress);
  bool take_frames(Stream& stream, const TimeSlice& slice, Progress& progress);
  bool apply_frames(Stream& stream, const TimeSlice& slice);
  bool accept_gap(std::uint64_t held, std::uint64_t seen);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  UpstreamPool& upstream_;
  DiscoveryClock clock_;
  static constexpr std::uint64_t kNoGap = ~std::uint64_t{};
  std::uint64_t last_ = 0;            // number of the last event that was received without a gap before it
  std::uint64_t gap_after_ = kNoGap;  // number of the last event before a gap that is requested again
  Address address_;
  bool following_ = false;
  bool address_changed_ = false;
  bool has_initial_list_ = false;
  bool list_is_whole_ = false;       // whether the list that is being received is complete
  std::unordered_set<int> in_list_;  // endpoints of that list so far
  std::vector<Listing> listings_;    // the last entry of each endpoint
  AddressOwners address_owners_;
  Stream* stream_ = nullptr;  // the current connection; null: none
  replica::ObservationTracker* observations_ = nullptr;
  Event reconnect_now_;
  TurnBudget busy_tasks_;
  // A reserved descriptor, released when a dial finds no other. Without it clients and attempts could take
  // the descriptor of a broken connection, which would leave the router without its endpoint list.
  Fd spare_descriptor_;
};

}  // namespace walkpaddle::net
