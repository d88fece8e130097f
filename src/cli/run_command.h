/// \file
/// The command that runs the router.
#pragma once

#include <string>

namespace walkpaddle::cli {

/// Runs the router until it is stopped, and its successor in this process after a hot restart. The platform's
/// configuration is named by LB_CONFIG. `operator_file`: empty: everything optional is off. `log_form`: text,
/// json, or empty for what the operator's file says. Throws Error where it cannot start.
void run_router(const std::string& operator_file, const std::string& log_form);

}  // namespace walkpaddle::cli
