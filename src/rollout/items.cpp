#include "rollout/items.h"

#include "base/error.h"
#include "base/text.h"
#include "change/change.capnp.h"
#include "replica/capnp_message.h"
#include "replica/replicated_state.h"
#include "rollout/context.h"

namespace walkpaddle::rollout {

namespace {

namespace schema = change::schema;
using IsKnown = std::function<bool(const std::string&)>;

RolloutPlan plan_from(const schema::Document::Reader& document) {
  RolloutPlan plan{.name = document.getName(),
                   .work = document.getWork(),
                   .before = document.getBefore(),
                   .after = document.getAfter(),
                   .author = document.getBy(),
                   .body = document.getBody(),
                   .stages = {},
                   .min_requests = document.getTxns(),
                   .min_stage_time = document.getLeastS(),
                   .max_stage_time = document.getLongestS(),
                   .warm_up = document.getWarmUpS(),
                   .ready_within = document.getReadyInS(),
                   .max_moving_share = document.getAtOnce(),
                   .harm_threshold = document.getHarm(),
                   .tolerated_ratio = document.getRatio()};
  for (const double share : document.getStages()) plan.stages.push_back(share);
  if (const auto why = refusal(plan)) throw InputError("invalid change: " + *why);
  return plan;
}

std::optional<RolloutItem> decision_from(const schema::Order::Reader& order, const IsKnown& is_known) {
  std::string rollout = order.getChange();
  if (!is_known(rollout)) return std::nullopt;
  return DecisionItem{std::move(rollout), {order.getTerm(), order.getStage(), order.getDone()}};
}

std::optional<RolloutItem> stop_from(const schema::Stop::Reader& stop, const IsKnown& is_known) {
  std::string rollout = stop.getChange();
  if (!is_known(rollout)) return std::nullopt;
  const auto why = replica::text_view(stop.getWhy()).substr(0, kMaxReasonBytes);
  return StopItem{std::move(rollout), {stop.getBy(), replica::checked_time(stop.getAt()), std::string(why)}};
}

}  // namespace

std::string encode(const RolloutPlan& plan) {
  capnp::MallocMessageBuilder message;
  auto document = message.initRoot<schema::Item>().initDocument();
  document.setName(plan.name.c_str());
  document.setWork(plan.work);
  document.setBefore(plan.before.c_str());
  document.setAfter(plan.after.c_str());
  document.setBy(plan.author.c_str());
  document.setBody(plan.body.c_str());
  document.setTxns(plan.min_requests);
  auto stages = document.initStages(static_cast<unsigned>(plan.stages.size()));
  for (unsigned n = 0; n < plan.stages.size(); ++n) stages.set(n, plan.stages[n]);
  document.setLeastS(plan.min_stage_time);
  document.setLongestS(plan.max_stage_time);
  document.setWarmUpS(plan.warm_up);
  document.setReadyInS(plan.ready_within);
  document.setAtOnce(plan.max_moving_share);
  document.setHarm(plan.harm_threshold);
  document.setRatio(plan.tolerated_ratio);
  return replica::message_bytes(message);
}

std::string encode(const DecisionItem& item) {
  capnp::MallocMessageBuilder message;
  auto order = message.initRoot<schema::Item>().initOrder();
  order.setChange(item.rollout.c_str());
  order.setTerm(item.decision.term);
  order.setStage(item.decision.stage);
  order.setDone(item.decision.done);
  return replica::message_bytes(message);
}

std::string encode(const StopItem& item) {
  capnp::MallocMessageBuilder message;
  auto stop = message.initRoot<schema::Item>().initStop();
  stop.setChange(item.rollout.c_str());
  stop.setBy(item.stop.by);
  stop.setAt(item.stop.at);
  stop.setWhy(item.stop.why.c_str());
  return replica::message_bytes(message);
}

std::optional<RolloutItem> decode_item(std::string_view bytes, const IsKnown& is_known) {
  constexpr auto kMaxBytes = replica::ReplicatedState::kMaxItemBytes;
  if (bytes.size() > kMaxBytes) throw_bad_value("item of length", std::to_string(bytes.size()));
  return replica::read_root<schema::Item>(
      bytes, kMaxBytes, [&](const schema::Item::Reader& item) -> std::optional<RolloutItem> {
        switch (item.which()) {
          case schema::Item::DOCUMENT:
            return plan_from(item.getDocument());
          case schema::Item::ORDER:
            return decision_from(item.getOrder(), is_known);
          case schema::Item::STOP:
            return stop_from(item.getStop(), is_known);
        }
        return std::nullopt;
      });
}

}  // namespace walkpaddle::rollout
