#include "freeze/calendar.h"

#include <cmath>
#include <variant>

namespace walkpaddle::freeze {

namespace {

/// Whether `a` supersedes `b`, of two exceptions for the same change and window. The order is total, so that
/// all routers keep the same one.
bool supersedes(const Exception& a, const Exception& b) {
  if (a.version != b.version) return a.version > b.version;
  if (a.until != b.until) return a.until < b.until;
  return a < b;
}

std::string rounded(double value) { return std::to_string(std::llround(value)); }

}  // namespace

Calendar::Calendar(std::uint64_t self, const std::vector<std::uint64_t>& fleet, const Limits& limits)
    : self_(self), fleet_(fleet.begin(), fleet.end()), limits_(limits) {}

// ---- joining copies ----------------------------------------------------------------------------

bool Calendar::declare(const Window& window) {
  if (refusal(window) || encode(window).size() > kMaxItemBytes) {
    ++refused_windows_;
    return false;
  }
  return join(window);
}

bool Calendar::join(const Window& window) {
  if (!windows_.contains(window.name) && windows_.size() >= limits_.windows) {
    ++refused_windows_;
    return false;
  }
  auto& versions = windows_[window.name];
  if (window.version < versions.version) return false;
  if (window.version > versions.version) begin_version(versions, window);
  auto& copies = versions.copies;
  const auto at = std::ranges::lower_bound(copies, window);
  if (at != copies.end() && *at == window) return false;
  copies.insert(at, window);
  add_item(encode(window));
  if (copies.size() <= limits_.copies) return true;
  // All routers keep the same copies, the first in order. More differing copies are not a disagreement but a
  // fault.
  remove_item(id_of(encode(copies.back())));
  copies.pop_back();
  ++refused_windows_;
  return true;
}

/// Drops the copies of earlier versions, and their withdrawals, which do not apply to this version.
void Calendar::begin_version(Versions& versions, const Window& window) {
  for (const auto& old : std::exchange(versions.copies, {})) remove_item(id_of(encode(old)));
  versions.version = window.version;
  std::erase_if(versions.holders, [&](const auto& entry) {
    const auto& [version, holders] = entry;
    if (version >= window.version) return false;
    for (const auto holder : holders) remove_item(id_of(encode(Withdrawal{window.name, version, holder})));
    return true;
  });
}

bool Calendar::withdraw(const std::string& window, std::uint32_t version) {
  return join(Withdrawal{window, version, self_});
}

/// Refusing a withdrawal is safe: it only keeps changes blocked.
bool Calendar::join(const Withdrawal& withdrawal) {
  const auto& [window, version, holder] = withdrawal;
  if (!fleet_.contains(holder) || window.empty() || window.size() > kMaxTextBytes || version < 1)
    return false;
  if (!windows_.contains(window) && windows_.size() >= limits_.windows) return false;
  auto& versions = windows_[window];
  if (version < versions.version) return false;
  if (versions.holders.size() >= limits_.copies && !versions.holders.contains(version)) return false;
  if (!versions.holders[version].insert(holder).second) return false;
  add_item(encode(withdrawal));
  return true;
}

/// A router that holds the withdrawal of a later version counts for the current version, too.
bool Calendar::is_withdrawn(const Versions& versions) const {
  std::set<std::uint64_t> holding;
  for (const auto& [version, holders] : versions.holders)
    if (version >= versions.version) holding.insert(holders.begin(), holders.end());
  return static_cast<int>(holding.size()) >= majority();
}

bool Calendar::add_exception(const Exception& exception) {
  const std::pair key(exception.change, exception.window);
  const auto earlier = exceptions_.find(key);
  const bool is_new = earlier == exceptions_.end();
  if (!is_new && !supersedes(exception, earlier->second)) return false;
  if (is_new && exceptions_.size() >= limits_.exceptions) return false;
  const auto item = encode(exception);
  if (item.size() > kMaxItemBytes) return false;
  if (!is_new) remove_item(id_of(encode(earlier->second)));
  exceptions_[key] = exception;
  add_item(item);
  return true;
}

/// Items of other routers are validated like documents. A withdrawal that another router holds is held here,
/// too.
bool Calendar::join(std::string_view bytes, Seconds now) {
  const auto item = decode_item(bytes);
  if (!item) return false;
  if (const auto* window = std::get_if<Window>(&*item)) return declare(*window);
  if (const auto* withdrawal = std::get_if<Withdrawal>(&*item)) {
    if (!join(*withdrawal)) return false;
    withdraw(withdrawal->window, withdrawal->version);
    return true;
  }
  const auto& exception = std::get<Exception>(*item);
  // The other router's clock may be ahead of this one's.
  return !refusal(exception, now + limits_.clock_slack) && add_exception(exception);
}

// ---- decisions ---------------------------------------------------------------------------------

std::optional<std::string> Calendar::why_not_current(Seconds now) const {
  if (std::abs(clock_offset_) > limits_.clock_slack)
    return "this router's clock differs from the others' by " + rounded(std::abs(clock_offset_)) + " s";
  if (refused_windows_ > 0)
    return "this router refused a freeze window, which was invalid, the 257th, or the fifth "
           "differing copy of one version; withdraw some and restart";
  if (contacted_at_ == 0 || now - contacted_at_ > limits_.max_silence)
    return "this router's calendar may lack a freeze window: no contact with a majority for over " +
           rounded(limits_.max_silence) + " s";
  return std::nullopt;
}

Permission Calendar::decide(Action action, const PlannedChange& change, Seconds now) const {
  using Outcome = Permission::Outcome;
  if (action == Action::stop || action == Action::roll_back) return {};
  if (const auto why = why_not_current(now)) return {Outcome::not_before, 0, "", *why};
  const auto conflict = first_conflict(change, now, now + change.max_duration);
  if (!conflict) return {};
  const auto why = reason(change, *conflict, now);
  // Each step passes one span, and the horizon contains a bounded number of them.
  for (Seconds at = conflict->span.until; at < now + limits_.horizon;) {
    const auto next = first_conflict(change, at, at + change.max_duration);
    if (!next) return {Outcome::not_before, at, conflict->window, why};
    at = std::max(next->span.until, at + 1);
  }
  constexpr Seconds kDay = 86400;
  return {Outcome::never, 0, conflict->window,
          why + "; there is no free time in the next " + rounded(limits_.horizon / kDay) + " days"};
}

std::string Calendar::reason(const PlannedChange& change, const Conflict& conflict, Seconds now) const {
  constexpr Seconds kMinute = 60;
  const auto& [window, span] = conflict;
  if (now >= span.from) return "the freeze window " + window + " lasts until " + format_utc(span.until);
  if (now >= span.lead_start)
    return "the freeze window " + window + " begins at " + format_utc(span.from) +
           ", and no change may start from " + format_utc(span.lead_start) + " on";
  return "its longest duration of " + rounded(change.max_duration / kMinute) +
         " minutes, including a rollback, would run into the freeze window " + window +
         ", before which no change may start from " + format_utc(span.lead_start) + " on";
}

LateWindowEffect Calendar::late_window_effect(const PlannedChange& change, Seconds rollback_duration,
                                              Seconds now) const {
  const auto conflict = first_conflict(change, now, now + change.max_duration);
  if (!conflict) return LateWindowEffect::none;
  return now + rollback_duration <= conflict->span.from ? LateWindowEffect::rolls_back
                                                        : LateWindowEffect::holds;
}

bool Calendar::is_site_frozen(std::string_view site, Work work, Seconds now) const {
  const PlannedChange any_change{.change = {}, .work = work, .sites = {std::string(site)}};
  return first_conflict(any_change, now, now).has_value();
}

/// Finds the first occurrence, including its lead time, that overlaps [from, until], among the windows that
/// block the change.
std::optional<Calendar::Conflict> Calendar::first_conflict(const PlannedChange& change, Seconds from,
                                                           Seconds until) const {
  std::optional<Conflict> first;
  for (const auto& [name, versions] : windows_) {
    if (versions.copies.empty() || is_withdrawn(versions)) continue;
    for (const auto& window : versions.copies) {
      if (!is_blocked_by(window, change)) continue;
      for (const auto& span : spans(window, from, until, limits_.clock_slack)) {
        const bool overlaps = span.lead_start <= until && span.until > from;
        if (!overlaps || is_excepted(change, name, from, std::min(until, span.until))) continue;
        if (!first || span.lead_start < first->span.lead_start) first = Conflict{name, span};
      }
    }
  }
  return first;
}

bool Calendar::is_blocked_by(const Window& window, const PlannedChange& change) const {
  if ((window.blocks & change.work) == 0) return false;
  if (change.sites.empty()) return true;
  return std::ranges::any_of(change.sites, [&](const auto& site) { return window.applies_to(site); });
}

bool Calendar::is_excepted(const PlannedChange& change, const std::string& window, Seconds from,
                           Seconds until) const {
  const auto exception = exceptions_.find({change.change, window});
  return exception != exceptions_.end() && until <= exception->second.until &&
         from <= exception->second.until;
}

// ---- status for people -------------------------------------------------------------------------

std::vector<Calendar::WindowStatus> Calendar::status() const {
  std::vector<WindowStatus> all;
  for (const auto& [name, versions] : windows_) {
    std::set<std::uint64_t> all_holders;
    for (const auto& [version, holders] : versions.holders)
      all_holders.insert(holders.begin(), holders.end());
    for (const auto& window : versions.copies)
      all.push_back({window, is_withdrawn(versions), static_cast<int>(all_holders.size())});
  }
  return all;
}

std::vector<Exception> Calendar::exceptions() const {
  std::vector<Exception> all;
  for (const auto& [key, exception] : exceptions_) all.push_back(exception);
  return all;
}

}  // namespace walkpaddle::freeze
