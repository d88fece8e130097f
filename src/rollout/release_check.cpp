#include "rollout/release_check.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/error.h"
#include "compat/announcement.h"

namespace walkpaddle::rollout {

namespace {

using compat::AnnouncedChannel;
using State = membership::MemberState;

constexpr std::array<std::pair<const char*, AnnouncedChannel>, 4> kComparedChannels{
    {{"links", AnnouncedChannel::links},
     {"gossip", AnnouncedChannel::gossip},
     {"calendar", AnnouncedChannel::calendar},
     {"changes", AnnouncedChannel::changes}}};

/// Whether a router that announces the channel versions `reads` may be running the release: the release's
/// versions of the compared channels equal the announced ones.
bool matches(const compat::Release& release, std::uint64_t reads) {
  if (!release.channels.contains("gossip")) return false;  // a release from before the gossip channel
  return std::ranges::all_of(kComparedChannels, [&](const auto& compared) {
    const auto channel = release.channels.find(compared.first);
    return channel == release.channels.end() ||
           channel->second.version == compat::announced_version(reads, compared.second);
  });
}

}  // namespace

std::string ReleaseCheck::refusal(const RolloutPlan& plan) {
  if (const auto router = router_without_rollouts())
    return *router +
           " does not take part in changes: its file has no changes section, or its program is too old";
  if (plan.work != freeze::kRelease) return {};
  const auto [known, is_new] = refusals_.try_emplace(plan.name);
  if (is_new) known->second = refusal_of_release(plan.after);
  return known->second;
}

std::optional<std::string> ReleaseCheck::router_without_rollouts() const {
  for (std::size_t peer = 0; peer < setup_.peers.size(); ++peer) {
    const auto& member = members_.peers()[peer];
    const bool is_alive = member.state == State::alive || member.state == State::suspect;
    if (is_alive && compat::announces_nothing(member.channel_versions, AnnouncedChannel::changes))
      return setup_.peers[peer];
  }
  return std::nullopt;
}

std::string ReleaseCheck::refusal_of_release(const std::string& generation) const try {
  const auto next = setup_.release_of(generation);
  const auto kept = setup_.kept_releases();
  const auto report = compat::check_compatibility(next, routers_running(kept));
  return report.may_start() ? std::string() : report.findings.front().text();
} catch (const InputError& e) {
  return "cannot read what generation " + generation + " publishes: " + e.what();
}

/// Pairs each router of the fleet with every kept release that it may run, or with none.
std::vector<compat::FleetRouter> ReleaseCheck::routers_running(
    const std::vector<compat::Release>& releases) const {
  std::vector<compat::FleetRouter> routers;
  for (std::size_t peer = 0; peer < setup_.peers.size(); ++peer) {
    const auto& member = members_.peers()[peer];
    if (member.state == State::never_seen) continue;
    const bool is_dead = member.state == State::dead;
    const auto size_before = routers.size();
    for (const auto& release : releases)
      if (matches(release, member.channel_versions))
        routers.push_back({setup_.peers[peer], &release, is_dead});
    if (routers.size() == size_before) routers.push_back({setup_.peers[peer], nullptr, is_dead});
  }
  return routers;
}

}  // namespace walkpaddle::rollout
