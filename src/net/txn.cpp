#include "net/txn.h"

#include <algorithm>
#include <cmath>

namespace walkpaddle::net {

namespace {

// Down to whole milliseconds; never 0, which means something else.
std::string whole_ms(Sec time) {
  return std::to_string(std::max(1L, static_cast<long>(std::floor(time * 1e3))));
}

std::string fields_of(const Order& o, const Decision& d, const Caches& caches) {
  std::string f = "cls=" + o.rule_name + ",item=" + o.object_text + ",chunk=" + o.part_text;
  if (!o.key.empty()) f += ",nonce=" + o.key;
  if (d.source >= 0 && d.source != d.member) f.append(",src=").append(caches.id(d.source));
  if (d.rank > 0) f += ",keep=" + std::to_string(d.rank);
  if (d.age > 0) f += ",maxage=" + whole_ms(d.age);
  if (d.join || d.held_only) f.append(",flags=").append(d.join ? d.held_only ? "join+held" : "join" : "held");
  if (!o.etag.empty()) f += ",have=" + o.etag;
  return f;
}

void give(Client& client, const Order& o, const HopEnd& end) {
  std::string fields = end.etag.empty() ? "" : "etag=" + end.etag;
  if (end.still_good) fields += fields.empty() ? "notmod=1" : ",notmod=1";
  client.answer(o.tag, "RESULT", fields, end.still_good ? std::string_view() : end.body);
}

}  // namespace

Task serve(Scheduler& scheduler, Desk& desk, Caches& caches, std::shared_ptr<Client> client, Order order,
           double bytes_a_second) {
  const auto object = stable_hash(order.object_text);
  Seat seat(desk, order.rule, object, order.part, order.group, order.expires);
  client->opened(order.tag, seat);
  for (;;) {
    co_await seat.woken();
    if (seat.left()) co_return;
    const auto d = seat.decision();
    if (!d) continue;
    if (d->kind == Decision::Kind::reject) {
      client->answer(order.tag, "REJECT", d->time > 0 ? "later=" + whole_ms(d->time) : "");
      break;
    }
    if (d->kind == Decision::Kind::abort) {
      client->answer(order.tag, "ABORTED");
      break;
    }
    const Sec until = d->time > 0 ? std::min(order.expires, scheduler.now() + d->time) : order.expires;
    Hop hop(scheduler, caches,
            {d->member, d->source, order.id, object, order.group, order.id_text, order.body,
             fields_of(order, *d, caches), until, until >= order.expires});
    seat.hop_out(&hop);
    while (!hop.ended()) {
      const bool told = co_await hop.wait();
      if (!told) hop.time_came();
    }
    const auto& end = hop.end();
    const bool completed = end.verdict == Verdict::completed && !seat.left();
    const auto size = end.body.size();
    if (completed) give(*client, order, end);
    const Sec sending = bytes_a_second > 0 ? static_cast<double>(size) / bytes_a_second : 0;
    seat.hop_ended(end.verdict, end.note, scheduler.now() - hop.started(), sending, completed || seat.left());
    if (seat.left()) co_return;
    if (completed) break;
  }
  client->over(order.tag);
}

}  // namespace walkpaddle::net
