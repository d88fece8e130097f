#include "net/desk.h"

namespace walkpaddle::net {

namespace {

std::vector<guard::RequestRecord::Rule> effect_rules(const Settings& settings) {
  std::vector<guard::RequestRecord::Rule> rules;
  for (const auto& r : remap_rules(settings)) rules.push_back({r.effect, r.window});
  return rules;
}

}  // namespace

Seat::Seat(Desk& desk, int rule, std::uint64_t object, std::string_view name, int part, std::uint32_t group,
           Sec expires, std::uint64_t id)
    : desk_(desk),
      object_(object),
      name_(name),
      group_(group),
      record_(id, desk.effects_[static_cast<std::size_t>(rule)], expires),
      event_(desk.scheduler_) {
  if (desk_.free_.empty()) {
    slot_ = static_cast<int>(desk_.seats_.size());
    desk_.seats_.push_back(this);
  } else {
    slot_ = desk_.free_.back();
    desk_.free_.pop_back();
    desk_.seats_[slot_] = this;
  }
  desk_.input().txn_taken(slot_, rule, object, part, group, 0, expires, false);
  tell_purges();
}

void Seat::tell_purges() {
  const Sec since = desk_.purges_.since(object_, group_, name_, desk_.scheduler_.now());
  if (since == since_) return;
  since_ = since;
  record_.purged(since);
  desk_.input().copies_since(slot_, since);
  if (hop_ != nullptr) hop_->drop_unsent();  // decided before the purge
}

Seat::~Seat() {
  if (out_) hop_ended(Verdict::not_sent, Note::none, 0, 0, 0, true);
  desk_.seats_[slot_] = nullptr;
  desk_.free_.push_back(slot_);
}

void Seat::hop_ended(Verdict verdict, Note note, Sec took, Sec waited, Sec sending, bool txn_over) {
  hop_ = nullptr;
  out_ = false;
  desk_.input().hop_ended(slot_, hops_ - 1, verdict, note, took, waited, sending, txn_over);
}

void Seat::stands_for(double in_flight, double txns) { desk_.input().stands_for(slot_, in_flight, txns); }

void Seat::leave() {
  if (std::exchange(left_, true)) return;
  record_.client_left();
  desk_.input().txn_left(slot_);
  if (hop_ != nullptr) hop_->drop();
  event_.set();
}

Desk::Desk(Scheduler& scheduler, std::uint32_t seed, const Settings& settings, fleet::Purges& purges,
           guard::Guard::Report report)
    : scheduler_(scheduler),
      purges_(purges),
      guard_(std::move(report)),
      effects_(effect_rules(settings)),
      brain_(make_brain(seed)),
      between_pulls_(settings.ms("tick")),
      answers_tell_load_(settings.text("report.source") == "answers"),
      wake_(scheduler),
      pull_(scheduler) {
  hand_over(settings, input());
  for (int n = 0; n < settings.whole("categories.count"); ++n)
    sla_.push_back(settings.ms("categories." + std::to_string(n) + ".aim"));
  scheduler_.at_turns_end([this] { turn_ends(); });
  scheduler_.start(keep_time());
  scheduler_.start(keep_pulling());
}

Brain& Desk::input() {
  brain_->clock(scheduler_.now());
  return *brain_;
}

void Desk::begin_tally(std::uint64_t epoch, Sec quiet_until) {
  if (!tally_) tally_.emplace();
  tally_->begin(epoch, quiet_until);
}

void Desk::txn_ended(change::Tally::End end, int rule, Sec took, int hops) {
  if (tally_) tally_->txn(end, took, sla_[static_cast<std::size_t>(rule)], hops, scheduler_.now());
}

void Desk::hop_counted(Verdict verdict, Note note) {
  if (tally_)
    tally_->hop(note == Note::filled || note == Note::by_origin, verdict == Verdict::not_taken,
                scheduler_.now());
}

void Desk::load_told(int member, double busy) {
  if (answers_tell_load_ && busy >= 0) input().load_told(member, busy);
}

Task Desk::keep_time() {
  for (;;) {
    const bool asked_anew = co_await wake_.wait(wake_at_);
    if (asked_anew) continue;
    wake_at_ = kNoTime;
    input().woken();
  }
}

// A pull asks again for each txn that waits, thousands of times a second if each turn did it. So pulls keep
// the settings' least time between two; the first after a quiet while comes at once.
void Desk::turn_ends() {
  // At once, before anything that was decided before them goes out.
  if (std::exchange(purges_told_, purges_.changes()) != purges_.changes())
    for (auto* seat : seats_)
      if (seat != nullptr) seat->tell_purges();
  if (scheduler_.now() >= pulled_at_ + between_pulls_) return pull();
  if (!std::exchange(pull_due_, true)) pull_.set();
}

Task Desk::keep_pulling() {
  for (;;) {
    co_await pull_.wait();
    Event due(scheduler_);
    co_await due.wait(pulled_at_ + between_pulls_);  // the turn that this makes ends with the pull
    pull_due_ = false;
  }
}

void Desk::pull() {
  pulled_at_ = scheduler_.now();
  input().copies_within(purges_.age_limit(pulled_at_));
  while (const auto d = brain_->next()) {
    using Kind = Decision::Kind;
    if (d->kind == Kind::wake) {
      if (d->time >= wake_at_) continue;
      wake_at_ = d->time;
      wake_.set();
      continue;
    }
    auto* seat = d->txn >= 0 ? seats_[d->txn] : nullptr;
    if (seat == nullptr) continue;  // subscribe: the bus tells of itself
    if (d->kind == Kind::call_off) {
      if (seat->hop_ != nullptr && d->hop == seat->hops_ - 1) seat->hop_->call_off();
      continue;
    }
    if (d->kind == Kind::deliver) seat->out_ = true, ++seat->hops_;
    seat->decision_ = d;
    seat->event_.set();
  }
}

}  // namespace walkpaddle::net
