#include "compat/compatibility.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

#include "compat/channel_comparison.h"

namespace walkpaddle::compat {

namespace {

constexpr std::size_t kMaxFindings = 200;

/// A finding about the whole release that a router runs.
Finding release_finding(const FleetRouter& router, std::string why) {
  return {.compatibility = Compatibility::breaking,
          .channel = "any",
          .field = {},
          .router = router.name,
          .why = std::move(why)};
}

std::set<std::string> channels_of(const Release& a, const Release& b) {
  std::set<std::string> names;
  for (const auto* release : {&a, &b})
    for (const auto& [name, channel] : release->channels) names.insert(name);
  return names;
}

void compare_releases(const Release& next, const FleetRouter& router, CompatibilityReport& report) {
  for (const auto& channel : channels_of(next, *router.release))
    for (auto& finding : compare_channel(next, *router.release, channel)) {
      finding.router = router.name + (router.away ? ", which is away and may return," : "");
      report.compatibility = std::max(report.compatibility, finding.compatibility);
      if (report.findings.size() < kMaxFindings) report.findings.push_back(std::move(finding));
    }
}

}  // namespace

std::string Finding::text() const {
  const std::string place = field.empty() ? "" : ", " + field;
  std::string condition;
  if (compatibility == Compatibility::conditional)
    condition = ", safe once all routers read version " + std::to_string(needed_version);
  return "channel " + channel + place + ": " + why + " (" + router + " reads version " +
         std::to_string(version) + condition + ")";
}

bool CompatibilityReport::may_start() const {
  return std::ranges::all_of(findings, [](const Finding& finding) {
    if (finding.compatibility == Compatibility::conditional) return finding.gated;
    return finding.compatibility == Compatibility::safe;
  });
}

CompatibilityReport check_compatibility(const Release& next, const std::vector<FleetRouter>& fleet) {
  CompatibilityReport report;
  for (const auto& router : fleet) {
    if (router.release == nullptr) {
      report.findings.push_back(
          release_finding(router, "the schemas of the router's release are not available here"));
      continue;
    }
    const auto unsupported = next.unsupported_releases.find(router.release->name);
    if (unsupported == next.unsupported_releases.end()) {
      compare_releases(next, router, report);
      continue;
    }
    report.findings.push_back(release_finding(
        router,
        "it runs " + router.release->name + ", which this release does not support: " + unsupported->second));
  }
  for (const auto& finding : report.findings)
    report.compatibility = std::max(report.compatibility, finding.compatibility);
  std::ranges::stable_sort(report.findings, std::greater<>(), &Finding::compatibility);
  return report;
}

}  // namespace walkpaddle::compat
