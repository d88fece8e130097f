// A faulty release for tests: the program with the fault that WALKPADDLE_FAULT names. It is built from the
// same sources except for add_optional_listeners(), which injects the fault.
//   slow      each turn of the scheduler takes 15 ms longer
//   refuse    the endpoint list is emptied every 0.1 s
//   leak      leaks 30 MB per second
//   fall      aborts 5 s after its start
//   unready   never starts to serve
//   (unset)   no fault
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "cli/optional_listeners.h"

namespace walkpaddle::cli {

namespace {

struct Fault {
  explicit Fault(const server::ListenerContext& context, const std::string& kind)
      : context(context), kind(kind) {
    if (kind == "slow") context.scheduler.call_at_turn_end([] { ::usleep(15000); });
    if (kind == "refuse" || kind == "fall" || kind == "leak") context.scheduler.start(inject());
  }
  Task inject() {
    Event wait(context.scheduler);
    const Seconds started = context.scheduler.now();
    for (;;) {
      co_await wait.wait(context.scheduler.now() + 0.1);
      if (kind == "fall" && context.scheduler.now() > started + 5) std::abort();
      if (kind == "leak") leaked.emplace_back(3 << 20, 'x');
      if (kind == "refuse")
        context.dispatcher.input().begin_endpoint_list(true), context.dispatcher.input().end_endpoint_list();
    }
  }
  const server::ListenerContext context;
  const std::string kind;
  std::vector<std::string> leaked;
};

}  // namespace

void add_optional_listeners(server::Server& server, const config::OperatorConfig&) {
  const char* kind = std::getenv("WALKPADDLE_FAULT");
  if (kind == nullptr) return;
  while (std::string_view(kind) == "unready") ::pause();
  server.add_listener(std::make_shared<Fault>(server.listener_context(), kind));
}

}  // namespace walkpaddle::cli
