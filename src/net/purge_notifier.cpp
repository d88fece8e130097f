#include "net/purge_notifier.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

PurgeNotifier::PurgeNotifier(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges,
                             UpstreamPool& upstream, std::string run)
    : scheduler_(scheduler), log_(log), purges_(purges), upstream_(upstream), run_(std::move(run)) {
  upstream_.set_command_listener(*this);
  scheduler_.start(notify_all());
}

Task PurgeNotifier::notify_all() {
  constexpr Seconds kPollInterval = 0.02;
  Event pause(scheduler_);
  for (;;) {
    const Seconds now = scheduler_.now();
    while (const auto message = purges_.delivery().next(now))
      if (!upstream_.send_command(message->server, command_text(*message, now)))
        purges_.delivery().postpone(message->server, now);
    co_await pause.wait(now + kPollInterval);
  }
}

std::string PurgeNotifier::command_text(const purge::PurgeDelivery::Message& message, Seconds now) const {
  if (message.entry == nullptr) return resp_array_text({"purges", "cursor", run_});
  const auto& entry = *message.entry;
  // An age instead of a time, so that the two clocks are not compared. It is rounded down to whole
  // milliseconds, and counts from its arrival; both make the purge stricter.
  const auto age_ms = std::max(0L, static_cast<long>(std::floor((now - entry.valid_since) * 1e3)));
  return resp_array_text({"purges", "drop", run_, std::to_string(entry.position),
                          purge::to_string(entry.kind), std::to_string(age_ms), entry.target});
}

void PurgeNotifier::command_answered(int server, const std::vector<std::string_view>& words) {
  auto& delivery = purges_.delivery();
  if (words.size() >= 2 && words[1] == "unknown") {
    delivery.command_unsupported(server);
    return log_("purge", "{} does not support purge commands; only the age of its copies is checked",
                upstream_.id(server));
  }
  if (words.size() != 4) throw_bad_value("answer to a purge command", "");
  if (words[2] != run_) return;  // answers a command of an earlier run
  const auto position = parse<std::uint64_t>(words[3], "position");
  if (words[1] == "cursor") return delivery.cursor_reported(server, position);
  if (words[1] == "dropped") return delivery.confirmed(server, position, scheduler_.now());
  throw_bad_value("answer to a purge command", words[1]);
}

}  // namespace walkpaddle::net
