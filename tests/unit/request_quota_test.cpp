// The limits on open requests.
#include "routing/request_quota.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

using walkpaddle::routing::RequestQuota;

namespace {

constexpr std::size_t kMaxPerClient = 32;  // protocol page

// All clients open as many requests as they may, one after the other, in rounds.
std::vector<std::size_t> open_all(const RequestQuota& quota, std::size_t clients) {
  std::vector<std::size_t> open(clients);
  for (std::size_t round = 0; round < kMaxPerClient; ++round)
    for (auto& own : open)
      if (quota.admits(own, std::accumulate(open.begin(), open.end(), std::size_t{0}))) ++own;
  return open;
}

}  // namespace

TEST_CASE("few clients may use all that the protocol allows, under the least memory") {
  const RequestQuota quota(RequestQuota::max_requests(32));
  for (const std::size_t clients : {1, 8, 32})
    for (const auto open : open_all(quota, clients)) CHECK(open == kMaxPerClient);
}

TEST_CASE("beside hundreds of busy clients another one's first request is admitted") {
  constexpr std::size_t kClients = 504;  // of 1,024 descriptors
  const auto max_requests = RequestQuota::max_requests(32);
  const RequestQuota quota(max_requests);
  const auto open = open_all(quota, kClients);
  const auto all = std::accumulate(open.begin(), open.end(), std::size_t{0});
  CHECK(all < max_requests);
  CHECK(quota.admits(0, all));
  CHECK(*std::ranges::min_element(open) >= 1);
}

TEST_CASE("at the limit nothing is admitted") {
  const RequestQuota quota(4);
  CHECK(quota.admits(0, 3));
  CHECK_FALSE(quota.admits(1, 3));
  CHECK_FALSE(quota.admits(0, 4));
}
