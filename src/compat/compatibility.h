/// \file
/// Checks whether a release can run in one fleet with other releases: each has to read correctly what the
/// other writes, field by field. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle::compat {

/// The compatibility of two releases, from best to worst.
enum class Compatibility : std::uint8_t {
  safe,         ///< neither side loses or misreads data that a decision uses
  conditional,  ///< safe once every router reads Finding::needed_version
  breaking,     ///< a mixed fleet misreads messages in whatever order its routers are updated
};

/// One incompatibility.
struct Finding {
  Compatibility compatibility = Compatibility::breaking;  ///< severity
  std::string channel;  ///< name of the channel, or "any" for the whole release
  std::string field;    ///< "file.Struct.field", "file.Struct" for a whole struct; empty: the channel itself
  std::string router;   ///< name of the router that runs the other release
  std::string why;      ///< the reason, for people
  int version = 0;      ///< version of the channel that the router reads
  int needed_version = 0;  ///< for conditional: the version that all routers have to read
  bool gated = false;      ///< the new form is written only once all routers read that version
  /// The finding as one sentence, for logs and operators.
  std::string text() const;
};

/// A router that has to agree: alive, or away for a shorter time than copies are kept, so that it may return
/// as it was.
struct FleetRouter {
  std::string name;                  ///< as in the operator's file
  const Release* release = nullptr;  ///< its release; nullptr: the schemas of that release are not available
  bool away = false;                 ///< it is not running now, but may come back
};

/// The result of checking a release against a fleet.
struct CompatibilityReport {
  Compatibility compatibility = Compatibility::safe;  ///< the worst among the findings
  std::vector<Finding> findings;                      ///< sorted from worst to best; bounded in number
  /// Whether a rollout of the release may start: no finding is breaking, and every conditional one is gated.
  bool may_start() const;
};

/// Checks the release `next` against the releases that the routers of the fleet run. The releases behind
/// `fleet` have to outlive the call.
CompatibilityReport check_compatibility(const Release& next, const std::vector<FleetRouter>& fleet);

}  // namespace walkpaddle::compat
