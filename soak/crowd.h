// Clients of one router that do not keep to the protocol: crowds that stop within messages or read nothing,
// and floods of small messages at full speed. What they ask for is not judged.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "soak/faulty_connection.h"
#include "soak/plan.h"
#include "soak/process.h"

namespace walkpaddle::soak {

class Crowd {
 public:
  Crowd(Scheduler& scheduler, Outbox& outbox, Process& process, unsigned seed)
      : scheduler_(scheduler), outbox_(outbox), process_(process), random_(seed) {}
  // Starts the clients of a fault of a kind from crowd_unfinished on. Those whose connection ends connect
  // again until the time has passed.
  void inject(const Fault& fault, Seconds until);

 private:
  Task run_client(FaultKind kind, Seconds until);
  std::shared_ptr<FaultyConnection> connect();
  std::string message(FaultKind kind);
  std::string unfinished_message();
  std::string requests(int count);
  std::string small_messages();
  std::string request_fields(int limit_ms);
  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }

  Scheduler& scheduler_;
  Outbox& outbox_;
  Process& process_;
  std::mt19937_64 random_;
};

}  // namespace walkpaddle::soak
