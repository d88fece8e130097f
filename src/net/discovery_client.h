// The event bus: the list of members and the purges, first as known at the start, then as they come.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_set>

#include "io/log.h"
#include "net/discovery_clock.h"
#include "net/discovery_codec.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"
#include "replica/observation_tracker.h"

namespace walkpaddle::net {

class DiscoveryClient final : public DiscoveryEvents {
 public:
  DiscoveryClient(Scheduler& scheduler, Outbox& outbox, Log& log, RequestDispatcher& dispatcher,
                  UpstreamPool& caches)
      : scheduler_(scheduler),
        outbox_(outbox),
        log_(log),
        dispatcher_(dispatcher),
        upstream_(caches),
        pause_over_(scheduler) {}

  void held(std::uint64_t last) { last_ = last, read_ = true; }
  bool read() const { return read_; }                                 // the list that was known at the start
  void share(replica::ObservationTracker* watch) { watch_ = watch; }  // what the fleet knows of the servers
  void tell_facts();                // where the fleet's facts are worse than the list: the module is told
  void follow(const Address& bus);  // from the last event held; a second call moves to another address

  void known_begin(Seconds newest_stamp) override { clock_.begin_known(newest_stamp, scheduler_.now()); }
  void known_end() override { clock_.end_known(); }
  void begin_endpoint_list(bool whole) override;
  void update_endpoint(std::string_view id, const Address& address, int location, int kind, int cell,
                       EndpointState state, double weight, Seconds started) override;
  void end_endpoint_list() override;
  void purged(std::string_view object, Seconds at) override;
  void purged_group(std::uint32_t group, Seconds at) override;

 private:
  Task follow_all();
  bool take_frames(Stream& stream);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  UpstreamPool& upstream_;
  DiscoveryClock clock_;
  static constexpr std::uint64_t kNoGap = ~std::uint64_t{};
  std::uint64_t last_ = 0, gap_after_ = kNoGap;  // gap_after_: the last before a gap that is asked for again
  Address bus_;
  bool following_ = false, moved_ = false, read_ = false;
  bool whole_ = false;               // the list that is being told
  std::unordered_set<int> in_list_;  // so far
  Stream* stream_ = nullptr;         // the connection in use, if there is one
  replica::ObservationTracker* watch_ = nullptr;
  Event pause_over_;
  // Held while there is no connection. Guards against clients and hops that take the descriptor of one that
  // broke, and would leave the router without its list.
  Fd spare_;
};

}  // namespace walkpaddle::net
