#include "net/teller.h"

#include <algorithm>
#include <cmath>

#include "net/resp.h"
#include "text.h"

namespace walkpaddle::net {

Teller::Teller(Scheduler& scheduler, Log& log, fleet::Purges& purges, Caches& caches, std::string run)
    : scheduler_(scheduler), log_(log), purges_(purges), caches_(caches), run_(std::move(run)) {
  caches_.set_commands(*this);
  scheduler_.start(tell_all());
}

Task Teller::tell_all() {
  constexpr Sec kLook = 0.02;
  Event look(scheduler_);
  for (;;) {
    const Sec now = scheduler_.now();
    while (const auto s = purges_.boxes().next(now)) {
      std::string text;
      if (s->entry == nullptr) {
        text = words_text({"purges", "cursor", run_});
      } else {
        const auto& e = *s->entry;
        // An age, up to whole milliseconds down: no clocks to compare, and the way there makes it stricter.
        const auto age = std::to_string(std::max(0L, static_cast<long>(std::floor((now - e.from) * 1e3))));
        text = words_text({"purges", "drop", run_, std::to_string(e.place),
                           fleet::kKindNames[static_cast<int>(e.kind)], age, e.what});
      }
      if (!caches_.command(s->box, text)) purges_.boxes().unsent(s->box, now);
    }
    co_await look.wait(now + kLook);
  }
}

void Teller::command_answered(int member, const std::vector<std::string_view>& words) {
  const Sec now = scheduler_.now();
  auto& boxes = purges_.boxes();
  if (words.size() >= 2 && words[1] == "unknown") {
    boxes.refused(member);
    return log_("purge", "{} takes no purges: its copies are told apart by age alone", caches_.id(member));
  }
  if (words.size() < 4) bad("answer to a purge", "");
  if (words[2] != run_) return;  // to an earlier run
  const auto place = parse<std::uint64_t>(words[3], "place");
  if (words[1] == "cursor") return boxes.cursor(member, place);
  if (words[1] == "dropped") return boxes.confirmed(member, place, now);
  bad("answer to a purge", words[1]);
}

}  // namespace walkpaddle::net
