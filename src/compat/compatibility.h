/// \file
/// Whether a release can run beside others: what the one writes the other reads, and the other way, field by
/// field. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "compat/release.h"

namespace walkpaddle::compat {

/// How a release fits beside another; a later one is the worse.
enum class Compatibility : std::uint8_t {
  safe,         ///< nothing that a decision uses is lost or misread on either side
  conditional,  ///< safe once every router reads the named version
  breaking,     ///< no order of updates makes a mixed fleet agree
};

/// One thing that does not fit.
struct Finding {
  Compatibility compatibility = Compatibility::breaking;  ///< how bad it is
  std::string channel;                                    ///< its name, or "any"
  std::string field;                                      ///< "file.Struct.field"; empty: the channel itself
  std::string router;                                     ///< whose release it is
  std::string why;                                        ///< in words
  int version = 0;                                        ///< that the router reads on the channel
  int needed_version = 0;                                 ///< conditional: that all have to read
  bool gated = false;                                     ///< it is written only once they do
  /// One sentence.
  std::string text() const;
};

/// A router that has to agree: alive, or away for a shorter time than copies are kept, so that it may return
/// as it was.
struct FleetRouter {
  std::string name;               ///< as the operator's file names it
  const Release* runs = nullptr;  ///< nullptr: a release that is not kept here
  bool away = false;              ///< expected back
};

/// What a release does to a fleet.
struct CompatibilityReport {
  Compatibility compatibility = Compatibility::safe;  ///< the worst of the findings'
  std::vector<Finding> findings;                      ///< the worst first; bounded
  /// A rollout may go on: nothing breaks, and what has to wait is written only once all read it.
  bool may_start() const;
};

/// Compares a release with those that the routers of the fleet run; they outlive the call.
CompatibilityReport check_compatibility(const Release& next, const std::vector<FleetRouter>& fleet);

}  // namespace walkpaddle::compat
