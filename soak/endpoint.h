// A fake cache server, parent or origin that speaks the platform's protocol and has the faults of a plan. All
// endpoints share the list of purges; each applies them after a delay of its own.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/servers.h"
#include "soak/faulty_connection.h"
#include "soak/oracle.h"
#include "soak/plan.h"

namespace walkpaddle::soak {

// All purges so far, with times of discovery's clock, which is this machine's.
struct PurgeHistory {
  struct Entry {
    Seconds at;
    std::string item;  // empty: the whole group is purged
    int group;
  };
  std::vector<Entry> entries;
  // Time of the newest purge that covers this object, among those not later than `known_before`; 0 if none.
  Seconds newest(std::string_view item, int group, Seconds known_before) const;
};

class Endpoint {
 public:
  enum class Role { cache, parent, origin };
  struct Setup {
    int number = 0;
    Role role = Role::cache;
    int port = 0;
    unsigned seed = 1;
  };
  Endpoint(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, const PurgeHistory& purges,
           const Setup& setup);

  int number() const { return setup_.number; }
  int port() const { return setup_.port; }
  Role role() const { return setup_.role; }
  Seconds started() const { return started_; }
  std::string id() const;
  void set_origin(Endpoint& origin) { origin_ = &origin; }
  void set_endpoints(const std::vector<std::unique_ptr<Endpoint>>& all) { endpoints_ = &all; }

  void crash();       // resets all connections and stops listening
  void start_cold();  // listens again, without copies
  // Activates a server fault other than a crash, drain or replacement.
  void inject(const Fault& fault, Seconds until);
  bool up() const { return up_; }
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Copy {
    Seconds created = 0;
  };
  struct Reading;
  Task accept_all(std::shared_ptr<Listener> listener);
  Task serve_connection(Fd fd);
  Task serve(std::shared_ptr<FaultyConnection> connection, std::uint64_t id, std::string fields,
             std::size_t attempt, std::uint64_t start);
  void read_messages(const std::shared_ptr<FaultyConnection>& connection, bool exact);
  void close_idle_connections();
  std::string make_answer(std::uint64_t id, std::string_view fields, bool& ran, Seconds& copy_created,
                          std::string& confirmed_etag);
  void send(const std::shared_ptr<FaultyConnection>& connection, const std::string& answer);
  bool active(FaultKind kind) const;
  bool strikes(FaultKind kind);  // draws whether an active fault hits this time
  bool usable(const Copy& copy, std::string_view item, int group, Seconds oldest) const;
  Seconds fetch(std::string_view source, const std::string& key, std::string_view item, int group,
                Seconds oldest);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  const PurgeHistory& purges_;
  const Setup setup_;
  std::mt19937 random_;
  Seconds purge_delay_ = 0;  // time until this server applies a purge
  std::shared_ptr<Listener> listener_;
  bool up_ = false;
  std::uint64_t starts_ = 0, accepted_ = 0;
  bool backlog_is_limited_ = false;
  Seconds accept_paused_at_ = 0;  // when connections were last left in the accept queue
  Seconds started_ = 0;
  Endpoint* origin_ = nullptr;
  const std::vector<std::unique_ptr<Endpoint>>* endpoints_ = nullptr;
  struct Active {
    Seconds until = 0;
    double magnitude = 0;
  };
  Active active_[kFaultKindCount];
  std::map<std::string, Copy> copies_;
  struct Open {
    std::set<std::uint64_t> requests;  // in progress
    std::map<std::uint64_t, std::size_t> attempts;
    bool forgotten = false;
    Seconds used = 0;  // time of the last message in either direction
  };
  std::map<std::shared_ptr<FaultyConnection>, Open> open_;
};

}  // namespace walkpaddle::soak
