/// \file
/// The warm-start snapshot as a text that a router saves for its next start: versioned JSON of limited size
/// with a checksum. No I/O. The keys of the stored text differ from the names here: "learnt", "family",
/// "pace", "rules", "sending", "unreached".
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::warm_start {

/// The content of the text.
struct SnapshotFile {
  /// The mean time that an answer of one request class takes to be sent.
  struct ServiceTime {
    std::string request_class;  ///< name of the class, 1 to 64 bytes
    Seconds mean = 0;           ///< 0 to 600 s
    int answers = 0;            ///< number of answers averaged
  };
  /// An endpoint to which no connection could be established.
  struct UnreachableEndpoint {
    std::string id;         ///< as discovery names it, 1 to 64 bytes
    Seconds failed_at = 0;  ///< Unix time of the last failed attempt to reach it
  };

  std::string family;                              ///< kind of service that the router is configured for
  double client_kb_per_s = 0;                      ///< bandwidth to one client; service times depend on it
  Seconds written_at = 0;                          ///< Unix time, stored in whole milliseconds
  std::vector<ServiceTime> service_times{};        ///< at most kMaxServiceTimes are stored
  std::vector<UnreachableEndpoint> unreachable{};  ///< at most kMaxUnreachable are stored
};

constexpr std::size_t kMaxSnapshotBytes = 65536;  ///< largest text that parse_snapshot() accepts
constexpr std::size_t kMaxServiceTimes = 64;      ///< most request classes in a snapshot
constexpr std::size_t kMaxUnreachable = 512;      ///< most unreachable endpoints in a snapshot

/// Serialises a snapshot. Of each list, only the first entries up to the limits above are kept.
std::string serialize(const SnapshotFile& snapshot);

/// Parses a text for a router of this family and client bandwidth. Throws InputError with the reason if it is
/// damaged, belongs to another kind of router, has another version, is older than an hour or has values out
/// of range.
SnapshotFile parse_snapshot(std::string_view text, std::string_view family, double client_kb_per_s,
                            Seconds now);

}  // namespace walkpaddle::warm_start
