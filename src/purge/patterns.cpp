#include "purge/patterns.h"

#include <re2/re2.h>
#include <re2/set.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "purge/entry.h"

namespace walkpaddle::purge {

namespace {

RE2::Options re2_options() {
  // Memory for the program and the DFA states of one set; above it, the whole set counts as matching.
  constexpr int kMaxSetBytes = 256 * 1024;
  RE2::Options options;
  options.set_max_mem(kMaxSetBytes);
  options.set_log_errors(false);
  options.set_never_nl(true);
  return options;
}

}  // namespace

struct PurgePatterns::Set {
  std::vector<std::pair<std::string, Seconds>> items;  // pattern and valid_since
  std::uint64_t first = 0;                             // ordinal of the first item, from 0
  Seconds newest = 0;
  std::unique_ptr<RE2::Set> compiled;  // null if compilation failed; all items then count as matching

  void compile() {
    compiled = std::make_unique<RE2::Set>(re2_options(), RE2::ANCHOR_BOTH);
    for (const auto& [pattern, valid_since] : items)
      if (compiled->Add(re2::StringPiece(pattern), nullptr) < 0) {
        compiled.reset();
        return;
      }
    if (!compiled->Compile()) compiled.reset();
  }

  // `hits` is a scratch buffer, passed in to avoid an allocation for each set.
  Seconds newest_match(std::string_view name, std::vector<int>& hits) const {
    if (!compiled) return newest;
    hits.clear();
    RE2::Set::ErrorInfo error{};
    if (!compiled->Match(re2::StringPiece(name.data(), name.size()), &hits, &error))
      return error.kind == RE2::Set::kNoError ? 0 : newest;
    Seconds found = 0;
    for (const int hit : hits) found = std::max(found, items[static_cast<std::size_t>(hit)].second);
    return found;
  }
};

PurgePatterns::PurgePatterns() = default;
PurgePatterns::~PurgePatterns() = default;

std::optional<std::string> PurgePatterns::rejection_reason(std::string_view pattern) {
  constexpr int kMaxProgramSteps = 2000;  // RE2 instructions; a typical pattern has a few hundred
  if (pattern.empty()) return "the pattern is empty";
  if (pattern.size() > kMaxTargetBytes)
    return "the pattern is longer than " + std::to_string(kMaxTargetBytes) + " bytes";
  const RE2 compiled(re2::StringPiece(pattern.data(), pattern.size()), re2_options());
  if (!compiled.ok()) return "the pattern cannot be compiled: " + compiled.error();
  if (compiled.ProgramSize() > kMaxProgramSteps)
    return "the pattern compiles to " + std::to_string(compiled.ProgramSize()) + " steps; the limit is " +
           std::to_string(kMaxProgramSteps);
  return std::nullopt;
}

void PurgePatterns::add(std::string_view pattern, Seconds valid_since) {
  const auto start_set = [&] {
    sets_.push_back(std::make_unique<Set>());
    sets_.back()->first = added_;
  };
  if (sets_.empty() || sets_.back()->items.size() >= kPatternsPerSet) start_set();
  auto* set = sets_.back().get();
  set->items.emplace_back(pattern, valid_since);
  set->compile();
  if (!set->compiled && set->items.size() > 1) {  // too large with the others: gets a set of its own
    set->items.pop_back();
    set->compile();
    start_set();
    set = sets_.back().get();
    set->items.emplace_back(pattern, valid_since);
    set->compile();
  }
  set->newest = std::max(set->newest, valid_since);
  ++added_;
  ++size_;
}

Seconds PurgePatterns::newest_match(std::string_view name, std::uint64_t since) const {
  Seconds found = 0;
  std::vector<int> hits;
  for (auto it = sets_.rbegin(); it != sets_.rend(); ++it) {
    const auto& set = **it;
    if (set.first + set.items.size() <= since) break;
    if (set.newest > found) found = std::max(found, set.newest_match(name, hits));
  }
  return found;
}

Seconds PurgePatterns::trim(Seconds expired_before) {
  Seconds evicted = 0;
  while (!sets_.empty() && (sets_.front()->newest < expired_before || sets_.size() > kMaxSets)) {
    const auto& oldest = *sets_.front();
    if (oldest.newest >= expired_before) evicted = std::max(evicted, oldest.newest);
    size_ -= oldest.items.size();
    sets_.pop_front();
  }
  return evicted;
}

}  // namespace walkpaddle::purge
