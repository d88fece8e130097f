/// \file
/// The operator's file: what an installation permits and the platform's configuration does not say. An absent
/// section is switched off.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace walkpaddle::config {

/// What the file says, checked. Addresses are texts "a.b.c.d:port" that parse.
struct OperatorConfig {
  /// Another router of the fleet.
  struct Peer {
    std::string name;     ///< unique in the fleet
    std::string address;  ///< unique in the fleet
    std::string site;     ///< where it stands; empty if the file does not say
  };
  /// Section `fleet`.
  struct Fleet {
    bool enabled = false;           ///< the section is there
    std::string name;               ///< this router's
    std::string listen;             ///< address for the other routers
    std::vector<Peer> peers;        ///< the others, this router not among them
    Seconds lease = 2;              ///< how long a purge log is trusted without its majority; 0.2 to 600
    Seconds heartbeat = 0.4;        ///< at most half of `lease`; a fifth of it where the file does not say
    Seconds copy_lifetime = 86400;  ///< no cached copy is older: purges are kept so long
    bool exchange_purges = true;    ///< key `purges`: between routers, over a link to each
    bool replicate = false;         ///< key `share`: observations of endpoints between routers, by datagrams
    int purge_log_entries = 65536;  ///< key `entries`
    int indexed_objects = 16384;    ///< key `objects`
  };
  /// Section `dns`.
  struct Dns {
    bool enabled = false;            ///< the section is there
    std::string listen;              ///< address for lookups
    std::string zone;                ///< that it answers for
    std::string server;              ///< its own name
    Seconds time_to_live = 1;        ///< key `use`: how long a client uses an answer
    double requests_per_answer = 1;  ///< key `txns`: that one answer leads to meanwhile
  };
  /// Section `changes`.
  struct Rollouts {
    bool enabled = false;         ///< the section is there
    std::string folder;           ///< of the documents, see admin/change_documents.h
    std::string site;             ///< where this router stands
    std::string generation;       ///< name of what its program and settings are
    std::string protocol_folder;  ///< key `protocol`: what releases publish, one folder each; empty: releases
                                  ///< are refused
  };

  Fleet fleet;                  ///< section `fleet`
  Dns dns;                      ///< section `dns`
  Rollouts rollouts;            ///< section `changes`
  std::string store_folder;     ///< key `store.folder`; empty: all in memory
  int store_megabytes = 256;    ///< the most that the store may grow to
  std::string warm_start_file;  ///< key `learnt.file`: the snapshot from one start to the next; empty: none
  std::string admin_socket;     ///< key `control.socket`: path; empty: none
  bool notify_purges = false;   ///< key `boxes.tell_purges`: cache servers are notified of purges
  bool log_json = false;        ///< key `log.form`
};

/// Reads and checks the whole file. ConfigError with file and line, InputError if it cannot be read.
OperatorConfig read_operator_config(const std::string& path);

}  // namespace walkpaddle::config
