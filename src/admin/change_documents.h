/// \file
/// The operators' documents that declare changes and freeze windows: the files ending in .conf in the folder
/// that the operator's file names. An error in one document rejects all of them. The syntax is that of the
/// operator's file, so that operators need to know only one, and errors can name the line of a section,
/// unlike with JSON.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "freeze/calendar.h"
#include "rollout/plan.h"

namespace walkpaddle::admin {

/// The contents of all documents of a folder.
struct ChangeDocuments {
  std::vector<freeze::Window> windows;                             ///< declared windows
  std::vector<std::pair<std::string, std::uint32_t>> withdrawals;  ///< name of the window, version
  std::vector<freeze::Exception> exceptions;                       ///< exceptions to windows
  std::vector<rollout::RolloutPlan> changes;                       ///< proposed changes
  std::vector<std::pair<std::string, std::string>> stops;          ///< name of the change, reason
};

/// Reads all documents of `folder`. `now`: Unix time, against which the ends of exceptions are checked.
/// Throws ConfigError with file and line, and InputError if the folder or a file cannot be read.
ChangeDocuments read_change_documents(const std::string& folder, Seconds now);

}  // namespace walkpaddle::admin
