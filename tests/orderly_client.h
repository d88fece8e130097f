// A client that keeps to the protocol: one request at a time, and a request that crosses the end of its
// connection is sent again, once. It counts what it is owed. A new connection may be closed unread where many
// clients fill the router's places.
#pragma once

#include <string>

#include "router_process.h"

namespace walkpaddle {

class OrderlyClient {
 public:
  struct Setup {
    std::string request_class = "page";
    std::size_t body_bytes = 0;
    Seconds limit = 1.5;           // of each request
    Seconds interval = 0.02;       // from an answer to the next request
    bool new_connections = false;  // for each request
  };
  struct Counts {
    int sent = 0, served = 0, rejected = 0, failed = 0;
    int closed_unread = 0;  // requests on connections that ended before they had any answer
    int lost = 0;           // no answer, or one that came when a request counts as lost (protocol page)
    Seconds slowest = 0;    // answer
  };
  OrderlyClient(const Program& router, int number, const Setup& setup)
      : router_(router), setup_(setup), next_id_(static_cast<std::uint64_t>(number + 1) << 32) {}

  // Writes and reads what is due.
  void step() {
    if (open_ && now() > sent_at_ + setup_.limit + kAllowedLateness) lose();
    if (!open_ && now() >= next_at_) send_request();
    write();
    read();
  }
  // No further requests.
  void finish() { next_at_ = kNever; }
  bool is_idle() const { return !open_; }
  const Counts& counts() const { return counts_; }

 private:
  static constexpr Seconds kAllowedLateness = 0.55;  // past its time a request is lost (protocol page)
  static constexpr Seconds kCrossing = 0.05;         // a request that crosses the end of its connection
  static constexpr Seconds kNever = 1e15;

  void send_request() {
    if (setup_.new_connections) fd_ = Fd();
    ++counts_.sent;
    sent_again_ = false;
    open_ = true;
    transmit();
  }
  void transmit() {
    if (!fd_) {
      fd_ = router_.connect_client();
      if (!fd_) return lose();
      ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK);
      has_answers_ = false;
    }
    const auto tag = std::to_string(++tag_);
    ++next_id_;
    const auto fields = fmt::format("txn={:016x},limit={:.0f},item={:016x},seg=0,bucket=17", next_id_,
                                    setup_.limit * 1e3, next_id_ % kObjects);
    in_.clear();
    out_ = setup_.body_bytes == 0 ? net::resp_array_text({"EXEC", tag, setup_.request_class, fields})
                                  : net::resp_array_text({"EXEC", tag, setup_.request_class, fields,
                                                          std::string(setup_.body_bytes, 's')});
    sent_at_ = now();
    write();
  }
  void write() {
    if (!fd_ || out_.empty()) return;
    const auto got = ::send(fd_.get(), out_.data(), out_.size(), MSG_NOSIGNAL);
    if (got < 0 && errno != EAGAIN) return connection_ended();
    if (got > 0) out_.erase(0, static_cast<std::size_t>(got));
    if (got > 0 && out_.empty()) sent_at_ = now();
  }
  void read() {
    char buffer[65536];
    while (fd_) {
      const auto got = ::recv(fd_.get(), buffer, sizeof buffer, 0);
      if (got < 0 && errno == EAGAIN) return;
      if (got <= 0) return connection_ended();
      in_.append(buffer, static_cast<std::size_t>(got));
      net::RespArray answer;
      net::read_resp_array(in_, 8, 1 << 20, answer);
      if (answer.used > 0 && open_) answered(std::string(answer.words[1]));
    }
  }
  void answered(const std::string& status) {
    has_answers_ = true;
    if (status == "RESULT") ++counts_.served;
    if (status == "REJECT") ++counts_.rejected;
    if (status != "RESULT" && status != "REJECT") ++counts_.failed;
    counts_.slowest = std::max(counts_.slowest, now() - sent_at_);
    end_request();
  }
  void connection_ended() {
    fd_ = Fd();
    if (!open_) return;
    if (!has_answers_) {
      ++counts_.closed_unread;
      return end_request();
    }
    const bool crossed = !out_.empty() || now() <= sent_at_ + kCrossing;
    if (!crossed || std::exchange(sent_again_, true)) return lose();
    transmit();
  }
  void lose() {
    ++counts_.lost;
    fd_ = Fd();
    end_request();
  }
  void end_request() {
    open_ = false;
    if (next_at_ < kNever) next_at_ = now() + setup_.interval;
  }

  static constexpr std::uint64_t kObjects = 50;
  const Program& router_;
  const Setup setup_;
  std::uint64_t next_id_;
  int tag_ = 0;
  Fd fd_;
  std::string out_, in_;
  bool open_ = false, sent_again_ = false;
  bool has_answers_ = false;  // on this connection
  Seconds sent_at_ = 0, next_at_ = 0;
  Counts counts_;
};

}  // namespace walkpaddle
