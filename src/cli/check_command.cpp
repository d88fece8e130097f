#include "cli/check_command.h"

#include <fmt/core.h>
#include <fmt/ranges.h>

#include <chrono>

#include "admin/change_documents.h"
#include "base/error.h"
#include "base/time.h"
#include "config/operator_config.h"
#include "freeze/calendar.h"
#include "rollout/plan.h"

namespace walkpaddle::cli {

namespace {

constexpr double kSecondsPerMinute = 60;

Seconds unix_time() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(since_epoch).count();
}

// A calendar of the windows and exceptions in the documents of this machine only.
freeze::Calendar build_calendar(const admin::ChangeDocuments& documents, Seconds now) {
  freeze::Calendar calendar(0, {0}, {});
  for (const auto& window : documents.windows) calendar.declare(window);
  for (const auto& exception : documents.exceptions) calendar.add_exception(exception);
  calendar.majority_contacted(now);
  return calendar;
}

// Prints when a change may begin. Throws InputError if no time for it is left between freeze windows.
void check_change(const rollout::RolloutPlan& change, const freeze::Calendar& calendar, std::size_t routers,
                  Seconds now) {
  const Seconds longest = rollout::max_rollout_duration(change, routers);
  const auto answer = calendar.decide(
      freeze::Action::propose,
      {.change = change.name, .work = change.work, .sites = {}, .max_duration = longest}, now);
  if (answer.outcome == freeze::Permission::Outcome::never)
    throw InputError("change " + change.name + ": " + answer.why);
  const std::string begin = answer.outcome == freeze::Permission::Outcome::allowed
                                ? "it may begin now"
                                : "not before " + freeze::format_utc(answer.at) + ", because " + answer.why;
  fmt::print("change {}: {} routers in stages of {}, at most {:.0f} minutes including a rollback; {}\n",
             change.name, routers, fmt::join(rollout::stage_sizes(change, routers), ", "),
             longest / kSecondsPerMinute, begin);
}

}  // namespace

void check_operator_file(const std::string& path) {
  const auto file = config::read_operator_config(path);
  if (file.rollouts.enabled) {
    const Seconds now = unix_time();
    const auto documents = admin::read_change_documents(file.rollouts.folder, now);
    const auto calendar = build_calendar(documents, now);
    const auto routers = file.fleet.peers.size() + 1;
    for (const auto& change : documents.changes) check_change(change, calendar, routers, now);
  }
  fmt::print("{}: valid\n", path);
}

}  // namespace walkpaddle::cli
