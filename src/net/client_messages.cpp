#include "net/client_messages.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "net/request_dispatcher.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

// Prevents a client that asks on and reads nothing from filling the memory: past a few of the largest answers
// its requests wait here. They are read all the same, as it may give them up or go.
void ClientMessages::serve_held(const std::shared_ptr<ClientConnection>& client) {
  constexpr std::size_t kMaxUnsentBytes = 1 << 20;
  auto& held = client->held_;
  while (!held.empty() && !stopped_ && client->stream_.unsent() <= kMaxUnsentBytes) {
    auto request = std::move(held.front());
    held.pop_front();
    serve_(client, std::move(request));
  }
}

void ClientMessages::take(const std::shared_ptr<ClientConnection>& client) {
  constexpr std::size_t kMaxWords = 8;
  constexpr std::size_t kMaxBytes = 64UL * 1024;  // a write brings up to 48,000 bytes
  auto& stream = client->stream_;
  Words message;
  while (client->phase_ != ClientConnection::Phase::shut) {
    const bool open = client->is_open();
    try {
      read_words(stream.in(), kMaxWords, kMaxBytes, message);
      if (message.used == 0) return;
      // What is given up is heard to the end.
      const bool forgets = !message.words.empty() && message.words[0] == "FORGET";
      if (open || forgets) handle(client, message.words);
      if (open) client->message_taken();
    } catch (const InputError& e) {
      if (open) {
        log_("client", "connection closed: {}", e.what());
        if (guard_ != nullptr) guard_->counters().closed(guard::ClientClose::unusable_message);
      }
      client->begin_end();
      if (message.used == 0) break;  // what cannot be read as an array, nor what follows it
    }
    stream.consume(message.used);
  }
  stream.consume(stream.in().size());
}

void ClientMessages::handle(const std::shared_ptr<ClientConnection>& client,
                            const std::vector<std::string_view>& words) {
  if (words.size() < 2) throw_bad_value("request", "");
  const auto verb = words[0];
  const std::string tag(words[1]);
  if (parse<std::uint64_t>(tag, "tag") == 0) throw_bad_value("tag", tag);
  if (verb == "ALIVE") return client->answer(tag, alive_word_);
  if (verb == "FORGET") return forget(*client, tag);
  if (verb != "EXEC") throw_bad_value("request", verb);
  execute(client, words, tag);
}

void ClientMessages::forget(ClientConnection& client, const std::string& tag) {
  std::erase_if(client.held_, [&](const Request& request) { return request.tag == tag; });
  const auto it = client.open_.find(tag);
  if (it == client.open_.end()) return;
  auto* const handle = it->second;
  client.open_.erase(it);
  handle->leave();
}

void ClientMessages::execute(const std::shared_ptr<ClientConnection>& client,
                             const std::vector<std::string_view>& words, const std::string& tag) {
  constexpr std::size_t kMaxOpenRequests = 32;
  if (client->has_tag(tag)) throw_bad_value("tag, open already", tag);
  if (client->requests() >= kMaxOpenRequests) throw_bad_value("number of open requests", tag);
  // The client's time runs since it sent the request, which may have waited for us.
  const Seconds sent_at = scheduler_.now() - std::max(scheduler_.max_input_delay(), client->queued_for_);
  Request request;
  try {
    request = parse_request(words, classes_, open_ids_, sent_at);
  } catch (const InputError& e) {
    log_("request", "{}", e.what());
    return client->answer(tag, "ABORTED");
  }
  if (stopped_) return client->answer(tag, "REJECT");  // nothing was sent on for it
  client->held_.push_back(std::move(request));
  serve_held(client);
}

}  // namespace walkpaddle::net
