#include "simulator/simulator_adapter.h"

#include <algorithm>
#include <charconv>

#include "config/settings.h"

namespace walkpaddle::simulator {

namespace {

// Parses the settings of an ENLIST message: pairs PATH=VALUE, separated by spaces.
config::Settings settings_of(std::string_view rest) {
  config::Settings settings;
  while (!rest.empty()) {
    auto pair = take_field(rest, ' ');
    if (pair.empty()) continue;
    if (pair.find('=') == std::string_view::npos) throw_bad_value("settings pair", pair);
    const auto path = take_field(pair, '=');
    settings.put(std::string(path), std::string(pair));
  }
  return settings;
}

AttemptOutcome outcome_of(std::uint64_t code) {
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

bool SimulatorAdapter::handle_line(std::string_view text) {
  Fields fields(text);
  const auto name = fields.text("message name");
  if (!inside_batch_) {
    if (name != "BEGIN_BATCH") throw InputError("expected BEGIN_BATCH");
    const Seconds now = fields.number("clock") / 1e3;
    batch_number_ = fields.text("batch number");
    parse<std::uint64_t>(batch_number_, "batch number");
    inside_batch_ = true;
    affected_.clear();
    failures_.clear();
    reply_.clear();
    for (auto& [number, instance] : instances_) instance.policy->clock(now);
    now_ = now;
    return false;
  }
  if (missing_entries_ > 0) {
    if (name != "SERVER") throw InputError("expected SERVER: the list has fewer entries than announced");
    add_list_entry(fields);
    --missing_entries_;
    return false;
  }
  if (name != "END") {
    handle_message(name, fields);
    return false;
  }
  if (!fields.rest().empty()) throw InputError("END takes no values");
  for (const int number : affected_) {
    const auto it = instances_.find(number);
    if (it != instances_.end()) call_policy(number, [&] { write_decisions(number, it->second); });
  }
  for (const auto& [number, what] : failures_)
    reply_ += "FATAL " + std::to_string(number) + " " + what + "\n";
  reply_ += "EOR " + batch_number_ + "\n";
  inside_batch_ = false;
  return true;
}

// Calls the policy. An exception of the policy becomes a FATAL row of the reply. An InputError means that the
// simulator sent an invalid line, and is passed on.
template <class F>
void SimulatorAdapter::call_policy(int number, F&& call) {
  try {
    call();
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& e) {
    failures_.emplace_back(number, e.what());
  }
}

void SimulatorAdapter::mark_affected(int number) {
  if (std::find(affected_.begin(), affected_.end(), number) == affected_.end()) affected_.push_back(number);
}

void SimulatorAdapter::handle_message(std::string_view name, Fields& fields) {
  if (name == "ROSTER") {
    list_index_ = fields.integer("bank");
    if (list_index_ >= endpoint_lists_.size()) throw_bad_value("bank", std::to_string(list_index_));
    missing_entries_ = fields.integer("members");
    endpoint_lists_[list_index_].clear();
    return;
  }
  if (name == "ENLIST") return create_instance(fields);
  constexpr std::string_view kKnown[] = {"QUERY", "COMPLETED",      "TOPOLOGY", "ELAPSED",   "HANGUP",
                                         "KILL",  "WITHDRAWN_COPY", "PONG",     "STREAMING", "WHISPER"};
  if (std::find(std::begin(kKnown), std::end(kKnown), name) == std::end(kKnown))
    throw InputError("unknown message");
  const int number = static_cast<int>(fields.integer("i"));
  const auto it = instances_.find(number);
  if (it == instances_.end()) throw_bad_value("instance", std::to_string(number));
  if (name == "KILL") {
    instances_.erase(it);
    return;
  }
  auto& instance = it->second;
  mark_affected(number);
  call_policy(number, [&] {
    if (name == "QUERY") return receive_request(instance, fields);
    if (name == "COMPLETED") return end_attempt(instance, fields);
    if (name == "TOPOLOGY") return update_endpoint_list(instance, fields);
    if (name == "ELAPSED") return instance.policy->timer_fired();
    if (name == "HANGUP") {
      const auto request = instance.slot_of_id.find(static_cast<std::uint32_t>(fields.integer("msg_id")));
      if (request == instance.slot_of_id.end()) return;
      instance.requests[request->second].ended = true;
      instance.policy->client_left(request->second);
      return free_if_done(instance, request->second);
    }
    if (name == "WITHDRAWN_COPY") {
      const Seconds ago = fields.number("oldness") / 1e3;
      const auto tag = static_cast<std::uint32_t>(fields.integer_or(0, "tag"));
      return apply_purge(instance, fields.text_or("0"), tag, now_ - ago);
    }
    // STREAMING, WHISPER and PONG are ignored, since this adapter never requests them.
  });
}

void SimulatorAdapter::create_instance(Fields& fields) {
  const int number = static_cast<int>(fields.integer("i"));
  const auto seed = fields.integer("entropy");
  const config::Settings settings = settings_of(fields.rest());
  instances_.erase(number);
  auto& instance = instances_.try_emplace(number, fold_seed(seed)).first->second;
  mark_affected(number);
  call_policy(number, [&] {
    instance.policy->clock(now_);
    config::apply_settings(settings, *instance.policy);
    // One second more than the settling time, for differences between the servers' clocks and transmission.
    instance.purges = std::make_unique<purge::PurgeIndex>(purge::PurgeIndex::Limits{
        .max_age = settings.duration("specifics.purge_settles") + 1, .entries_per_kind = 4096, .objects = 4});
    instance.request_classes = settings.integer("categories.count");
    for (int n = 0; n < 4 && instance.utilization_field < 0; ++n)
      if (settings.item("report.names", n) == "util" && settings.text("report.source") == "answers")
        instance.utilization_field = n;
  });
}

void SimulatorAdapter::add_list_entry(Fields& fields) {
  const auto id = fields.text("server");
  ListEntry entry{std::string(id), stable_hash(id), 0, 0, 0, EndpointState::ready, 1, 0};
  entry.location = static_cast<int>(fields.integer_or(0, "hall"));
  entry.kind = static_cast<int>(fields.integer_or(0, "generation_hw"));
  entry.cell = static_cast<int>(fields.integer_or(0, "pack"));
  const auto state = fields.integer("lifecycle");
  if (state > 2) throw_bad_value("lifecycle", std::to_string(state));
  entry.state = static_cast<EndpointState>(state);
  entry.weight = fields.number_or(1, "nominal");
  entry.started = fields.ms_or(0, "start_time");
  endpoint_lists_[list_index_].push_back(std::move(entry));
}

void SimulatorAdapter::update_endpoint_list(Instance& instance, Fields& fields) {
  const auto how = fields.integer("how");
  if (how > 3) throw_bad_value("how", std::to_string(how));
  if (how == 3) return instance.policy->endpoint_list_failed();
  fields.integer_or(0, "serial");
  const auto bank = fields.integer("bank");
  if (bank >= endpoint_lists_.size()) throw_bad_value("bank", std::to_string(bank));
  instance.policy->begin_endpoint_list(how != 1);
  for (const auto& e : endpoint_lists_[bank])
    instance.policy->update_endpoint(endpoint_index(instance, e.id), e.hash, e.location, e.kind, e.cell,
                                     e.state, e.weight, e.started);
  instance.policy->end_endpoint_list();
}

void SimulatorAdapter::receive_request(Instance& instance, Fields& fields) {
  const auto id = static_cast<std::uint32_t>(fields.integer("msg_id"));
  const int request_class = static_cast<int>(fields.integer("profile"));
  if (request_class < 0 || request_class >= instance.request_classes)
    throw_bad_value("profile", std::to_string(request_class));
  fields.integer_or(0, "owner");
  const auto object = stable_hash(fields.text_or("0"));
  const Seconds deadline = fields.number("expires") / 1e3;
  const double kbytes = fields.number_or(0, "kbytes");
  const auto group = static_cast<std::uint32_t>(fields.integer_or(0, "label_no"));
  const int part = static_cast<int>(fields.integer_or(0, "piece"));
  const bool repeat = (fields.integer_or(0, "bits") & 2) != 0;
  int slot = static_cast<int>(instance.requests.size());
  if (instance.free_slots.empty()) {
    instance.requests.emplace_back();
  } else {
    slot = instance.free_slots.back();
    instance.free_slots.pop_back();
  }
  instance.requests[slot] = {id, 0, false, object, group};
  instance.slot_of_id[id] = slot;
  instance.policy->request_received(slot, request_class, object, part, group, kbytes, deadline, repeat);
  instance.policy->set_valid_since(slot, instance.purges->valid_since(object, group, {}, now_));
}

void SimulatorAdapter::apply_purge(Instance& instance, std::string_view object, std::uint32_t group,
                                   Seconds valid_since) {
  instance.purges->trim(now_);
  if (object == "0")
    instance.purges->add_group(group, valid_since);
  else
    instance.purges->add_object(stable_hash(object), valid_since);
  for (const auto& [id, slot] : instance.slot_of_id) {
    const auto& request = instance.requests[slot];
    instance.policy->set_valid_since(slot,
                                     instance.purges->valid_since(request.object, request.group, {}, now_));
  }
}

void SimulatorAdapter::end_attempt(Instance& instance, Fields& fields) {
  const auto id = static_cast<std::uint32_t>(fields.integer("msg_id"));
  const bool request_ended = fields.flag("ended");
  const auto server = fields.text("server");
  const Seconds fill_wait = fields.ms_or(0, "fill_wait");
  const auto outcome = outcome_of(fields.integer("verdict"));
  const auto note = fields.integer_or(0, "note");
  const int attempt = static_cast<int>(fields.integer_or(0, "n"));
  const Seconds duration = fields.ms_or(0, "time_taken");
  auto report = fields.text_or("");
  for (int n = 0; n < instance.utilization_field; ++n) take_field(report, ',');
  if (const auto util = take_field(report, ','); instance.utilization_field >= 0 && !util.empty())
    instance.policy->load_reported(endpoint_index(instance, server), parse<double>(util, "telemetry"));
  const auto it = instance.slot_of_id.find(id);
  if (it == instance.slot_of_id.end()) return;
  const int slot = it->second;
  auto& request = instance.requests[slot];
  if (request.in_flight > 0) --request.in_flight;
  request.ended = request.ended || request_ended;
  instance.policy->attempt_ended(slot, attempt, outcome,
                                 note < 0 || note > 10 ? FillOutcome::none : static_cast<FillOutcome>(note),
                                 duration, fill_wait, 0, request_ended);
  free_if_done(instance, slot);
}

int SimulatorAdapter::endpoint_index(Instance& instance, std::string_view id) {
  const auto [it, inserted] =
      instance.endpoint_of_id.try_emplace(std::string(id), static_cast<int>(instance.endpoint_ids.size()));
  if (inserted) instance.endpoint_ids.emplace_back(id);
  return it->second;
}

void SimulatorAdapter::free_if_done(Instance& instance, int slot) {
  auto& request = instance.requests[slot];
  if (!request.ended || request.in_flight > 0) return;
  instance.slot_of_id.erase(request.id);
  instance.free_slots.push_back(slot);
}

void SimulatorAdapter::write_decisions(int number, Instance& instance) {
  while (const auto decision = instance.policy->next()) write_decision(number, instance, *decision);
}

void SimulatorAdapter::append_number(double value) {
  char text[40];
  const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 3).ptr;
  reply_ += ' ';
  reply_.append(text, end);
}

void SimulatorAdapter::write_decision(int number, Instance& instance, const Decision& decision) {
  using Kind = Decision::Kind;
  const auto begin_row = [&](std::string_view name) {
    reply_ += name;
    reply_ += ' ';
    reply_ += std::to_string(number);
  };
  const auto append_integer = [&](std::int64_t value) {
    reply_ += ' ';
    reply_ += std::to_string(value);
  };
  const auto append_endpoint = [&](int endpoint) {
    reply_ += ' ';
    reply_ += instance.endpoint_ids[endpoint];
  };
  switch (decision.kind) {
    case Kind::forward: {
      begin_row("DELIVER_VIA");
      append_integer(instance.requests[decision.request].id);
      ++instance.requests[decision.request].in_flight;
      append_endpoint(decision.endpoint);
      append_ms(decision.time);
      append_endpoint(decision.source);
      append_integer(decision.retention_rank);
      append_ms(decision.max_age);
      append_integer((decision.join_fill ? 1 : 0) + (decision.cached_only ? 2 : 0));
      break;
    }
    case Kind::reject:
    case Kind::fail:
      begin_row(decision.kind == Kind::reject ? "DECLINE" : "LOSE");
      append_integer(instance.requests[decision.request].id);
      if (decision.kind == Kind::reject) append_ms(decision.time);
      instance.requests[decision.request].ended = true;
      free_if_done(instance, decision.request);
      break;
    case Kind::cancel:
      begin_row("RECALL");
      append_integer(instance.requests[decision.request].id);
      append_integer(decision.attempt);
      break;
    case Kind::wake_up:
      begin_row("AFTER");
      append_ms(decision.time);
      reply_ += " wake";
      break;
    case Kind::poll_discovery:
      begin_row("SUBSCRIBE");
      append_integer(1);
      break;
  }
  reply_ += '\n';
}

}  // namespace walkpaddle::simulator
