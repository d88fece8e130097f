#include "purge/patterns.h"

#include <re2/re2.h>
#include <re2/set.h>

#include <algorithm>

#include "purge/entry.h"

namespace walkpaddle::purge {

namespace {

RE2::Options options() {
  constexpr int kMemory = 256 * 1024;  // for programs and states of one set; more counts as a match
  RE2::Options o;
  o.set_max_mem(kMemory);
  o.set_log_errors(false);
  o.set_never_nl(true);
  return o;
}

}  // namespace

struct Patterns::Set {
  std::vector<std::pair<std::string, Seconds>> items;
  std::uint64_t first = 0;  // number of the first
  Seconds newest = 0;
  std::unique_ptr<RE2::Set> compiled;  // none: it could not be, all count as matching

  void compile() {
    compiled = std::make_unique<RE2::Set>(options(), RE2::ANCHOR_BOTH);
    for (const auto& [text, from] : items)
      if (compiled->Add(re2::StringPiece(text), nullptr) < 0) {
        compiled.reset();
        return;
      }
    if (compiled && !compiled->Compile()) compiled.reset();
  }
  Seconds match(std::string_view name, std::vector<int>& hits) const {
    if (!compiled) return newest;
    RE2::Set::ErrorInfo error{};
    if (!compiled->Match(re2::StringPiece(name.data(), name.size()), &hits, &error))
      return error.kind == RE2::Set::kNoError ? 0 : newest;
    Seconds found = 0;
    for (const int n : hits) found = std::max(found, items[static_cast<std::size_t>(n)].second);
    return found;
  }
};

Patterns::Patterns() = default;
Patterns::~Patterns() = default;

std::optional<std::string> Patterns::refusal(std::string_view pattern) {
  constexpr int kLargest = 2000;  // RE2's own instructions; a few hundred are usual
  if (pattern.empty()) return "a pattern is empty";
  if (pattern.size() > kLongest) return "a pattern has more than " + std::to_string(kLongest) + " bytes";
  const RE2 one(re2::StringPiece(pattern.data(), pattern.size()), options());
  if (!one.ok()) return "a pattern cannot be compiled: " + one.error();
  if (one.ProgramSize() > kLargest)
    return "a pattern needs " + std::to_string(one.ProgramSize()) + " steps, " + std::to_string(kLargest) +
           " at most";
  return std::nullopt;
}

void Patterns::add(std::string_view pattern, Seconds from) {
  if (sets_.empty() || sets_.back()->items.size() >= kASet)
    sets_.emplace_back(std::make_unique<Set>())->first = added_;
  auto* set = sets_.back().get();
  set->items.emplace_back(pattern, from);
  set->compile();
  if (!set->compiled && set->items.size() > 1) {  // too large together: it stands alone
    set->items.pop_back();
    set->compile();
    set = sets_.emplace_back(std::make_unique<Set>()).get();
    set->first = added_;
    set->items.emplace_back(pattern, from);
    set->compile();
  }
  set->newest = std::max(set->newest, from);
  ++added_, ++size_;
}

Seconds Patterns::newest(std::string_view name, std::uint64_t since) const {
  Seconds found = 0;
  std::vector<int> hits;
  for (auto set = sets_.rbegin(); set != sets_.rend(); ++set) {
    if ((*set)->first + (*set)->items.size() <= since) break;
    if ((*set)->newest <= found) continue;
    hits.clear();
    found = std::max(found, (*set)->match(name, hits));
  }
  return found;
}

Seconds Patterns::trim(Seconds least) {
  Seconds given_up = 0;
  while (!sets_.empty() && (sets_.front()->newest < least || sets_.size() > kMostSets)) {
    if (sets_.front()->newest >= least) given_up = std::max(given_up, sets_.front()->newest);
    size_ -= sets_.front()->items.size();
    sets_.pop_front();
  }
  return given_up;
}

}  // namespace walkpaddle::purge
