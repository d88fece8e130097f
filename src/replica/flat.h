// Cap'n Proto messages as flat bytes, and back: what cannot be read is InputError, whatever the library
// threw, and what reads too much of a small message (a bomb of pointers) ends at a bound. No I/O.
#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cmath>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "base/text.h"
#include "base/time.h"

namespace walkpaddle::replica {

inline std::string flat(capnp::MallocMessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Calls `read` with the root of the message in `bytes`; `most` bytes are what the largest message has.
template <class T, class F>
auto reading(std::string_view bytes, std::size_t most, F&& read) {
  // An aligned copy: the library reads words in place.
  std::vector<capnp::word> words((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  std::memcpy(static_cast<void*>(words.data()), bytes.data(), bytes.size());
  capnp::ReaderOptions bounds;
  bounds.traversalLimitInWords = 4 * most / sizeof(capnp::word);
  bounds.nestingLimit = 8;
  try {
    capnp::FlatArrayMessageReader reader({words.data(), words.size()}, bounds);
    return read(reader.getRoot<T>());
  } catch (const kj::Exception& e) {
    throw InputError(std::string("a message that cannot be read: ") + e.getDescription().cStr());
  }
}

inline Seconds time_of(double value) {
  if (!std::isfinite(value) || value < 0 || value > 1e11) throw_bad_value("time", std::to_string(value));
  return value;
}

inline std::string_view text_of(const capnp::Text::Reader& text) { return {text.begin(), text.size()}; }

}  // namespace walkpaddle::replica
