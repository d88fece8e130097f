#include "cli/run_command.h"

#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "base/error.h"
#include "base/text.h"
#include "cli/optional_listeners.h"
#include "cli/successor.h"
#include "config/operator_config.h"
#include "config/platform_config.h"
#include "io/log.h"
#include "server/server.h"
#include "server/signals.h"

namespace walkpaddle::cli {

namespace {

// The file as it now stands, with what the environment says beside it.
config::PlatformConfig read_platform_config(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!(text << in.rdbuf())) throw InputError("cannot read " + path);
  auto config = config::parse_platform_config(text.str());
  if (const char* listen = std::getenv("LB_LISTEN")) config.listen = parse_address(listen);
  if (const char* listener = std::getenv(server::kListenerVariable))
    config.inherited_listener = parse<int>(listener, server::kListenerVariable);
  if (const char* lines = std::getenv(server::kSettingsVariable)) config.settings.put_lines(lines);
  return config;
}

Log::Format chosen_form(const std::string& log_form, const config::OperatorConfig& operators) {
  const bool json = log_form.empty() ? operators.log_json : log_form == "json";
  return json ? Log::Format::json : Log::Format::text;
}

// Serves until it is stopped; gives who is to follow.
std::optional<server::Successor> serve(const std::string& config_path, config::PlatformConfig config,
                                       const config::OperatorConfig& operators, Log& log) {
  server::Server server(
      std::move(config), operators, [&] { return read_platform_config(config_path); }, log);
  add_optional_listeners(server, operators);
  server.run();
  return server.take_successor();
}

}  // namespace

void run_router(const std::string& operator_file, const std::string& log_form) {
  server::Signals::block();
  const char* config_path = std::getenv("LB_CONFIG");
  if (config_path == nullptr) throw InputError("LB_CONFIG is not set");
  auto config = read_platform_config(config_path);
  config::OperatorConfig operators;
  if (!operator_file.empty()) operators = config::read_operator_config(operator_file);
  Log log(config.name, chosen_form(log_form, operators));
  const auto successor = serve(config_path, std::move(config), operators, log);
  if (successor) exec_successor(*successor, operator_file);
}

}  // namespace walkpaddle::cli
