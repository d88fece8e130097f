// Plays a test script from standard input and prints its results, one per line.
// NAME.in: the routing policy in simulated time. A line is a command, words and key=value pairs; "at T"
// advances the clock and calls the policy at the times that it asked for. The decisions are printed.
// NAME.bytes: input for the parsers, fed whole and byte by byte.
// NAME.net: the router as a process, with clients, cache servers and discovery ("bus") played by the script.
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "base/text.h"
#include "config/platform_config.h"
#include "fakes/discovery_frames.h"
#include "fakes/servers.h"
#include "io/fd.h"
#include "net/discovery_codec.h"
#include "net/resp_parser.h"
#include "platform.h"
#include "purge/purge_index.h"
#include "routing/policy.h"

// Must be the last include, as it defines "true" and "false" as macros.
#include <ldns/ldns.h>
#undef true
#undef false

using namespace walkpaddle;
using namespace walkpaddle::fakes;

namespace {

// A line of a script, split into its words and its key=value pairs.
struct ScriptLine {
  std::vector<std::string> words;
  std::map<std::string, std::string> pairs;
  explicit ScriptLine(const std::string& text) {
    std::istringstream in(text);
    for (std::string w; in >> w;) {
      const auto eq = w.find('=');
      if (eq == std::string::npos)
        words.push_back(w);
      else
        pairs[w.substr(0, eq)] = w.substr(eq + 1);
    }
  }
  double number(const std::string& key, double absent = 0) const {
    const auto it = pairs.find(key);
    return it == pairs.end() ? absent : std::stod(it->second);
  }
  // Index of the value of `key` in `names`; 0 if the key is absent or its value is not among them.
  int index_in(const std::string& key, const std::vector<std::string>& names) const {
    const auto it = pairs.find(key);
    for (std::size_t n = 0; it != pairs.end() && n < names.size(); ++n)
      if (names[n] == it->second) return static_cast<int>(n);
    return 0;
  }
};

std::uint64_t hash_of(const std::string& text) {
  std::uint64_t h = 14695981039346656037u;
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211u;
  return h ^ (h >> 29);
}

// Index of `name` in `names`, to which it is added if absent.
template <class Name>
int index_or_add(std::vector<std::string>& names, const Name& name) {
  for (std::size_t n = 0; n < names.size(); ++n)
    if (names[n] == name) return static_cast<int>(n);
  names.push_back(name);
  return static_cast<int>(names.size()) - 1;
}

// Words of the scripts for AttemptOutcome and FillOutcome, in the order of the enumerators.
const std::vector<std::string> kOutcomeWords{"completed",     "error",  "not_taken",  "timed_out",
                                             "no_connection", "broken", "called_off", "not_sent",
                                             "lacking",       "too_old"};
const std::vector<std::string> kFillWords{
    "none",         "hit",           "filled",         "by_origin",
    "joined",       "old_copy",      "source_refused", "source_unreached",
    "source_lacks", "no_fill_place", "origin_failed"};

// ---- parsers ---------------------------------------------------------------------------------------------

// Replaces the escapes "\r", "\n" and "\xHH" of a script by their bytes.
std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '\\' || n + 1 == text.size()) {
      out += text[n];
    } else if (const char c = text[++n]; c == 'x') {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
    }
  }
  return out;
}

// Collects discovery events as text.
struct EventPrinter final : net::DiscoveryEvents {
  std::string out;
  template <class... T>
  void print(const T&... parts) {
    std::ostringstream text;
    ((text << ' ' << parts), ...);
    out += text.str() + "\n";
  }
  void begin_initial_events(Seconds) override {}
  void end_initial_events() override {}
  void begin_endpoint_list(bool whole) override { print(whole ? "list" : "changes"); }
  void update_endpoint(std::string_view id, const Address& at, int location, int kind, int cell,
                       EndpointState state, double weight, Seconds started) override {
    print(" ", id, text_of(at), "location", location, "kind", kind, "cell", cell, "state",
          static_cast<int>(state), "weight", weight, "started", started);
  }
  void end_endpoint_list() override { print("end"); }
  void purged(std::string_view object, Seconds at) override { print("purged", object, at); }
  void purged_group(std::uint32_t group, Seconds at) override { print("purged group", group, at); }
};

// Feeds `bytes` in chunks of `step` bytes. `parse` appends what it parsed to its second argument and returns
// the number of bytes used; 0: it needs more.
template <class F>
std::string feed(const std::string& bytes, std::size_t step, F&& parse) {
  std::string out, unparsed;
  try {
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      unparsed += bytes.substr(at, step);
      while (const auto used = parse(unparsed, out)) unparsed.erase(0, used);
    }
    if (!unparsed.empty()) out += " and " + std::to_string(unparsed.size()) + " bytes left over\n";
  } catch (const InputError& e) {
    out += std::string(" malformed: ") + e.what() + "\n";
  }
  return out;
}

// Prints what the parser of RESP arrays ("resp") or of discovery frames ("frames") makes of `bytes`.
void play_parser(const std::string& parser, const std::string& bytes) {
  const auto at_step = [&](std::size_t step) {
    if (parser == "resp")
      return feed(bytes, step, [](const std::string& unparsed, std::string& out) {
        net::RespArray w;
        net::read_resp_array(unparsed, 4, 100, w);
        for (const auto word : w.words)
          if (w.used > 0) out.append(" [").append(word).append("]");
        if (w.used > 0) out += "\n";
        return w.used;
      });
    EventPrinter events;
    std::uint64_t last = 2;
    auto out = feed(bytes, step, [&](const std::string& unparsed, std::string& text) {
      std::uint64_t seen = 0;
      const auto used = net::read_frame(unparsed, last, events, seen);
      text += std::exchange(events.out, "");
      return used;
    });
    return out + " last " + std::to_string(last) + "\n";
  };
  const auto whole = at_step(bytes.size());
  std::printf("%s", whole.c_str());
  if (at_step(1) != whole) std::printf(" fed byte by byte the result differs:\n%s", at_step(1).c_str());
}

// Prints some values of a platform configuration and its initial events.
void print_config(const std::string& text) {
  try {
    const auto c = config::parse_platform_config(text);
    std::printf(" %s on %s, first class %s\n", c.name.c_str(), text_of(c.listen).c_str(),
                config::request_class_names(c.settings).front().name.c_str());
    EventPrinter events;
    if (c.initial_events != "{}") config::replay_initial_events(c.initial_events, c.settings, events);
    std::printf("%s", events.out.c_str());
  } catch (const InputError& e) {
    std::printf(" malformed: %s\n", std::string(e.what()).substr(0, 140).c_str());
  }
}

// ---- the router as a process ---------------------------------------------------------------------------

// A connection and the bytes received on it that are not parsed yet.
struct Connection {
  Fd fd;
  std::string unparsed;
};

// Plays the commands of a .net script in order: clients, cache servers and discovery. A command that expects
// an event waits for it, with a timeout.
class RouterScript {
 public:
  ~RouterScript() {
    if (router_ > 0) ::kill(router_, SIGKILL), ::waitpid(router_, nullptr, 0);
    if (!folder_.empty()) std::filesystem::remove_all(folder_);
  }
  // Runs one line; false if its command is not one of this class.
  bool play(const std::string& text) {
    std::istringstream in(text);
    std::vector<std::string> w;
    for (std::string word; in >> word;) w.push_back(word);
    const auto& command = w[0];
    if (command == "router") return start_router(w.size() > 1 ? text.substr(7) : ""), true;
    if (command == "client") return clients_[w[1]] = {connect_to(port_), ""}, true;
    if (command == "send") return send(clients_[w[1]], array_text({w.begin() + 2, w.end()})), true;
    if (command == "bytes")
      return send(clients_[w[1]], unescape(text.substr(text.find(w[1]) + w[1].size() + 1))), true;
    if (command == "looks") return query_dns(w[1], w[2], w.size() > 3), true;
    if (command == "gets")
      return std::printf("%s gets %s\n", w[1].c_str(), read_array(clients_[w[1]]).c_str()), true;
    if (command == "sized") return print_answer_size(w[1]), true;
    if (command == "ends") return read_to_end(w[1]), true;
    if (command == "crowd") return connect_clients(std::stoi(w[1])), true;
    if (command == "leaves") return clients_.erase(w[1]), true;
    if (command == "asked") return expect_request(w[1], w.size() > 2 && w[2] == "past"), true;
    if (command == "says") return send_answer(w), true;
    if (command == "noise")
      return send_raw(servers_[w[1]], unescape(text.substr(text.find(w[1]) + w[1].size() + 1))), true;
    if (command == "closes") return servers_[w[1]].connections.clear(), true;
    if (command == "refuses") return servers_[w[1]].connections.clear(), void(servers_[w[1]].fd = Fd()), true;
    if (command == "bus") return discovery(w), true;
    if (command == "wait") return ::usleep(static_cast<useconds_t>(std::stod(w[1]) * 1e6)), true;
    if (command == "term") return ::kill(router_, SIGTERM), true;
    if (command == "kill") return ::kill(router_, SIGKILL), true;
    if (command == "reload") return reload(text.substr(6)), true;
    if (command == "exit") return print_exit(), true;
    if (command == "again") return spawn_router(), true;
    if (command == "learnt") return snapshot(w.size() > 1 ? w[1] : ""), true;
    return false;
  }

 private:
  struct Server {
    Fd fd;
    int port = 0;
    std::vector<Connection> connections;
    std::size_t last = 0;                              // index of the connection of the last request
    std::string id;                                    // id of the last request
    std::map<std::string, std::size_t> connection_of;  // index of the connection, by request id
  };

  // A RESP array of strings; "-" stands for an empty one.
  static std::string array_text(const std::vector<std::string>& words) {
    auto text = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& w : words) text += net::resp_array_text({w == "-" ? "" : w}).substr(4);
    return text;
  }

  static Fd listen_on_any_port(int& port) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof a;
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&a), size) != 0 || ::listen(fd.get(), 16) != 0)
      fail("listen");
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
    port = ntohs(a.sin_port);
    return fd;
  }

  static Fd connect_to(int port) {
    for (int n = 0; n < 500; ++n, ::usleep(10000)) {
      Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      sockaddr_in a{};
      a.sin_family = AF_INET;
      a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      a.sin_port = htons(static_cast<std::uint16_t>(port));
      const int buffer_bytes = 16 * 1024;  // small, so that unread answers stay buffered at the router
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
      if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0) return fd;
    }
    fail("connect");
  }

  [[noreturn]] static void fail(const std::string& missing) {
    std::printf("no %s\n", missing.c_str());
    std::fflush(stdout);
    throw std::runtime_error("no " + missing);
  }

  static void send(const Connection& c, const std::string& bytes) {
    if (::send(c.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) std::printf("not sent\n");
  }

  static bool readable(int fd, int ms) {
    pollfd p{fd, POLLIN, 0};
    return ::poll(&p, 1, ms) > 0;
  }

  // Reads one whole array; "closed" at the end of the connection, "nothing" after `ms` milliseconds without
  // data.
  static std::string read_array(Connection& c, int ms = 10000) {
    for (;;) {
      net::RespArray words;
      net::read_resp_array(c.unparsed, 8, 1 << 20, words);
      if (words.used > 0) {
        std::string text;
        for (const auto w : words.words) text.append(text.empty() ? "" : " ").append(w.empty() ? "-" : w);
        c.unparsed.erase(0, words.used);
        return text;
      }
      if (!readable(c.fd.get(), ms)) return "nothing";
      char buffer[65536];
      const auto got = ::recv(c.fd.get(), buffer, sizeof buffer, 0);
      if (got <= 0) return "closed";
      c.unparsed.append(buffer, static_cast<std::size_t>(got));
    }
  }

  // Prints the next request that the server receives on any connection, without the values that vary. `past`:
  // skips cancels, whose number depends on the buffers of the kernel.
  void expect_request(const std::string& name, bool past) {
    auto& s = servers_[name];
    for (int n = 0; n < 5000; ++n, ::usleep(2000)) {
      if (readable(s.fd.get(), 0)) s.connections.push_back({Fd(::accept(s.fd.get(), nullptr, nullptr)), ""});
      for (s.last = 0; s.last < s.connections.size(); ++s.last) {
        auto text = read_array(s.connections[s.last], 0);
        if (text == "nothing" || text == "closed" || (past && text.starts_with("cancel "))) continue;
        s.id = text.substr(text.find(' ') + 1, 16);
        s.connection_of[s.id] = s.last;
        for (const std::string varies : {"limit=", "maxage="})
          if (auto at = text.find(varies); at != std::string::npos) {
            at += varies.size();
            text.replace(at, text.find_first_of(", ", at) - at, "?");
          }
        for (const auto& [other, server] : servers_)
          for (auto at = text.find(server_id(other)); at != std::string::npos;
               at = text.find(server_id(other)))
            text.replace(at, 10, other);
        std::printf("%s receives %s\n", name.c_str(), text.c_str());
        return;
      }
    }
    fail("request at " + name);
  }

  // says SERVER [ID] WORD ...: answers the last request, or the one with this id.
  void send_answer(const std::vector<std::string>& w) {
    auto& s = servers_[w[1]];
    const bool named = s.connection_of.contains(w[2]);
    std::vector<std::string> words{named ? w[2] : s.id};
    for (auto n = w.begin() + 2 + named; n != w.end(); ++n)  // "LARGE": an object of the largest size
      words.push_back(*n == "LARGE" ? std::string(240'000, 'x') : *n);
    if (s.last >= s.connections.size()) fail("connection at " + w[1]);
    send(s.connections[named ? s.connection_of[w[2]] : s.last], array_text(words));
  }

  // Sends bytes on the connection of the last request.
  static void send_raw(const Server& s, const std::string& bytes) { send(s.connections.at(s.last), bytes); }

  // looks TYPE NAME [tcp]: sends a DNS query; prints the response code and the records, with server names.
  void query_dns(const std::string& type, const std::string& name, bool tcp) {
    std::string query("\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00", 12);
    std::istringstream labels(name);
    for (std::string label; std::getline(labels, label, '.');)
      query += static_cast<char>(label.size()) + label;
    const std::map<std::string, int> types{{"A", 1},     {"NS", 2},   {"SOA", 6},  {"TXT", 16},
                                           {"AAAA", 28}, {"SRV", 33}, {"ANY", 255}};
    query += std::string("\0\0", 2) + static_cast<char>(types.at(type)) + std::string("\0\x01", 2);
    Fd fd(::socket(AF_INET, tcp ? SOCK_STREAM : SOCK_DGRAM, 0));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(dns_port_));
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) fail("DNS listener");
    if (tcp) query.insert(0, std::string(1, '\0') + static_cast<char>(query.size()));
    if (::send(fd.get(), query.data(), query.size(), 0) < 0 || !readable(fd.get(), 5000)) {
      std::printf("%s %s: nothing\n", type.c_str(), name.c_str());
      return;
    }
    char buffer[4096];
    const auto got = ::recv(fd.get(), buffer, sizeof buffer, 0);
    std::string_view reply(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, got)));
    if (tcp) reply.remove_prefix(std::min<std::size_t>(2, reply.size()));
    auto text = describe(reply);
    for (const auto& [other, server] : servers_)
      for (auto at = text.find(" " + std::to_string(server.port) + " "); at != std::string::npos;
           at = std::string::npos)
        text.replace(at + 1, std::to_string(server.port).size(), "PORT");
    for (const auto& [other, server] : servers_)
      for (auto at = text.find(server_id(other)); at != std::string::npos; at = text.find(server_id(other)))
        text.replace(at, 10, other);
    std::printf("%s %s: %s\n", type.c_str(), name.c_str(), text.c_str());
  }

  // Response code, flags and records of a DNS response.
  static std::string describe(std::string_view reply) {
    ldns_pkt* packet = nullptr;
    if (ldns_wire2pkt(&packet, reinterpret_cast<const std::uint8_t*>(reply.data()), reply.size()) !=
        LDNS_STATUS_OK)
      return "malformed";
    std::string text = "code " + std::to_string(ldns_pkt_get_rcode(packet)) +
                       (ldns_pkt_tc(packet) ? " truncated" : "") +
                       (ldns_pkt_aa(packet) ? "" : " not authoritative");
    for (const auto* list : {ldns_pkt_answer(packet), ldns_pkt_authority(packet)})
      for (std::size_t n = 0; n < ldns_rr_list_rr_count(list); ++n) {
        char* rr = ldns_rr2str(ldns_rr_list_rr(list, n));
        std::string line(rr);
        std::free(rr);
        std::ranges::replace(line, '\t', ' ');
        if (!line.empty()) line.pop_back();
        text += "; " + line;
      }
    ldns_pkt_free(packet);
    return text;
  }

  // Prints the next answer with the size of its body in place of the body.
  void print_answer_size(const std::string& name) {
    const auto got = read_array(clients_[name]);
    std::printf("%s gets %s and %zu bytes\n", name.c_str(), got.substr(0, got.rfind(' ')).c_str(),
                got.size() - std::min(got.size(), got.rfind(' ') + 1));
  }

  // Reads all answers to a client until its connection is closed or falls silent, and prints which.
  void read_to_end(const std::string& name) {
    std::string got = "nothing";
    while ((got = read_array(clients_[name], 1000)) != "closed" && got != "nothing") {
    }
    std::printf("%s ends with %s\n", name.c_str(), got.c_str());
  }

  // Connects clients one after the other; each sends one request and stays connected.
  void connect_clients(int size) {
    for (int n = 0; n < size; ++n) {
      auto& c = clients_["crowd client " + std::to_string(n)] = {connect_to(port_), ""};
      send(c, array_text({"ALIVE", "1"}));
      if (const auto got = read_array(c); got != "1 READY")
        std::printf("crowd client %d gets %s\n", n, got.c_str());
    }
  }

  static std::string server_id(const std::string& name) {
    return "s-000000" + std::string(name == "c1" ? "c1" : name == "c2" ? "c2" : name == "par" ? "aa" : "0f");
  }

  // bus up | down | counts N | drains NAME | purges OBJECT | bytes TEXT
  void discovery(const std::vector<std::string>& w) {
    if (w[1] == "up") {
      if (!readable(discovery_.fd.get(), 10000)) fail("router at discovery");
      discovery_.connections.clear();
      discovery_.connections.push_back({Fd(::accept(discovery_.fd.get(), nullptr, nullptr)), ""});
      char subscription[8];
      if (::recv(discovery_.connections[0].fd.get(), subscription, 8, MSG_WAITALL) != 8) fail("subscription");
      std::printf("events requested from number %d\n", subscription[7]);
    } else if (w[1] == "down") {
      discovery_.connections.clear();
    } else if (w[1] == "counts") {  // number of the last event; the next one follows it
      event_ = std::stoi(w[2]);
    } else if (w[1] == "drains") {
      auto& s = servers_[w[2]];
      const auto id = std::stoul(server_id(w[2]).substr(2), nullptr, 16);
      send_event(2, endpoint_record(id, s.port, AnnouncedState::draining, 1, 0));
    } else if (w[1] == "purges") {
      const auto now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
      send_event(
          3, big_endian(std::stoull(w[2], nullptr, 16), 8) + big_endian(static_cast<std::uint64_t>(now), 8));
    } else {
      send(discovery_.connections[0], unescape(w[2]));
    }
  }
  void send_event(int kind, const std::string& payload) {
    send(discovery_.connections[0], discovery_frame(static_cast<std::uint64_t>(++event_), kind, payload));
  }

  // Opens the listener of a server and returns its entry in the endpoint list.
  std::string add_server(const std::string& name, const char* where, const char* kind) {
    auto& s = servers_[name];
    s.fd = listen_on_any_port(s.port);
    return endpoint_json(server_id(name), s.port, where, kind);
  }

  // router [dns|learnt] CACHE ...: starts the router, with an operator's file that enables DNS lookups or
  // warm start if so named.
  void start_router(std::string caches) {
    const bool with_dns = caches.find("dns") != std::string::npos;
    if (with_dns) caches.erase(0, caches.find("dns") + 3);
    const bool with_snapshot = caches.find("learnt") != std::string::npos;
    if (with_snapshot) caches.erase(0, caches.find("learnt") + 6);
    std::string list, names = caches.empty() ? "c1" : caches;
    std::istringstream in(names);
    for (std::string name; in >> name;) list += add_server(name, "edge", "cache") + ",";
    list += add_server("par", "hub", "parent") + "," + add_server("origin", "hub", "origin");
    discovery_.fd = listen_on_any_port(discovery_.port);
    port_ = ports_.take();
    config_ = platform_config_json(
        "n0", port_, discovery_.port, list,
        with_dns ? R"({"sockets":80,"memory_mb":8})" : R"({"sockets":40,"memory_mb":3})");
    folder_ = std::filesystem::temp_directory_path() / ("walkpaddle-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder_);
    std::ofstream(folder_ / "config.json") << config_;
    dns_port_ = ports_.take();
    if (with_dns)
      std::ofstream(folder_ / "walkpaddle.conf")
          << "dns {\n listen = \"127.0.0.1:" << dns_port_
          << "\"\n zone = \"z.example\"\n server = \"ns.z.example\"\n}\n";
    if (with_snapshot)
      std::ofstream(folder_ / "walkpaddle.conf")
          << "learnt { file = \"" << (folder_ / "learnt.json").string() << "\" }\n";
    has_operator_config_ = with_dns || with_snapshot, keeps_log_ = with_snapshot;
    spawn_router();
  }

  void spawn_router() {
    std::filesystem::remove(folder_ / "log");
    router_ = ::fork();
    if (router_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that is killed must not leave a router behind
      ::setenv("LB_CONFIG", (folder_ / "config.json").c_str(), 1);
      if (has_operator_config_) ::setenv("WALKPADDLE_FILE", (folder_ / "walkpaddle.conf").c_str(), 1);
      if (keeps_log_ && std::freopen((folder_ / "log").c_str(), "w", stderr) == nullptr) ::_exit(127);
      ::unsetenv("LB_LISTEN");
      const auto* program = std::getenv("WALKPADDLE");
      ::execl(program, program, nullptr);
      ::_exit(127);
    }
  }

  // learnt: waits for a log line on warm start and prints the last one, without the values that vary.
  // learnt torn|newer|foreign|changed: damages the snapshot file in this way.
  void snapshot(const std::string& damage) {
    const auto path = folder_ / "learnt.json";
    if (damage.empty()) {
      for (int n = 0; n < 500; ++n, ::usleep(10000)) {
        std::ifstream in(folder_ / "log");
        std::string last;
        for (std::string line; std::getline(in, line);)
          if (line.find(" learnt: ") != std::string::npos) last = line.substr(line.find(" learnt: ") + 1);
        if (last.empty()) continue;
        if (const auto at = last.find(path.string()); at != std::string::npos)
          last.replace(at, path.string().size(), "FILE");
        if (const auto end = last.find(" s old"); end != std::string::npos)
          last.replace(last.rfind(' ', end - 1) + 1, end - last.rfind(' ', end - 1) - 1, "?");
        std::printf("%s\n", last.c_str());
        return;
      }
      fail("log line on warm start");
    }
    std::ifstream in(path);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto replace = [&](const std::string& from, const std::string& to) {
      if (const auto at = text.find(from); at != std::string::npos) text.replace(at, from.size(), to);
    };
    if (damage == "torn") text.resize(text.size() / 2);
    if (damage == "newer") replace("\"version\": 1", "\"version\": 2");
    if (damage == "changed") replace("\"answers\": ", "\"answers\": 9");
    if (damage == "foreign") text = "hello";
    std::ofstream(path) << text;
  }

  // reload [TEXT]: writes the configuration file and sends SIGHUP. Without TEXT discovery listens at a new
  // address and the file names it. "torn" writes only the first half of that file; "whole" then writes all of
  // it, without a signal.
  void reload(std::string content) {
    const bool whole = content == " whole", torn = content == " torn";
    if (whole) return void(std::ofstream(folder_ / "config.json") << config_);
    if (torn) content.clear();
    if (content.empty()) {
      old_discovery_ = std::exchange(discovery_, {});
      discovery_.fd = listen_on_any_port(discovery_.port);
      const auto from = "\"bus\":\"127.0.0.1:" + std::to_string(old_discovery_.port);
      const auto at = config_.find(from);
      config_.replace(at, from.size(), "\"bus\":\"127.0.0.1:" + std::to_string(discovery_.port));
    }
    if (torn) content = config_.substr(0, config_.size() / 2);
    std::ofstream(folder_ / "config.json") << (content.empty() ? config_ : content);
    ::kill(router_, SIGHUP);
  }

  void print_exit() {
    int status = 0;
    ::waitpid(std::exchange(router_, -1), &status, 0);
    std::printf("router exits with %d\n", WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
  }

  pid_t router_ = -1;
  fakes::Ports ports_;
  int port_ = 0, dns_port_ = 0, event_ = 1;
  bool has_operator_config_ = false, keeps_log_ = false;
  std::filesystem::path folder_;
  std::map<std::string, Connection> clients_;
  std::map<std::string, Server> servers_;
  Server discovery_, old_discovery_;
  std::string config_;
};

}  // namespace

int main() try {
  const auto owned = make_routing_policy(7);
  auto& policy = *owned;
  Seconds now = 1000;
  std::set<Seconds> wake_times;
  std::vector<std::string> endpoints, requests;
  const auto print_decisions = [&] {
    while (const auto d = policy.next()) {
      using Kind = Decision::Kind;
      if (d->kind == Kind::wake_up) {
        wake_times.insert(d->time);
        continue;
      }
      std::printf("%8.3f ", now - 1000);
      const auto* request = d->request < 0 ? "" : requests[d->request].c_str();
      if (d->kind == Kind::forward) {
        std::printf("%s to %s from %s rank %d", request, endpoints[d->endpoint].c_str(),
                    endpoints[d->source].c_str(), d->retention_rank);
        if (d->max_age > 0) std::printf(" age %.3f", d->max_age);
        if (d->time > 0) std::printf(" for %.3f", d->time);
        if (d->start_by > 0) std::printf(" by %.3f", d->start_by - 1000);
        if (d->cached_only) std::printf(" cached only");
        if (d->join_fill) std::printf(" join");
      } else if (d->kind == Kind::cancel) {
        std::printf("%s cancel attempt %d", request, d->attempt);
      } else if (d->kind == Kind::reject) {
        std::printf("%s rejected, retry after %.3f", request, d->time);
      } else if (d->kind == Kind::fail) {
        std::printf("%s failed", request);
      } else {
        std::printf("poll discovery");
      }
      std::printf("\n");
    }
  };
  const auto update_endpoints = [&](const ScriptLine& l, int kind) {
    for (std::size_t n = 1; n < l.words.size(); ++n)
      policy.update_endpoint(index_or_add(endpoints, l.words[n]), hash_of(l.words[n]),
                             static_cast<int>(l.number("at")), kind, 0,
                             static_cast<EndpointState>(l.index_in("is", {"gone", "ready", "draining"}) +
                                                        (l.pairs.count("is") ? 0 : 1)),
                             l.number("weight", 1), l.pairs.count("age") ? now - l.number("age") : 0);
  };
  purge::PurgeIndex purge_index({.max_age = 7, .entries_per_kind = 4096, .objects = 4});
  std::vector<std::pair<std::uint64_t, std::uint32_t>> objects;  // object and group, by request
  const auto update_valid_since = [&] {
    for (std::size_t n = 0; n < objects.size(); ++n)
      policy.set_valid_since(static_cast<int>(n),
                             purge_index.valid_since(objects[n].first, objects[n].second, {}, now));
  };
  const auto receive_request = [&](int request, std::uint64_t object, const ScriptLine& l) {
    const auto group = static_cast<std::uint32_t>(l.number("group"));
    policy.request_received(request, static_cast<int>(l.number("rule")), object,
                            static_cast<int>(l.number("part")), group, l.number("kb"),
                            now + l.number("for", 5), l.number("repeat") > 0);
    if (l.pairs.count("stands"))
      policy.set_represented_requests(request, l.number("flight", 1), l.number("stands"));
    objects.resize(std::max(objects.size(), static_cast<std::size_t>(request) + 1));
    objects[static_cast<std::size_t>(request)] = {object, group};
  };
  RouterScript router_script;
  policy.clock(now);
  for (std::string text; std::getline(std::cin, text);) {
    const ScriptLine l(text);
    if (l.words.empty()) continue;
    const auto& command = l.words[0];
    if (command == "#") {
      std::printf("%s\n", text.c_str());
    } else if (command == "told") {
      const auto report = net::parse_answer_report(text.substr(5));
      std::printf(" fill wait %.3f, load %.2f\n", report.fill_wait, report.load);
      continue;
    } else if (command == "resp" || command == "frames") {
      play_parser(command, unescape(text.substr(command.size() + 1)));
      continue;
    } else if (command == "config") {
      print_config(text.substr(7));
      continue;
    } else if (router_script.play(text)) {
      std::fflush(stdout);
      continue;
    } else if (command == "setup") {
      policy.set_placement(
          {0, static_cast<int>(l.number("seats", 1)), static_cast<int>(l.number("routers", 2))});
      policy.set_roles({8, 9, l.number("direct", 1) > 0});
      policy.set_retries({static_cast<int>(l.number("hops", 6)), l.number("calloff", 1) > 0});
      policy.set_fills({static_cast<SiblingFills>(l.index_in("siblings", {"none", "location", "any"})),
                        l.number("join", 1) > 0,
                        l.number("notes", 1) > 0 ? FillReporting::all : FillReporting::none, 1000});
      policy.set_slow_start({0.2, l.number("multiple", 2), 16, 2}, {0.08, 2, 20, 2});
      policy.set_weights_are_transfers(l.number("weights") > 0);
      policy.set_client_settings({l.number("marks", 1) > 0, 0.5});
    } else if (command == "rule") {
      RequestClass r;
      r.idempotency = static_cast<Idempotency>(l.index_in("effect", {"repeatable", "keyed", "unrepeatable"}));
      r.deduplication = static_cast<DeduplicationScope>(l.index_in("group", {"all", "location", "cell"}));
      r.deduplication_window = l.number("window", 5);
      r.latency_objective = l.number("sla", 0.4);
      r.latency_objective_stretch = l.number("stretch", 2);
      r.deadline = l.number("limit", 5);
      r.max_age = l.number("fresh");
      r.priority = l.number("importance", 1);
      r.uncacheable = l.number("uncacheable") > 0;
      r.in_parts = l.number("parts") > 0;
      policy.add_request_class(r);
    } else if (command == "cache" || command == "par" || command == "origin") {
      policy.begin_endpoint_list(false);
      update_endpoints(l, command == "cache" ? 1 : command == "par" ? 8 : 9);
      policy.end_endpoint_list();
    } else if (command == "at") {
      const Seconds until = 1000 + std::stod(l.words[1]);
      while (!wake_times.empty() && *wake_times.begin() <= until) {
        now = *wake_times.begin();
        wake_times.erase(wake_times.begin());
        policy.clock(now);
        policy.timer_fired();
        print_decisions();
      }
      policy.clock(now = until);
    } else if (command == "txn") {
      for (std::size_t n = 1; n < l.words.size(); ++n)
        receive_request(index_or_add(requests, l.words[n]),
                        hash_of(l.pairs.count("object") ? l.pairs.at("object") : "a"), l);
    } else if (command == "ended") {
      const auto outcome = static_cast<AttemptOutcome>(l.index_in("as", kOutcomeWords));
      policy.attempt_ended(index_or_add(requests, l.words[1]), static_cast<int>(l.number("hop")), outcome,
                           static_cast<FillOutcome>(l.index_in("note", kFillWords)), l.number("took", 0.1),
                           l.number("waited"), l.number("sending"),
                           l.number("over", outcome == AttemptOutcome::served) > 0);
    } else if (command == "busy") {
      policy.load_reported(index_or_add(endpoints, l.words[1]), l.number("load"));
    } else if (command == "left") {
      policy.client_left(index_or_add(requests, l.words[1]));
    } else if (command == "purge") {
      purge_index.add_object(hash_of(l.words[1]), now - l.number("ago"));
    } else if (command == "purge-group") {
      purge_index.add_group(static_cast<std::uint32_t>(std::stoul(l.words[1])), now - l.number("ago"));
    } else if (command == "within") {
      policy.set_max_copy_age(l.number("age"));
    } else {
      std::cerr << "unknown command '" << command << "'\n";
      return 1;
    }
    update_valid_since();
    print_decisions();
  }
} catch (const std::exception&) {
  return 1;  // the trace says what was missing
}
