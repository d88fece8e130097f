/// \file
/// The warm-start snapshot as the text that one start leaves to the next: JSON, versioned, bounded, with a
/// checksum. No I/O. The keys of the stored form are older than these names: "learnt", "family", "pace",
/// "rules", "sending", "unreached".
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::warm_start {

/// What the text holds.
struct SnapshotFile {
  /// How long answers of one request class take.
  struct ServiceTime {
    std::string request_class;  ///< its name, 1 to 64 bytes
    Seconds mean = 0;           ///< from 0 to 600
    int answers = 0;            ///< how many the mean is of
  };
  /// An endpoint that could not be reached.
  struct UnreachableEndpoint {
    std::string id;         ///< 1 to 64 bytes
    Seconds failed_at = 0;  ///< Unix time of the last attempt that did not reach it
  };

  std::string family;          ///< the kind of service that the router is set up for
  double client_kb_per_s = 0;  ///< bandwidth to one client: service times mean nothing at another
  Seconds written_at = 0;      ///< Unix time, stored in whole milliseconds
  std::vector<ServiceTime> service_times{};        ///< at most kMaxServiceTimes are stored
  std::vector<UnreachableEndpoint> unreachable{};  ///< at most kMaxUnreachable are stored
};

constexpr std::size_t kMaxSnapshotBytes = 65536;  ///< of a text that parse_snapshot() takes
constexpr std::size_t kMaxServiceTimes = 64;      ///< request classes of one snapshot
constexpr std::size_t kMaxUnreachable = 512;      ///< endpoints of one snapshot

/// The text, within the bounds: what is over them is left out, the last first.
std::string serialize(const SnapshotFile& snapshot);

/// Reads a text for a router of this family and client bandwidth. Throws InputError that says in a few words
/// why it is of no use here: torn, foreign, of a newer version, older than an hour, out of range.
SnapshotFile parse_snapshot(std::string_view text, std::string_view family, double client_kb_per_s,
                            Seconds now);

}  // namespace walkpaddle::warm_start
