// What a router has learnt, as the text that one start leaves to the next: versioned, bounded, sealed. No
// I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::learning {

struct Kept {
  struct Rule {
    std::string name;
    double sending = 0;
    int answers = 0;
  };
  struct Unreached {
    std::string member;  // its id
    Seconds at = 0;
  };
  std::string family;  // the kind of service
  double pace = 0;     // KB a second to one client: sending times mean nothing at another
  Seconds written = 0;
  std::vector<Rule> rules{};
  std::vector<Unreached> unreached{};
};

constexpr std::size_t kMostBytes = 65536, kMostRules = 64, kMostMembers = 512;

// Within the bounds: what is over them is left out, the last first.
std::string text_of(const Kept& kept);

// InputError says in a few words why it is of no use here: torn, foreign, newer, too old, nonsense.
Kept kept_of(std::string_view text, std::string_view family, double pace, Seconds now);

}  // namespace walkpaddle::learning
