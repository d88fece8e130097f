/// \file
/// The commands of the program and their options.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "admin/admin_client.h"

namespace walkpaddle::cli {

constexpr int kExitSuccess = 0;  ///< exit code: the command succeeded
constexpr int kExitFailure = 1;  ///< exit code: refused, or the router could not start or be reached
constexpr int kExitUsage = 2;    ///< exit code: invalid command line

/// Values of the options, and the exit code of the command.
struct Arguments {
  std::string operator_file;     ///< --file
  std::string log_form;          ///< --log: text, json or empty
  std::string checked_file;      ///< FILE of `check`
  std::string socket;            ///< --socket
  std::string purge_number;      ///< NUMBER of `purge status`
  admin::PurgeCommand purge{};   ///< kind and options of `purge`
  bool as_json = false;          ///< --json of `fleet`
  int exit_code = kExitSuccess;  ///< set by the command that ran
};

/// Adds all commands to `app`. Parsing a command line runs the command that it names. `arguments` must
/// outlive `app`.
void add_commands(CLI::App& app, Arguments& arguments);

/// Runs the router with the operator's file named by WALKPADDLE_FILE, as the program does without a command.
/// Returns the exit code.
int run_without_command();

}  // namespace walkpaddle::cli
