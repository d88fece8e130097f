// The program: the router, and the commands of those who run it.
#include <fcntl.h>
#include <fmt/core.h>
#include <fmt/ranges.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "base/text.h"
#include "config/platform_config.h"
#include "control/command.h"
#include "control/documents.h"
#include "control/file.h"
#include "fronts.h"
#include "net/router.h"

namespace {

using namespace walkpaddle;

constexpr int kRefused = 1, kWrongUse = 2;
constexpr const char* kListener = "WALKPADDLE_LISTENER";

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

// The next program in this process's place, on the listener that is open. It finds by the environment what it
// is, and has its time to be ready; then the kernel ends it, and who started this one starts the one before.
[[noreturn]] void follow_with(net::Router::Next next, const std::string& operators) {
  const auto& move = next.move;
  const auto& program = next.program;
  const std::pair<std::string, std::string> told[] = {
      {net::kGeneration, move.to},
      {net::kEarlier, std::filesystem::read_symlink("/proc/self/exe").string()},
      {net::kSettings, next.settings},
      {kListener, std::to_string(next.listener.get())}};
  std::vector<std::string> words;
  for (char** word = environ; *word != nullptr; ++word)
    if (std::ranges::none_of(
            told, [&](const auto& t) { return std::string_view(*word).starts_with(t.first + "="); }))
      words.emplace_back(*word);
  for (const auto& [name, value] : told) words.push_back(name + "=" + value);
  std::vector<char*> env, args;
  for (auto& w : words) env.push_back(w.data());
  env.push_back(nullptr);
  std::string self = program, run = "run", option = "--file", file = operators;
  for (auto* word : {&self, &run, &option, &file}) args.push_back(word->data());
  args.push_back(nullptr);
  ::fcntl(next.listener.get(), F_SETFD, 0);
  ::alarm(static_cast<unsigned>(std::ceil(move.plan.ready_within)));
  ::execve(program.c_str(), args.data(), env.data());
  throw std::runtime_error(fmt::format("cannot run {}: {}", program, std::strerror(errno)));
}

void run(const std::string& file, const std::string& log_form) {
  net::Router::hold_signals();
  const char* path = std::getenv("LB_CONFIG");
  if (path == nullptr) throw InputError("LB_CONFIG is not set");
  const auto read = [path] {
    std::ifstream in(path);
    std::stringstream text;
    if (!(text << in.rdbuf())) throw InputError(std::string("cannot read ") + path);
    auto config = net::parse_config(text.str());
    if (const char* listen = std::getenv("LB_LISTEN")) config.listen = parse_address(listen);
    if (const char* left = std::getenv(kListener)) config.listening = parse<int>(left, kListener);
    if (const char* lines = std::getenv(net::kSettings)) config.settings.put_lines(lines);
    return config;
  };
  auto config = read();
  const auto operators = file.empty() ? control::File{} : control::read_file(file);
  const bool json = log_form.empty() ? operators.log_json : log_form == "json";
  Log log(config.name, json ? Log::Form::json : Log::Form::text);
  std::optional<net::Router::Next> next;
  {
    net::Router router(std::move(config), operators, read, log);
    add_fronts(router, operators);
    router.run();
    next = router.take_next();
  }
  if (next) follow_with(std::move(*next), file);
}

// The file, and the documents in the folder that it names.
void check_all(const std::string& path) {
  const auto file = control::read_file(path);
  if (file.changes.on) {
    const auto now =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    const auto documents = control::read_documents(file.changes.folder, now);
    // Whether a change fits before the next freeze, as far as the windows here tell.
    freeze::Calendar calendar(0, {0}, {});
    for (const auto& w : documents.windows) calendar.declare(w);
    for (const auto& e : documents.exceptions) calendar.add_exception(e);
    calendar.majority_contacted(now);
    for (const auto& d : documents.changes) {
      const auto fleet = file.fleet.peers.size() + 1;
      const auto permission = calendar.decide(freeze::Action::propose,
                                              {.change = d.name,
                                               .work = d.work,
                                               .sites = {},
                                               .max_duration = rollout::max_rollout_duration(d, fleet)},
                                              now);
      if (permission.outcome == freeze::Permission::Outcome::never)
        throw InputError("change " + d.name + ": " + permission.why);
      fmt::print("change {}: {} routers in stages of {}, {:.0f} minutes at most, the way back included; {}\n",
                 d.name, fleet, fmt::join(rollout::stage_sizes(d, fleet), ", "),
                 rollout::max_rollout_duration(d, fleet) / 60,
                 permission.allowed()
                     ? std::string("it may begin now")
                     : "not before " + freeze::format_utc(permission.at) + ", as " + permission.why);
    }
  }
  fmt::print("{}: good\n", path);
}

// The socket to talk to: named, or the one that the operator's file names.
std::string socket_of(const std::string& socket, const std::string& file) {
  if (!socket.empty()) return socket;
  if (file.empty()) throw WrongUse("name the router by --socket or --file");
  const auto named = control::read_file(file).socket;
  if (named.empty()) throw InputError(file + " names no operators' socket");
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
  check->callback([&] { code = plainly([&] { check_all(checked); }); });

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
