/// \file
/// The command `run`, which runs the router.
#pragma once

#include <string>

namespace walkpaddle::cli {

/// Runs the router until it is stopped; after a hot restart the successor replaces it in this process.
/// LB_CONFIG is the path of the platform's configuration. `operator_file`: path; if empty, all optional
/// functions are off. `log_form`: text, json, or empty for the form in the operator's file. Throws Error if
/// the router cannot start.
void run_router(const std::string& operator_file, const std::string& log_form);

}  // namespace walkpaddle::cli
