#include "net/discovery_client.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/text.h"

namespace walkpaddle::net {

namespace {

std::string_view log_word(EndpointState state) {
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

// What breaks off counts as told 2 s later, what falls silent 4 s later: the pauses stay well under the one,
// and one empty frame of each second that is missing, with a dial, under the other. The time runs from the
// last whole frame, so that one that trickles or stops midway is silence too.
constexpr Seconds kSilenceTimeout = 2.2;
constexpr Seconds kDialTimeout = 0.5;
constexpr Seconds kFirstPause = 0.05;
constexpr Seconds kLongestPause = 0.4;

}  // namespace

// ---- Events. -------------------------------------------------------------------------------------------

void DiscoveryClient::begin_endpoint_list(bool whole) {
  list_is_whole_ = whole;
  in_list_.clear();
  dispatcher_.input().begin_endpoint_list(whole);
}

void DiscoveryClient::update_endpoint(std::string_view id, const Address& address, int location, int kind,
                                      int cell, EndpointState state, double weight, Seconds started) {
  const int endpoint = upstream_.endpoint_index(id);
  if (list_is_whole_) in_list_.insert(endpoint);
  upstream_.update_endpoint(endpoint, address, state);
  dispatcher_.purges().delivery().set_listed(endpoint, state != EndpointState::gone);
  dispatcher_.input().update_endpoint(endpoint, stable_hash(id), location, kind, cell, state, weight,
                                      clock_.started_at(endpoint, started, scheduler_.now()));
  if (observations_ == nullptr) return;
  observations_->update_listing(endpoint, {stable_hash(id), location, kind, cell, state, weight, started},
                                scheduler_.now());
}

// Who is not in a whole list is gone, for attempts that wait as for the policy.
void DiscoveryClient::end_endpoint_list() {
  for (int endpoint = 0; list_is_whole_ && endpoint < upstream_.endpoint_count(); ++endpoint) {
    if (in_list_.contains(endpoint)) continue;
    upstream_.update_endpoint(endpoint, upstream_.address(endpoint), EndpointState::gone);
    dispatcher_.purges().delivery().set_listed(endpoint, false);
  }
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
    log_("facts", "{}: {} as the fleet has it", upstream_.id(endpoint), log_word(listing.state));
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

// Names the stream that follow() closes, while it lives.
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
  pause_over_.set();
}

void DiscoveryClient::hold_spare() {
  if (!spare_descriptor_) spare_descriptor_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

// Invalid with errno if refused at once.
Fd DiscoveryClient::dial_with_spare() {
  Fd socket = dial(address_);
  if (socket || (errno != EMFILE && errno != ENFILE)) return socket;
  spare_descriptor_ = Fd();
  return dial(address_);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): one coroutine over one stream
Task DiscoveryClient::follow_all() {
  hold_spare();
  for (Seconds pause = kFirstPause;; pause = std::min(pause * 2, kLongestPause)) {
    Progress progress;
    Fd socket = dial_with_spare();
    if (!socket) {
      progress.why = std::strerror(errno);
    } else {
      Stream stream(scheduler_, outbox_, std::move(socket));
      const StreamInUse in_use(*this, stream);
      const bool in_time = co_await stream.writable(scheduler_.now() + kDialTimeout);
      const int error = stream.error();
      const bool connected = in_time && error == 0;
      if (!connected) progress.why = in_time ? std::strerror(error) : "not up in time";
      if (connected) stream.write(hello_text(last_));
      progress.whole_at = scheduler_.now();
      while (connected) {
        const Input input = read_frames(stream, progress);
        if (input == Input::end) break;
        if (input == Input::frames) continue;
        const bool woken = co_await stream.readable(progress.whole_at + kSilenceTimeout);
        if (woken && scheduler_.now() < progress.whole_at + kSilenceTimeout) continue;
        progress.why = "silent";
        break;
      }
    }
    hold_spare();  // what the connection held is free at this moment
    if (progress.frames_came) pause = kFirstPause;
    if (std::exchange(address_changed_, false)) {
      pause = kFirstPause / 2;  // the next is the first again
      continue;
    }
    log_("bus", "{}: {}, event {} is the last; again in {:.2f} s", text_of(address_), progress.why, last_,
         pause);
    co_await pause_over_.wait(scheduler_.now() + pause);
    address_changed_ = false;
  }
}

// A large frame on a slow line is no silence as long as it moves on; a small one has to come whole.
DiscoveryClient::Input DiscoveryClient::read_frames(Stream& stream, Progress& progress) {
  constexpr std::size_t kLeastProgressBytes = 4096;
  const auto came = stream.read();
  if (came == Stream::ReadResult::end) return Input::end;
  if (came == Stream::ReadResult::nothing) return Input::none;
  const auto bytes_before = stream.in().size();
  if (!take_frames(stream)) {
    progress.why = "a frame that cannot be used";
    return Input::end;
  }
  const auto bytes = stream.in().size();
  const bool took_frames = bytes < bytes_before;
  if (took_frames) {
    progress.frames_came = true;
    progress.bytes_then = 0;
  }
  if (took_frames || bytes >= progress.bytes_then + kLeastProgressBytes) {
    progress.whole_at = scheduler_.now();
    progress.bytes_then = bytes;
  }
  return Input::frames;
}

bool DiscoveryClient::take_frames(Stream& stream) {
  const Seconds now = scheduler_.now();
  try {
    for (;;) {
      const auto held = last_;
      std::uint64_t seen = 0;
      const auto used = read_frame(stream.in(), last_, *this, seen);
      if (used == 0) return true;
      stream.consume(used);
      clock_.heard(now);
      if (observations_ != nullptr) observations_->discovery_heard(now);
      if (seen > held + 1 && !accept_gap(held, seen)) return false;
      if (gap_after_ != kNoGap && last_ > gap_after_) {
        gap_after_ = kNoGap;
        dispatcher_.purges().set_discovery_gap(false);
      }
    }
  } catch (const InputError& e) {
    log_("bus", "{}", e.what());
    return false;
  }
}

// Numbers that are missing are asked for again, by a new connection from the last that is held; until they
// came the ages of all copies are bounded. If discovery leaves the same out twice it will not tell them: all
// copies from before then count as old, and what follows is taken.
bool DiscoveryClient::accept_gap(std::uint64_t held, std::uint64_t seen) {
  const bool asked_again = std::exchange(gap_after_, held) == held;
  log_("bus", "events {} to {} never came{}", held + 1, seen - 1,
       asked_again ? ", asked again: given up" : "");
  dispatcher_.purges().set_discovery_gap(!asked_again);
  if (!asked_again) return false;
  dispatcher_.purges().discovery_purges_lost(scheduler_.now());
  last_ = seen;
  return true;
}

}  // namespace walkpaddle::net
