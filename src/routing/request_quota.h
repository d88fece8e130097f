/// \file
/// How many requests one client may have open while those of all clients are limited together. The limit of
/// one client follows what is still free, as in "Dynamic queue length thresholds for shared-memory packet
/// switches" (Choudhury and Hahne, 1998): a client alone may use all that the protocol allows, and beside
/// many busy clients there is room for the first request of another. No I/O.
#pragma once

#include <cstddef>

namespace walkpaddle::routing {

/// Decides whether a request is accepted.
class RequestQuota {
 public:
  /// `max_requests`: open requests of all clients together; 0 counts as 1.
  explicit RequestQuota(std::size_t max_requests);

  /// The number of requests that may be open in a process with this limit of memory, in MB (2^20 bytes).
  static std::size_t max_requests(double memory_mb);
  /// Whether a client with `client_requests` open requests may open another, while all clients together have
  /// `all_requests`.
  bool admits(std::size_t client_requests, std::size_t all_requests) const;

 private:
  const std::size_t max_requests_;
};

}  // namespace walkpaddle::routing
