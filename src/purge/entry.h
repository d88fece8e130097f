// One purge as it stands in the book: who issued it, as which number, when, and what it covers.
// Source of the terms: docs/purges.md.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/time.h"

namespace walkpaddle::purge {

enum class Kind { object, group, tag, pattern, all };
constexpr int kKinds = 5;

// The place of a purge in the one order that every router ends with. `at` is the issuer's clock, moved past
// every stamp that the issuer had seen.
struct Stamp {
  Seconds at = 0;
  std::uint64_t issuer = 0, number = 0;  // numbers of one issuer run from 1 without a gap
  auto operator<=>(const Stamp&) const = default;
};

struct Entry {
  Stamp stamp;
  Kind kind = Kind::object;
  std::string what;  // object id, group number, tag or pattern, as the operator gave it
  // On this router's clock: copies made before then are old. It is the time of hearing, which is never before
  // the time of issuing, whatever the clocks of the two routers say.
  Seconds from = 0;
  std::uint64_t place = 0;  // in this router's own order of hearing, from 1
};

constexpr std::size_t kLongest = 256;  // bytes of `what`

}  // namespace walkpaddle::purge
