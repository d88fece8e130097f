/// \file
/// The last step of a hot restart: replaces the program of this process by its successor.
#pragma once

#include <string>

#include "server/rollout_agent.h"

namespace walkpaddle::cli {

/// Executes the successor as `run --file OPERATOR_FILE`. Environment variables tell it its generation and the
/// open listener. An alarm ends it if it is not ready in time; the process supervisor is then expected to
/// start the original program again. Throws SystemError if execve(2) fails; otherwise does not return.
[[noreturn]] void exec_successor(const server::Successor& successor, const std::string& operator_file);

}  // namespace walkpaddle::cli
