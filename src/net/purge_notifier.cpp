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
  // An age, up to whole milliseconds down: no clocks to compare, and the way there makes it stricter.
  const auto age_ms = std::max(0L, static_cast<long>(std::floor((now - entry.valid_since) * 1e3)));
  return resp_array_text({"purges", "drop", run_, std::to_string(entry.position),
                          purge::to_string(entry.kind), std::to_string(age_ms), entry.target});
}

void PurgeNotifier::command_answered(int server, const std::vector<std::string_view>& words) {
  auto& delivery = purges_.delivery();
  if (words.size() >= 2 && words[1] == "unknown") {
    delivery.command_unsupported(server);
    return log_("purge", "{} takes no purges: its copies are told apart by age alone", upstream_.id(server));
  }
  if (words.size() < 4) throw_bad_value("answer to a purge", "");
  if (words[2] != run_) return;  // to an earlier run
  const auto position = parse<std::uint64_t>(words[3], "place");
  if (words[1] == "cursor") return delivery.cursor_reported(server, position);
  if (words[1] == "dropped") return delivery.confirmed(server, position, scheduler_.now());
  throw_bad_value("answer to a purge", words[1]);
}

}  // namespace walkpaddle::net
