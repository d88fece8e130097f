// Stand-ins for the cases of the review: cache servers, discovery, clients, and routers started as processes.
// They speak the platform's protocol on loopback sockets, with the standard library only and a thread for
// each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Words = std::vector<std::string>;

// ---- time and the record --------------------------------------------------------------------------------

// Unix time in seconds.
inline double now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void pause(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::string format(const char* text, ...) {
  char buffer[2048];
  va_list arguments;
  va_start(arguments, text);
  std::vsnprintf(buffer, sizeof buffer, text, arguments);
  va_end(arguments);
  return buffer;
}

// The file record.txt: lines with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), began_(now()) {}
  void operator()(const std::string& line) {
    const std::lock_guard lock(mutex_);
    out_ << format("%9.3f ", now() - began_) << line << std::endl;
  }
  double since_start(double time) const { return time - began_; }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const double began_;
};

// Runs functions at their time, on a thread of its own.
class Timer {
 public:
  Timer() {
    std::thread([this] { run(); }).detach();
  }
  void at(double time, std::function<void()> call) {
    const std::lock_guard lock(mutex_);
    due_.emplace(time, std::move(call));
  }

 private:
  void run() {
    for (;;) {
      std::vector<std::function<void()>> calls;
      {
        const std::lock_guard lock(mutex_);
        while (!due_.empty() && due_.begin()->first <= now()) {
          calls.push_back(std::move(due_.begin()->second));
          due_.erase(due_.begin());
        }
      }
      for (auto& call : calls) call();
      pause(0.001);
    }
  }
  std::mutex mutex_;
  std::multimap<double, std::function<void()>> due_;
};

inline Timer& timer() {
  static auto* const one = new Timer;
  return *one;
}

// ---- sockets --------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}

inline int port_of(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

// A listening socket on a free port.
inline int listen_anywhere() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto a = loopback(0);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return fd;
}

// A port that was free for TCP and UDP just now, below the range from which outgoing connections take theirs.
inline int free_port() {
  static std::atomic<int> next{20000 + ::getpid() % 8000};
  for (int tries = 0; tries < 10000; ++tries) {
    const int port = 20000 + next++ % 12000;
    const auto a = loopback(port);
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool free = ::bind(tcp, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0 &&
                      ::bind(udp, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
    ::close(tcp), ::close(udp);
    if (free) return port;
  }
  std::_Exit(2);
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto a = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// ---- RESP arrays of bulk strings ------------------------------------------------------------------------

inline std::string resp(const Words& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& word : words) text += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return text;
}

// The fields of "name=value,name=value"; "-" is the empty list.
inline std::map<std::string, std::string> fields_of(const std::string& text) {
  std::map<std::string, std::string> fields;
  std::stringstream in(text == "-" ? "" : text);
  for (std::string one; std::getline(in, one, ',');) {
    const auto at = one.find('=');
    if (at != std::string::npos) fields[one.substr(0, at)] = one.substr(at + 1);
  }
  return fields;
}

enum class Came { message, nothing, end };

// Reads whole arrays from a socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Waits until `until` for the next array.
  Came next(Words& words, double until) {
    for (;;) {
      if (take(words)) return Came::message;
      if (unreadable_) return Came::end;
      const double left = until - now();
      if (left <= 0) return Came::nothing;
      pollfd p{fd_, POLLIN, 0};
      const int wait_ms = static_cast<int>(std::min(left, 1.0) * 1e3) + 1;
      if (::poll(&p, 1, wait_ms) <= 0) continue;
      char buffer[65536];
      const auto got = ::recv(fd_, buffer, sizeof buffer, 0);
      if (got < 0 && errno == EINTR) continue;
      if (got <= 0) return Came::end;
      in_.append(buffer, static_cast<std::size_t>(got));
    }
  }

 private:
  bool line(std::size_t& at, char mark, long& number) const {
    const auto end = in_.find("\r\n", at);
    if (end == std::string::npos) return false;
    if (in_[at] != mark) unreadable_ = true;
    number = std::atol(in_.substr(at + 1, end - at - 1).c_str());
    at = end + 2;
    return !unreadable_;
  }
  bool take(Words& words) {
    std::size_t at = 0;
    long count = 0;
    if (in_.empty() || !line(at, '*', count)) return false;
    words.clear();
    for (long n = 0; n < count; ++n) {
      long length = 0;
      if (at >= in_.size() || !line(at, '$', length)) return false;
      if (in_.size() < at + static_cast<std::size_t>(length) + 2) return false;
      words.push_back(in_.substr(at, static_cast<std::size_t>(length)));
      at += static_cast<std::size_t>(length) + 2;
    }
    in_.erase(0, at);
    return true;
  }
  const int fd_;
  std::string in_;
  mutable bool unreadable_ = false;
};

// ---- cache servers, parents, origins --------------------------------------------------------------------

// One connection of a router to a server.
struct Link {
  explicit Link(int socket) : fd(socket) {}
  ~Link() { ::close(fd); }
  // Sends an answer, unless the attempt was given up.
  void answer(const Words& words) { answer_raw(words[0], resp(words)); }
  void answer_raw(const std::string& id, const std::string& bytes) {
    const std::lock_guard lock(mutex);
    if (open.erase(id) > 0) send_all(fd, bytes);
  }
  void send(const Words& words) {
    const std::lock_guard lock(mutex);
    send_all(fd, resp(words));
  }
  const int fd;
  std::mutex mutex;
  std::set<std::string> open;  // attempts that are out, by id
};

struct Attempt {
  std::string id;
  std::map<std::string, std::string> fields;
  std::string body;
};

// A server of the protocol page. `serve` is called with each attempt that has come whole, and answers it at
// once or later by the link; `command` with each other message.
class Server {
 public:
  using Serve = std::function<void(const std::shared_ptr<Link>&, const Attempt&)>;
  using Command = std::function<void(const std::shared_ptr<Link>&, const Words&)>;
  Server(std::string its_id, Serve serve, Command command = {})
      : id(std::move(its_id)),
        serve_(std::move(serve)),
        command_(std::move(command)),
        listener_(listen_anywhere()) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_of(listener_); }
  const std::string id;

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { run(std::make_shared<Link>(fd)); }).detach();
    }
  }
  void run(const std::shared_ptr<Link>& link) {
    Reader reader(link->fd);
    Words words;
    while (reader.next(words, now() + 1e6) == Came::message) {
      if (words.size() >= 3 && words[0] == "serve") {
        {
          const std::lock_guard lock(link->mutex);
          link->open.insert(words[1]);
        }
        serve_(link, {words[1], fields_of(words[2]), words.size() > 3 ? words[3] : ""});
      } else if (words.size() >= 2 && words[0] == "cancel") {
        const std::lock_guard lock(link->mutex);
        link->open.erase(words[1]);
      } else if (words.size() >= 2 && (words[0] == "health" || words[0] == "gauges")) {
        link->send({words[1], "green"});
      } else if (command_) {
        command_(link, words);
      }
    }
    const std::lock_guard lock(link->mutex);
    link->open.clear();
    ::shutdown(link->fd, SHUT_RDWR);
  }
  const Serve serve_;
  const Command command_;
  const int listener_;
};

// ---- discovery ------------------------------------------------------------------------------------------

inline std::string big_endian(std::uint64_t value, int bytes) {
  std::string text;
  for (int n = bytes - 1; n >= 0; --n) text += static_cast<char>(value >> (8 * n) & 255);
  return text;
}

// One entry of the endpoint list. State: 0 ready, 1 draining, 2 gone.
struct Member {
  std::uint32_t id = 0;
  int port = 0;
  int state = 0;
  int zone = 0;
  int kind = 0;
  std::string text_id() const { return format("s-%08x", id); }
  std::string record() const {
    return big_endian(id, 4) + big_endian(INADDR_LOOPBACK, 4) + big_endian(static_cast<unsigned>(port), 2) +
           big_endian(static_cast<unsigned>(state), 1) + big_endian(static_cast<unsigned>(zone), 1) +
           big_endian(static_cast<unsigned>(kind), 1) + big_endian(0, 2) + big_endian(1000, 4) +
           big_endian(0, 8);
  }
  std::string json(const Words& zones, const Words& kinds) const {
    static const char* const kStates[] = {"ready", "draining", "gone"};
    return format(
        R"({"id":"%s","host_port":"127.0.0.1:%d","locality":"%s","flavor":"%s","cell":0,"phase":"%s","size":1,)"
        R"("up_since_ms":0})",
        text_id().c_str(), port, zones[static_cast<std::size_t>(zone)].c_str(),
        kinds[static_cast<std::size_t>(kind)].c_str(), kStates[state]);
  }
};

// The event bus. Event 1 is the list in the configuration; later ones are told here, with an empty frame each
// second.
class Bus {
 public:
  // `bytes_per_s`: what each connection is sent at most, 0 for no limit.
  explicit Bus(double bytes_per_s = 0) : rate_(bytes_per_s), listener_(listen_anywhere()) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_of(listener_); }
  void set_rate(double bytes_per_s) { rate_ = bytes_per_s; }
  void tell_changes(const std::vector<Member>& members) {
    std::string payload;
    for (const auto& member : members) payload += member.record();
    add(2, payload);
  }
  void tell_group_purge(unsigned group, double at) {
    add(4, big_endian(group, 2) + big_endian(static_cast<std::uint64_t>(at * 1e3), 8));
  }
  int connections() const { return connections_; }
  // Events that were written whole on some connection.
  std::uint64_t told() const { return told_; }

 private:
  void add(unsigned kind, const std::string& payload) {
    const std::lock_guard lock(mutex_);
    events_.push_back(frame(events_.size() + 2, kind, payload));
  }
  static std::string frame(std::uint64_t number, unsigned kind, const std::string& payload) {
    return big_endian(9 + payload.size(), 4) + big_endian(number, 8) + big_endian(kind, 1) + payload;
  }
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++connections_;
      std::thread([this, fd] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }
  // Sends in pieces, so that the rate holds within a tenth of a second.
  bool send_slowly(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
      const double rate = rate_;
      const auto piece =
          rate > 0 ? std::max<std::size_t>(1, static_cast<std::size_t>(rate / 10)) : bytes.size();
      const auto now_sent = bytes.substr(0, std::min(piece, bytes.size()));
      if (!send_all(fd, now_sent)) return false;
      bytes.remove_prefix(now_sent.size());
      if (rate > 0) pause(static_cast<double>(now_sent.size()) / rate);
    }
    return true;
  }
  void serve(int fd) {
    unsigned char hello[8];
    if (::recv(fd, hello, sizeof hello, MSG_WAITALL) != sizeof hello) return;
    std::uint64_t last = 0;
    for (const auto byte : hello) last = last << 8 | byte;
    double empty_at = now();
    for (;;) {
      std::string next;
      {
        const std::lock_guard lock(mutex_);
        if (last < events_.size() + 1) next = events_[last - 1];
      }
      if (!next.empty()) {
        if (!send_slowly(fd, next)) return;
        ++last;
        if (last > told_) told_ = last;
        empty_at = now() + 1;
        continue;
      }
      if (now() >= empty_at) {
        if (!send_all(fd, frame(last, 0, ""))) return;
        empty_at = now() + 1;
      }
      char byte = 0;
      if (::recv(fd, &byte, 1, MSG_DONTWAIT) == 0) return;
      pause(0.002);
    }
  }
  std::atomic<double> rate_;
  const int listener_;
  std::atomic<int> connections_{0};
  std::atomic<std::uint64_t> told_{1};
  std::mutex mutex_;
  std::vector<std::string> events_;
};

// ---- routers --------------------------------------------------------------------------------------------

// A router as a process, started with the deploy file's `run` from the project's root.
class Router {
 public:
  // `operator_file` may be empty.
  Router(std::string its_name, std::string config, std::string operator_file, std::string log)
      : name(std::move(its_name)),
        config_(std::move(config)),
        operator_file_(std::move(operator_file)),
        log_(std::move(log)) {}
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  ~Router() { end(SIGKILL); }

  void start(int port) {
    Words variables;
    for (char** variable = environ; *variable != nullptr; ++variable)
      if (std::strncmp(*variable, "LB_", 3) != 0 && std::strncmp(*variable, "WALKPADDLE_", 11) != 0)
        variables.emplace_back(*variable);
    variables.push_back("LB_NAME=" + name);
    variables.push_back("LB_LISTEN=127.0.0.1:" + std::to_string(port));
    variables.push_back("LB_CONFIG=" + config_);
    if (!operator_file_.empty()) variables.push_back("WALKPADDLE_FILE=" + operator_file_);
    std::vector<char*> environment;
    for (auto& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    const char* const arguments[] = {"/bin/sh", "-c", "exec build/walkpaddle", nullptr};
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1), ::dup2(out, 2);
    ::execve("/bin/sh", const_cast<char* const*>(arguments), environment.data());
    ::_exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Sends the signal and waits for the end of the process.
  int end(int number) {
    if (pid_ <= 0) return 0;
    ::kill(pid_, number);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
  }
  // Whether the process has ended by itself; `why` then says how.
  bool has_ended(std::string& why) {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    why = WIFSIGNALED(status)
              ? format("killed by signal %d (%s)", WTERMSIG(status), strsignal(WTERMSIG(status)))
              : format("exit code %d", WEXITSTATUS(status));
    pid_ = -1;
    return true;
  }
  std::string log() const {
    std::ifstream in(log_);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  const std::string name;

 private:
  const std::string config_;
  const std::string operator_file_;
  const std::string log_;
  pid_t pid_ = -1;
};

// Waits until a router answers ALIVE with READY.
inline bool wait_ready(int port, double seconds) {
  for (const double until = now() + seconds; now() < until; pause(0.05)) {
    const int fd = connect_to(port);
    if (fd < 0) continue;
    Words words;
    send_all(fd, resp({"ALIVE", "1"}));
    Reader reader(fd);
    const bool ready =
        reader.next(words, now() + 1) == Came::message && words.size() > 1 && words[1] == "READY";
    ::close(fd);
    if (ready) return true;
  }
  return false;
}

// ---- a run ----------------------------------------------------------------------------------------------

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "walkpaddle-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) std::_Exit(2);
    path_ = name;
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

inline void write_file(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

// To be called first: the run ends with the script that started it, and after 115 s at the latest. The
// routers end with the run (Router::start).
inline void begin_run() {
  ::signal(SIGPIPE, SIG_IGN);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::alarm(115);
}

// Whether the run is to include its disruption.
inline bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
