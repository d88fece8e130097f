#include "cli/commands.h"

#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string_view>
#include <utility>

#include "base/error.h"
#include "cli/check_command.h"
#include "cli/run_command.h"
#include "config/operator_config.h"

namespace walkpaddle::cli {

namespace {

constexpr double kShortestWait = 0.1;   // seconds
constexpr double kLongestWait = 86400;  // seconds

// The command line does not say what the command needs.
class UsageError : public Error {
 public:
  using Error::Error;
};

// Runs a command; errors become one plain line and an exit code.
template <class Command>
int with_errors_printed(Command&& command) {
  try {
    command();
    return kDone;
  } catch (const UsageError& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kMisused;
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kRefused;
  }
}

// The socket to talk to: named, or the one that the operator's file names.
std::string admin_socket(const Arguments& arguments) {
  if (!arguments.socket.empty()) return arguments.socket;
  const auto& file = arguments.operator_file;
  if (file.empty()) throw UsageError("name the router by --socket or --file");
  auto socket = config::read_operator_config(file).admin_socket;
  if (socket.empty()) throw InputError(file + " names no operators' socket");
  return socket;
}

// Runs a command that talks to a running router and gives the exit code itself.
template <class Command>
void run_at_router(Arguments& arguments, Command&& command) {
  std::string socket;
  arguments.exit_code = with_errors_printed([&] { socket = admin_socket(arguments); });
  if (arguments.exit_code == kDone) arguments.exit_code = command(socket);
}

void add_router_options(CLI::App& command, Arguments& arguments) {
  command.add_option("--socket", arguments.socket, "the operators' socket of a running router");
  command.add_option("--file", arguments.operator_file, "the operator's file that names it")
      ->envname("WALKPADDLE_FILE");
}

void add_run(CLI::App& app, Arguments& arguments) {
  auto* run = app.add_subcommand("run", "run the router; the platform's configuration is named by LB_CONFIG");
  run->add_option("--file", arguments.operator_file,
                  "the operator's file: fleet, store, boxes, operators' socket, log")
      ->envname("WALKPADDLE_FILE");
  run->add_option("--log", arguments.log_form, "form of the log lines, before what the file says")
      ->check(CLI::IsMember({"text", "json"}));
  run->callback([&arguments] {
    arguments.exit_code =
        with_errors_printed([&] { run_router(arguments.operator_file, arguments.log_form); });
  });
}

void add_check(CLI::App& app, Arguments& arguments) {
  auto* check = app.add_subcommand("check", "read an operator's file and say what is wrong with it");
  check->add_option("FILE", arguments.checked_file, "the file")->required();
  check->callback([&arguments] {
    arguments.exit_code = with_errors_printed([&] { check_operator_file(arguments.checked_file); });
  });
}

void add_purge_kind(CLI::App& purge, const std::string& kind, const char* help, Arguments& arguments) {
  auto* command = purge.add_subcommand(kind, help);
  if (kind != "all") command->add_option("WHAT", arguments.purge.what)->required();
  command->add_flag("--wait", arguments.purge.wait_for_all,
                    "until every router holds it and every box has confirmed it");
  command->add_option("--within", arguments.purge.timeout, "seconds to wait")
      ->check(CLI::Range(kShortestWait, kLongestWait));
  command->callback([&arguments, kind] {
    arguments.purge.kind = kind;
    run_at_router(arguments,
                  [&](const std::string& socket) { return admin::purge(socket, arguments.purge); });
  });
}

void add_purge_status(CLI::App& purge, Arguments& arguments) {
  auto* status = purge.add_subcommand("status", "of one purge, or of the router and its last ones");
  status->add_option("NUMBER", arguments.purge_number, "as 'purge' printed it");
  status->callback([&arguments] {
    run_at_router(arguments, [&](const std::string& socket) {
      return admin::purge_status(socket, arguments.purge_number);
    });
  });
}

void add_purge(CLI::App& app, Arguments& arguments) {
  auto* purge =
      app.add_subcommand("purge", "withdraw copies at every router and box, and see how far that is");
  purge->require_subcommand(1);
  add_router_options(*purge, arguments);
  const std::pair<const char*, const char*> kinds[] = {
      {"object", "one object, by its id"},
      {"group", "all objects of a group, by its number"},
      {"tag", "all objects whose answers name the tag"},
      {"pattern", "all objects whose whole id the pattern matches (RE2)"},
      {"all", "every object: fills rise at once, the origin is loaded"}};
  for (const auto& [kind, help] : kinds) add_purge_kind(*purge, kind, help, arguments);
  add_purge_status(*purge, arguments);
}

void add_fleet(CLI::App& app, Arguments& arguments) {
  auto* fleet = app.add_subcommand("fleet", "who of the fleet is alive, and what it knows of the servers");
  add_router_options(*fleet, arguments);
  fleet->add_flag("--json", arguments.as_json, "as the router tells it, one JSON object");
  fleet->callback([&arguments] {
    run_at_router(arguments, [&](const std::string& socket) {
      const auto form = arguments.as_json ? admin::OutputForm::json : admin::OutputForm::text;
      return admin::fleet_status(socket, form);
    });
  });
}

void add_version(CLI::App& app) {
  auto* version = app.add_subcommand("version", "print the version");
  version->callback([] { fmt::print("walkpaddle {}\n", WALKPADDLE_VERSION); });
}

}  // namespace

void add_commands(CLI::App& app, Arguments& arguments) {
  app.require_subcommand(0, 1);
  add_run(app, arguments);
  add_check(app, arguments);
  add_purge(app, arguments);
  add_fleet(app, arguments);
  add_version(app);
}

int run_without_command() {
  const char* operator_file = std::getenv("WALKPADDLE_FILE");
  return with_errors_printed([&] { run_router(operator_file != nullptr ? operator_file : "", ""); });
}

}  // namespace walkpaddle::cli
