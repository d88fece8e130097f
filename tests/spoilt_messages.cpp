// Messages that arrive with wrong lengths, or with noise in them: nothing of them takes effect, and no other
// message suffers. Over loopback sockets, in one thread.
#define CATCH_CONFIG_MAIN
#include <fmt/ranges.h>

#include <catch2/catch.hpp>
#include <new>
#include <optional>
#include <string>
#include <vector>

#include "connection_fixtures.h"
#include "net/request_dispatcher.h"
#include "platform.h"

using namespace walkpaddle;
using namespace walkpaddle::net;

namespace {

// Line ends within the body, so that a body that is cut short can still end with one.
const std::string kBody = "7 sheets\r\n12 towels\r\n\r\nto room 31";

struct SpoiltMessage {
  std::string what;
  std::string bytes;
};

// A message whose numbers on the wire are free: the number of strings, and the length of each.
std::string encode(std::size_t count, const std::vector<std::string>& words,
                   const std::vector<std::size_t>& lengths) {
  std::string text = "*" + std::to_string(count) + "\r\n";
  for (std::size_t n = 0; n < words.size(); ++n)
    text += "$" + std::to_string(lengths[n]) + "\r\n" + words[n] + "\r\n";
  return text;
}

// The message with each of its numbers wrong in turn.
std::vector<SpoiltMessage> spoilt_variants(const std::vector<std::string>& words) {
  constexpr std::size_t kMaxCount = 9;
  std::vector<std::size_t> lengths;
  for (const auto& word : words) lengths.push_back(word.size());
  std::vector<SpoiltMessage> variants;
  for (std::size_t count = 0; count <= kMaxCount; ++count)
    if (count != words.size())
      variants.push_back({fmt::format("{} strings", count), encode(count, words, lengths)});
  for (std::size_t n = 0; n < words.size(); ++n) {
    for (std::size_t length = 0; length <= words[n].size() + 4; ++length) {
      if (length == words[n].size()) continue;
      auto wrong = lengths;
      wrong[n] = length;
      variants.push_back(
          {fmt::format("string {} of {} bytes", n, length), encode(words.size(), words, wrong)});
    }
  }
  return variants;
}

// What a client of a router that serves every request is told, and what was served to it.
struct WriteFixture : ClientFixture {
  WriteFixture() : ClientFixture({{.name = "page"}, {.name = "order", .keyed = true, .effect = true}}) {
    serve = [this](std::shared_ptr<ClientConnection> client, Request request) {
      client->answer(request.tag, "RESULT", "etag=1", "done");
      started.push_back(std::move(request.body));
    };
  }
  std::vector<std::string> words(const std::string& request_class, const std::string& body) {
    const auto fields =
        fmt::format("txn={},limit=3000,unique=u,item=7f3a9c21e0b4d655,seg=0,bucket=1", request_id(next_id++));
    return {"EXEC", "1", request_class, fields, body};
  }
  int next_id = 0;
  std::vector<std::string> started;  // bodies of the requests that were started
};

// An endpoint, and attempts at it whose answers the test writes.
struct AnswerFixture : UpstreamFixture {
  AnswerFixture() { endpoint = update_endpoint("s-1", listener.address); }
  std::string answer(int n, const std::string& word, const std::string& fields, const std::string& body) {
    return resp_array_text({request_id(n), word, fields, body});
  }
  TestListener listener;
  int endpoint = -1;
};

// Waits for the end of an attempt, as the task that owns it does.
#define END_OF(attempt)      \
  while (!(attempt).ended()) \
    if (const bool changed = co_await (attempt).wait(); !changed) (attempt).on_timer()

}  // namespace

// Guards against a router that ends by SIGSEGV when the fields of an answer hold noise (review/6).
TEST_CASE("given noise in the fields of an answer, then its attempt fails and the next one is served") {
  AnswerFixture s;
  const std::vector<std::string> fields = {"etag=v1", "made=1796506444524", "tell=parent", "age=1",
                                           "ttfb=4",  "meter=util:0.5",     "tags=a+b"};
  s.run_scenario([&]() -> Task {
    int n = 0;
    for (std::size_t noisy = 0; noisy <= fields.size(); ++noisy) {
      auto spoilt = fields;
      spoilt.insert(spoilt.begin() + static_cast<std::ptrdiff_t>(noisy), "noise#######");
      const auto text = fmt::format("{}", fmt::join(spoilt, ","));
      const auto attempt = s.start_attempt(s.endpoint, ++n);
      Fd server;
      WAIT_UNTIL(server = s.listener.accept());
      const auto other = s.start_attempt(s.endpoint, ++n);  // on the same connection
      WAIT_UNTIL(read_available(server).find(request_id(n)) != std::string::npos);
      send_all(server, s.answer(n - 1, "served", text, "body"));
      END_OF(*attempt);
      END_OF(*other);
      INFO(text);
      CHECK(attempt->result().outcome == AttemptOutcome::connection_broken);
      CHECK(other->result().outcome == AttemptOutcome::connection_broken);
    }
    const auto attempt = s.start_attempt(s.endpoint, ++n);
    Fd server;
    WAIT_UNTIL(server = s.listener.accept());
    send_all(server, s.answer(n, "served", fmt::format("{}", fmt::join(fields, ",")), "body"));
    END_OF(*attempt);
    CHECK(attempt->result().outcome == AttemptOutcome::served);
    CHECK(attempt->result().tags.size() == 2);
    CHECK(attempt->result().report.fill_wait == Approx(0.004));
    s.scheduler.stop();
  });
}

// Guards against the same end of the router where a connection's task fails for another reason.
TEST_CASE("given a connection whose task fails, then its attempts end") {
  struct FailingListener final : CommandListener {
    void command_answered(int, const std::vector<std::string_view>&) override { throw std::bad_alloc(); }
    void connection_lost(int) override {}
  } failing_listener;
  AnswerFixture s;
  int failures = 0;
  s.scheduler.on_failure([&](const std::exception_ptr&) { ++failures; });
  s.upstream.set_command_listener(failing_listener);
  s.run_scenario([&]() -> Task {
    const auto attempt = s.start_attempt(s.endpoint, 1);
    Fd server;
    WAIT_UNTIL(server = s.listener.accept());
    WAIT_UNTIL(read_available(server).find(request_id(1)) != std::string::npos);
    send_all(server, resp_array_text({"purges", "cursor", "run", "1"}));
    END_OF(*attempt);
    CHECK(failures == 1);
    CHECK(attempt->result().outcome == AttemptOutcome::connection_broken);
    s.scheduler.stop();
  });
}

// Guards against answers that reach a client as served without a part of their body (review/7).
TEST_CASE("given an answer with a wrong length, then its attempt fails, whatever the answer says") {
  AnswerFixture s;
  const std::string word = GENERATE("served", "still_good", "not_here", "overload");
  s.run_scenario([&]() -> Task {
    const auto body = word == "served" ? kBody : "";
    for (const auto& spoilt : spoilt_variants({request_id(1), word, "etag=v1,tell=mem", body})) {
      const auto attempt = s.start_attempt(s.endpoint, 1);
      Fd server;
      WAIT_UNTIL(server = s.listener.accept());
      WAIT_UNTIL(read_available(server).find("serve") != std::string::npos);
      send_all(server, spoilt.bytes);
      co_await s.timer.wait(s.scheduler.now() + 0.002);
      server = Fd();  // an answer that is too short for its lengths ends here
      END_OF(*attempt);
      INFO(word << " with " << spoilt.what);
      CHECK(attempt->result().outcome == AttemptOutcome::connection_broken);
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given an answer with too few strings in pieces, then its attempt fails") {
  AnswerFixture s;
  s.run_scenario([&]() -> Task {
    auto message = s.answer(1, "served", "etag=v1,tell=mem", kBody);
    message.replace(0, 2, "*3");
    for (std::size_t cut = 1; cut < message.size(); ++cut) {
      const auto attempt = s.start_attempt(s.endpoint, 1);
      Fd server;
      WAIT_UNTIL(server = s.listener.accept());
      WAIT_UNTIL(read_available(server).find("serve") != std::string::npos);
      send_all(server, message.substr(0, cut));
      co_await s.timer.wait(s.scheduler.now() + 0.002);
      ::send(server.get(), message.data() + cut, message.size() - cut, MSG_NOSIGNAL);
      END_OF(*attempt);
      INFO("cut at " << cut);
      CHECK(attempt->result().outcome == AttemptOutcome::connection_broken);
    }
    s.scheduler.stop();
  });
}

// The last read of a large message takes just the bytes that its lengths announce.
TEST_CASE("given a large answer with a wrong length and bytes behind it, then its attempt fails") {
  AnswerFixture s;
  BufferBudget::Reservation other(s.outbox.budget(), [] {});
  other.request(s.outbox.budget().free_bytes() * 3 / 4);  // memory is short, so reads are small
  s.run_scenario([&]() -> Task {
    const std::string head(15'000, 'x');
    const std::string body = head + "\r\n" + std::string(5'000, 'x');
    const auto next_answer = s.answer(9, "served", "etag=v9", "other");
    const std::string start_of_next = "\r\n*4";
    for (const auto length : {head.size(), body.size() + start_of_next.size(), body.size()}) {
      const auto attempt = s.start_attempt(s.endpoint, 1);
      Fd server;
      WAIT_UNTIL(server = s.listener.accept());
      WAIT_UNTIL(read_available(server).find("serve") != std::string::npos);
      const std::vector<std::string> words = {request_id(1), "served", "etag=v1", body};
      send_all(server,
               encode(4, words, {words[0].size(), words[1].size(), words[2].size(), length}) + next_answer);
      END_OF(*attempt);
      INFO(length << " bytes");
      const bool is_sound = length == body.size();
      CHECK(attempt->result().outcome ==
            (is_sound ? AttemptOutcome::served : AttemptOutcome::connection_broken));
      if (is_sound) CHECK(attempt->result().body == body);
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given sound answers, also twice or behind one to an unknown id, then their attempts are served") {
  AnswerFixture s;
  s.run_scenario([&]() -> Task {
    const auto first = s.start_attempt(s.endpoint, 1);
    Fd server;
    WAIT_UNTIL(server = s.listener.accept());
    const auto second = s.start_attempt(s.endpoint, 2);
    WAIT_UNTIL(read_available(server).find(request_id(2)) != std::string::npos);
    const auto answer = s.answer(1, "served", "etag=v1,tell=mem", kBody);
    send_all(server, s.answer(9, "served", "etag=v9", "unknown") + answer + answer +
                         resp_array_text({request_id(2), "not_here"}));
    END_OF(*first);
    END_OF(*second);
    CHECK(first->result().outcome == AttemptOutcome::served);
    CHECK(first->result().body == kBody);
    CHECK(second->result().outcome == AttemptOutcome::not_cached);
    s.scheduler.stop();
  });
}

// Guards against writes that run without a part of their body, and are answered as served (review/10).
TEST_CASE("given a request with a wrong length, then it is not started and not answered as served") {
  WriteFixture s;
  const std::string request_class = GENERATE("order", "page");
  s.run_scenario([&]() -> Task {
    const auto body = request_class == "order" ? kBody : "";
    for (const auto& spoilt : spoilt_variants(s.words(request_class, body))) {
      const Fd client = s.connect();
      send_all(client, spoilt.bytes);
      co_await s.timer.wait(s.scheduler.now() + 0.002);
      const auto answers = read_available(client);
      INFO(request_class << " with " << spoilt.what << ": " << answers);
      CHECK(s.started.empty());
      CHECK(answers.find("RESULT") == std::string::npos);
      s.started.clear();
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given a write with too few strings in pieces, then it is not started and not answered as served") {
  WriteFixture s;
  s.run_scenario([&]() -> Task {
    const auto words = s.words("order", kBody);
    auto message = resp_array_text({words[0], words[1], words[2], words[3], words[4]});
    message.replace(0, 2, "*4");
    for (std::size_t cut = 1; cut < message.size(); ++cut) {
      const Fd client = s.connect();
      send_all(client, message.substr(0, cut));
      co_await s.timer.wait(s.scheduler.now() + 0.002);
      send_all(client, message.substr(cut));
      co_await s.timer.wait(s.scheduler.now() + 0.002);
      INFO("cut at " << cut);
      CHECK(s.started.empty());
      CHECK(read_available(client).find("RESULT") == std::string::npos);
      s.started.clear();
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given a large write with a wrong length and a message behind it, then it is not started") {
  WriteFixture s;
  BufferBudget::Reservation other(s.outbox.budget(), [] {});
  other.request(s.outbox.budget().free_bytes() * 3 / 4);  // memory is short, so reads are small
  s.run_scenario([&]() -> Task {
    const std::string head(15'000, 's');
    const std::string body = head + "\r\n" + std::string(5'000, 's');
    const auto next_message = resp_array_text({"ALIVE", "2", ""});
    const std::string start_of_next = "\r\n*3";
    for (const auto length : {head.size(), body.size() + start_of_next.size(), body.size()}) {
      const auto words = s.words("order", body);
      const Fd client = s.connect();
      send_all(client, encode(5, words, {4, 1, 5, words[3].size(), length}) + next_message);
      std::string got;
      WAIT_UNTIL(!(got += read_available(client)).empty());
      INFO(length << " bytes: " << got);
      const bool is_sound = length == body.size();
      CHECK(s.started.size() == (is_sound ? 1 : 0));
      CHECK((got.find("RESULT") != std::string::npos) == is_sound);
    }
    s.scheduler.stop();
  });
}

TEST_CASE("given a request that was started, when its length proves wrong, then it is abandoned and fails") {
  WriteFixture s;
  const auto config = config::parse_platform_config(platform_config_json("n0", 1, 0, "", "{}"));
  purge::PurgeRegistry purges({}, s.scheduler.now());
  RequestDispatcher dispatcher(s.scheduler, 7, config.settings, purges);
  std::optional<RequestHandle> handle;
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    handle.emplace(dispatcher, 0, 1, "object", 0, 1, request.deadline);
    client->add_request(request.tag, *handle);
  };
  s.run_scenario([&]() -> Task {
    const auto words = s.words("order", kBody);
    const auto message = encode(5, words, {4, 1, 5, words[3].size(), kBody.find("\r\n")});
    const auto first_part = message.size() - kBody.size() + kBody.find("\r\n");
    const Fd client = s.connect();
    send_all(client, message.substr(0, first_part));
    WAIT_UNTIL(handle);
    CHECK_FALSE(handle->has_client_left());
    send_all(client, message.substr(first_part));
    std::string got;
    WAIT_UNTIL((got += read_available(client)).ends_with("|"));
    CHECK(got == resp_array_text({"1", "ABORTED"}) + "|");
    CHECK(handle->has_client_left());
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given sound requests, alone, in a row or before a message that begins wrongly, then all are started") {
  WriteFixture s;
  s.run_scenario([&]() -> Task {
    const auto write = s.words("order", kBody);
    const auto read = s.words("page", "");
    const auto write_text = resp_array_text({write[0], "1", write[2], write[3], write[4]});
    const auto read_text = resp_array_text({read[0], "2", read[2], read[3]});
    const Fd client = s.connect();
    send_all(client, write_text + read_text + "*-1\r\n");
    std::string got;
    WAIT_UNTIL((got += read_available(client)).ends_with("|"));
    CHECK(s.started == std::vector<std::string>{kBody, ""});
    CHECK(got == resp_array_text({"1", "RESULT", "etag=1", "done"}) +
                     resp_array_text({"2", "RESULT", "etag=1", "done"}) + "|");
    s.scheduler.stop();
  });
}
