// Plays a script of inputs (standard input) into the module and prints its decisions, one a line.
// A line is a command, words, and key=value pairs; see the .in files. "at T" moves the clock and wakes the
// module at the times it asked for on the way.
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "brain.h"

using namespace walkpaddle;

namespace {

struct Line {
  std::vector<std::string> words;
  std::map<std::string, std::string> pairs;
  explicit Line(const std::string& text) {
    std::istringstream in(text);
    for (std::string w; in >> w;) {
      const auto eq = w.find('=');
      if (eq == std::string::npos)
        words.push_back(w);
      else
        pairs[w.substr(0, eq)] = w.substr(eq + 1);
    }
  }
  double num(const std::string& key, double absent = 0) const {
    const auto it = pairs.find(key);
    return it == pairs.end() ? absent : std::stod(it->second);
  }
  int pick(const std::string& key, const std::vector<std::string>& names) const {
    const auto it = pairs.find(key);
    for (std::size_t n = 0; it != pairs.end() && n < names.size(); ++n)
      if (names[n] == it->second) return static_cast<int>(n);
    return 0;
  }
};

std::uint64_t hash_of(const std::string& text) {
  std::uint64_t h = 14695981039346656037u;
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211u;
  return h ^ (h >> 29);
}

template <class Name>
int index_of(std::vector<std::string>& names, const Name& name) {
  for (std::size_t n = 0; n < names.size(); ++n)
    if (names[n] == name) return static_cast<int>(n);
  names.push_back(name);
  return static_cast<int>(names.size()) - 1;
}

const std::vector<std::string> kVerdicts{"completed", "error",      "not_taken", "timed_out", "no_connection",
                                         "broken",    "called_off", "not_sent",  "lacking"};
const std::vector<std::string> kNotes{"none",         "hit",           "filled",         "by_origin",
                                      "joined",       "old_copy",      "source_refused", "source_unreached",
                                      "source_lacks", "no_fill_place", "origin_failed"};

}  // namespace

int main() {
  const auto owned = make_brain(7);
  auto& brain = *owned;
  Sec now = 1000;
  std::set<Sec> wakes;
  std::vector<std::string> members, txns;
  const auto pull = [&] {
    while (const auto d = brain.next()) {
      using Kind = Decision::Kind;
      if (d->kind == Kind::wake) {
        wakes.insert(d->time);
        continue;
      }
      std::printf("%8.3f ", now - 1000);
      const auto* txn = d->txn < 0 ? "" : txns[d->txn].c_str();
      if (d->kind == Kind::deliver) {
        std::printf("%s to %s from %s rank %d", txn, members[d->member].c_str(), members[d->source].c_str(),
                    d->rank);
        if (d->age > 0) std::printf(" age %.3f", d->age);
        if (d->time > 0) std::printf(" for %.3f", d->time);
        if (d->held_only) std::printf(" held only");
        if (d->join) std::printf(" join");
      } else if (d->kind == Kind::call_off) {
        std::printf("%s call off hop %d", txn, d->hop);
      } else if (d->kind == Kind::reject) {
        std::printf("%s rejected, pause %.3f", txn, d->time);
      } else if (d->kind == Kind::abort) {
        std::printf("%s aborted", txn);
      } else {
        std::printf("subscribe");
      }
      std::printf("\n");
    }
  };
  const auto list = [&](const Line& l, int kind) {
    for (std::size_t n = 1; n < l.words.size(); ++n)
      brain.list_member(
          index_of(members, l.words[n]), hash_of(l.words[n]), static_cast<int>(l.num("at")), kind, 0,
          static_cast<Listed>(l.pick("is", {"gone", "ready", "draining"}) + (l.pairs.count("is") ? 0 : 1)),
          l.num("weight", 1), l.pairs.count("age") ? now - l.num("age") : 0);
  };
  brain.clock(now);
  for (std::string text; std::getline(std::cin, text);) {
    const Line l(text);
    if (l.words.empty()) continue;
    const auto& what = l.words[0];
    if (what == "#") {
      std::printf("%s\n", text.c_str());
    } else if (what == "setup") {
      brain.set_place({0, static_cast<int>(l.num("seats", 1)), static_cast<int>(l.num("routers", 2))});
      brain.set_roles({8, 9, l.num("direct", 1) > 0});
      brain.set_hopping({static_cast<int>(l.num("hops", 6)), l.num("calloff", 1) > 0});
      brain.set_filling({static_cast<Siblings>(l.pick("siblings", {"none", "location", "any"})),
                         l.num("join", 1) > 0, l.num("notes", 1) > 0 ? Notes::all : Notes::none, 1000});
      brain.set_cold({0.2, l.num("multiple", 2), 16, 2}, {0.08, 2, 20, 2});
      brain.set_weights(l.num("weights") > 0);
      brain.set_purges(6);
      brain.set_clients({l.num("marks", 1) > 0, 0.5});
    } else if (what == "rule") {
      RemapRule r;
      r.effect = static_cast<Effect>(l.pick("effect", {"repeatable", "keyed", "unrepeatable"}));
      r.group = static_cast<Group>(l.pick("group", {"all", "location", "cell"}));
      r.window = l.num("window", 5);
      r.sla_time = l.num("sla", 0.4);
      r.sla_stretch = l.num("stretch", 2);
      r.time_limit = l.num("limit", 5);
      r.fresh = l.num("fresh");
      r.grace = l.num("grace");
      r.old_share = 0.7;
      r.late_share = 0.15;
      r.importance = l.num("importance", 1);
      r.uncacheable = l.num("uncacheable") > 0;
      r.in_parts = l.num("parts") > 0;
      brain.add_rule(r);
    } else if (what == "cache" || what == "par" || what == "origin") {
      brain.list_begin(false);
      list(l, what == "cache" ? 1 : what == "par" ? 8 : 9);
      brain.list_end();
    } else if (what == "at") {
      const Sec until = 1000 + std::stod(l.words[1]);
      while (!wakes.empty() && *wakes.begin() <= until) {
        now = *wakes.begin();
        wakes.erase(wakes.begin());
        brain.clock(now);
        brain.woken();
        pull();
      }
      brain.clock(now = until);
    } else if (what == "txn") {
      for (std::size_t n = 1; n < l.words.size(); ++n)
        brain.txn_taken(index_of(txns, l.words[n]), static_cast<int>(l.num("rule")),
                        hash_of(l.pairs.count("object") ? l.pairs.at("object") : "a"),
                        static_cast<int>(l.num("part")), static_cast<std::uint32_t>(l.num("group")),
                        l.num("kb"), now + l.num("for", 5), l.num("repeat") > 0);
    } else if (what == "ended") {
      const auto verdict = static_cast<Verdict>(l.pick("as", kVerdicts));
      brain.hop_ended(index_of(txns, l.words[1]), static_cast<int>(l.num("hop")), verdict,
                      static_cast<Note>(l.pick("note", kNotes)), l.num("took", 0.1),
                      l.num("over", verdict == Verdict::completed) > 0);
    } else if (what == "left") {
      brain.txn_left(index_of(txns, l.words[1]));
    } else if (what == "purge") {
      brain.purged(hash_of(l.words[1]), l.num("ago"));
    } else if (what == "purge-group") {
      brain.purged_group(static_cast<std::uint32_t>(std::stoul(l.words[1])), l.num("ago"));
    } else {
      std::cerr << "what is '" << what << "'?\n";
      return 1;
    }
    pull();
  }
}
