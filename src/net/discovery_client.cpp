#include "net/discovery_client.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/text.h"
#include "io/read_slice.h"

namespace walkpaddle::net {

namespace {

std::string_view state_name(EndpointState state) {
  switch (state) {
    case EndpointState::gone:
      return "gone";
    case EndpointState::ready:
      return "listed";
    case EndpointState::draining:
      return "draining";
  }
  return "";
}

// Events count as delivered 2 s after the connection broke and 4 s after it fell silent. The reconnect delays
// stay well below the 2 s. The silence timeout allows for one missing heartbeat, of which discovery sends one
// a second, and stays below the 4 s together with a dial. It runs from the last whole frame, so that a frame
// that trickles or stops midway counts as silence too.
constexpr Seconds kSilenceTimeout = 2.2;
constexpr Seconds kDialTimeout = 0.5;
constexpr Seconds kInitialReconnectDelay = 0.05;
constexpr Seconds kMaxReconnectDelay = 0.4;

}  // namespace

// ---- Events. -------------------------------------------------------------------------------------------

void DiscoveryClient::begin_endpoint_list(bool whole) {
  list_is_whole_ = whole;
  in_list_.clear();
  address_owners_.begin_list();
  dispatcher_.input().begin_endpoint_list(whole);
}

void DiscoveryClient::update_endpoint(std::string_view id, const Address& address, int location, int kind,
                                      int cell, EndpointState state, double weight, Seconds started) {
  const int endpoint = upstream_.endpoint_index(id);
  if (list_is_whole_) in_list_.insert(endpoint);
  address_owners_.update(endpoint, address, state != EndpointState::gone);
  apply_listing(endpoint, address, {stable_hash(id), location, kind, cell, state, weight, started});
}

void DiscoveryClient::apply_listing(int endpoint, const Address& address, const Listing& listing) {
  const auto index = static_cast<std::size_t>(endpoint);
  if (index >= listings_.size()) listings_.resize(index + 1);
  listings_[index] = listing;
  const Seconds started = clock_.started_at(endpoint, listing.started, scheduler_.now());
  upstream_.update_endpoint(endpoint, address, listing.state);
  upstream_.endpoint_started(endpoint, started);
  dispatcher_.purges().delivery().set_listed(endpoint, listing.state != EndpointState::gone);
  dispatcher_.input().update_endpoint(endpoint, listing.hash, listing.location, listing.kind, listing.cell,
                                      listing.state, listing.weight, started);
  if (observations_ != nullptr) observations_->update_listing(endpoint, listing, scheduler_.now());
}

// An endpoint whose address another one has taken is gone, though discovery has not told so yet. Its requests
// would reach the other one under its name.
void DiscoveryClient::end_superseded() {
  for (const int endpoint : address_owners_.end_list()) {
    const auto& address = upstream_.address(endpoint);
    log_("bus", "{} is gone: another endpoint has its address {}", upstream_.id(endpoint), text_of(address));
    auto listing = listings_[static_cast<std::size_t>(endpoint)];
    listing.state = EndpointState::gone;
    apply_listing(endpoint, address, listing);
  }
}

// Endpoints that a complete list does not contain are gone, for queued attempts as well as for the policy.
void DiscoveryClient::end_endpoint_list() {
  for (int endpoint = 0; list_is_whole_ && endpoint < upstream_.endpoint_count(); ++endpoint) {
    if (in_list_.contains(endpoint)) continue;
    upstream_.update_endpoint(endpoint, upstream_.address(endpoint), EndpointState::gone);
    address_owners_.update(endpoint, upstream_.address(endpoint), false);
    dispatcher_.purges().delivery().set_listed(endpoint, false);
  }
  end_superseded();
  dispatcher_.input().end_endpoint_list();
  apply_observations();
}

void DiscoveryClient::apply_observations() {
  if (observations_ == nullptr) return;
  const auto updates = observations_->take_changes(scheduler_.now());
  if (updates.empty()) return;
  auto& policy = dispatcher_.input();
  policy.begin_endpoint_list(false);
  for (const auto& [endpoint, listing] : updates) {
    policy.update_endpoint(endpoint, listing.hash, listing.location, listing.kind, listing.cell,
                           listing.state, listing.weight,
                           clock_.started_at(endpoint, listing.started, scheduler_.now()));
    log_("facts", "{}: {} according to the fleet", upstream_.id(endpoint), state_name(listing.state));
  }
  policy.end_endpoint_list();
}

void DiscoveryClient::purged(std::string_view object, Seconds at) {
  dispatcher_.purges().discovery_purged_object(stable_hash(object), clock_.purged_at(at, scheduler_.now()));
}

void DiscoveryClient::purged_group(std::uint32_t group, Seconds at) {
  dispatcher_.purges().discovery_purged_group(group, clock_.purged_at(at, scheduler_.now()));
}

// ---- The connection. -----------------------------------------------------------------------------------

// Lets follow() close the stream while it exists.
class DiscoveryClient::StreamInUse {
 public:
  StreamInUse(DiscoveryClient& client, Stream& stream) : client_(client) { client_.stream_ = &stream; }
  StreamInUse(const StreamInUse&) = delete;
  StreamInUse& operator=(const StreamInUse&) = delete;
  ~StreamInUse() { client_.stream_ = nullptr; }

 private:
  DiscoveryClient& client_;
};

void DiscoveryClient::follow(const Address& address) {
  address_ = address;
  if (!std::exchange(following_, true)) return scheduler_.start(follow_all());
  address_changed_ = true;
  if (stream_ != nullptr) stream_->close();
  reconnect_now_.set();
}

void DiscoveryClient::hold_spare() {
  if (!spare_descriptor_) spare_descriptor_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

// Releases the spare descriptor if no other is free. The result is invalid, with errno set, if the dial
// failed at once.
Fd DiscoveryClient::dial_with_spare() {
  Fd socket = dial(address_);
  if (socket || (errno != EMFILE && errno != ENFILE)) return socket;
  spare_descriptor_ = Fd();
  return dial(address_);
}

bool DiscoveryClient::dial_succeeded(const Stream& stream, bool in_time, Progress& progress) {
  const int error = stream.error();
  if (in_time && error == 0) return true;
  progress.why = in_time ? std::strerror(error) : "connect timed out";
  return false;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): one coroutine over one stream
Task DiscoveryClient::follow_all() {
  hold_spare();
  for (Seconds pause = kInitialReconnectDelay;; pause = std::min(pause * 2, kMaxReconnectDelay)) {
    Progress progress;
    Fd socket = dial_with_spare();
    if (!socket) {
      progress.why = std::strerror(errno);
    } else {
      Stream stream(scheduler_, outbox_, std::move(socket));
      const StreamInUse in_use(*this, stream);
      const bool in_time = co_await stream.writable(scheduler_.now() + kDialTimeout);
      const bool connected = dial_succeeded(stream, in_time, progress);
      if (connected) stream.write(hello_text(last_));
      progress.progress_at = scheduler_.now();
      TimeSlice slice(scheduler_, busy_tasks_);
      while (connected) {
        const auto result = read_frames(stream, slice, progress);
        if (result == Stream::ReadResult::end) break;
        const bool has_more = result == Stream::ReadResult::bytes;
        if (has_more) co_await slice.next_turn();
        if (has_more) continue;
        const bool has_input = co_await stream.readable(progress.progress_at + kSilenceTimeout);
        if (has_input && scheduler_.now() < progress.progress_at + kSilenceTimeout) continue;
        progress.why = "no complete frame in time";
        break;
      }
    }
    hold_spare();  // the connection's descriptor has just become free
    if (progress.received_frame) pause = kInitialReconnectDelay;
    if (std::exchange(address_changed_, false)) {
      pause = kInitialReconnectDelay / 2;  // the loop doubles it to the initial delay
      continue;
    }
    log_("bus", "no connection to {}: {}; last event {}; reconnecting in {:.2f} s", text_of(address_),
         progress.why, last_, pause);
    co_await reconnect_now_.wait(scheduler_.now() + pause);
    address_changed_ = false;
  }
}

Stream::ReadResult DiscoveryClient::read_frames(Stream& stream, TimeSlice& slice, Progress& progress) {
  return read_slice(stream, slice, [&] { return take_frames(stream, slice, progress); });
}

// Takes the whole frames that were received, until the slice is over. False if one is unusable. A large frame
// on a slow connection makes progress with every kLeastProgressBytes; a small one only when it is complete.
bool DiscoveryClient::take_frames(Stream& stream, const TimeSlice& slice, Progress& progress) {
  constexpr std::size_t kLeastProgressBytes = 4096;
  const auto bytes_before = stream.in().size();
  if (!apply_frames(stream, slice)) {
    progress.why = "unusable frame";
    return false;
  }
  const auto bytes = stream.in().size();
  const bool took_frames = bytes < bytes_before;
  if (took_frames) {
    progress.received_frame = true;
    progress.bytes_at_progress = 0;
  }
  if (took_frames || bytes >= progress.bytes_at_progress + kLeastProgressBytes) {
    progress.progress_at = scheduler_.now();
    progress.bytes_at_progress = bytes;
  }
  return true;
}

bool DiscoveryClient::apply_frames(Stream& stream, const TimeSlice& slice) {
  const Seconds now = scheduler_.now();
  try {
    while (!slice.is_over()) {
      const auto held = last_;
      std::uint64_t seen = 0;
      const auto used = read_frame(stream.in(), last_, *this, seen);
      if (used == 0) return true;
      stream.consume(used);
      clock_.frame_received(now);
      if (observations_ != nullptr) observations_->note_discovery_message(now);
      if (seen > held + 1 && !accept_gap(held, seen)) return false;
      if (gap_after_ != kNoGap && last_ > gap_after_) {
        gap_after_ = kNoGap;
        dispatcher_.purges().set_discovery_gap(false);
      }
    }
    return true;
  } catch (const InputError& e) {
    log_("bus", "malformed frame: {}", e.what());
    return false;
  }
}

// Missing events are requested again, by a new connection that starts from the last event before the gap;
// until they arrive the age of all copies is bounded. If discovery omits the same events a second time, it
// will not send them: all copies from before now count as stale, and the events after the gap are accepted.
bool DiscoveryClient::accept_gap(std::uint64_t held, std::uint64_t seen) {
  const bool asked_again = std::exchange(gap_after_, held) == held;
  log_("bus", "events {} to {} are missing{}", held + 1, seen - 1,
       asked_again ? " after a second request; continuing without them" : "; requesting them again");
  dispatcher_.purges().set_discovery_gap(!asked_again);
  if (!asked_again) return false;
  dispatcher_.purges().discovery_purges_lost(scheduler_.now());
  last_ = seen;
  return true;
}

}  // namespace walkpaddle::net
