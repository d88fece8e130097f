#include "soak/process.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <vector>

#include "base/error.h"

namespace walkpaddle::soak {

namespace {

constexpr Seconds kLongestLimit = 3, kKill = 0.7;  // the platform kills so long after SIGTERM
constexpr Seconds kBusy = 0.5;                     // what a busy machine may take on top
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

void Process::begin(const std::string& config) {
  configure(config);
  std::vector<std::string> words;
  for (char** word = environ; *word != nullptr; ++word)
    if (const std::string_view w = *word; !w.starts_with("LB_") && !w.starts_with("LD_PRELOAD="))
      words.emplace_back(w);
  words.push_back("LB_CONFIG=" + setup_.folder + "/config.json");
  words.push_back("LD_PRELOAD=" + setup_.shim);
  words.push_back(fmt::format("{}={}/faults", kFaultControl, setup_.folder));
  std::vector<char*> env;
  env.reserve(words.size() + 1);
  for (auto& w : words) env.push_back(w.data());
  env.push_back(nullptr);
  const char* args[] = {setup_.program.c_str(), nullptr};
  const auto log = log_path();
  ++starts_;
  began_ = real_now(), phase_ = Phase::starting, killed_ = false, still_ = 0, stopped_at_ = 0;
  pid_ = ::fork();
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, 1), ::dup2(out, 2);
  ::execve(setup_.program.c_str(), const_cast<char* const*>(args), env.data());
  ::_exit(127);
}

void Process::is_ready() {
  if (phase_ != Phase::starting) return;
  phase_ = Phase::serving;
  if (real_now() > began_ + kReadyWithin)
    oracle_.violated(Invariant::stays_up, number(), 0,
                     fmt::format("ready after {:.1f} s", real_now() - began_));
}

void Process::terminate() {
  if (phase_ == Phase::ending && asked_at_ > 0) ::kill(pid_, SIGTERM);  // asked for again
  if (phase_ != Phase::serving) return;
  go_on();
  asked_at_ = real_now(), phase_ = Phase::ending;
  ::kill(pid_, SIGTERM);
}

void Process::kill() {
  if (phase_ != Phase::serving) return;
  killed_ = true, phase_ = Phase::ending, asked_at_ = 0, killed_at_ = real_now();
  ::kill(pid_, SIGKILL);
}

void Process::hang_up() {
  if (phase_ == Phase::serving || phase_ == Phase::ending) ::kill(pid_, SIGHUP);
}

void Process::stop() {
  if (pid_ <= 0 || stopped_at_ > 0) return;
  stopped_at_ = real_now();
  ::kill(pid_, SIGSTOP);
}

void Process::go_on() {
  if (stopped_at_ <= 0) return;
  if (pid_ > 0) ::kill(pid_, SIGCONT);
  oracle_.stood_still(number(), stopped_at_, real_now());
  still_ += real_now() - stopped_at_;
  stopped_at_ = 0;
}

bool Process::ended() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) {
    const Seconds most = asked_at_ + kLongestLimit + kKill + kBusy + still_;
    if (phase_ == Phase::ending && asked_at_ > 0 && real_now() > most) {
      oracle_.violated(Invariant::ends_in_time, number(), 0,
                       fmt::format("runs {:.1f} s after SIGTERM", real_now() - asked_at_));
      killed_ = true;
      ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    } else {
      return false;
    }
  } else if (!killed_ && !(WIFEXITED(status) && WEXITSTATUS(status) == 0 && phase_ == Phase::ending)) {
    const auto how = WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                                         : fmt::format("exit code {}", WEXITSTATUS(status));
    oracle_.violated(Invariant::stays_up, number(), 0, fmt::format("ended by {}", how));
  }
  pid_ = -1, phase_ = Phase::down, ended_at_ = real_now();
  return true;
}

void Process::check_limits() {
  if (pid_ <= 0 || phase_ != Phase::serving) return;
  int open = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid_), error))
    open += !entry.path().empty();
  if (open > setup_.sockets)
    oracle_.violated(Invariant::stays_up, number(), 0,
                     fmt::format("{} descriptors of {}", open, setup_.sockets));
  if (const double mb = memory_mb(); mb > setup_.memory_mb)
    oracle_.violated(Invariant::stays_up, number(), 0,
                     fmt::format("{:.0f} MB of {:.0f}", mb, setup_.memory_mb));
}

double Process::memory_mb() const {
  std::ifstream status(fmt::format("/proc/{}/status", pid_));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

double Process::cpu() const {
  constexpr int kUserField = 14, kSystemField = 15;  // proc(5)
  std::ifstream stat(fmt::format("/proc/{}/stat", pid_));
  double ticks = 0;
  std::string word;
  for (int field = 1; field <= kSystemField && stat >> word; ++field)
    if (field >= kUserField) ticks += std::stod(word);
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

bool Process::takes_connections() const {
  constexpr Seconds kComing = 0.3;
  return phase_ == Phase::serving ||
         (phase_ == Phase::ending && asked_at_ > 0 && real_now() < asked_at_ + kComing);
}

bool Process::takes_requests() const {
  constexpr Seconds kAsking = 0.5;
  return phase_ == Phase::serving ||
         (phase_ == Phase::ending && asked_at_ > 0 && real_now() < asked_at_ + kAsking);
}

}  // namespace walkpaddle::soak
