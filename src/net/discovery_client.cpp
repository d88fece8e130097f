#include "net/discovery_client.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "base/text.h"

namespace walkpaddle::net {

void DiscoveryClient::begin_endpoint_list(bool whole) {
  whole_ = whole;
  in_list_.clear();
  dispatcher_.input().begin_endpoint_list(whole);
}

void DiscoveryClient::update_endpoint(std::string_view id, const Address& address, int location, int kind,
                                      int cell, EndpointState state, double weight, Seconds started) {
  const int m = upstream_.endpoint_index(id);
  if (whole_) in_list_.insert(m);
  upstream_.update_endpoint(m, address, state);
  dispatcher_.purges().delivery().set_listed(m, state != EndpointState::gone);
  dispatcher_.input().update_endpoint(m, stable_hash(id), location, kind, cell, state, weight,
                                      clock_.started_at(m, started, scheduler_.now()));
  if (watch_ != nullptr)
    watch_->update_listing(m, {stable_hash(id), location, kind, cell, state, weight, started},
                           scheduler_.now());
}

// Who is not in a whole list is gone, for hops that wait as for the module.
void DiscoveryClient::end_endpoint_list() {
  for (int m = 0; whole_ && m < upstream_.endpoint_count(); ++m) {
    if (in_list_.contains(m)) continue;
    upstream_.update_endpoint(m, upstream_.address(m), EndpointState::gone);
    dispatcher_.purges().delivery().set_listed(m, false);
  }
  dispatcher_.input().end_endpoint_list();
  tell_facts();
}

void DiscoveryClient::tell_facts() {
  if (watch_ == nullptr) return;
  const auto tells = watch_->take_changes(scheduler_.now());
  if (tells.empty()) return;
  auto& brain = dispatcher_.input();
  brain.begin_endpoint_list(false);
  for (const auto& [m, l] : tells) {
    brain.update_endpoint(m, l.hash, l.location, l.kind, l.cell, l.state, l.weight,
                          clock_.started_at(m, l.started, scheduler_.now()));
    log_("facts", "{}: {} as the fleet has it", upstream_.id(m),
         l.state == EndpointState::gone       ? "gone"
         : l.state == EndpointState::draining ? "draining"
                                              : "listed");
  }
  brain.end_endpoint_list();
}

void DiscoveryClient::purged(std::string_view object, Seconds at) {
  dispatcher_.purges().discovery_purged_object(stable_hash(object), clock_.purged_at(at, scheduler_.now()));
}

void DiscoveryClient::purged_group(std::uint32_t group, Seconds at) {
  dispatcher_.purges().discovery_purged_group(group, clock_.purged_at(at, scheduler_.now()));
}

void DiscoveryClient::follow(const Address& bus) {
  bus_ = bus;
  if (!std::exchange(following_, true)) return scheduler_.start(follow_all());
  moved_ = true;
  if (stream_ != nullptr) stream_->close();
  pause_over_.set();
}

Task DiscoveryClient::follow_all() {
  // What breaks off counts as told 2 s later, what falls silent 4 s later: the pauses stay well under the
  // one, and one empty frame of each second that is missing, with a dial, under the other. The time runs from
  // the last whole frame, so that one that trickles or stops midway is silence too.
  // A large frame on a slow line is none as long as it moves on; a small one has to come whole.
  constexpr Seconds kSilence = 2.2, kDial = 0.5, kFirstPause = 0.05, kLongestPause = 0.4;
  constexpr std::size_t kMovesOn = 4096;
  const auto hold_spare = [&] {
    if (!spare_) spare_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
  };
  hold_spare();
  for (Seconds pause = kFirstPause;; pause = std::min(pause * 2, kLongestPause)) {
    std::string why = "closed";
    Fd fd = dial(bus_);
    if (!fd && (errno == EMFILE || errno == ENFILE)) spare_ = Fd(), fd = dial(bus_);
    if (fd) {
      Stream stream(scheduler_, outbox_, std::move(fd));
      struct InUse {
        DiscoveryClient& list;
        ~InUse() { list.stream_ = nullptr; }
      } in_use{*this};
      stream_ = &stream;
      const bool in_time = co_await stream.writable(scheduler_.now() + kDial);
      if (const int error = stream.error(); !in_time || error != 0) {
        why = in_time ? std::strerror(error) : "not up in time";
      } else {
        stream.write(hello_text(last_));
        std::size_t moved_at = 0;  // so much of a frame was held when it last moved on
        for (Seconds whole_at = scheduler_.now();;) {
          const auto came = stream.read();
          if (came == Stream::Came::end) break;
          if (came == Stream::Came::bytes) {
            const auto before = stream.in().size();
            if (!take_frames(stream)) {
              why = "a frame that cannot be used";
              break;
            }
            const auto held = stream.in().size();
            if (held < before) pause = kFirstPause, moved_at = 0;
            if (held < before || held >= moved_at + kMovesOn) whole_at = scheduler_.now(), moved_at = held;
            continue;
          }
          const bool told = co_await stream.readable(whole_at + kSilence);
          if (told && scheduler_.now() < whole_at + kSilence) continue;
          why = "silent";
          break;
        }
      }
    } else {
      why = std::strerror(errno);
    }
    hold_spare();  // what the connection held is free at this moment
    if (std::exchange(moved_, false)) {
      pause = kFirstPause / 2;  // the next is the first again
      continue;
    }
    log_("bus", "{}: {}, event {} is the last; again in {:.2f} s", text_of(bus_), why, last_, pause);
    co_await pause_over_.wait(scheduler_.now() + pause);
    moved_ = false;
  }
}

// Numbers that are missing are asked for again, by a new connection from the last that is held; until they
// came the ages of all copies are bounded. If the bus leaves the same out twice it will not tell them: all
// copies from before then count as old, and what follows is taken.
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
      if (watch_ != nullptr) watch_->discovery_heard(now);
      if (seen > held + 1) {
        const bool again = std::exchange(gap_after_, held) == held;
        log_("bus", "events {} to {} never came{}", held + 1, seen - 1,
             again ? ", asked again: given up" : "");
        dispatcher_.purges().set_discovery_gap(!again);
        if (!again) return false;
        dispatcher_.purges().discovery_purges_lost(now);
        last_ = seen;
      }
      if (gap_after_ != kNoGap && last_ > gap_after_)
        gap_after_ = kNoGap, dispatcher_.purges().set_discovery_gap(false);
    }
  } catch (const InputError& e) {
    log_("bus", "{}", e.what());
    return false;
  }
}

}  // namespace walkpaddle::net
