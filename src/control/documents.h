// The documents of changes and freezes: files that end in .conf in the folder that the operator's file names.
// Read whole and checked whole, or not at all: InputError with file and line. The form is the operator's
// file's, by the same library: one form for operators to know, and it tells the line of each section, which
// JSON does not.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "freeze/calendar.h"
#include "rollout/plan.h"

namespace walkpaddle::control {

struct Documents {
  std::vector<freeze::Window> windows;
  std::vector<std::pair<std::string, std::uint32_t>> withdrawals;  // window, version
  std::vector<freeze::Exception> exceptions;
  std::vector<rollout::RolloutPlan> changes;
  std::vector<std::pair<std::string, std::string>> stops;  // change, why
};

Documents read_documents(const std::string& folder, Seconds now);

}  // namespace walkpaddle::control
