// Plays a script (standard input) and prints what comes of it, one a line.
// NAME.in: inputs into the module, and its decisions. A line is a command, words, and key=value pairs; "at T"
// moves the clock and wakes the module at the times it asked for on the way.
// NAME.bytes: bytes for the parsers, whole and one at a time.
// NAME.net: the router as a process, with clients, cache servers and an event bus played by the script.
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

// Last: it makes macros of "true" and "false".
#include <ldns/ldns.h>
#undef true
#undef false

using namespace walkpaddle;
using namespace walkpaddle::fakes;

namespace {

struct Line {
  std::vector<std::string> words;
  std::map<std::string, std::string> pairs;
  explicit Line(const std::string& text) {
    std::istringstream in(text);
    for (std::string w; in >> w;) {
      const auto eq = w.find('=');
      if (eq == std::string::npos)
        words.push_back(w);
      else
        pairs[w.substr(0, eq)] = w.substr(eq + 1);
    }
  }
  double num(const std::string& key, double absent = 0) const {
    const auto it = pairs.find(key);
    return it == pairs.end() ? absent : std::stod(it->second);
  }
  int pick(const std::string& key, const std::vector<std::string>& names) const {
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

template <class Name>
int index_of(std::vector<std::string>& names, const Name& name) {
  for (std::size_t n = 0; n < names.size(); ++n)
    if (names[n] == name) return static_cast<int>(n);
  names.push_back(name);
  return static_cast<int>(names.size()) - 1;
}

const std::vector<std::string> kVerdicts{"completed", "error",      "not_taken", "timed_out", "no_connection",
                                         "broken",    "called_off", "not_sent",  "lacking",   "too_old"};
const std::vector<std::string> kNotes{"none",         "hit",           "filled",         "by_origin",
                                      "joined",       "old_copy",      "source_refused", "source_unreached",
                                      "source_lacks", "no_fill_place", "origin_failed"};

// ---- parsers ---------------------------------------------------------------------------------------------

// "\r", "\n" and "\xHH" in a script stand for those bytes.
std::string unescaped(const std::string& text) {
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

struct PrintedEvents final : net::DiscoveryEvents {
  std::string out;
  template <class... T>
  void say(const T&... parts) {
    std::ostringstream text;
    ((text << ' ' << parts), ...);
    out += text.str() + "\n";
  }
  void begin_initial_events(Seconds) override {}
  void end_initial_events() override {}
  void begin_endpoint_list(bool whole) override { say(whole ? "list" : "changes"); }
  void update_endpoint(std::string_view id, const Address& at, int location, int kind, int cell,
                       EndpointState state, double weight, Seconds started) override {
    say(" ", id, text_of(at), "location", location, "kind", kind, "cell", cell, "state",
        static_cast<int>(state), "weight", weight, "started", started);
  }
  void end_endpoint_list() override { say("end"); }
  void purged(std::string_view object, Seconds at) override { say("purged", object, at); }
  void purged_group(std::uint32_t group, Seconds at) override { say("purged group", group, at); }
};

// Feeds `bytes` in steps; what is taken is printed by `take`, which gives the bytes used.
template <class F>
std::string fed(const std::string& bytes, std::size_t step, F&& take) {
  std::string out, held;
  try {
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      held += bytes.substr(at, step);
      while (const auto used = take(held, out)) held.erase(0, used);
    }
    if (!held.empty()) out += " and " + std::to_string(held.size()) + " bytes of more\n";
  } catch (const InputError& e) {
    out += std::string(" malformed: ") + e.what() + "\n";
  }
  return out;
}

void play_bytes(const std::string& what, const std::string& bytes) {
  const auto at_step = [&](std::size_t step) {
    if (what == "resp")
      return fed(bytes, step, [](const std::string& held, std::string& out) {
        net::RespArray w;
        net::read_resp_array(held, 4, 100, w);
        for (const auto word : w.words)
          if (w.used > 0) out.append(" [").append(word).append("]");
        if (w.used > 0) out += "\n";
        return w.used;
      });
    PrintedEvents events;
    std::uint64_t last = 2;
    auto out = fed(bytes, step, [&](const std::string& held, std::string& text) {
      std::uint64_t seen = 0;
      const auto used = net::read_frame(held, last, events, seen);
      text += std::exchange(events.out, "");
      return used;
    });
    return out + " last " + std::to_string(last) + "\n";
  };
  const auto whole = at_step(bytes.size());
  std::printf("%s", whole.c_str());
  if (at_step(1) != whole) std::printf(" one byte at a time it differs:\n%s", at_step(1).c_str());
}

void play_config(const std::string& text) {
  try {
    const auto c = config::parse_platform_config(text);
    std::printf(" %s on %s, first class %s\n", c.name.c_str(), text_of(c.listen).c_str(),
                config::request_class_names(c.settings).front().name.c_str());
    PrintedEvents events;
    if (c.initial_events != "{}") config::replay_initial_events(c.initial_events, c.settings, events);
    std::printf("%s", events.out.c_str());
  } catch (const InputError& e) {
    std::printf(" malformed: %s\n", std::string(e.what()).substr(0, 140).c_str());
  }
}

// ---- the router over sockets -----------------------------------------------------------------------------

struct Conn {
  Fd fd;
  std::string held;
};

// Clients, cache servers and the bus are played by the script, in its order; all waits are for what must
// come.
class Stage {
 public:
  ~Stage() {
    if (router_ > 0) ::kill(router_, SIGKILL), ::waitpid(router_, nullptr, 0);
    if (!folder_.empty()) std::filesystem::remove_all(folder_);
  }
  bool play(const std::string& text) {
    std::istringstream in(text);
    std::vector<std::string> w;
    for (std::string word; in >> word;) w.push_back(word);
    const auto& what = w[0];
    if (what == "router") return start(w.size() > 1 ? text.substr(7) : ""), true;
    if (what == "client") return client_listener_[w[1]] = {connect_to(port_), ""}, true;
    if (what == "send") return send(client_listener_[w[1]], net_words({w.begin() + 2, w.end()})), true;
    if (what == "bytes")
      return send(client_listener_[w[1]], unescaped(text.substr(text.find(w[1]) + w[1].size() + 1))), true;
    if (what == "looks") return looks(w[1], w[2], w.size() > 3), true;
    if (what == "gets")
      return std::printf("%s gets %s\n", w[1].c_str(), next_of(client_listener_[w[1]]).c_str()), true;
    if (what == "sized") return sized(w[1]), true;
    if (what == "ends") return ends(w[1]), true;
    if (what == "crowd") return crowd(std::stoi(w[1])), true;
    if (what == "leaves") return client_listener_.erase(w[1]), true;
    if (what == "asked") return asked(w[1], w.size() > 2 && w[2] == "past"), true;
    if (what == "says") return says(w), true;
    if (what == "noise")
      return noise(servers_[w[1]], unescaped(text.substr(text.find(w[1]) + w[1].size() + 1))), true;
    if (what == "closes") return servers_[w[1]].conns.clear(), true;
    if (what == "refuses") return servers_[w[1]].conns.clear(), void(servers_[w[1]].fd = Fd()), true;
    if (what == "bus") return bus(w), true;
    if (what == "wait") return ::usleep(static_cast<useconds_t>(std::stod(w[1]) * 1e6)), true;
    if (what == "term") return ::kill(router_, SIGTERM), true;
    if (what == "kill") return ::kill(router_, SIGKILL), true;
    if (what == "reload") return reload(text.substr(6)), true;
    if (what == "exit") return exited(), true;
    if (what == "again") return spawn(), true;
    if (what == "learnt") return learnt(w.size() > 1 ? w[1] : ""), true;
    return false;
  }

 private:
  struct Server {
    Fd fd;
    int port = 0;
    std::vector<Conn> conns;
    std::size_t last = 0;                     // the connection of the last request
    std::string id;                           // and its id
    std::map<std::string, std::size_t> over;  // the connection of each id
  };

  static std::string net_words(const std::vector<std::string>& words) {
    auto text = "*" + std::to_string(words.size()) + "\r\n";
    for (const auto& w : words) text += net::resp_array_text({w == "-" ? "" : w}).substr(4);
    return text;
  }

  static Fd listen_at(int& port) {
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
      const int room = 16 * 1024;  // what a client does not read waits at the router, not here
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
      if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0) return fd;
    }
    fail("connect");
  }

  [[noreturn]] static void fail(const std::string& what) {
    std::printf("no %s\n", what.c_str());
    std::fflush(stdout);
    throw std::runtime_error("no " + what);
  }

  static void send(const Conn& c, const std::string& bytes) {
    if (::send(c.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) std::printf("not sent\n");
  }

  static bool readable(int fd, int ms) {
    pollfd p{fd, POLLIN, 0};
    return ::poll(&p, 1, ms) > 0;
  }

  // Takes a whole array off the connection; "closed" at its end.
  static std::string next_of(Conn& c, int ms = 10000) {
    for (;;) {
      net::RespArray words;
      net::read_resp_array(c.held, 8, 1 << 20, words);
      if (words.used > 0) {
        std::string text;
        for (const auto w : words.words) text.append(text.empty() ? "" : " ").append(w.empty() ? "-" : w);
        c.held.erase(0, words.used);
        return text;
      }
      if (!readable(c.fd.get(), ms)) return "nothing";
      char room[65536];
      const auto got = ::recv(c.fd.get(), room, sizeof room, 0);
      if (got <= 0) return "closed";
      c.held.append(room, static_cast<std::size_t>(got));
    }
  }

  // The next request that reaches a server, on whichever connection, less the values that vary. past: words
  // that hops were given up may come before it, where it is the kernel's buffers that decide on how many.
  void asked(const std::string& name, bool past) {
    auto& s = servers_[name];
    for (int n = 0; n < 5000; ++n, ::usleep(2000)) {
      if (readable(s.fd.get(), 0)) s.conns.push_back({Fd(::accept(s.fd.get(), nullptr, nullptr)), ""});
      for (s.last = 0; s.last < s.conns.size(); ++s.last) {
        auto text = next_of(s.conns[s.last], 0);
        if (text == "nothing" || text == "closed" || (past && text.starts_with("cancel "))) continue;
        s.id = text.substr(text.find(' ') + 1, 16);
        s.over[s.id] = s.last;
        for (const std::string varies : {"limit=", "maxage="})
          if (auto at = text.find(varies); at != std::string::npos) {
            at += varies.size();
            text.replace(at, text.find_first_of(", ", at) - at, "?");
          }
        for (const auto& [other, server] : servers_)
          for (auto at = text.find(server_id(other)); at != std::string::npos;
               at = text.find(server_id(other)))
            text.replace(at, 10, other);
        std::printf("%s is asked %s\n", name.c_str(), text.c_str());
        return;
      }
    }
    fail("request at " + name);
  }

  // To the last request, or to the one whose id is given.
  void says(const std::vector<std::string>& w) {
    auto& s = servers_[w[1]];
    const bool named = s.over.contains(w[2]);
    std::vector<std::string> words{named ? w[2] : s.id};
    for (auto n = w.begin() + 2 + named; n != w.end(); ++n)  // "LARGE" stands for the largest object
      words.push_back(*n == "LARGE" ? std::string(240'000, 'x') : *n);
    if (s.last >= s.conns.size()) fail("connection at " + w[1]);
    send(s.conns[named ? s.over[w[2]] : s.last], net_words(words));
  }

  static void noise(const Server& s, const std::string& bytes) { send(s.conns.at(s.last), bytes); }

  // looks TYPE NAME [tcp]: one query; prints the code and the records, members by their names.
  void looks(const std::string& type, const std::string& name, bool tcp) {
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
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) fail("lookups");
    if (tcp) query.insert(0, std::string(1, '\0') + static_cast<char>(query.size()));
    if (::send(fd.get(), query.data(), query.size(), 0) < 0 || !readable(fd.get(), 5000)) {
      std::printf("%s %s: nothing\n", type.c_str(), name.c_str());
      return;
    }
    char room[4096];
    const auto got = ::recv(fd.get(), room, sizeof room, 0);
    std::string_view reply(room, static_cast<std::size_t>(std::max<ssize_t>(0, got)));
    if (tcp) reply.remove_prefix(std::min<std::size_t>(2, reply.size()));
    auto text = described(reply);
    for (const auto& [other, server] : servers_)
      for (auto at = text.find(" " + std::to_string(server.port) + " "); at != std::string::npos;
           at = std::string::npos)
        text.replace(at + 1, std::to_string(server.port).size(), "PORT");
    for (const auto& [other, server] : servers_)
      for (auto at = text.find(server_id(other)); at != std::string::npos; at = text.find(server_id(other)))
        text.replace(at, 10, other);
    std::printf("%s %s: %s\n", type.c_str(), name.c_str(), text.c_str());
  }

  static std::string described(std::string_view reply) {
    ldns_pkt* packet = nullptr;
    if (ldns_wire2pkt(&packet, reinterpret_cast<const std::uint8_t*>(reply.data()), reply.size()) !=
        LDNS_STATUS_OK)
      return "no message";
    std::string text = "code " + std::to_string(ldns_pkt_get_rcode(packet)) +
                       (ldns_pkt_tc(packet) ? " cut" : "") + (ldns_pkt_aa(packet) ? "" : " not its own");
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

  // The next answer, with its body's size in place of the body.
  void sized(const std::string& name) {
    const auto got = next_of(client_listener_[name]);
    std::printf("%s gets %s and %zu bytes\n", name.c_str(), got.substr(0, got.rfind(' ')).c_str(),
                got.size() - std::min(got.size(), got.rfind(' ') + 1));
  }

  // Reads all that a client was sent, up to the close.
  void ends(const std::string& name) {
    std::string got = "nothing";
    while ((got = next_of(client_listener_[name], 1000)) != "closed" && got != "nothing") {
    }
    std::printf("%s ends with %s\n", name.c_str(), got.c_str());
  }

  // Clients that ask once and stay, one after the other.
  void crowd(int size) {
    for (int n = 0; n < size; ++n) {
      auto& c = client_listener_["of the crowd " + std::to_string(n)] = {connect_to(port_), ""};
      send(c, net_words({"ALIVE", "1"}));
      if (const auto got = next_of(c); got != "1 READY")
        std::printf("%d of the crowd gets %s\n", n, got.c_str());
    }
  }

  static std::string server_id(const std::string& name) {
    return "s-000000" + std::string(name == "c1" ? "c1" : name == "c2" ? "c2" : name == "par" ? "aa" : "0f");
  }

  // bus up | down | counts N | takes | drains NAME | purges OBJECT | bytes ...
  void bus(const std::vector<std::string>& w) {
    if (w[1] == "up") {
      if (!readable(bus_.fd.get(), 10000)) fail("router at the bus");
      bus_.conns.clear();
      bus_.conns.push_back({Fd(::accept(bus_.fd.get(), nullptr, nullptr)), ""});
      char hello[8];
      if (::recv(bus_.conns[0].fd.get(), hello, 8, MSG_WAITALL) != 8) fail("hello");
      std::printf("bus is asked from event %d\n", hello[7]);
    } else if (w[1] == "down") {
      bus_.conns.clear();
    } else if (w[1] == "counts") {  // the last number; the next event has the one after it
      event_ = std::stoi(w[2]);
    } else if (w[1] == "drains") {
      auto& s = servers_[w[2]];
      const auto id = std::stoul(server_id(w[2]).substr(2), nullptr, 16);
      frame(2, endpoint_record(id, s.port, AnnouncedState::draining, 1, 0));
    } else if (w[1] == "purges") {
      const auto now = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
      frame(3,
            big_endian(std::stoull(w[2], nullptr, 16), 8) + big_endian(static_cast<std::uint64_t>(now), 8));
    } else {
      send(bus_.conns[0], unescaped(w[2]));
    }
  }
  void frame(int kind, const std::string& payload) {
    send(bus_.conns[0], discovery_frame(static_cast<std::uint64_t>(++event_), kind, payload));
  }

  std::string listed(const std::string& name, const char* where, const char* kind) {
    auto& s = servers_[name];
    s.fd = listen_at(s.port);
    return member_text(server_id(name), s.port, where, kind);
  }

  // router [dns|learnt] CACHE ...: with an operator's file that switches lookups, or what is learnt, on
  void start(std::string caches) {
    const bool with_dns = caches.find("dns") != std::string::npos;
    if (with_dns) caches.erase(0, caches.find("dns") + 3);
    const bool with_learnt = caches.find("learnt") != std::string::npos;
    if (with_learnt) caches.erase(0, caches.find("learnt") + 6);
    std::string list, names = caches.empty() ? "c1" : caches;
    std::istringstream in(names);
    for (std::string name; in >> name;) list += listed(name, "edge", "cache") + ",";
    list += listed("par", "hub", "parent") + "," + listed("origin", "hub", "origin");
    bus_.fd = listen_at(bus_.port);
    port_ = ports_.take();
    config_ = config_text("n0", port_, bus_.port, list,
                          with_dns ? R"({"sockets":80,"memory_mb":8})" : R"({"sockets":40,"memory_mb":3})");
    folder_ = std::filesystem::temp_directory_path() / ("walkpaddle-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder_);
    std::ofstream(folder_ / "config.json") << config_;
    dns_port_ = ports_.take();
    if (with_dns)
      std::ofstream(folder_ / "walkpaddle.conf")
          << "dns {\n listen = \"127.0.0.1:" << dns_port_
          << "\"\n zone = \"z.example\"\n server = \"ns.z.example\"\n}\n";
    if (with_learnt)
      std::ofstream(folder_ / "walkpaddle.conf")
          << "learnt { file = \"" << (folder_ / "learnt.json").string() << "\" }\n";
    with_file_ = with_dns || with_learnt, log_kept_ = with_learnt;
    spawn();
  }

  void spawn() {
    std::filesystem::remove(folder_ / "log");
    router_ = ::fork();
    if (router_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that ends midway leaves no router to other tests
      ::setenv("LB_CONFIG", (folder_ / "config.json").c_str(), 1);
      if (with_file_) ::setenv("WALKPADDLE_FILE", (folder_ / "walkpaddle.conf").c_str(), 1);
      if (log_kept_ && std::freopen((folder_ / "log").c_str(), "w", stderr) == nullptr) ::_exit(127);
      ::unsetenv("LB_LISTEN");
      const auto* program = std::getenv("WALKPADDLE");
      ::execl(program, program, nullptr);
      ::_exit(127);
    }
  }

  // learnt: the last log line on it, waited for, less what varies; learnt torn|newer|foreign|changed: to its
  // file
  void learnt(const std::string& what) {
    const auto path = folder_ / "learnt.json";
    if (what.empty()) {
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
      fail("line on what is learnt");
    }
    std::ifstream in(path);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto put = [&](const std::string& from, const std::string& to) {
      if (const auto at = text.find(from); at != std::string::npos) text.replace(at, from.size(), to);
    };
    if (what == "torn") text.resize(text.size() / 2);
    if (what == "newer") put("\"version\": 1", "\"version\": 2");
    if (what == "changed") put("\"answers\": ", "\"answers\": 9");
    if (what == "foreign") text = "hello";
    std::ofstream(path) << text;
  }

  // The bus opens at another address; the file names it, or holds what is given instead. "torn": half of the
  // file that names it, "whole": the other half, without a word to the router.
  void reload(std::string instead) {
    const bool whole = instead == " whole", torn = instead == " torn";
    if (whole) return void(std::ofstream(folder_ / "config.json") << config_);
    if (torn) instead.clear();
    if (instead.empty()) {
      old_bus_ = std::exchange(bus_, {});
      bus_.fd = listen_at(bus_.port);
      const auto from = "\"bus\":\"127.0.0.1:" + std::to_string(old_bus_.port);
      const auto at = config_.find(from);
      config_.replace(at, from.size(), "\"bus\":\"127.0.0.1:" + std::to_string(bus_.port));
    }
    if (torn) instead = config_.substr(0, config_.size() / 2);
    std::ofstream(folder_ / "config.json") << (instead.empty() ? config_ : instead);
    ::kill(router_, SIGHUP);
  }

  void exited() {
    int status = 0;
    ::waitpid(std::exchange(router_, -1), &status, 0);
    std::printf("router exits with %d\n", WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
  }

  pid_t router_ = -1;
  fakes::Ports ports_;
  int port_ = 0, dns_port_ = 0, event_ = 1;
  bool with_file_ = false, log_kept_ = false;
  std::filesystem::path folder_;
  std::map<std::string, Conn> client_listener_;
  std::map<std::string, Server> servers_;
  Server bus_, old_bus_;
  std::string config_;
};

}  // namespace

int main() try {
  const auto owned = make_routing_policy(7);
  auto& brain = *owned;
  Seconds now = 1000;
  std::set<Seconds> wakes;
  std::vector<std::string> members, txns;
  const auto pull = [&] {
    while (const auto d = brain.next()) {
      using Kind = Decision::Kind;
      if (d->kind == Kind::wake_up) {
        wakes.insert(d->time);
        continue;
      }
      std::printf("%8.3f ", now - 1000);
      const auto* txn = d->request < 0 ? "" : txns[d->request].c_str();
      if (d->kind == Kind::forward) {
        std::printf("%s to %s from %s rank %d", txn, members[d->endpoint].c_str(), members[d->source].c_str(),
                    d->retention_rank);
        if (d->max_age > 0) std::printf(" age %.3f", d->max_age);
        if (d->time > 0) std::printf(" for %.3f", d->time);
        if (d->start_by > 0) std::printf(" by %.3f", d->start_by - 1000);
        if (d->cached_only) std::printf(" held only");
        if (d->join_fill) std::printf(" join");
      } else if (d->kind == Kind::cancel) {
        std::printf("%s call off hop %d", txn, d->attempt);
      } else if (d->kind == Kind::reject) {
        std::printf("%s rejected, pause %.3f", txn, d->time);
      } else if (d->kind == Kind::fail) {
        std::printf("%s aborted", txn);
      } else {
        std::printf("subscribe");
      }
      std::printf("\n");
    }
  };
  const auto list = [&](const Line& l, int kind) {
    for (std::size_t n = 1; n < l.words.size(); ++n)
      brain.update_endpoint(index_of(members, l.words[n]), hash_of(l.words[n]), static_cast<int>(l.num("at")),
                            kind, 0,
                            static_cast<EndpointState>(l.pick("is", {"gone", "ready", "draining"}) +
                                                       (l.pairs.count("is") ? 0 : 1)),
                            l.num("weight", 1), l.pairs.count("age") ? now - l.num("age") : 0);
  };
  purge::PurgeIndex purge_index({.max_age = 7, .entries_per_kind = 4096, .objects = 4});
  std::vector<std::pair<std::uint64_t, std::uint32_t>> about;  // object and group, by txn
  const auto tell_purges = [&] {
    for (std::size_t n = 0; n < about.size(); ++n)
      brain.set_valid_since(static_cast<int>(n),
                            purge_index.valid_since(about[n].first, about[n].second, {}, now));
  };
  const auto taken = [&](int txn, std::uint64_t object, const Line& l) {
    const auto group = static_cast<std::uint32_t>(l.num("group"));
    brain.request_received(txn, static_cast<int>(l.num("rule")), object, static_cast<int>(l.num("part")),
                           group, l.num("kb"), now + l.num("for", 5), l.num("repeat") > 0);
    if (l.pairs.count("stands")) brain.set_represented_requests(txn, l.num("flight", 1), l.num("stands"));
    about.resize(std::max(about.size(), static_cast<std::size_t>(txn) + 1));
    about[static_cast<std::size_t>(txn)] = {object, group};
  };
  Stage stage;
  brain.clock(now);
  for (std::string text; std::getline(std::cin, text);) {
    const Line l(text);
    if (l.words.empty()) continue;
    const auto& what = l.words[0];
    if (what == "#") {
      std::printf("%s\n", text.c_str());
    } else if (what == "told") {
      const auto told = net::parse_answer_report(text.substr(5));
      std::printf(" waited %.3f, busy %.2f\n", told.fill_wait, told.load);
      continue;
    } else if (what == "resp" || what == "frames") {
      play_bytes(what, unescaped(text.substr(what.size() + 1)));
      continue;
    } else if (what == "config") {
      play_config(text.substr(7));
      continue;
    } else if (stage.play(text)) {
      std::fflush(stdout);
      continue;
    } else if (what == "setup") {
      brain.set_placement({0, static_cast<int>(l.num("seats", 1)), static_cast<int>(l.num("routers", 2))});
      brain.set_roles({8, 9, l.num("direct", 1) > 0});
      brain.set_retries({static_cast<int>(l.num("hops", 6)), l.num("calloff", 1) > 0});
      brain.set_fills({static_cast<SiblingFills>(l.pick("siblings", {"none", "location", "any"})),
                       l.num("join", 1) > 0, l.num("notes", 1) > 0 ? FillReporting::all : FillReporting::none,
                       1000});
      brain.set_slow_start({0.2, l.num("multiple", 2), 16, 2}, {0.08, 2, 20, 2});
      brain.set_weights_are_transfers(l.num("weights") > 0);
      brain.set_client_settings({l.num("marks", 1) > 0, 0.5});
    } else if (what == "rule") {
      RequestClass r;
      r.idempotency = static_cast<Idempotency>(l.pick("effect", {"repeatable", "keyed", "unrepeatable"}));
      r.deduplication = static_cast<DeduplicationScope>(l.pick("group", {"all", "location", "cell"}));
      r.deduplication_window = l.num("window", 5);
      r.latency_objective = l.num("sla", 0.4);
      r.latency_objective_stretch = l.num("stretch", 2);
      r.deadline = l.num("limit", 5);
      r.max_age = l.num("fresh");
      r.priority = l.num("importance", 1);
      r.uncacheable = l.num("uncacheable") > 0;
      r.in_parts = l.num("parts") > 0;
      brain.add_request_class(r);
    } else if (what == "cache" || what == "par" || what == "origin") {
      brain.begin_endpoint_list(false);
      list(l, what == "cache" ? 1 : what == "par" ? 8 : 9);
      brain.end_endpoint_list();
    } else if (what == "at") {
      const Seconds until = 1000 + std::stod(l.words[1]);
      while (!wakes.empty() && *wakes.begin() <= until) {
        now = *wakes.begin();
        wakes.erase(wakes.begin());
        brain.clock(now);
        brain.timer_fired();
        pull();
      }
      brain.clock(now = until);
    } else if (what == "txn") {
      for (std::size_t n = 1; n < l.words.size(); ++n)
        taken(index_of(txns, l.words[n]), hash_of(l.pairs.count("object") ? l.pairs.at("object") : "a"), l);
    } else if (what == "ended") {
      const auto verdict = static_cast<AttemptOutcome>(l.pick("as", kVerdicts));
      brain.attempt_ended(index_of(txns, l.words[1]), static_cast<int>(l.num("hop")), verdict,
                          static_cast<FillOutcome>(l.pick("note", kNotes)), l.num("took", 0.1),
                          l.num("waited"), l.num("sending"),
                          l.num("over", verdict == AttemptOutcome::served) > 0);
    } else if (what == "busy") {
      brain.load_reported(index_of(members, l.words[1]), l.num("load"));
    } else if (what == "left") {
      brain.client_left(index_of(txns, l.words[1]));
    } else if (what == "purge") {
      purge_index.add_object(hash_of(l.words[1]), now - l.num("ago"));
    } else if (what == "purge-group") {
      purge_index.add_group(static_cast<std::uint32_t>(std::stoul(l.words[1])), now - l.num("ago"));
    } else if (what == "within") {
      brain.set_max_copy_age(l.num("age"));
    } else {
      std::cerr << "what is '" << what << "'?\n";
      return 1;
    }
    tell_purges();
    pull();
  }
} catch (const std::exception&) {
  return 1;  // what was missing is in the trace
}
