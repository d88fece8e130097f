#include "routing/request_quota.h"

#include <algorithm>

namespace walkpaddle::routing {

RequestQuota::RequestQuota(std::size_t max_requests)
    : max_requests_(std::max(max_requests, std::size_t{1})) {}

std::size_t RequestQuota::max_requests(double memory_mb) {
  constexpr double kShareOfMemory = 0.125;  // half of what buffers may take
  constexpr double kRequestBytes = 2048;    // of a request with its task, its attempt and its texts
  constexpr double kBytesPerMegabyte = 1 << 20;
  return static_cast<std::size_t>(memory_mb * kBytesPerMegabyte * kShareOfMemory / kRequestBytes);
}

bool RequestQuota::admits(std::size_t client_requests, std::size_t all_requests) const {
  constexpr std::size_t kFreeParts = 16;  // one client may have one part in so many of what is free
  if (all_requests >= max_requests_) return false;
  const auto free = max_requests_ - all_requests;
  return client_requests < std::max(free / kFreeParts, std::size_t{1});
}

}  // namespace walkpaddle::routing
