/// \file
/// The operators' documents of changes and freezes: files that end in .conf in the folder that the operator's
/// file names. Read and checked whole, or not at all. The form is the operator's file's, by the same library:
/// one form for operators to know, and it gives the line of each section, which JSON does not.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "freeze/calendar.h"
#include "rollout/plan.h"

namespace walkpaddle::admin {

/// What all documents of a folder say.
struct ChangeDocuments {
  std::vector<freeze::Window> windows;                             ///< declared
  std::vector<std::pair<std::string, std::uint32_t>> withdrawals;  ///< window, version
  std::vector<freeze::Exception> exceptions;                       ///< from windows
  std::vector<rollout::RolloutPlan> changes;                       ///< proposed
  std::vector<std::pair<std::string, std::string>> stops;          ///< change, why
};

/// `now`: Unix time, which an exception's end is checked against. ConfigError with file and line, InputError
/// if the folder or a file cannot be read.
ChangeDocuments read_change_documents(const std::string& folder, Seconds now);

}  // namespace walkpaddle::admin
