/// \file
/// Reads a stream without keeping other tasks waiting.
#pragma once

#include <cstddef>
#include <limits>

#include "io/stream.h"
#include "io/turn_budget.h"

namespace walkpaddle {

/// Handles what was received on `stream` and reads on, until nothing more is there or more than `max_unsent`
/// bytes of replies are unsent (`nothing`), the slice is over (`bytes`: go on in a later turn), or the
/// connection has ended (`end`). `handle_input` takes whole messages from Stream::in() until none is left or
/// the slice is over, and returns false if the connection is to end.
template <class HandleInput>
Stream::ReadResult read_slice(Stream& stream, TimeSlice& slice, HandleInput handle_input,
                              std::size_t max_unsent = std::numeric_limits<std::size_t>::max()) {
  auto result = Stream::ReadResult::bytes;
  slice.begin();
  while (result == Stream::ReadResult::bytes) {
    if (!handle_input()) {
      result = Stream::ReadResult::end;
    } else if (slice.is_over()) {
      break;
    } else if (stream.unsent() > max_unsent) {
      result = Stream::ReadResult::nothing;
    } else {
      result = stream.read();
    }
  }
  slice.end();
  return result;
}

}  // namespace walkpaddle
