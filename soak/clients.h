// The clients of one router. Their connections send requests, stay idle, close and are opened again, with the
// faults of a plan. Clients connect once the router has answered a readiness probe with READY.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/faulty_connection.h"
#include "soak/oracle.h"
#include "soak/plan.h"
#include "soak/process.h"

namespace walkpaddle::soak {

class Clients {
 public:
  struct Setup {
    double rate = 25;  // requests per second, over all connections
    unsigned seed = 1;
    int objects = 200;
    double limit_share = 1;  // of the usual limits of requests
  };
  Clients(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, Process& process, const Setup& setup);
  void start();
  void finish() { finished_ = true; }  // no new requests are sent
  std::size_t open() const { return open_; }
  void inject(const Fault& fault, Seconds until);
  static std::string item(int object);
  static int group(const std::string& item);

 private:
  struct Session;
  int connection_count() const;
  Task probe_readiness();
  Task run_connection();
  Task open_idle_connections(int connections, Seconds until);
  Task send_malformed();
  std::string spoilt_write();
  Task close_unread();
  void repeat_ids(Session& c);
  std::shared_ptr<FaultyConnection> connect_to_router();
  Oracle::Request draw_request();
  std::string format_request(const Oracle::Request& request, const std::string& tag) const;
  void read_answers(Session& c);
  void handle_connection_end(Session& c);
  void send_across_close(Session& c);
  void cancel_oldest(Session& c);
  void abandon_all(Session& c);
  void note_left(const Oracle::Request& request);
  bool active(FaultKind kind) const { return scheduler_.now() < active_[static_cast<int>(kind)].until; }
  double magnitude(FaultKind kind) const { return active_[static_cast<int>(kind)].magnitude; }
  bool strikes(FaultKind kind) { return active(kind) && uniform() < magnitude(kind); }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  Process& process_;
  const Setup setup_;
  std::mt19937 random_;
  std::uint64_t next_id_;
  bool finished_ = false;
  std::size_t open_ = 0;  // requests without an answer
  struct Active {
    Seconds until = 0;
    double magnitude = 0;
  };
  Active active_[kFaultKindCount];
  std::map<std::string, std::string> etags_;  // of copies received, by object and part
  std::vector<Oracle::Request> to_resend_;    // requests that crossed an idle close
  std::vector<Oracle::Request> to_repeat_;    // requests that had run when their client left
};

}  // namespace walkpaddle::soak
