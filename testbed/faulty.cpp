// The program with a fault planted, as a release that should not have been: WALKPADDLE_FAULT says which. It
// is built from the same sources; the fault stands where the optional listeners do.
//   slow      each turn takes 15 ms more         fall      it ends by a fault 5 s after its start
//   refuse    it forgets every server            unready   it never begins to serve
//   leak      30 MB a second                     (none)    a program that differs in nothing
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "cli/optional_listeners.h"

namespace walkpaddle::cli {

namespace {

struct Fault {
  explicit Fault(const server::ListenerContext& p, const std::string& kind) : parts(p), kind(kind) {
    if (kind == "slow") p.scheduler.at_turns_end([] { ::usleep(15000); });
    if (kind == "refuse" || kind == "fall" || kind == "leak") p.scheduler.start(work());
  }
  Task work() {
    Event wait(parts.scheduler);
    const Seconds started = parts.scheduler.now();
    for (;;) {
      co_await wait.wait(parts.scheduler.now() + 0.1);
      if (kind == "fall" && parts.scheduler.now() > started + 5) std::abort();
      if (kind == "leak") held.emplace_back(3 << 20, 'x');
      if (kind == "refuse")
        parts.dispatcher.input().begin_endpoint_list(true), parts.dispatcher.input().end_endpoint_list();
    }
  }
  const server::ListenerContext parts;
  const std::string kind;
  std::vector<std::string> held;
};

}  // namespace

void add_optional_listeners(server::Server& server, const config::OperatorConfig&) {
  const char* kind = std::getenv("WALKPADDLE_FAULT");
  if (kind == nullptr) return;
  while (std::string_view(kind) == "unready") ::pause();
  server.add_listener(std::make_shared<Fault>(server.listener_context(), kind));
}

}  // namespace walkpaddle::cli
