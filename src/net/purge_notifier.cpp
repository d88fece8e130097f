#include "net/purge_notifier.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

PurgeNotifier::PurgeNotifier(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges,
                             UpstreamPool& caches, std::string run)
    : scheduler_(scheduler), log_(log), purges_(purges), upstream_(caches), run_(std::move(run)) {
  upstream_.set_commands(*this);
  scheduler_.start(tell_all());
}

Task PurgeNotifier::tell_all() {
  constexpr Seconds kLook = 0.02;
  Event look(scheduler_);
  for (;;) {
    const Seconds now = scheduler_.now();
    while (const auto s = purges_.delivery().next(now)) {
      std::string text;
      if (s->entry == nullptr) {
        text = words_text({"purges", "cursor", run_});
      } else {
        const auto& e = *s->entry;
        // An age, up to whole milliseconds down: no clocks to compare, and the way there makes it stricter.
        const auto age =
            std::to_string(std::max(0L, static_cast<long>(std::floor((now - e.valid_since) * 1e3))));
        text = words_text(
            {"purges", "drop", run_, std::to_string(e.position), purge::to_string(e.kind), age, e.target});
      }
      if (!upstream_.command(s->server, text)) purges_.delivery().postpone(s->server, now);
    }
    co_await look.wait(now + kLook);
  }
}

void PurgeNotifier::command_answered(int member, const std::vector<std::string_view>& words) {
  const Seconds now = scheduler_.now();
  auto& delivery = purges_.delivery();
  if (words.size() >= 2 && words[1] == "unknown") {
    delivery.command_unsupported(member);
    return log_("purge", "{} takes no purges: its copies are told apart by age alone", upstream_.id(member));
  }
  if (words.size() < 4) throw_bad_value("answer to a purge", "");
  if (words[2] != run_) return;  // to an earlier run
  const auto place = parse<std::uint64_t>(words[3], "place");
  if (words[1] == "cursor") return delivery.cursor_reported(member, place);
  if (words[1] == "dropped") return delivery.confirmed(member, place, now);
  throw_bad_value("answer to a purge", words[1]);
}

}  // namespace walkpaddle::net
