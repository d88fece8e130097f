#include "simulator/simulator_adapter.h"

#include <algorithm>
#include <charconv>

#include "config/settings.h"

namespace walkpaddle::simulator {

namespace {

// The pairs of ENLIST.
config::Settings settings_of(std::string_view rest) {
  config::Settings s;
  while (!rest.empty()) {
    auto pair = take_field(rest, ' ');
    if (pair.empty()) continue;
    if (pair.find('=') == std::string_view::npos) throw_bad_value("settings pair", pair);
    const auto path = take_field(pair, '=');
    s.put(std::string(path), std::string(pair));
  }
  return s;
}

AttemptOutcome verdict_of(std::uint64_t code) {
  if (code < 1 || code > 9) throw_bad_value("verdict", std::to_string(code));
  return static_cast<AttemptOutcome>(code - 1);
}

}  // namespace

std::optional<std::string_view> Fields::take() {
  if (rest_.empty()) return std::nullopt;
  const auto field = take_field(rest_, ' ');
  if (field == "-") return std::nullopt;
  return field;
}

std::string_view Fields::text(const char* name) {
  const auto field = take();
  if (!field || field->empty()) throw InputError(std::string("missing ") + name);
  return *field;
}

std::string_view Fields::text_or(std::string_view absent) { return take().value_or(absent); }
std::uint64_t Fields::integer(const char* name) { return parse<std::uint64_t>(text(name), name); }
double Fields::number(const char* name) { return parse<double>(text(name), name); }

std::int64_t Fields::integer_or(std::int64_t absent, const char* name) {
  const auto field = take();
  return field ? parse<std::int64_t>(*field, name) : absent;
}

double Fields::number_or(double absent, const char* name) {
  const auto field = take();
  return field ? parse<double>(*field, name) : absent;
}

bool Fields::flag(const char* name) {
  const auto value = integer(name);
  if (value > 1) throw_bad_value(name, std::to_string(value));
  return value == 1;
}

bool SimulatorAdapter::line(std::string_view text) {
  Fields f(text);
  const auto name = f.text("message name");
  if (!inside_) {
    if (name != "BEGIN_BATCH") throw InputError("expected BEGIN_BATCH");
    const Seconds now = f.number("clock") / 1e3;
    seq_ = f.text("batch number");
    parse<std::uint64_t>(seq_, "batch number");
    inside_ = true;
    touched_.clear();
    faults_.clear();
    out_.clear();
    for (auto& [number, in] : instances_) in.brain->clock(now);
    clock_ = now;
    return false;
  }
  if (entries_due_ > 0) {
    if (name != "SERVER") throw InputError("expected SERVER, the list is short of entries");
    server_entry(f);
    --entries_due_;
    return false;
  }
  if (name != "END") {
    event(name, f);
    return false;
  }
  if (!f.rest().empty()) throw InputError("END takes no values");
  for (const int number : touched_) {
    const auto it = instances_.find(number);
    if (it != instances_.end()) guarded(number, [&] { pull(number, it->second); });
  }
  for (const auto& [number, what] : faults_) out_ += "FATAL " + std::to_string(number) + " " + what + "\n";
  out_ += "EOR " + seq_ + "\n";
  inside_ = false;
  return true;
}

// An exception from the module ends the day by the wire's own word; one from the wire is the wire's fault.
template <class F>
void SimulatorAdapter::guarded(int number, F&& call) {
  try {
    call();
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& e) {
    faults_.emplace_back(number, e.what());
  }
}

void SimulatorAdapter::touch(int number) {
  if (std::find(touched_.begin(), touched_.end(), number) == touched_.end()) touched_.push_back(number);
}

void SimulatorAdapter::event(std::string_view name, Fields& f) {
  if (name == "ROSTER") {
    bank_ = f.integer("bank");
    if (bank_ >= rosters_.size()) throw_bad_value("bank", std::to_string(bank_));
    entries_due_ = f.integer("members");
    rosters_[bank_].clear();
    return;
  }
  if (name == "ENLIST") return enlist(f);
  constexpr std::string_view kKnown[] = {"QUERY", "COMPLETED",      "TOPOLOGY", "ELAPSED",   "HANGUP",
                                         "KILL",  "WITHDRAWN_COPY", "PONG",     "STREAMING", "WHISPER"};
  if (std::find(std::begin(kKnown), std::end(kKnown), name) == std::end(kKnown))
    throw InputError("unknown message");
  const int number = static_cast<int>(f.integer("i"));
  const auto it = instances_.find(number);
  if (it == instances_.end()) throw_bad_value("instance", std::to_string(number));
  if (name == "KILL") {
    instances_.erase(it);
    return;
  }
  auto& in = it->second;
  touch(number);
  guarded(number, [&] {
    if (name == "QUERY") return query(in, f);
    if (name == "COMPLETED") return completed(in, f);
    if (name == "TOPOLOGY") return topology(in, f);
    if (name == "ELAPSED") return in.brain->timer_fired();
    if (name == "HANGUP") {
      const auto at = in.txn_of.find(static_cast<std::uint32_t>(f.integer("msg_id")));
      if (at == in.txn_of.end()) return;
      in.txns[at->second].over = true;
      in.brain->client_left(at->second);
      return close_if_done(in, at->second);
    }
    if (name == "WITHDRAWN_COPY") {
      const Seconds ago = f.number("oldness") / 1e3;
      const auto tag = static_cast<std::uint32_t>(f.integer_or(0, "tag"));
      return purged(in, f.text_or("0"), tag, clock_ - ago);
    }
    // STREAMING, WHISPER, PONG: nothing here asks for them.
  });
}

void SimulatorAdapter::enlist(Fields& f) {
  const int number = static_cast<int>(f.integer("i"));
  const auto seed = f.integer("entropy");
  const config::Settings s = settings_of(f.rest());
  instances_.erase(number);
  auto& in = instances_.try_emplace(number, fold_seed(seed)).first->second;
  touch(number);
  guarded(number, [&] {
    in.brain->clock(clock_);
    config::apply_settings(s, *in.brain);
    // A second more than the settling: servers' clocks and the way to them.
    in.purges = std::make_unique<purge::PurgeIndex>(purge::PurgeIndex::Limits{
        .max_age = s.ms("specifics.purge_settles") + 1, .entries_per_kind = 4096, .objects = 4});
    in.rules = s.whole("categories.count");
    for (int n = 0; n < 4 && in.util_at < 0; ++n)
      if (s.item("report.names", n) == "util" && s.text("report.source") == "answers") in.util_at = n;
  });
}

void SimulatorAdapter::server_entry(Fields& f) {
  const auto server = f.text("server");
  Entry e{std::string(server), stable_hash(server), 0, 0, 0, EndpointState::ready, 1, 0};
  e.location = static_cast<int>(f.integer_or(0, "hall"));
  e.kind = static_cast<int>(f.integer_or(0, "generation_hw"));
  e.cell = static_cast<int>(f.integer_or(0, "pack"));
  const auto state = f.integer("lifecycle");
  if (state > 2) throw_bad_value("lifecycle", std::to_string(state));
  e.state = static_cast<EndpointState>(state);
  e.weight = f.number_or(1, "nominal");
  e.started = f.ms_or(0, "start_time");
  rosters_[bank_].push_back(std::move(e));
}

void SimulatorAdapter::topology(Instance& in, Fields& f) {
  const auto how = f.integer("how");
  if (how > 3) throw_bad_value("how", std::to_string(how));
  if (how == 3) return in.brain->endpoint_list_failed();
  f.integer_or(0, "serial");
  const auto bank = f.integer("bank");
  if (bank >= rosters_.size()) throw_bad_value("bank", std::to_string(bank));
  in.brain->begin_endpoint_list(how != 1);
  for (const auto& e : rosters_[bank])
    in.brain->update_endpoint(member(in, e.server), e.hash, e.location, e.kind, e.cell, e.state, e.weight,
                              e.started);
  in.brain->end_endpoint_list();
}

void SimulatorAdapter::query(Instance& in, Fields& f) {
  const auto id = static_cast<std::uint32_t>(f.integer("msg_id"));
  const int rule = static_cast<int>(f.integer("profile"));
  if (rule < 0 || rule >= in.rules) throw_bad_value("profile", std::to_string(rule));
  f.integer_or(0, "owner");
  const auto object = stable_hash(f.text_or("0"));
  const Seconds expires = f.number("expires") / 1e3;
  const double kbytes = f.number_or(0, "kbytes");
  const auto group = static_cast<std::uint32_t>(f.integer_or(0, "label_no"));
  const int part = static_cast<int>(f.integer_or(0, "piece"));
  const bool repeat = (f.integer_or(0, "bits") & 2) != 0;
  int slot = static_cast<int>(in.txns.size());
  if (in.free_txns.empty()) {
    in.txns.emplace_back();
  } else {
    slot = in.free_txns.back();
    in.free_txns.pop_back();
  }
  in.txns[slot] = {id, 0, false, object, group};
  in.txn_of[id] = slot;
  in.brain->request_received(slot, rule, object, part, group, kbytes, expires, repeat);
  in.brain->set_valid_since(slot, in.purges->valid_since(object, group, {}, clock_));
}

void SimulatorAdapter::purged(Instance& in, std::string_view object, std::uint32_t group, Seconds from) {
  in.purges->trim(clock_);
  if (object == "0")
    in.purges->add_group(group, from);
  else
    in.purges->add_object(stable_hash(object), from);
  for (const auto& [id, slot] : in.txn_of) {
    const auto& t = in.txns[slot];
    in.brain->set_valid_since(slot, in.purges->valid_since(t.object, t.group, {}, clock_));
  }
}

void SimulatorAdapter::completed(Instance& in, Fields& f) {
  const auto id = static_cast<std::uint32_t>(f.integer("msg_id"));
  const bool over = f.flag("ended");
  const auto server = f.text("server");
  const Seconds waited = f.ms_or(0, "fill_wait");
  const auto verdict = verdict_of(f.integer("verdict"));
  const auto note = f.integer_or(0, "note");
  const int hop = static_cast<int>(f.integer_or(0, "n"));
  const Seconds took = f.ms_or(0, "time_taken");
  auto report = f.text_or("");
  for (int n = 0; n < in.util_at; ++n) take_field(report, ',');
  if (const auto util = take_field(report, ','); in.util_at >= 0 && !util.empty())
    in.brain->load_reported(member(in, server), parse<double>(util, "telemetry"));
  const auto at = in.txn_of.find(id);
  if (at == in.txn_of.end()) return;
  const int txn = at->second;
  auto& t = in.txns[txn];
  if (t.out > 0) --t.out;
  t.over = t.over || over;
  in.brain->attempt_ended(txn, hop, verdict,
                          note < 0 || note > 10 ? FillOutcome::none : static_cast<FillOutcome>(note), took,
                          waited, 0, over);
  close_if_done(in, txn);
}

int SimulatorAdapter::member(Instance& in, std::string_view server) {
  const auto [it, fresh] = in.member_of.try_emplace(std::string(server), static_cast<int>(in.members.size()));
  if (fresh) in.members.emplace_back(server);
  return it->second;
}

void SimulatorAdapter::close_if_done(Instance& in, int txn) {
  auto& t = in.txns[txn];
  if (!t.over || t.out > 0) return;
  in.txn_of.erase(t.id);
  in.free_txns.push_back(txn);
}

void SimulatorAdapter::pull(int number, Instance& in) {
  while (const auto d = in.brain->next()) write(number, in, *d);
}

void SimulatorAdapter::put_number(double value) {
  char text[40];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 3).ptr;
  out_ += ' ';
  out_.append(text, end);
}

void SimulatorAdapter::write(int number, Instance& in, const Decision& d) {
  using Kind = Decision::Kind;
  const auto head = [&](std::string_view name) {
    out_ += name;
    out_ += ' ';
    out_ += std::to_string(number);
  };
  const auto whole = [&](std::int64_t value) {
    out_ += ' ';
    out_ += std::to_string(value);
  };
  const auto server = [&](int who) {
    out_ += ' ';
    out_ += in.members[who];
  };
  switch (d.kind) {
    case Kind::forward: {
      head("DELIVER_VIA");
      whole(in.txns[d.request].id);
      ++in.txns[d.request].out;
      server(d.endpoint);
      put_ms(d.time);
      server(d.source);
      whole(d.retention_rank);
      put_ms(d.max_age);
      whole((d.join_fill ? 1 : 0) + (d.cached_only ? 2 : 0));
      break;
    }
    case Kind::reject:
    case Kind::fail:
      head(d.kind == Kind::reject ? "DECLINE" : "LOSE");
      whole(in.txns[d.request].id);
      if (d.kind == Kind::reject) put_ms(d.time);
      in.txns[d.request].over = true;
      close_if_done(in, d.request);
      break;
    case Kind::cancel:
      head("RECALL");
      whole(in.txns[d.request].id);
      whole(d.attempt);
      break;
    case Kind::wake_up:
      head("AFTER");
      put_ms(d.time);
      out_ += " wake";
      break;
    case Kind::poll_discovery:
      head("SUBSCRIBE");
      whole(1);
      break;
  }
  out_ += '\n';
}

}  // namespace walkpaddle::simulator
