#include "change/document.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace walkpaddle::change {

namespace {

constexpr std::size_t kLongestName = 64, kLongestBody = 512, kMostStages = 12;

bool named(const std::string& name) { return !name.empty() && name.size() <= kLongestName; }

bool within(double value, double least, double most) { return value >= least && value <= most; }

}  // namespace

std::string refusal(const Document& d) {
  if (!named(d.name)) return "a name of 1 to 64 bytes is needed";
  if (!named(d.before)) return "before is missing: the generation that the fleet has";
  if (!named(d.after)) return "after is missing: the generation that the fleet is to have";
  if (d.before == d.after) return "before and after are one generation";
  if (!named(d.by)) return "by is missing: who proposes it";
  if (d.work != freeze::kSettings && d.work != freeze::kRelease)
    return "what it changes is neither settings nor a release";
  if (d.body.empty() || d.body.size() > kLongestBody) return "it says in 1 to 512 bytes what changes";
  if (d.stages.empty() || d.stages.size() > kMostStages) return "1 to 12 stages are needed";
  double last = -1;
  for (const double s : d.stages) {
    if (!within(s, 0, 1) || s <= last)
      return "stages are shares of the fleet, from 0 to 1, each larger than the last";
    last = s;
  }
  if (d.stages.back() != 1) return "the last stage has to be the whole fleet";
  if (d.txns < 1 || d.txns > 1'000'000'000) return "txns is out of range, 1 to 1000000000";
  constexpr Seconds kDay = 86400;
  if (!within(d.least, 0, kDay)) return "least is out of range, 0 to 86400 s";
  if (!within(d.longest, 1, 7 * kDay) || d.longest <= d.least)
    return "longest is out of range, over least and up to 7 days";
  if (!within(d.warm_up, 0, 3600)) return "warm_up is out of range, 0 to 3600 s";
  if (d.longest <= d.least + d.warm_up) return "longest leaves no time after warm_up";
  if (!within(d.ready_in, 0.1, 3600)) return "ready_in is out of range, 0.1 to 3600 s";
  if (!within(d.at_once, 0.001, 0.5)) return "at_once is out of range, 0.001 to 0.5 of a site";
  if (!within(d.harm, 0, 0.5)) return "harm is out of range, 0 to 0.5 of all txns";
  if (!within(d.ratio, 1, 10)) return "ratio is out of range, 1 to 10";
  return "";
}

std::vector<std::size_t> order_of(const Document& d, const std::vector<Placed>& fleet) {
  // Most of a site first, then by place in it: (place + a half) / size puts the sites in step.
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, std::size_t>>> sites;
  for (std::size_t n = 0; n < fleet.size(); ++n)
    sites[fleet[n].site].emplace_back(XXH3_64bits_withSeed(d.name.data(), d.name.size(), fleet[n].router), n);
  std::vector<std::tuple<double, std::uint64_t, std::size_t>> order;
  for (auto& [site, routers] : sites) {
    std::ranges::sort(routers);
    for (std::size_t place = 0; place < routers.size(); ++place)
      order.emplace_back((static_cast<double>(place) + 0.5) / static_cast<double>(routers.size()),
                         routers[place].first, routers[place].second);
  }
  std::ranges::sort(order);
  std::vector<std::size_t> indices;
  for (const auto& [at, hash, n] : order) indices.push_back(n);
  return indices;
}

std::vector<std::size_t> stage_sizes(const Document& d, std::size_t fleet) {
  std::vector<std::size_t> sizes;
  for (const double share : d.stages) {
    const auto exact = std::ceil(share * static_cast<double>(fleet) - 1e-9);
    const auto size = std::clamp<std::size_t>(static_cast<std::size_t>(exact), 1, fleet);
    if (sizes.empty() || size > sizes.back()) sizes.push_back(size);
  }
  return sizes;
}

std::size_t at_once(const Document& d, std::size_t of_site) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(d.at_once * static_cast<double>(of_site)));
}

Seconds back_pace(const Document& d) {
  // Settings come back within one turn; a program is gone for as long as it takes to be ready.
  return d.work == freeze::kSettings ? 0.2 : std::min(d.ready_in, 2.0);
}

Seconds way_back(const Document& d, std::size_t fleet) {
  const auto groups = (fleet + at_once(d, fleet) - 1) / at_once(d, fleet);
  return static_cast<Seconds>(groups) * back_pace(d) + d.ready_in;
}

Seconds worst(const Document& d, std::size_t fleet) {
  return static_cast<Seconds>(stage_sizes(d, fleet).size()) * d.longest + way_back(d, fleet);
}

}  // namespace walkpaddle::change
