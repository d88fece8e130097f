/// \file
/// Follows discovery: the list of endpoints and the purges, first as known at the start, then as they come.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_set>

#include "io/log.h"
#include "net/discovery_clock.h"
#include "net/discovery_codec.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"
#include "replica/observation_tracker.h"

namespace walkpaddle::net {

/// Hands the events of discovery to the pool, the purges and the routing policy, and keeps a connection to
/// it.
///
/// Lifetimes: what it takes by reference or pointer outlives it; its task is dropped (Scheduler::drop_tasks)
/// before it goes. Threads: the scheduler's one thread.
class DiscoveryClient final : public DiscoveryEvents {
 public:
  /// What is taken by reference outlives it.
  DiscoveryClient(Scheduler& scheduler, Outbox& outbox, Log& log, RequestDispatcher& dispatcher,
                  UpstreamPool& upstream)
      : scheduler_(scheduler),
        outbox_(outbox),
        log_(log),
        dispatcher_(dispatcher),
        upstream_(upstream),
        reconnect_now_(scheduler) {}

  /// The events of the configuration were handed over, up to number `last`.
  void set_last_event(std::uint64_t last) {
    last_ = last;
    has_initial_list_ = true;
  }
  /// Whether the list that was known at the start has been handed over.
  bool has_initial_list() const { return has_initial_list_; }
  /// What the fleet observes of endpoints; null: nothing is shared.
  void set_observations(replica::ObservationTracker* observations) { observations_ = observations; }
  /// Where the fleet's observations are worse than the list, the policy goes by them.
  void apply_observations();
  /// Follows discovery at this address, from the last event held on; a second call moves to another address.
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
  enum class Input { none, frames, end };
  // How one connection goes on.
  struct Progress {
    Seconds progress_at = 0;            // when a frame last came whole, or a large one moved on
    std::size_t bytes_at_progress = 0;  // how much of a frame was there as it last moved on
    bool received_frame = false;        // at least one whole
    std::string why = "closed";         // it ended
  };

  Task follow_all();
  Fd dial_with_spare();
  void hold_spare();
  Input read_frames(Stream& stream, Progress& progress);
  bool take_frames(Stream& stream);
  bool accept_gap(std::uint64_t held, std::uint64_t seen);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  UpstreamPool& upstream_;
  DiscoveryClock clock_;
  static constexpr std::uint64_t kNoGap = ~std::uint64_t{};
  std::uint64_t last_ = 0;            // event held, without a gap before it
  std::uint64_t gap_after_ = kNoGap;  // the last before a gap that is asked for again
  Address address_;
  bool following_ = false;
  bool address_changed_ = false;
  bool has_initial_list_ = false;
  bool list_is_whole_ = false;       // the list that is being told
  std::unordered_set<int> in_list_;  // so far
  Stream* stream_ = nullptr;         // the connection in use, if there is one
  replica::ObservationTracker* observations_ = nullptr;
  Event reconnect_now_;
  // Held while there is no connection. Prevents clients and attempts from taking the descriptor of one that
  // broke, which would leave the router without its list.
  Fd spare_descriptor_;
};

}  // namespace walkpaddle::net
