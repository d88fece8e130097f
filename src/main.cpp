// The program: the router, and the commands of those who run it.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "control/command.h"
#include "control/file.h"
#include "dns/front.h"
#include "net/config.h"
#include "net/router.h"
#include "text.h"

namespace {

using namespace walkpaddle;

constexpr int kRefused = 1, kWrongUse = 2;

struct WrongUse : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <class F>
int plainly(F&& call) {
  try {
    return call(), 0;
  } catch (const WrongUse& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kWrongUse;
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kRefused;
  }
}

void run(const std::string& file, const std::string& log_form) {
  const char* path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw Malformed("LB_CONFIG is not set");
  const auto read = [path] {
    std::ifstream in(path);
    std::stringstream text;
    if (!(text << in.rdbuf())) throw Malformed(std::string("cannot read ") + path);
    auto config = net::parse_config(text.str());
    if (const char* listen = std::getenv("LB_LISTEN")) config.listen = parse_address(listen);
    return config;
  };
  auto config = read();
  const auto operators = file.empty() ? control::File{} : control::read_file(file);
  const bool json = log_form.empty() ? operators.log_json : log_form == "json";
  Log log(config.name, json ? Log::Form::json : Log::Form::text);
  net::Router router(std::move(config), operators, read, log);
  if (const auto& d = operators.dns; d.on)
    router.add([&](const net::Router::Parts& p) {
      std::vector<std::string> rules;
      for (const auto& rule : net::rule_names(p.settings)) rules.push_back(rule.name);
      return std::make_shared<dns::Front>(p.scheduler, p.outbox, p.log, p.desk, p.caches,
                                          dns::Zone({d.zone, d.server, d.use, d.txns}, std::move(rules)),
                                          parse_address(d.listen));
    });
  router.run();
}

// The socket to talk to: named, or the one that the operator's file names.
std::string socket_of(const std::string& socket, const std::string& file) {
  if (!socket.empty()) return socket;
  if (file.empty()) throw WrongUse("name the router by --socket or --file");
  const auto named = control::read_file(file).socket;
  if (named.empty()) throw Malformed(file + " names no operators' socket");
  return named;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("walkpaddle: a txn router for edge caches. Without a command it runs the router.",
               "walkpaddle");
  app.require_subcommand(0, 1);
  std::string file, log_form, checked, socket, number;
  int code = 0;

  auto* run_it =
      app.add_subcommand("run", "run the router; the platform's configuration is named by LB_CONFIG");
  run_it->add_option("--file", file, "the operator's file: fleet, store, boxes, operators' socket, log")
      ->envname("WALKPADDLE_FILE");
  run_it->add_option("--log", log_form, "form of the log lines, before what the file says")
      ->check(CLI::IsMember({"text", "json"}));
  run_it->callback([&] { code = plainly([&] { run(file, log_form); }); });

  auto* check = app.add_subcommand("check", "read an operator's file and say what is wrong with it");
  check->add_option("FILE", checked, "the file")->required();
  check->callback(
      [&] { code = plainly([&] { control::read_file(checked), fmt::print("{}: good\n", checked); }); });

  auto* purge =
      app.add_subcommand("purge", "withdraw copies at every router and box, and see how far that is");
  purge->require_subcommand(1);
  purge->add_option("--socket", socket, "the operators' socket of a running router");
  purge->add_option("--file", file, "the operator's file that names it")->envname("WALKPADDLE_FILE");
  control::PurgeAsked asked;
  const std::pair<const char*, const char*> kinds[] = {
      {"object", "one object, by its id"},
      {"group", "all objects of a group, by its number"},
      {"tag", "all objects whose answers name the tag"},
      {"pattern", "all objects whose whole id the pattern matches (RE2)"},
      {"all", "every object: fills rise at once, the origin is loaded"}};
  for (const auto& [kind, help] : kinds) {
    auto* one = purge->add_subcommand(kind, help);
    if (std::string_view(kind) != "all") one->add_option("WHAT", asked.what)->required();
    one->add_flag("--wait", asked.wait, "until every router holds it and every box has confirmed it");
    one->add_option("--within", asked.within, "seconds to wait")->check(CLI::Range(0.1, 86400.0));
    one->callback([&, kind = std::string(kind)] {
      asked.kind = kind;
      std::string where;
      code = plainly([&] { where = socket_of(socket, file); });
      if (code == 0) code = control::purge(where, asked);
    });
  }
  auto* status = purge->add_subcommand("status", "of one purge, or of the router and its last ones");
  status->add_option("NUMBER", number, "as 'purge' printed it");
  status->callback([&] {
    std::string where;
    code = plainly([&] { where = socket_of(socket, file); });
    if (code == 0) code = control::purge_status(where, number);
  });

  auto* fleet = app.add_subcommand("fleet", "who of the fleet is alive, and what it knows of the servers");
  bool as_json = false;
  fleet->add_option("--socket", socket, "the operators' socket of a running router");
  fleet->add_option("--file", file, "the operator's file that names it")->envname("WALKPADDLE_FILE");
  fleet->add_flag("--json", as_json, "as the router tells it, one JSON object");
  fleet->callback([&] {
    std::string where;
    code = plainly([&] { where = socket_of(socket, file); });
    if (code == 0) code = control::fleet(where, as_json);
  });

  app.add_subcommand("version", "print the version")->callback([] {
    fmt::print("walkpaddle {}\n", WALKPADDLE_VERSION);
  });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kWrongUse;
  }
  if (argc <= 1) {
    const char* named = std::getenv("WALKPADDLE_FILE");
    code = plainly([&] { run(named != nullptr ? named : "", ""); });
  }
  return code;
}
