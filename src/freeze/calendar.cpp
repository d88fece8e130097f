#include "freeze/calendar.h"

#include <algorithm>
#include <cctype>
#include <cmath>

#include "base/text.h"
#include "freeze/freeze.capnp.h"
#include "replica/capnp_message.h"

namespace walkpaddle::freeze {

namespace {

using May = Answer::May;
using replica::message_bytes;

constexpr std::size_t kLongestText = 200;
constexpr Seconds kLongestException = 7 * 86400.0;  // a week: more is no exception, the window is wrong

void put(schema::Local::Builder b, const Local& l) {
  b.setYear(static_cast<std::uint16_t>(l.year));
  b.setMonth(static_cast<std::uint8_t>(l.month));
  b.setDay(static_cast<std::uint8_t>(l.day));
  b.setHour(static_cast<std::uint8_t>(l.hour));
  b.setMinute(static_cast<std::uint8_t>(l.minute));
}

Local local_of(const schema::Local::Reader& l) {
  return {l.getYear(), l.getMonth(), l.getDay(), l.getHour(), l.getMinute()};
}

std::string item_of(const Window& w) {
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initWindow();
  b.setName(w.name.c_str());
  b.setVersion(w.version);
  auto sites = b.initSites(static_cast<unsigned>(w.sites.size()));
  for (unsigned n = 0; n < w.sites.size(); ++n) sites.set(n, w.sites[n].c_str());
  b.setZone(w.zone.c_str());
  put(b.initFrom(), w.from), put(b.initUntil(), w.until);
  b.setBlocks(w.blocks);
  b.setLeadS(w.lead);
  b.setBy(w.by.c_str());
  return message_bytes(message);
}

std::string item_of(const Withdrawal& w) {
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initWithdrawal();
  b.setWindow(w.window.c_str());
  b.setVersion(w.version);
  b.setHolder(w.holder);
  return message_bytes(message);
}

std::string item_of(const Exception& e) {
  capnp::MallocMessageBuilder message;
  auto b = message.initRoot<schema::Item>().initException();
  b.setChange(e.change.c_str());
  b.setWindow(e.window.c_str());
  b.setReason(e.reason.c_str());
  b.setFirst(e.approvers[0].c_str());
  b.setSecond(e.approvers[1].c_str());
  b.setVersion(e.version);
  b.setUntilS(e.until);
  return message_bytes(message);
}

// "Ana" and "ana " are one person.
std::string person(std::string_view name) {
  std::string plain;
  for (const char c : name)
    if (!std::isspace(static_cast<unsigned char>(c)))
      plain += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return plain;
}

// Which of two exceptions for one change and window stands: also at equal versions and ends it is the same
// one at every router.
bool stands_over(const Exception& a, const Exception& b) {
  if (a.version != b.version) return a.version > b.version;
  if (a.until != b.until) return a.until < b.until;
  return a < b;
}

}  // namespace

std::string refusal(const Exception& e, Seconds now) {
  if (e.change.empty() || e.change.size() > kLongestText) return "change is missing: which one may go on";
  if (e.window.empty() || e.window.size() > kLongestText) return "window is missing: in which one";
  if (e.version < 1) return "version counts from 1";
  if (e.reason.empty() || e.reason.size() > kLongestText) return "a reason of 1 to 200 bytes is needed";
  for (const auto& who : e.approvers)
    if (person(who).empty() || who.size() > kLongestText) return "two people have to approve it";
  if (person(e.approvers[0]) == person(e.approvers[1])) return "the two who approve it are one person";
  if (!std::isfinite(e.until) || e.until > now + kLongestException)
    return "it has to end, within seven days from now";
  return "";
}

Calendar::Calendar(std::uint64_t self, std::vector<std::uint64_t> fleet, const Bounds& bounds)
    : self_(self), fleet_(fleet.begin(), fleet.end()), bounds_(bounds) {}

bool Calendar::declare_as(const Window& w) {
  if (!named_.contains(w.name) && named_.size() >= bounds_.windows) return ++refused_, false;
  auto& named = named_[w.name];
  if (w.version < named.version) return false;
  if (w.version > named.version) {
    for (const auto& old : std::exchange(named.copies, {})) remove_item(id_of(item_of(old)));
    named.version = w.version;
    // What is withdrawn of earlier versions says nothing of this one.
    std::erase_if(named.holders, [&](const auto& of) {
      if (of.first >= w.version) return false;
      for (const auto holder : of.second) remove_item(id_of(item_of(Withdrawal{w.name, of.first, holder})));
      return true;
    });
  }
  const auto at = std::ranges::lower_bound(named.copies, w);
  if (at != named.copies.end() && *at == w) return false;
  named.copies.insert(at, w);
  add_item(item_of(w));
  if (named.copies.size() <= bounds_.copies) return true;
  // The first of them in order, which is the same at all: more than that is no disagreement but a fault.
  remove_item(id_of(item_of(named.copies.back())));
  named.copies.pop_back();
  return ++refused_, true;
}

bool Calendar::declare(const Window& w) {
  if (!refusal(w).empty() || item_of(w).size() > kMaxItemBytes) return ++refused_, false;
  return declare_as(w);
}

bool Calendar::hold(const Withdrawal& w) {
  // What is refused here would only loosen.
  if (!fleet_.contains(w.holder) || w.window.empty() || w.window.size() > kLongestText || w.version < 1)
    return false;
  if (!named_.contains(w.window) && named_.size() >= bounds_.windows) return false;
  auto& named = named_[w.window];
  if (w.version < named.version) return false;
  if (named.holders.size() >= bounds_.copies && !named.holders.contains(w.version)) return false;
  if (!named.holders[w.version].insert(w.holder).second) return false;
  add_item(item_of(w));
  return true;
}

bool Calendar::withdraw(const std::string& window, std::uint32_t version) {
  return hold({window, version, self_});
}

bool Calendar::withdrawn(const Named& named) const {
  // Who holds the withdrawal of a later version holds that of this one.
  std::set<std::uint64_t> holders;
  for (const auto& [version, who] : named.holders)
    if (version >= named.version) holders.insert(who.begin(), who.end());
  return static_cast<int>(holders.size()) >= majority();
}

bool Calendar::except(const Exception& e) {
  const std::pair key(e.change, e.window);
  const auto it = exceptions_.find(key);
  if (it != exceptions_.end() && !stands_over(e, it->second)) return false;
  if (it == exceptions_.end() && exceptions_.size() >= bounds_.exceptions) return false;
  const auto item = item_of(e);
  if (item.size() > kMaxItemBytes) return false;
  if (it != exceptions_.end()) remove_item(id_of(item_of(it->second)));
  exceptions_[key] = e;
  add_item(item);
  return true;
}

bool Calendar::excepted(const Plan& plan, const std::string& window, Seconds from, Seconds until) const {
  const auto it = exceptions_.find({plan.change, window});
  return it != exceptions_.end() && until <= it->second.until && from <= it->second.until;
}

Calendar::Met Calendar::meets(const Plan& plan, Seconds from, Seconds until, bool leads) const {
  Met first;
  for (const auto& [name, named] : named_) {
    if (named.copies.empty() || withdrawn(named)) continue;
    for (const auto& w : named.copies) {
      if ((w.blocks & plan.work) == 0) continue;
      if (!plan.sites.empty() &&
          std::ranges::none_of(plan.sites, [&](const auto& site) { return w.concerns(site); }))
        continue;
      for (const auto& s : spans(w, from, until, bounds_.slack)) {
        const Seconds begins = leads ? s.lead : s.from;
        if (begins > until || s.until <= from) continue;
        if (excepted(plan, name, from, std::min(until, s.until))) continue;
        if (first.window.empty() || begins < (leads ? first.span.lead : first.span.from)) first = {name, s};
      }
    }
  }
  return first;
}

std::string Calendar::not_current(Seconds now) const {
  if (std::abs(apart_) > bounds_.slack)
    return "this router's clock is " + std::to_string(std::llround(std::abs(apart_))) +
           " s apart from the others'";
  if (refused_ > 0)
    return "a window is not heeded here: past 256, a fifth copy of one version, or without sense; withdraw "
           "some, restart";
  if (contact_ == 0 || now - contact_ > bounds_.current)
    return "this router's calendar may lack a window: no contact with a majority for over " +
           std::to_string(std::llround(bounds_.current)) + " s";
  return "";
}

Answer Calendar::ask(Act act, const Plan& plan, Seconds now) const {
  if (act == Act::stop || act == Act::go_back) return {};
  if (const auto why = not_current(now); !why.empty()) return {May::not_before, 0, "", why};
  const auto met = meets(plan, now, now + plan.worst, true);
  if (met.window.empty()) return {};
  const auto& s = met.span;
  std::string why;
  if (now >= s.from)
    why = "it is within the freeze window " + met.window + " until " + text_of_moment(s.until);
  else if (now >= s.lead)
    why = "the freeze window " + met.window + " begins at " + text_of_moment(s.from) +
          ", and nothing starts from " + text_of_moment(s.lead) + " on";
  else
    why = "its longest time of " + std::to_string(std::llround(plan.worst / 60)) +
          " minutes, the way back included, would run into the freeze window " + met.window +
          ", before which nothing starts from " + text_of_moment(s.lead) + " on";
  // Each step passes a span; a bounded number of them lies within the horizon.
  for (Seconds at = s.until; at < now + bounds_.horizon;) {
    const auto next = meets(plan, at, at + plan.worst, true);
    if (next.window.empty()) return {May::not_before, at, met.window, why};
    at = std::max(next.span.until, at + 1);
  }
  return {
      May::never, 0, met.window,
      why + "; no time is free for it in " + std::to_string(std::llround(bounds_.horizon / 86400)) + " days"};
}

Overtaken Calendar::overtaken(const Plan& plan, Seconds way_back, Seconds now) const {
  const auto met = meets(plan, now, now + plan.worst, true);
  if (met.window.empty()) return Overtaken::no;
  return now + way_back <= met.span.from ? Overtaken::goes_back : Overtaken::holds;
}

bool Calendar::site_frozen(std::string_view site, std::uint8_t work, Seconds now) const {
  const Plan plan{.change = {}, .work = work, .sites = {std::string(site)}};
  return !meets(plan, now, now, true).window.empty();
}

std::vector<Calendar::Standing> Calendar::standing() const {
  std::vector<Standing> all;
  for (const auto& [name, named] : named_) {
    std::set<std::uint64_t> holders;
    for (const auto& [version, who] : named.holders) holders.insert(who.begin(), who.end());
    for (const auto& w : named.copies) all.push_back({w, withdrawn(named), static_cast<int>(holders.size())});
  }
  return all;
}

std::vector<Exception> Calendar::exceptions() const {
  std::vector<Exception> all;
  for (const auto& [key, e] : exceptions_) all.push_back(e);
  return all;
}

// What others say is checked as if people had written it here; a withdrawal that is heard is held here too.
bool Calendar::join(std::string_view bytes, Seconds now) {
  if (bytes.size() > kMaxItemBytes) throw_bad_value("item of length", std::to_string(bytes.size()));
  return replica::read_root<schema::Item>(bytes, kMaxItemBytes, [&](const schema::Item::Reader& item) {
    switch (item.which()) {
      case schema::Item::WINDOW: {
        const auto b = item.getWindow();
        Window w{.name = b.getName(),
                 .version = b.getVersion(),
                 .sites = {},
                 .zone = b.getZone(),
                 .from = local_of(b.getFrom()),
                 .until = local_of(b.getUntil()),
                 .blocks = b.getBlocks(),
                 .lead = b.getLeadS(),
                 .by = b.getBy()};
        for (const auto site : b.getSites()) w.sites.emplace_back(site.cStr());
        return declare(w);
      }
      case schema::Item::WITHDRAWAL: {
        const auto b = item.getWithdrawal();
        const Withdrawal w{b.getWindow(), b.getVersion(), b.getHolder()};
        const bool news = hold(w);
        if (news) hold({w.window, w.version, self_});
        return news;
      }
      case schema::Item::EXCEPTION: {
        const auto b = item.getException();
        const Exception e{b.getChange(),  b.getWindow(), b.getReason(), {b.getFirst(), b.getSecond()},
                          b.getVersion(), b.getUntilS()};
        // One clock may be a little ahead of the other.
        return refusal(e, now + bounds_.slack).empty() && except(e);
      }
    }
    return false;  // of a newer router: passed over
  });
}

}  // namespace walkpaddle::freeze
