// A change as people write it: what it changes, from which generation to which, in which stages, how much has
// to be seen in each, and what counts as worse. And what follows from it alone: who is next. No I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "freeze/window.h"

namespace walkpaddle::change {

struct Document {
  std::string name;
  std::uint8_t work = freeze::kSettings;  // or kRelease
  std::string before, after;              // generations; each name stands for one thing for ever
  std::string by;
  // Of settings: a line "path=value" each. Of a release: the program's path, on each router's machine.
  std::string body;
  // Shares of the fleet, each stage holding the one before; 0: one router, the canary.
  std::vector<double> stages{0, 0.01, 0.05, 0.25, 1};
  std::uint64_t txns = 200;  // least of each side, seen in a stage
  Seconds least = 10;        // a stage lasts so long at least
  // Then a stage that has not gone on stops the change: too little was seen.
  Seconds longest = 600;
  // After a move a router's counts are left out so long: its caches of connections and its limits are a
  // newcomer's. The laboratory's routers come to their limits within some seconds.
  Seconds warm_up = 5;
  Seconds ready_in = 10;  // a generation that is not ready by then goes back by itself
  double at_once = 0.1;   // most of a site's routers that move at a time, one at least
  double harm = 0.005;    // share of txns worse off under which nothing is stopped
  double ratio = 1.2;     // up to so many times as much as before is no harm
  auto operator<=>(const Document&) const = default;
};

// What is wrong with it, in words for its author; empty: nothing.
std::string refusal(const Document& document);

struct Placed {
  std::uint64_t router = 0;  // stable hash of its name
  std::string site;
};

// Indices of the fleet in the order in which they change: by rendezvous hash of change and router within a
// site, the sites in step with each other, so that every stage is spread over them.
std::vector<std::size_t> order_of(const Document& document, const std::vector<Placed>& fleet);
// So many of the order hold the new generation at a stage's end: rising, the last is the whole fleet's.
std::vector<std::size_t> stage_sizes(const Document& document, std::size_t fleet);
std::size_t at_once(const Document& document, std::size_t of_site);

// Between two groups of a return, and the longest time that it takes; the longest time of the whole change.
Seconds back_pace(const Document& document);
Seconds way_back(const Document& document, std::size_t fleet);
Seconds worst(const Document& document, std::size_t fleet);

}  // namespace walkpaddle::change
