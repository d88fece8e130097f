// One router that runs as a process of the shipped program with the fault injection library preloaded.
// Starts, signals and restarts it, and checks how it exits, its open files and its memory.
#pragma once

#include <signal.h>
#include <sys/types.h>

#include <algorithm>
#include <string>

#include "soak/fault_control.h"
#include "soak/oracle.h"

namespace walkpaddle::soak {

class Process {
 public:
  struct Setup {
    std::string program, shim, folder, name;
    int number = 0, port = 0, max_descriptors = 256;
    double max_memory_mb = 48;
    Seconds longest_deadline = 3;  // of the request classes
  };
  Process(Oracle& oracle, Setup setup);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  enum class Phase { down, starting, serving, ending };
  Phase phase() const { return phase_; }
  int number() const { return setup_.number; }
  int port() const { return setup_.port; }
  int start_count() const { return starts_; }
  void start(const std::string& config);
  void configure(const std::string& config);  // writes the file that a start or a reload reads
  void set_ready();
  void terminate(int signal = SIGTERM);
  void kill();
  void request_reload();
  void suspend();
  void resume();
  // Checks whether the process has ended and reports a violation if it ended wrongly or runs too long after
  // SIGTERM. Returns true once after each end.
  bool poll_exit();
  void check_limits();
  double cpu_seconds() const;  // CPU time of the running process since its start
  double memory_mb() const;    // peak resident memory
  FaultControl& fault_control() { return *control_; }
  // Until then, injected system call errors may break the router's connections.
  void set_breaks_connections_until(Seconds until) { breaks_until_ = until; }
  bool breaks_connections() const { return unix_now() < breaks_until_; }
  // Until then, many clients fill the router's places.
  void set_crowd_until(Seconds until) { crowd_until_ = std::max(crowd_until_, until); }
  bool has_crowd() const { return unix_now() < crowd_until_; }
  // Whether clients still open connections (until 0.3 s after SIGTERM).
  bool accepts_connections() const;
  // Whether clients still send requests on open connections (until the process ends or is killed).
  bool accepts_requests() const { return phase_ == Phase::serving || is_terminating(); }
  // Whether the platform killed the process after SIGTERM, and a request sent then was not answered in its
  // time: one that came late enough after SIGTERM is lost all the same.
  bool excuses(Seconds sent_at) const;
  Seconds ended_at() const { return ended_at_; }
  std::string log_path() const { return setup_.folder + "/log"; }

 private:
  bool is_terminating() const { return phase_ == Phase::ending && terminated_at_ > 0; }
  Seconds kill_at() const;

  Oracle& oracle_;
  const Setup setup_;
  FaultControl* control_ = nullptr;
  pid_t pid_ = -1;
  Phase phase_ = Phase::down;
  int starts_ = 0;
  bool killed_ = false;
  Seconds terminated_at_ = 0, suspended_at_ = 0, ended_at_ = 0, started_at_ = 0, breaks_until_ = 0,
          suspended_time_ = 0, killed_at_ = 0, platform_killed_at_ = 0, crowd_until_ = 0;
};

}  // namespace walkpaddle::soak
