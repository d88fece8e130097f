#include "rollout/rollout.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "base/text.h"

namespace walkpaddle::rollout {

Rollout::Rollout(const Setup& setup, freeze::Calendar& calendar, const RolloutLimits& limits, Seconds now)
    : context_{.limits = limits,
               .fleet = FleetView(setup.peers, setup.self, setup.alive),
               .calendar = calendar,
               .refusal = setup.refusal,
               .started = now,
               .durable = setup.durable,
               .wake = WakeTime(now)},
      state_(context_, setup.generation, *this),
      local_(context_, state_, setup.generation),
      voter_(context_, now),
      driver_(context_, state_, voter_, *this, setup.seed, now) {}

// ---- items -------------------------------------------------------------------------------------

void Rollout::publish(const ItemKey& key, const std::string& bytes) {
  const auto id = id_of(bytes);
  auto& present = items_[key];
  if (present == id) return;
  remove_item(std::exchange(present, id));
  add_item(bytes);
  context_.wake.at_once();
}

void Rollout::withdraw(const ItemKey& key) {
  const auto item = items_.find(key);
  if (item == items_.end()) return;
  remove_item(item->second);
  items_.erase(item);
}

std::size_t Rollout::join_order(std::uint64_t id) const {
  const auto item = std::ranges::find(items_, id, [](const auto& entry) { return entry.second; });
  return item == items_.end() ? 0 : static_cast<std::size_t>(item->first.kind);
}

bool Rollout::join(std::string_view bytes, Seconds now) {
  const auto before = pending_updates();
  state_.join(bytes, now);
  return pending_updates() > before;
}

// ---- private state -----------------------------------------------------------------------------

std::string Rollout::private_state() const {
  const auto& attempted = local_.attempted_release();
  if (voter_.term() == 0 && attempted.empty()) return {};
  return std::to_string(voter_.term()) + " " + attempted;
}

void Rollout::restore_private_state(std::string_view bytes) {
  voter_.restore_term(parse<std::uint64_t>(take_field(bytes, ' '), "term"));
  local_.restore_attempted_release(bytes.substr(0, kMaxRolloutNameBytes));
}

// ---- messages ----------------------------------------------------------------------------------

std::optional<replica::ReplicatedMessage> Rollout::next_message(Seconds now) {
  driver_.step(now);
  if (outbox_.empty()) return std::nullopt;
  auto message = std::move(outbox_.front());
  outbox_.pop_front();
  return message;
}

void Rollout::send(int peer, const std::string& bytes) {
  if (outbox_.size() < 2 * context_.fleet.size()) outbox_.push_back({peer, bytes});
}

void Rollout::receive(int from, std::string_view bytes, Seconds now) {
  const auto message = decode_message(bytes, driver_.driven_id());
  if (!message) return;
  if (const auto* report = std::get_if<RouterReport>(&*message))
    driver_.receive(from, *report, now);
  else if (const auto* request = std::get_if<DriverRequest>(&*message))
    answer(from, *request, now);
}

void Rollout::answer(int from, const DriverRequest& request, Seconds now) {
  auto* record = state_.find(request.rollout);
  if (record == nullptr) return;  // the plan has not been received yet; it arrives as an item
  bool vote_granted = false;
  if (request.kind == RequestKind::vote)
    vote_granted = voter_.vote(*record, request, from, now);
  else
    follow_driver(*record, from, request, now);
  auto report = own_report(*record, vote_granted);
  report.rollout = request.rollout;
  last_report_sent_ = std::max(last_report_sent_ + 1, static_cast<std::uint64_t>(now * 1e6));
  report.sent = last_report_sent_;
  send(from, encode(report));
  context_.wake.at_once();
}

void Rollout::follow_driver(RolloutRecord& record, int from, const DriverRequest& request, Seconds now) {
  if (!voter_.follow(request.term, from, now)) return;
  driver_.resign();
  if (request.decided_stage > 0) state_.set_decision(record, {request.term, request.decided_stage, false});
  if (record.decision.stage > 0)
    record.own.turns =
        std::max(record.own.turns, std::min<std::size_t>(request.turns, context_.fleet.size()));
  if (request.wanted_stage > 0) voter_.agree(record, request.term, request.wanted_stage, now);
}

RouterReport Rollout::own_report(const RolloutRecord& record, bool vote_granted) const {
  return {.term = voter_.term(),
          .vote_granted = vote_granted,
          .agreed_stage = record.own.agreed_stage,
          .agreed_term = record.own.agreed_term,
          .phase = local_.phase(record),
          .metrics = local_.metrics()};
}

// ---- status ------------------------------------------------------------------------------------

std::vector<RolloutStatus> Rollout::status(Seconds now) const {
  std::vector<RolloutStatus> all;
  for (const auto& [name, record] : state_.records()) all.push_back(status_of(record, now));
  return all;
}

RolloutStatus Rollout::status_of(const RolloutRecord& record, Seconds now) const {
  const auto* stages = driver_.stages_of(record.plan.name);
  const auto fleet = context_.fleet.size();
  RolloutStatus status{.plan = record.plan,
                       .stage = record.decision.stage,
                       .stages = record.stages(),
                       .done = record.decision.done,
                       .stopped = record.stop.has_value(),
                       .why = record.stop ? record.stop->why : record.own.wait_reason,
                       .drives = stages != nullptr,
                       .turns = record.decision.done ? fleet : record.own.turns,
                       .fleet = fleet};
  if (stages != nullptr) {
    status.control_requests = stages->requests(Cohort::control);
    status.canary_requests = stages->requests(Cohort::canary);
    if (status.why.empty()) status.why = stages->wait_reason();
  }
  if (!record.over() && status.why.empty()) status.why = context_.calendar.why_not_current(now).value_or("");
  return status;
}

}  // namespace walkpaddle::rollout
