/// \file
/// The last step of a hot restart: the successor in this process's place.
#pragma once

#include <string>

#include "server/rollout_agent.h"

namespace walkpaddle::cli {

/// Runs the successor on the listener that is open, as `run --file OPERATOR_FILE`. It finds by the
/// environment what it is, and has its time to be ready; then the kernel ends it, and who started this
/// program starts it again. Returns only by SystemError.
[[noreturn]] void exec_successor(const server::Successor& successor, const std::string& operator_file);

}  // namespace walkpaddle::cli
