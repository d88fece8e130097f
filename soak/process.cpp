#include "soak/process.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <vector>

#include "base/error.h"

namespace walkpaddle::soak {

namespace {

// The platform kills so long after SIGTERM at the earliest, after the longest deadline, which counts as
// kMaxCountedDeadline at most. Requests that come later than kKillAfter after SIGTERM must have their answer.
constexpr Seconds kMaxCountedDeadline = 3, kKillAfter = 0.7;
constexpr Seconds kReadyWithin = 10;

}  // namespace

Process::Process(Oracle& oracle, Setup setup) : oracle_(oracle), setup_(std::move(setup)) {
  std::filesystem::create_directories(setup_.folder);
  const int fd = ::open((setup_.folder + "/faults").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (fd < 0 || ::ftruncate(fd, sizeof(FaultControl)) != 0) throw SystemError("fault control", errno);
  void* page = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (page == MAP_FAILED) throw SystemError("fault control", errno);
  control_ = static_cast<FaultControl*>(page);
}

Process::~Process() {
  if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
  ::munmap(control_, sizeof(FaultControl));
}

void Process::configure(const std::string& config) {
  const auto path = setup_.folder + "/config.json";
  std::ofstream(path + ".new") << config;
  std::filesystem::rename(path + ".new", path);
}

void Process::start(const std::string& config) {
  configure(config);
  std::vector<std::string> environment;
  for (char** variable = environ; *variable != nullptr; ++variable)
    if (const std::string_view v = *variable; !v.starts_with("LB_") && !v.starts_with("LD_PRELOAD="))
      environment.emplace_back(v);
  environment.push_back("LB_CONFIG=" + setup_.folder + "/config.json");
  environment.push_back("LD_PRELOAD=" + setup_.shim);
  environment.push_back(fmt::format("{}={}/faults", kFaultControlVariable, setup_.folder));
  std::vector<char*> env;
  env.reserve(environment.size() + 1);
  for (auto& variable : environment) env.push_back(variable.data());
  env.push_back(nullptr);
  const char* args[] = {setup_.program.c_str(), nullptr};
  const auto log = log_path();
  ++starts_;
  started_at_ = unix_now(), phase_ = Phase::starting, killed_ = false, suspended_time_ = 0, suspended_at_ = 0;
  pid_ = ::fork();
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, 1), ::dup2(out, 2);
  ::execve(setup_.program.c_str(), const_cast<char* const*>(args), env.data());
  ::_exit(127);
}

void Process::set_ready() {
  if (phase_ != Phase::starting) return;
  phase_ = Phase::serving;
  if (unix_now() > started_at_ + kReadyWithin)
    oracle_.report_violation(Invariant::stays_up, number(), 0,
                             fmt::format("ready {:.1f} s after its start", unix_now() - started_at_));
}

void Process::terminate(int signal) {
  if (is_terminating()) ::kill(pid_, signal);  // a repeated shutdown signal
  if (phase_ != Phase::serving) return;
  resume();
  terminated_at_ = unix_now(), phase_ = Phase::ending;
  ::kill(pid_, signal);
}

// The time in which the process was stopped, and that by which a busy machine is late, as the soak's own lag
// shows, delay the kill.
Seconds Process::kill_at() const {
  const Seconds suspended = suspended_time_ + (suspended_at_ > 0 ? unix_now() - suspended_at_ : 0);
  return terminated_at_ + std::min(setup_.longest_deadline, kMaxCountedDeadline) + kKillAfter + suspended +
         oracle_.recent_lag();
}

bool Process::excuses(Seconds sent_at) const {
  if (killed_at_ > sent_at) return true;
  return platform_killed_at_ > sent_at && sent_at < terminated_at_ + kKillAfter;
}

void Process::kill() {
  if (phase_ != Phase::serving) return;
  killed_ = true, phase_ = Phase::ending, terminated_at_ = 0, killed_at_ = unix_now();
  ::kill(pid_, SIGKILL);
}

void Process::request_reload() {
  if (phase_ == Phase::serving || phase_ == Phase::ending) ::kill(pid_, SIGHUP);
}

void Process::suspend() {
  if (pid_ <= 0 || suspended_at_ > 0) return;
  suspended_at_ = unix_now();
  ::kill(pid_, SIGSTOP);
}

void Process::resume() {
  if (suspended_at_ <= 0) return;
  if (pid_ > 0) ::kill(pid_, SIGCONT);
  oracle_.record_stall(number(), suspended_at_, unix_now());
  suspended_time_ += unix_now() - suspended_at_;
  suspended_at_ = 0;
}

bool Process::poll_exit() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) {
    if (is_terminating() && unix_now() > kill_at()) {
      platform_killed_at_ = unix_now();
      oracle_.report_violation(
          Invariant::ends_in_time, number(), 0,
          fmt::format("still running {:.1f} s after SIGTERM", unix_now() - terminated_at_));
      killed_ = true;
      ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    } else {
      return false;
    }
  } else if (!killed_ && !(WIFEXITED(status) && WEXITSTATUS(status) == 0 && phase_ == Phase::ending)) {
    const auto how = WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                                         : fmt::format("exit code {}", WEXITSTATUS(status));
    oracle_.report_violation(Invariant::stays_up, number(), 0,
                             fmt::format("process ended unexpectedly: {}", how));
  }
  pid_ = -1, phase_ = Phase::down, ended_at_ = unix_now();
  return true;
}

void Process::check_limits() {
  if (pid_ <= 0 || phase_ != Phase::serving) return;
  int open = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid_), error))
    open += !entry.path().empty();
  if (open > setup_.max_descriptors)
    oracle_.report_violation(Invariant::stays_up, number(), 0,
                             fmt::format("{} open files, limit {}", open, setup_.max_descriptors));
  if (const double mb = memory_mb(); mb > setup_.max_memory_mb)
    oracle_.report_violation(Invariant::stays_up, number(), 0,
                             fmt::format("{:.0f} MB of memory, limit {:.0f} MB", mb, setup_.max_memory_mb));
}

double Process::memory_mb() const {
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

double Process::cpu_seconds() const {
  constexpr int kUserField = 14, kSystemField = 15;  // proc(5)
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  double ticks = 0;
  std::string value;
  for (int field = 1; field <= kSystemField && stat >> value; ++field)
    if (field >= kUserField) ticks += std::stod(value);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

bool Process::accepts_connections() const {
  constexpr Seconds kNewConnections = 0.3;
  return phase_ == Phase::serving || (is_terminating() && unix_now() < terminated_at_ + kNewConnections);
}

}  // namespace walkpaddle::soak
