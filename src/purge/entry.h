/// \file
/// One purge as it stands in the log: who issued it, as which number, when, and what it covers.
/// Source of the terms: docs/purges.md.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace walkpaddle::purge {

/// What a purge covers. The values are those of the wire and of the store.
enum class PurgeKind { object, group, tag, pattern, all };

/// How many kinds there are: what comes from the wire or the store is below this.
constexpr int kPurgeKindCount = 5;

/// The kind's name, as operators and cache servers write it.
constexpr std::string_view to_string(PurgeKind kind) {
  switch (kind) {
    case PurgeKind::object:
      return "object";
    case PurgeKind::group:
      return "group";
    case PurgeKind::tag:
      return "tag";
    case PurgeKind::pattern:
      return "pattern";
    case PurgeKind::all:
      return "all";
  }
  return {};
}

/// The kind of that name; nullopt if there is none.
constexpr std::optional<PurgeKind> parse_purge_kind(std::string_view name) {
  for (int kind = 0; kind < kPurgeKindCount; ++kind)
    if (to_string(static_cast<PurgeKind>(kind)) == name) return static_cast<PurgeKind>(kind);
  return std::nullopt;
}

static_assert(!to_string(static_cast<PurgeKind>(kPurgeKindCount - 1)).empty(), "each kind has a name");
static_assert(to_string(static_cast<PurgeKind>(kPurgeKindCount)).empty(), "kPurgeKindCount counts all kinds");
static_assert(parse_purge_kind(to_string(PurgeKind::all)) == PurgeKind::all);

/// The place of a purge in the one order that every router ends with: by time, then issuer, then number.
struct PurgeStamp {
  /// When it was issued, by the issuer's clock, moved past every stamp that the issuer had seen.
  Seconds issued_at = 0;
  std::uint64_t issuer = 0;  ///< the router that issued it, a new one at each start without a store
  std::uint64_t number = 0;  ///< of this issuer, from 1 without a gap
  /// The one order.
  auto operator<=>(const PurgeStamp&) const = default;
};

/// One purge.
struct PurgeEntry {
  PurgeStamp stamp;                    ///< its place in the one order
  PurgeKind kind = PurgeKind::object;  ///< what it covers
  std::string target;  ///< object id, group number, tag or pattern, as the operator gave it; empty for `all`
  /// On this router's clock: copies made before are stale. It is the time at which this router received the
  /// purge, never before the time of issuing, whatever the clocks of the two routers say.
  Seconds valid_since = 0;
  std::uint64_t position = 0;  ///< in this router's own order of arrival, from 1
};

constexpr std::size_t kMaxTargetBytes = 256;  ///< bytes of PurgeEntry::target

}  // namespace walkpaddle::purge
