/// \file
/// Converts Cap'n Proto messages to flat bytes and back. A message that cannot be read raises InputError,
/// whatever the library threw. Reading is bounded, so that a small message of nested or repeated pointers
/// cannot cost much time. No I/O.
#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cmath>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/text.h"
#include "base/time.h"

namespace walkpaddle::replica {

/// Encodes the message as flat bytes, a whole number of words.
inline std::string message_bytes(capnp::MallocMessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Calls `read` with the root of the message in `bytes` and returns its result. `max_bytes`: the size of the
/// largest valid message; reading may traverse four times as much. Throws InputError if the message cannot be
/// read.
template <class Root, class Read>
auto read_root(std::string_view bytes, std::size_t max_bytes, Read&& read) {
  // An aligned copy: the library reads words in place.
  std::vector<capnp::word> words((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  std::memcpy(static_cast<void*>(words.data()), bytes.data(), bytes.size());
  capnp::ReaderOptions bounds;
  bounds.traversalLimitInWords = 4 * max_bytes / sizeof(capnp::word);
  bounds.nestingLimit = 8;
  try {
    capnp::FlatArrayMessageReader reader({words.data(), words.size()}, bounds);
    return std::forward<Read>(read)(reader.getRoot<Root>());
  } catch (const kj::Exception& e) {
    throw InputError(std::string("Cap'n Proto message cannot be read: ") + e.getDescription().cStr());
  }
}

/// Returns the value if it can be a time in seconds: finite, not negative, at most 1e11. Throws InputError
/// otherwise.
inline Seconds checked_time(double value) {
  constexpr Seconds kLatestTime = 1e11;
  if (!std::isfinite(value) || value < 0 || value > kLatestTime)
    throw_bad_value("time", std::to_string(value));
  return value;
}

/// A view of the text without a copy; valid as long as the message.
inline std::string_view text_view(const capnp::Text::Reader& text) { return {text.begin(), text.size()}; }

}  // namespace walkpaddle::replica
