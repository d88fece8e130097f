// The event bus's frames, and the events that they and the configuration hold. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "brain.h"
#include "io/stream.h"

namespace walkpaddle::net {

// Where the decoded events go.
class ListEvents {
 public:
  // The events of a configuration follow, up to known_end(); the newest stamp among them, 0 for none.
  virtual void known_begin(Sec newest_stamp) = 0;
  virtual void known_end() = 0;
  virtual void list_begin(bool whole) = 0;
  virtual void list_member(std::string_view id, const Address& address, int location, int kind, int cell,
                           Listed state, double weight, Sec started) = 0;
  virtual void list_end() = 0;
  virtual void purged(std::string_view object, Sec at) = 0;
  virtual void purged_group(std::uint32_t group, Sec at) = 0;

 protected:
  ~ListEvents() = default;
};

// One frame at the front of `bytes`, handed to `events` if its number is past `last`, which it moves on if it
// is the next; `seen` is set to its number. Gives the bytes taken, 0 while the frame is not whole. What is no
// frame is Malformed, and none of it is handed on.
std::size_t read_frame(std::string_view bytes, std::uint64_t& last, ListEvents& events, std::uint64_t& seen);

std::string hello_text(std::uint64_t last);  // what is written to the bus first

}  // namespace walkpaddle::net
