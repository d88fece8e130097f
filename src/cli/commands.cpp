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

constexpr double kMinTimeout = 0.1;    // seconds
constexpr double kMaxTimeout = 86400;  // seconds

// Thrown when the command line lacks an argument that the command needs.
class UsageError : public Error {
 public:
  using Error::Error;
};

// Runs a command. An exception is printed as one line and converted to an exit code.
template <class Command>
int with_errors_printed(Command&& command) {
  try {
    command();
    return kExitSuccess;
  } catch (const UsageError& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kExitUsage;
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kExitFailure;
  }
}

// Path of the admin socket: from --socket, or else from the operator's file.
std::string admin_socket(const Arguments& arguments) {
  if (!arguments.socket.empty()) return arguments.socket;
  const auto& file = arguments.operator_file;
  if (file.empty()) throw UsageError("--socket or --file is required to select a router");
  auto socket = config::read_operator_config(file).admin_socket;
  if (socket.empty()) throw InputError(file + " sets no admin socket: control.socket is missing");
  return socket;
}

// Runs a command that talks to a running router and returns the exit code itself.
template <class Command>
void run_at_router(Arguments& arguments, Command&& command) {
  std::string socket;
  arguments.exit_code = with_errors_printed([&] { socket = admin_socket(arguments); });
  if (arguments.exit_code == kExitSuccess) arguments.exit_code = command(socket);
}

void add_router_options(CLI::App& command, Arguments& arguments) {
  command.add_option("--socket", arguments.socket, "path of a running router's admin socket");
  command.add_option("--file", arguments.operator_file, "operator's file that sets the admin socket")
      ->envname("WALKPADDLE_FILE");
}

void add_run(CLI::App& app, Arguments& arguments) {
  auto* run =
      app.add_subcommand("run", "run the router with the platform's configuration at the path in LB_CONFIG");
  run->add_option("--file", arguments.operator_file,
                  "path of the operator's file, which enables the optional functions")
      ->envname("WALKPADDLE_FILE");
  run->add_option("--log", arguments.log_form, "format of the log lines; overrides the operator's file")
      ->check(CLI::IsMember({"text", "json"}));
  run->callback([&arguments] {
    arguments.exit_code =
        with_errors_printed([&] { run_router(arguments.operator_file, arguments.log_form); });
  });
}

void add_check(CLI::App& app, Arguments& arguments) {
  auto* check = app.add_subcommand("check", "validate an operator's file and its change documents");
  check->add_option("FILE", arguments.checked_file, "path of the operator's file")->required();
  check->callback([&arguments] {
    arguments.exit_code = with_errors_printed([&] { check_operator_file(arguments.checked_file); });
  });
}

void add_purge_kind(CLI::App& purge, const std::string& kind, const char* help, Arguments& arguments) {
  auto* command = purge.add_subcommand(kind, help);
  if (kind != "all") command->add_option("WHAT", arguments.purge.what)->required();
  command->add_flag("--wait", arguments.purge.wait_for_all,
                    "wait until every router holds the purge and every cache server has confirmed it");
  command->add_option("--within", arguments.purge.timeout, "longest time to wait, in seconds")
      ->check(CLI::Range(kMinTimeout, kMaxTimeout));
  command->callback([&arguments, kind] {
    arguments.purge.kind = kind;
    run_at_router(arguments,
                  [&](const std::string& socket) { return admin::purge(socket, arguments.purge); });
  });
}

void add_purge_status(CLI::App& purge, Arguments& arguments) {
  auto* status = purge.add_subcommand(
      "status", "show the status of one purge, or of the purge log and the latest purges");
  status->add_option("NUMBER", arguments.purge_number, "number of the purge, as printed when it was issued");
  status->callback([&arguments] {
    run_at_router(arguments, [&](const std::string& socket) {
      return admin::purge_status(socket, arguments.purge_number);
    });
  });
}

void add_purge(CLI::App& app, Arguments& arguments) {
  auto* purge = app.add_subcommand(
      "purge", "invalidate cached copies at all routers and cache servers, or show the progress");
  purge->require_subcommand(1);
  add_router_options(*purge, arguments);
  const std::pair<const char*, const char*> kinds[] = {
      {"object", "one object, by its id"},
      {"group", "all objects of a group, by its number"},
      {"tag", "all objects whose answers carry the tag"},
      {"pattern", "all objects whose whole id the pattern matches (RE2)"},
      {"all", "every object; all copies are filled again, which loads the origin"}};
  for (const auto& [kind, help] : kinds) add_purge_kind(*purge, kind, help, arguments);
  add_purge_status(*purge, arguments);
}

void add_fleet(CLI::App& app, Arguments& arguments) {
  auto* fleet =
      app.add_subcommand("fleet", "show the members of the fleet, rollouts, and observations of endpoints");
  add_router_options(*fleet, arguments);
  fleet->add_flag("--json", arguments.as_json, "print the router's reply as one JSON object");
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
