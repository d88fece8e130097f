#include "admin/admin_client.h"

#include <fmt/core.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <exception>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/error.h"
#include "io/stream.h"

namespace walkpaddle::admin {

using nlohmann::json;

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kReplyTimeoutMs = 5000;  // a router normally answers within one turn of its scheduler
constexpr std::size_t kReadBytes = 16384;
constexpr std::chrono::milliseconds kPurgePollInterval(10);

class AdminConnection {
 public:
  explicit AdminConnection(const std::string& path) : fd_(dial(path)) {
    if (!fd_) throw Error("cannot connect to the router at " + path + ": " + std::strerror(errno));
  }

  // Sends a request and returns the reply. Throws Error if there is none or the request is refused.
  json ask(const json& request) {
    send(request.dump() + "\n");
    auto reply = json::parse(read_line());
    if (!reply.at("ok").get<bool>()) throw Error("request refused: " + reply.at("why").get<std::string>());
    return reply;
  }

 private:
  void send(const std::string& line) {
    const auto sent = ::send(fd_.get(), line.data(), line.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(line.size())) throw Error("the router closed the connection");
  }

  std::string read_line() {
    auto end = received_.find('\n');
    while (end == std::string::npos) {
      receive();
      end = received_.find('\n');
    }
    auto line = received_.substr(0, end);
    received_.erase(0, end + 1);
    return line;
  }

  void receive() {
    pollfd readable{fd_.get(), POLLIN, 0};
    if (::poll(&readable, 1, kReplyTimeoutMs) <= 0) throw Error("the router does not answer");
    char bytes[kReadBytes];
    const auto received_bytes = ::recv(fd_.get(), bytes, sizeof bytes, 0);
    if (received_bytes <= 0) throw Error("the router closed the connection");
    received_.append(bytes, static_cast<std::size_t>(received_bytes));
  }

  Fd fd_;
  std::string received_;  // bytes after the last line returned
};

// Prints an error of the JSON library or a refusal by the router as one line.
template <class Command>
int with_errors_printed(Command&& command) {
  try {
    return command();
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return kExitFailure;
  }
}

std::string text(const json& reply, const char* field) { return reply[field].get<std::string>(); }
double number(const json& reply, const char* field) { return reply[field].get<double>(); }
bool flag(const json& reply, const char* field) { return reply[field].get<bool>(); }
int integer(const json& reply, const char* field) { return reply[field].get<int>(); }
std::uint64_t count(const json& reply, const char* field) { return reply[field].get<std::uint64_t>(); }

std::string joined_names(const json& list) {
  std::string names;
  for (const auto& name : list) names += (names.empty() ? "" : ", ") + name.get<std::string>();
  return names.empty() ? "none" : names;
}

// ---- purges ----

// Since when no router serves a stale copy; only the router that issued the purge knows it.
std::string in_force_text(const json& seconds_ago) {
  if (seconds_ago.is_null()) return "";
  const double seconds = seconds_ago.get<double>();
  return seconds >= 0 ? fmt::format(", no stale copies for the last {:.1f} s", seconds)
                      : fmt::format(", no stale copies in {:.1f} s", -seconds);
}

void print_purge(const json& purge) {
  const std::string accepted =
      flag(purge, "accepted") ? ", accepted" + in_force_text(purge["promise_holds_s_ago"]) : ", NOT ACCEPTED";
  fmt::print(
      "{}  {} {}  {:.1f} s ago  held by {} of {} routers{}  missing at: {}  not confirmed by cache servers: "
      "{}\n",
      text(purge, "number"), text(purge, "kind"), text(purge, "what"), number(purge, "ago_s"),
      integer(purge, "holders"), integer(purge, "routers"), accepted, joined_names(purge["lacking"]),
      joined_names(purge["boxes_unconfirmed"]));
}

bool purge_finished(const json& purge, const PurgeCommand& command) {
  if (!flag(purge, "accepted")) return false;
  return !command.wait_for_all || (purge["lacking"].empty() && purge["boxes_unconfirmed"].empty());
}

int issue_purge(const std::string& socket, const PurgeCommand& command) {
  using Clock = std::chrono::steady_clock;
  AdminConnection router(socket);
  auto purge = router.ask({{"do", "purge"}, {"kind", command.kind}, {"what", command.what}});
  const auto number = text(purge, "number");
  const auto deadline = Clock::now() + std::chrono::duration<double>(command.timeout);
  while (!purge_finished(purge, command) && Clock::now() < deadline) {
    std::this_thread::sleep_for(kPurgePollInterval);
    purge = router.ask({{"do", "status"}, {"number", number}});
  }
  print_purge(purge);
  if (purge_finished(purge, command)) return kExitSuccess;
  fmt::print(stderr, "walkpaddle: not {} within {:.0f} s; the purge remains issued, see 'purge status {}'\n",
             flag(purge, "accepted") ? "confirmed by all" : "accepted", command.timeout, number);
  return kExitFailure;
}

std::string age_text(const json& seconds_ago) {
  return seconds_ago.is_null() ? std::string("never")
                               : fmt::format("{:.2f} s ago", seconds_ago.get<double>());
}

void print_purges_status(const json& status) {
  fmt::print("purge log {}: complete with a majority {}; promised delay {:.2f} s\n",
             flag(status, "trusted") ? "trusted" : "NOT TRUSTED", age_text(status["complete_s_ago"]),
             number(status, "delay_s"));
  const double age_limit = number(status, "age_limit_s");
  if (age_limit > 0)
    fmt::print("every copy older than {:.2f} s is stale until the purge log is trusted again\n", age_limit);
  fmt::print("{} purges in the log, {} in force\n", count(status, "held"), count(status, "in_force"));
  for (const auto& peer : status["peers"])
    fmt::print("peer {}: {}, purge log complete {}\n", text(peer, "name"),
               flag(peer, "connected") ? "connected" : "NOT CONNECTED", age_text(peer["complete_s_ago"]));
  for (const auto& purge : status["latest"]) print_purge(purge);
}

// ---- the fleet ----

void print_membership(const json& fleet) {
  fmt::print("{}: {} of {} others alive, {} observations of endpoints, {}\n", text(fleet, "name"),
             count(fleet, "alive"), count(fleet, "others"), count(fleet, "facts_held"),
             flag(fleet, "catching_up") ? "CATCHING UP" : "caught up");
  fmt::print(
      "since the start: {:.0f} bytes/s received, {:.0f} bytes/s sent; {} suspicions raised, {} refuted\n",
      number(fleet, "bytes_in_a_s"), number(fleet, "bytes_out_a_s"), count(fleet, "suspected_here"),
      count(fleet, "refuted"));
  fmt::print(
      "refused: {} observations, {} datagrams from unknown routers, {} malformed datagrams; {} datagrams not "
      "sent\n",
      count(fleet, "facts_refused"), count(fleet, "strangers"), count(fleet, "unreadable"),
      count(fleet, "unsent"));
  const auto trouble = count(fleet, "local_trouble");
  if (trouble > 0)
    fmt::print("this router misses answers to its own probes: it takes {} times as long to suspect a peer\n",
               trouble + 1);
}

void print_rollout(const json& rollout) {
  std::string seen;
  if (flag(rollout, "drives"))
    seen = fmt::format("; driven here, requests in this stage: {} control, {} canary",
                       count(rollout, "txns_old"), count(rollout, "txns_new"));
  auto reason = text(rollout, "why");
  if (!reason.empty()) reason.insert(0, "; ");
  fmt::print("change {}: {} to {}, by {}: {}, stage {} of {}, {} of {} routers had their turn{}{}\n",
             text(rollout, "name"), text(rollout, "from"), text(rollout, "to"), text(rollout, "by"),
             text(rollout, "state"), integer(rollout, "stage"), integer(rollout, "stages"),
             integer(rollout, "through"), integer(rollout, "routers"), seen, reason);
}

std::string withdrawal_text(const json& window) {
  if (flag(window, "withdrawn")) return "; withdrawn";
  const int holders = integer(window, "withdrawn_by");
  if (holders == 0) return "";
  return fmt::format("; withdrawal held by {} routers, no majority", holders);
}

void print_window(const json& window) {
  fmt::print("freeze window {} version {}: {} to {} {}, by {}{}\n", text(window, "name"),
             integer(window, "version"), text(window, "from"), text(window, "until"), text(window, "zone"),
             text(window, "by"), withdrawal_text(window));
}

void print_rollouts(const json& fleet) {
  if (fleet["generation"].is_null()) return;
  const auto calendar = text(fleet, "calendar");
  fmt::print("runs {}, fleet generation {}; {}\n", text(fleet, "generation"),
             text(fleet, "fleets_generation"),
             calendar.empty() ? "freeze calendar is current" : "CHANGES BLOCKED HERE: " + calendar);
  for (const auto& rollout : fleet["changes"]) print_rollout(rollout);
  for (const auto& window : fleet["windows"]) print_window(window);
}

void print_members(const json& fleet) {
  for (const auto& member : fleet["members"]) {
    const auto& heard = member["heard_s_ago"];
    fmt::print("router {}: {} for {:.1f} s, {}\n", text(member, "name"), text(member, "state"),
               number(member, "for_s"),
               heard.is_null() ? std::string("no message yet")
                               : fmt::format("last message {:.1f} s ago", heard.get<double>()));
  }
}

void print_observations(const json& fleet) {
  for (const auto& observation : fleet["facts"])
    fmt::print("endpoint {}: {}, observed by {} {:.1f} s ago\n", text(observation, "server"),
               text(observation, "state"), text(observation, "by"), number(observation, "ago_s"));
}

}  // namespace

int purge(const std::string& socket, const PurgeCommand& command) {
  return with_errors_printed([&] { return issue_purge(socket, command); });
}

int purge_status(const std::string& socket, const std::string& number) {
  return with_errors_printed([&] {
    AdminConnection router(socket);
    if (number.empty())
      print_purges_status(router.ask({{"do", "status"}}));
    else
      print_purge(router.ask({{"do", "status"}, {"number", number}}));
    return kExitSuccess;
  });
}

int fleet_status(const std::string& socket, OutputForm form) {
  return with_errors_printed([&] {
    AdminConnection router(socket);
    const auto fleet = router.ask({{"do", "fleet"}});
    if (form == OutputForm::json) {
      fmt::print("{}\n", fleet.dump());
      return kExitSuccess;
    }
    print_membership(fleet);
    print_rollouts(fleet);
    print_members(fleet);
    print_observations(fleet);
    return kExitSuccess;
  });
}

}  // namespace walkpaddle::admin
