// The interface of the decision module: plain domain types, input calls and one pull call.
// Inputs only update what is known; next() hands out decisions one by one until none is left.
// Times are seconds with fractions on the host's clock. Members, txns and places are small indices;
// objects and members also come with a stable hash of their text, the same at every router.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sec.h"

namespace walkpaddle {

enum class Effect { repeatable, keyed, unrepeatable };
enum class Group { all, location, cell };     // who drops the repeats of a keyed txn
enum class Listed { gone, ready, draining };  // what the list says of a member
enum class Siblings { none, location, any };  // which caches can supply a fill
enum class Notes { none, hit, all };          // how much an answer tells of its fill
enum class Verdict {
  completed,
  error,
  not_taken,
  timed_out,
  no_connection,
  broken,
  called_off,
  not_sent,
  lacking,
  too_old  // its copy was older than the hop allowed
};
enum class Note {
  none,
  hit,
  filled,
  by_origin,
  joined,
  old_copy,
  source_refused,
  source_unreached,
  source_lacks,
  no_fill_place,
  origin_failed
};

struct RemapRule {
  Effect effect = Effect::repeatable;
  Group group = Group::all;
  Sec window = 0;          // keyed: how long repeats are dropped
  Sec sla_time = 0;        // answered by then: full importance
  double sla_stretch = 0;  // the SLA time grows by this multiple of the txn's own sending time
  Sec time_limit = 0;
  double importance = 1;
  Sec fresh = 0;  // 0: no limit
  bool in_parts = false;
  bool uncacheable = false;
};

// The settings, each part's own few.
struct Place {
  int location = 0;
  int seats = 1;    // routers that serve this location
  int routers = 1;  // all routers
};
struct Roles {
  int par_kind = -1, origin_kind = -1;
  bool direct = false;  // parents and the origin take hops too
};
struct Hopping {
  int most = 1;
  bool can_call_off = false;
};
struct Filling {
  Siblings siblings = Siblings::none;
  bool join = false;
  Notes notes = Notes::none;
  double pace = 0;  // KB a second that a client is sent at most
};
struct ColdStart {
  double from = 1, multiple = 1;
  Sec warm_after = 0, window = 1;
};
struct Clients {
  bool mark_repeats = false;
  Sec longest_pause = 0;  // 0: none is told
};

// What one start of a router may leave to the next. Nothing of it loosens a rule.
struct Learnt {
  struct Rule {
    double sending = 0;  // mean own sending time of its answers
    int answers = 0;     // of so many
  };
  struct Unreached {
    int member = -1;
    Sec at = 0;  // last not reached then, and no answer since
  };
  struct Room {
    int member = -1;
    double hops = 0, fills = 0;  // limits in flight that it came to bear
  };
  std::vector<Rule> rules{};
  std::vector<Unreached> unreached{};
  struct Heat {
    std::uint64_t object = 0;
    double count = 0;  // the design's reference counter, of this router's own txns
  };
  std::vector<Room> rooms{};
  std::vector<Heat> objects{};
  double link = 0;     // the same of fills over the location's link; 0: not known
  double misses = -1;  // share of hops to a cache that draw a fill; under 0: not known
  Sec age = 0;         // of rooms and objects
};

// Why a request is given up without an attempt that completed it.
enum class Shed { none, no_time, attempts_used, may_not_repeat, no_room };
// How often endpoints were ejected, by what showed their trouble.
struct Ejections {
  std::uint64_t unreached = 0;  // no connection, or a time-out
  std::uint64_t failing = 0;    // too many of the last attempts, or one in a half-open trial
  std::uint64_t silent = 0;     // several attempts out and nothing heard
};

struct Decision {
  enum class Kind { deliver, reject, abort, call_off, wake, subscribe };
  Kind kind = Kind::wake;
  int txn = -1;
  int member = -1;
  int source = -1;         // deliver: who supplies a miss; the member itself for none
  int hop = 0;             // call_off: which hop of the txn
  int rank = 0;            // deliver: 0 keeps no copy, 1 to 3 is the rank of the kept one
  Sec time = 0;            // time-out of a hop, pause of a rejection, or when to wake
  Sec by = 0;              // deliver: the hop begins by then or not at all, 0 for no such time
  Sec age = 0;             // deliver: the oldest copy that will do, 0 for the rule's fresh time
  bool join = false;       // wait for a fill under way
  bool held_only = false;  // the source gives only what it holds
  Shed why = Shed::none;   // reject, abort
};

class Brain {
 public:
  virtual ~Brain() = default;

  // Settings, before the first input; each part takes its own few.
  virtual void set_place(const Place&) = 0;
  virtual void set_roles(const Roles&) = 0;
  virtual void add_rule(const RemapRule&) = 0;
  virtual void set_hopping(const Hopping&) = 0;
  virtual void set_filling(const Filling&) = 0;
  virtual void set_cold(const ColdStart& caches, const ColdStart& pars) = 0;
  virtual void set_weights(bool tell_transfers) = 0;  // weights are links, in transfers at a client's pace
  virtual void set_clients(const Clients&) = 0;
  virtual void set_list(bool must_ask) = 0;

  virtual Learnt learnt() const = 0;
  virtual void set_learnt(const Learnt&) = 0;  // after the settings and the first list
  virtual Ejections ejections() const = 0;     // since the start

  // Inputs.
  virtual void clock(Sec now) = 0;
  virtual void list_begin(bool whole) = 0;
  virtual void list_member(int member, std::uint64_t hash, int location, int kind, int cell, Listed state,
                           double weight, Sec started) = 0;  // started 0: long ago
  virtual void list_end() = 0;
  virtual void list_failed() = 0;
  virtual void txn_taken(int txn, int rule, std::uint64_t object, int part, std::uint32_t group,
                         double kbytes, Sec expires, bool repeat) = 0;
  // After txn_taken: the txn is a lookup, which the host answers with the member. Its hop stays out for as
  // long as what follows unseen may last, and then ends as not_sent. It stands for so many txns, in flight at
  // a time.
  virtual void stands_for(int txn, double in_flight, double txns) = 0;
  virtual void txn_left(int txn) = 0;
  virtual void load_told(int member, double busy) = 0;  // share of its capacity that it reports in use
  // waited: of the time it took, until the source's first byte or its failure; 0 where that is not told.
  // sending: the answer's own time at a client's pace, by its bytes; 0 where they are not seen.
  virtual void hop_ended(int txn, int hop, Verdict verdict, Note note, Sec took, Sec waited, Sec sending,
                         bool txn_over) = 0;
  // Copies made before are purged, for this txn's object: told with the txn and whenever it moves; 0 for
  // none.
  virtual void copies_since(int txn, Sec made) = 0;
  virtual void copies_within(Sec age) = 0;  // no older copy of any object will do; 0 for no limit
  virtual void woken() = 0;

  virtual std::optional<Decision> next() = 0;
};

std::unique_ptr<Brain> make_brain(std::uint32_t seed);

}  // namespace walkpaddle
