#include "fleet/changes.h"

#include "base/text.h"
#include "config/settings.h"
#include "store/key.h"

namespace walkpaddle::fleet {

namespace {

std::vector<std::uint64_t> names_of(const Changes::Setup& setup) {
  std::vector<std::uint64_t> names{stable_hash(setup.name)};
  for (const auto& p : setup.peers) names.push_back(stable_hash(p.name));
  return names;
}

std::string numbered(char letter, const replica::ReplicatedState& kind) {
  std::string key(1, letter);
  return key += std::to_string(kind.number());
}

// Items in the order in which a start takes them: what is said of a change that is not known is passed over.
std::string key_of(const replica::ReplicatedState& kind, std::uint64_t id) {
  return store::encode_key(numbered('k', kind), {kind.join_order(id), id});
}

}  // namespace

Changes::Changes(Log& log, const Setup& setup, const membership::Membership& members, gossip::Gossip& gossip,
                 store::Store* store, Seconds now)
    : log_(log),
      setup_(setup),
      members_(members),
      gossip_(gossip),
      store_(store),
      calendar_(stable_hash(setup.name), names_of(setup), {}),
      rollout_(
          [&] {
            change::Rollout::Setup s{.self = {stable_hash(setup.name), setup.site},
                                     .peers = {},
                                     .generation = setup.generation,
                                     .seed = setup.seed,
                                     .lasting = store != nullptr,
                                     .alive =
                                         [this](int p) {
                                           const auto state =
                                               members_.peers()[static_cast<std::size_t>(p)].state;
                                           return state == membership::MemberState::alive ||
                                                  state == membership::MemberState::suspect;
                                         },
                                     .refuses = [this](const change::Document& d) { return refuses(d); }};
            for (const auto& p : setup.peers) s.peers.push_back({stable_hash(p.name), p.site});
            return s;
          }(),
          calendar_, {}, now) {
  gossip_.carry(calendar_);
  gossip_.carry(rollout_);
}

// A release has to be read by every router that is alive, and by those that were within the time that copies
// are kept, by what they announce. The folder of releases is asked once for each change: it is the disk's.
std::string Changes::refuses(const change::Document& d) const {
  for (std::size_t p = 0; p < setup_.peers.size(); ++p) {
    const auto& peer = members_.peers()[p];
    if ((peer.state == membership::MemberState::alive || peer.state == membership::MemberState::suspect) &&
        compat::says_nothing_of(peer.channel_versions, compat::ChannelOf::changes))
      return setup_.peers[p].name +
             " takes no part in changes: its file has no changes section, or its program is older";
  }
  if (d.work != freeze::kRelease) return "";
  if (const auto it = refusals_.find(d.name); it != refusals_.end()) return it->second;
  auto& why = refusals_[d.name];
  try {
    const auto next = setup_.release(d.after);
    const auto kept = setup_.kept();
    std::vector<compat::Router> fleet;
    for (std::size_t p = 0; p < setup_.peers.size(); ++p) {
      const auto& peer = members_.peers()[p];
      if (peer.state == membership::MemberState::unheard) continue;
      const bool away = peer.state == membership::MemberState::dead;
      std::size_t found = 0;
      for (const auto& release : kept) {
        const auto reads = [&](const char* channel, compat::ChannelOf of) {
          const auto it = release.channels.find(channel);
          return it == release.channels.end() ||
                 it->second.version == compat::version_of(peer.channel_versions, of);
        };
        if (!reads("links", compat::ChannelOf::links) || !reads("gossip", compat::ChannelOf::gossip) ||
            !reads("calendar", compat::ChannelOf::calendar) || !reads("changes", compat::ChannelOf::changes))
          continue;
        if (!release.channels.contains("gossip")) continue;  // from before there was one
        ++found, fleet.push_back({setup_.peers[p].name, &release, away});
      }
      if (found == 0) fleet.push_back({setup_.peers[p].name, nullptr, away});
    }
    const auto verdict = compat::verdict(next, fleet);
    if (!verdict.may_start()) why = verdict.reasons.front().text();
  } catch (const InputError& e) {
    why = "what generation " + d.after + " publishes cannot be read: " + e.what();
  }
  return why;
}

void Changes::restore(std::string_view key, std::string_view value, Seconds now) {
  replica::ReplicatedState* kinds[] = {&calendar_, &rollout_};
  for (auto* kind : kinds) {
    const bool own = key == numbered('o', *kind), item = key.starts_with(numbered('k', *kind));
    if (own) kind->restore_private_state(value);
    if (item) kind->join(value, now);
    if (own || item) stored_[std::string(key)] = value;
  }
}

// What this router must not forget goes at once, before an answer that rests on it leaves; the rest at each
// look.
void Changes::keep(bool all) {
  std::map<std::string, std::string> now;
  const replica::ReplicatedState* kinds[] = {&calendar_, &rollout_};
  for (const auto* kind : kinds) {
    if (auto own = kind->private_state(); !own.empty()) now[numbered('o', *kind)] = std::move(own);
    for (int range = 0; all && range < replica::ReplicatedState::kDigestRanges; ++range)
      for (const auto id : kind->ids_of_range(range)) now[key_of(*kind, id)] = kind->bytes(id);
  }
  for (const auto& [key, value] : now)
    if (const auto it = stored_.find(key); it == stored_.end() || it->second != value)
      if (store_->put(key, value, 0)) stored_[key] = value;
  for (auto it = stored_.begin(); all && it != stored_.end();)
    it = !now.contains(it->first) && store_->erase(it->first) ? stored_.erase(it) : std::next(it);
}

void Changes::pull(Seconds now) {
  constexpr Seconds kLook = 0.5;
  const bool look = now >= look_at_;
  if (!gossip_.catching_up() && members_.alive_count() + 1 >= calendar_.majority()) calendar_.in_contact(now);
  if (look) calendar_.clock_apart(gossip_.clock_offset(now));
  rollout_.counted(setup_.counted());
  const auto move = rollout_.next_move(now);
  for (const auto& line : rollout_.take_said()) log_("change", "{}", line);
  if (store_ != nullptr && !store_->failed()) keep(look);
  if (look) {
    look_at_ = now + kLook;
    refusals_.clear();
    const auto why = calendar_.not_current(now);
    if (why != said_) log_("freeze", "{}", why.empty() ? "the calendar is current" : why);
    said_ = why;
  }
  if (move) setup_.carry_out(*move);
}

Seconds Changes::next_due() const { return std::min(look_at_, rollout_.next_due()); }

}  // namespace walkpaddle::fleet
