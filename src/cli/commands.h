/// \file
/// The program's commands and their options.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "admin/admin_client.h"

namespace walkpaddle::cli {

constexpr int kDone = 0;     ///< exit code
constexpr int kRefused = 1;  ///< exit code: refused, or the router cannot start or be reached
constexpr int kMisused = 2;  ///< exit code: wrong use of the command line

/// Where the options' values go, and what comes of the command.
struct Arguments {
  std::string operator_file;    ///< --file
  std::string log_form;         ///< --log: text, json or empty
  std::string checked_file;     ///< of `check`
  std::string socket;           ///< --socket
  std::string purge_number;     ///< of `purge status`
  admin::PurgeCommand purge{};  ///< of `purge`
  bool as_json = false;         ///< of `fleet`
  int exit_code = kDone;        ///< set by the command that ran
};

/// Adds all commands; each runs when the command line that names it is parsed. `arguments` must outlive
/// `app`.
void add_commands(CLI::App& app, Arguments& arguments);

/// What the program does without a command: runs the router with the operator's file that WALKPADDLE_FILE
/// names. Gives the exit code.
int run_without_command();

}  // namespace walkpaddle::cli
