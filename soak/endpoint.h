// A cache server, a parent or the origin, by the platform's protocol, with the troubles of a plan. All of one
// soak share the purges, of which each hears at its own time.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/servers.h"
#include "soak/link.h"
#include "soak/oracle.h"
#include "soak/plan.h"

namespace walkpaddle::soak {

// What has been purged, by discovery's clock, which is this machine's.
struct PurgeHistory {
  struct Entry {
    Seconds at;
    std::string item;  // empty: the group
    int group;
  };
  std::vector<Entry> entries;
  // When the newest purge of this object came about, as far as those go that are older than `known_before`.
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
  void know_origin(Endpoint& origin) { origin_ = &origin; }
  void know_all(const std::vector<std::unique_ptr<Endpoint>>& all) { all_ = &all; }

  void crash();                                         // all connections reset, nobody listens
  void start_cold();                                    // listens again, empty
  void trouble(const Trouble& trouble, Seconds until);  // of the kinds at a server that are no crash
  bool up() const { return up_; }
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Copy {
    Seconds made = 0;
  };
  struct Reading;
  Task accept_all(std::shared_ptr<Listener> listener);
  Task connection(Fd fd);
  Task serve(std::shared_ptr<Link> link, std::uint64_t id, std::string fields, std::size_t attempt,
             std::uint64_t start);
  void take(const std::shared_ptr<Link>& link, bool exact);
  void close_idle_connections();
  std::string answer_for(std::uint64_t id, std::string_view fields, bool& ran, Seconds& made,
                         std::string& named);
  void send(const std::shared_ptr<Link>& link, const std::string& answer);
  bool active(Kind kind) const;
  bool drawn(Kind kind);  // it is active, and this time it strikes
  bool usable(const Copy& copy, std::string_view item, int group, Seconds oldest) const;
  Seconds fetch(std::string_view source, const std::string& key, std::string_view item, int group,
                Seconds oldest);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  const PurgeHistory& purges_;
  const Setup setup_;
  std::mt19937 chance_;
  Seconds purge_delay_ = 0;  // until it has dropped what was purged
  std::shared_ptr<Listener> listener_;
  bool up_ = false;
  std::uint64_t starts_ = 0, accepted_ = 0;
  bool queue_is_short_ = false;
  Seconds not_accepting_at_ = 0;  // when it last left callers in its queue
  Seconds started_ = 0;
  Endpoint* origin_ = nullptr;
  const std::vector<std::unique_ptr<Endpoint>>* all_ = nullptr;
  struct Active {
    Seconds until = 0;
    double size = 0;
  };
  Active active_[kKinds];
  std::map<std::string, Copy> copies_;
  struct Open {
    std::set<std::uint64_t> requests;  // that are being worked on
    std::map<std::uint64_t, std::size_t> attempts;
    bool forgotten = false;
    Seconds used = 0;  // when something last came or went
  };
  std::map<std::shared_ptr<Link>, Open> open_;
};

}  // namespace walkpaddle::soak
