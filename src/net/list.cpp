#include "net/list.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "text.h"

namespace walkpaddle::net {

void List::list_begin(bool whole) { desk_.input().list_begin(whole); }

void List::list_member(std::string_view id, const Address& address, int location, int kind, int cell,
                       Listed state, double weight, Sec started) {
  const int m = caches_.member(id);
  caches_.told(m, address, state);
  desk_.input().list_member(m, stable_hash(id), location, kind, cell, state, weight, started);
}

void List::list_end() { desk_.input().list_end(); }

void List::purged(std::string_view object, Sec at) {
  const auto hash = stable_hash(object);
  caches_.purged(hash);
  desk_.input().purged(hash, std::max(0.0, scheduler_.now() - at));
}

void List::purged_group(std::uint32_t group, Sec at) {
  caches_.purged_group(group);
  desk_.input().purged_group(group, std::max(0.0, scheduler_.now() - at));
}

void List::follow(const Address& bus, std::uint64_t last) {
  last_ = last;
  scheduler_.start(follow_all(bus));
}

Task List::follow_all(Address bus) {
  // An empty frame comes each second: three missing ones are a dead connection. Pauses from a restart's
  // hiccup up to what the rules count as told.
  constexpr Sec kSilence = 3, kDial = 1, kFirstPause = 0.05, kLongestPause = 2;
  Event pause_over(scheduler_);
  for (Sec pause = kFirstPause;; pause = std::min(pause * 2, kLongestPause)) {
    std::string why = "closed";
    if (Fd fd = dial(bus)) {
      Stream stream(scheduler_, outbox_, std::move(fd));
      const bool in_time = co_await stream.writable(scheduler_.now() + kDial);
      if (const int error = stream.error(); !in_time || error != 0) {
        why = in_time ? std::strerror(error) : "not up in time";
      } else {
        stream.write(hello_text(last_));
        for (;;) {
          const auto came = stream.read();
          if (came == Stream::Came::end) break;
          if (came == Stream::Came::bytes) {
            pause = kFirstPause;
            if (take_frames(stream)) continue;
            why = "a frame that cannot be read";
            break;
          }
          const bool told = co_await stream.readable(scheduler_.now() + kSilence);
          if (told) continue;
          why = "silent";
          break;
        }
      }
    } else {
      why = std::strerror(errno);
    }
    log_("bus", "{}: {}, event {} is the last; again in {:.2f} s", text_of(bus), why, last_, pause);
    co_await pause_over.wait(scheduler_.now() + pause);
  }
}

bool List::take_frames(Stream& stream) {
  try {
    while (const auto used = read_frame(stream.in(), last_, *this)) stream.consume(used);
    return true;
  } catch (const Malformed& e) {
    log_("bus", "{}", e.what());
    return false;
  }
}

}  // namespace walkpaddle::net
