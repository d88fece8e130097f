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

// Reads the file and applies the environment variables that override or extend it.
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

Log::Format log_form_of(const std::string& log_form, const config::OperatorConfig& operator_config) {
  const bool json = log_form.empty() ? operator_config.log_json : log_form == "json";
  return json ? Log::Format::json : Log::Format::text;
}

// Serves until stopped. Returns the successor if a hot restart was requested.
std::optional<server::Successor> serve(const std::string& config_path, config::PlatformConfig config,
                                       const config::OperatorConfig& operator_config, Log& log) {
  server::Server server(
      std::move(config), operator_config, [&] { return read_platform_config(config_path); }, log);
  add_optional_listeners(server, operator_config);
  server.run();
  return server.take_successor();
}

}  // namespace

void run_router(const std::string& operator_file, const std::string& log_form) {
  server::Signals::block();
  const char* config_path = std::getenv("LB_CONFIG");
  if (config_path == nullptr) throw InputError("LB_CONFIG is not set");
  auto config = read_platform_config(config_path);
  config::OperatorConfig operator_config;
  if (!operator_file.empty()) operator_config = config::read_operator_config(operator_file);
  Log log(config.name, log_form_of(log_form, operator_config));
  const auto successor = serve(config_path, std::move(config), operator_config, log);
  if (successor) exec_successor(*successor, operator_file);
}

}  // namespace walkpaddle::cli
