#include "freeze/items.h"

#include <cctype>
#include <cmath>

#include "base/error.h"
#include "base/text.h"
#include "freeze/freeze.capnp.h"
#include "replica/capnp_message.h"
#include "replica/replicated_state.h"

namespace walkpaddle::freeze {

namespace {

/// If a window needs an exception of more than a week, the window itself should be changed.
constexpr Seconds kMaxExceptionDuration = 7 * 86400.0;

void write_local_time(schema::Local::Builder to, const LocalTime& local) {
  to.setYear(static_cast<std::uint16_t>(local.year));
  to.setMonth(static_cast<std::uint8_t>(local.month));
  to.setDay(static_cast<std::uint8_t>(local.day));
  to.setHour(static_cast<std::uint8_t>(local.hour));
  to.setMinute(static_cast<std::uint8_t>(local.minute));
}

LocalTime read_local_time(const schema::Local::Reader& from) {
  return {.year = from.getYear(),
          .month = from.getMonth(),
          .day = from.getDay(),
          .hour = from.getHour(),
          .minute = from.getMinute()};
}

Window read_window(const schema::Window::Reader& from) {
  Window window{.name = from.getName(),
                .version = from.getVersion(),
                .sites = {},
                .zone = from.getZone(),
                .from = read_local_time(from.getFrom()),
                .until = read_local_time(from.getUntil()),
                .blocks = from.getBlocks(),
                .lead = from.getLeadS(),
                .author = from.getBy()};
  for (const auto site : from.getSites()) window.sites.emplace_back(site.cStr());
  return window;
}

Withdrawal read_withdrawal(const schema::Withdrawal::Reader& from) {
  return {.window = from.getWindow(), .version = from.getVersion(), .holder = from.getHolder()};
}

Exception read_exception(const schema::Exception::Reader& from) {
  return {.change = from.getChange(),
          .window = from.getWindow(),
          .reason = from.getReason(),
          .approvers = {from.getFirst(), from.getSecond()},
          .version = from.getVersion(),
          .until = from.getUntilS()};
}

/// Removes spaces and case, so that "Ana" and "ana " are the same person.
std::string normalized(std::string_view name) {
  std::string key;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (!std::isspace(byte)) key += static_cast<char>(std::tolower(byte));
  }
  return key;
}

bool is_text(const std::string& text) { return !text.empty() && text.size() <= kMaxTextBytes; }

}  // namespace

std::optional<std::string> refusal(const Exception& exception, Seconds now) {
  if (!is_text(exception.change)) return "change has to name the change that it permits, in 1 to 200 bytes";
  if (!is_text(exception.window)) return "window has to name the window that it is for, in 1 to 200 bytes";
  if (exception.version < 1) return "version counts from 1";
  if (!is_text(exception.reason)) return "a reason of 1 to 200 bytes is needed";
  for (const auto& approver : exception.approvers)
    if (normalized(approver).empty() || approver.size() > kMaxTextBytes)
      return "two people have to approve it, with names of 1 to 200 bytes";
  if (normalized(exception.approvers[0]) == normalized(exception.approvers[1]))
    return "its two approvers are the same person";
  if (!std::isfinite(exception.until) || exception.until > now + kMaxExceptionDuration)
    return "it has to end within seven days from now";
  return std::nullopt;
}

std::string encode(const Window& window) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<schema::Item>().initWindow();
  to.setName(window.name.c_str());
  to.setVersion(window.version);
  auto sites = to.initSites(static_cast<unsigned>(window.sites.size()));
  for (unsigned n = 0; n < window.sites.size(); ++n) sites.set(n, window.sites[n].c_str());
  to.setZone(window.zone.c_str());
  write_local_time(to.initFrom(), window.from);
  write_local_time(to.initUntil(), window.until);
  to.setBlocks(window.blocks);
  to.setLeadS(window.lead);
  to.setBy(window.author.c_str());
  return replica::message_bytes(message);
}

std::string encode(const Withdrawal& withdrawal) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<schema::Item>().initWithdrawal();
  to.setWindow(withdrawal.window.c_str());
  to.setVersion(withdrawal.version);
  to.setHolder(withdrawal.holder);
  return replica::message_bytes(message);
}

std::string encode(const Exception& exception) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<schema::Item>().initException();
  to.setChange(exception.change.c_str());
  to.setWindow(exception.window.c_str());
  to.setReason(exception.reason.c_str());
  to.setFirst(exception.approvers[0].c_str());
  to.setSecond(exception.approvers[1].c_str());
  to.setVersion(exception.version);
  to.setUntilS(exception.until);
  return replica::message_bytes(message);
}

std::optional<CalendarItem> decode_item(std::string_view bytes) {
  constexpr auto kMaxBytes = replica::ReplicatedState::kMaxItemBytes;
  if (bytes.size() > kMaxBytes) throw_bad_value("item of length", std::to_string(bytes.size()));
  return replica::read_root<schema::Item>(
      bytes, kMaxBytes, [](const schema::Item::Reader& item) -> std::optional<CalendarItem> {
        switch (item.which()) {
          case schema::Item::WINDOW:
            return read_window(item.getWindow());
          case schema::Item::WITHDRAWAL:
            return read_withdrawal(item.getWithdrawal());
          case schema::Item::EXCEPTION:
            return read_exception(item.getException());
        }
        return std::nullopt;
      });
}

}  // namespace walkpaddle::freeze
