// The program: runs the router, and the operators' commands.
#include <CLI/CLI.hpp>

#include "cli/commands.h"

int main(int argc, char** argv) {
  using namespace walkpaddle;
  CLI::App app("walkpaddle: a request router for edge caches. Without a command it runs the router.",
               "walkpaddle");
  cli::Arguments arguments;
  cli::add_commands(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? cli::kExitSuccess : cli::kExitUsage;
  }
  if (argc <= 1) return cli::run_without_command();
  return arguments.exit_code;
}
