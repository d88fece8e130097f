/// \file
/// One entry of the purge log: its issuer, sequence number and time, and what it covers.
/// docs/purges.md defines the terms.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace walkpaddle::purge {

/// What a purge covers. The values are part of the wire format and of the stored format.
enum class PurgeKind { object, group, tag, pattern, all };

/// Number of kinds; values read from the wire or the store must be below it.
constexpr int kPurgeKindCount = 5;

/// The kind's name in operator commands and in commands to cache servers.
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

/// The kind with this name, or nullopt if there is none.
constexpr std::optional<PurgeKind> parse_purge_kind(std::string_view name) {
  for (int kind = 0; kind < kPurgeKindCount; ++kind)
    if (to_string(static_cast<PurgeKind>(kind)) == name) return static_cast<PurgeKind>(kind);
  return std::nullopt;
}

static_assert(!to_string(static_cast<PurgeKind>(kPurgeKindCount - 1)).empty(), "each kind has a name");
static_assert(to_string(static_cast<PurgeKind>(kPurgeKindCount)).empty(), "kPurgeKindCount counts all kinds");
static_assert(parse_purge_kind(to_string(PurgeKind::all)) == PurgeKind::all);

/// A purge's key in the total order on which all routers converge: by time, then issuer, then number.
struct PurgeStamp {
  /// Time of issue on the issuer's clock, moved past every stamp that the issuer had seen.
  Seconds issued_at = 0;
  std::uint64_t issuer =
      0;  ///< id of the issuing router; a router without a store has a new one at each start
  std::uint64_t number = 0;  ///< the issuer's sequence number, from 1 without gaps
  /// The total order.
  auto operator<=>(const PurgeStamp&) const = default;
};

/// One purge.
struct PurgeEntry {
  PurgeStamp stamp;                    ///< its key in the total order
  PurgeKind kind = PurgeKind::object;  ///< what it covers
  std::string target;  ///< object id, group number, tag or pattern, as the operator gave it; empty for `all`
  /// Copies made before this time, on this router's clock, are stale. It is when this router received the
  /// purge; since that follows the issue in real time, differences between clocks cannot make it too early.
  Seconds valid_since = 0;
  std::uint64_t position = 0;  ///< sequence number in this router's order of arrival, from 1
};

constexpr std::size_t kMaxTargetBytes = 256;  ///< longest PurgeEntry::target

}  // namespace walkpaddle::purge
