// The clients of one router: connections that ask, rest, leave and come again, with the troubles of a plan;
// and the front, which lets them come once the router says READY.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/link.h"
#include "soak/oracle.h"
#include "soak/plan.h"
#include "soak/process.h"

namespace walkpaddle::soak {

class Clients {
 public:
  struct Setup {
    double rate = 25;  // requests a second, over all connections
    unsigned seed = 1;
    int objects = 200;
  };
  Clients(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, Process& process, const Setup& setup);
  void start();
  void finish() { over_ = true; }  // nothing new is asked
  std::size_t open() const { return open_; }
  void trouble(const Trouble& trouble, Seconds until);
  static std::string item(int object);
  static int group(const std::string& item);

 private:
  struct Conversation;
  int connections() const;
  Task front();
  Task connection();
  Task crowd(int connections, Seconds until);
  Task spoil();
  std::shared_ptr<Link> call();
  Oracle::Request draw_request();
  std::string text_of(const Oracle::Request& request, const std::string& tag) const;
  void take_answers(Conversation& c);
  void at_end(Conversation& c);
  void ask_across_end(Conversation& c);
  void forget_oldest(Conversation& c);
  void leave(Conversation& c);
  bool active(Kind kind) const { return scheduler_.now() < active_[static_cast<int>(kind)].until; }
  double size(Kind kind) const { return active_[static_cast<int>(kind)].size; }
  bool drawn(Kind kind) { return active(kind) && roll() < size(kind); }
  double roll() { return std::uniform_real_distribution<>(0, 1)(chance_); }

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  Process& process_;
  const Setup setup_;
  std::mt19937 chance_;
  std::uint64_t next_id_;
  bool over_ = false;
  std::size_t open_ = 0;  // requests without an answer
  struct Active {
    Seconds until = 0;
    double size = 0;
  };
  Active active_[kKinds];
  std::map<std::string, std::string> tags_;     // of copies that were answered, by item and part
  std::vector<Oracle::Request> to_send_again_;  // crossed an idle close
};

}  // namespace walkpaddle::soak
