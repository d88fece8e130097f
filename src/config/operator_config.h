/// \file
/// The operator's file: settings of an installation that the platform's configuration does not contain. A
/// function whose section is absent is off.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace walkpaddle::config {

/// The validated contents of the file. Addresses are valid texts "a.b.c.d:port".
struct OperatorConfig {
  /// Another router of the fleet.
  struct Peer {
    std::string name;     ///< unique in the fleet
    std::string address;  ///< unique in the fleet
    std::string site;     ///< the site that it is at; empty if not configured
  };
  /// Section `fleet`.
  struct Fleet {
    bool enabled = false;           ///< whether the section is present
    std::string name;               ///< name of this router
    std::string listen;             ///< address on which this router receives from the others
    std::vector<Peer> peers;        ///< the other routers
    Seconds lease = 2;              ///< how long a purge log is trusted without a majority; 0.2 to 600
    Seconds heartbeat = 0.4;        ///< key `beat`: at most half of `lease`; a fifth of it by default
    Seconds copy_lifetime = 86400;  ///< key `copy_life`: longest age of a copy; purges are kept as long
    bool exchange_purges = true;    ///< key `purges`: replicate purges, over a link to each peer
    bool replicate = false;         ///< key `share`: replicate observations of endpoints, by datagrams
    int purge_log_entries = 65536;  ///< key `entries`: most purges in the log
    int indexed_objects = 16384;    ///< key `objects`: most objects whose tags are remembered
  };
  /// Section `dns`.
  struct Dns {
    bool enabled = false;            ///< whether the section is present
    std::string listen;              ///< address for lookups
    std::string zone;                ///< domain that the router answers for
    std::string server;              ///< domain name of the router's DNS server
    Seconds time_to_live = 1;        ///< key `use`: time to live of an answer
    double requests_per_answer = 1;  ///< key `txns`: requests that one answer leads to in that time
  };
  /// Section `changes`.
  struct Rollouts {
    bool enabled = false;         ///< whether the section is present
    std::string folder;           ///< folder of the change documents, see admin/change_documents.h
    std::string site;             ///< the site that this router is at
    std::string generation;       ///< name of its program and settings as installed
    std::string protocol_folder;  ///< key `protocol`: folder with a folder for the schemas of each release;
                                  ///< empty: releases are refused
  };

  Fleet fleet;                  ///< section `fleet`
  Dns dns;                      ///< section `dns`
  Rollouts rollouts;            ///< section `changes`
  std::string store_folder;     ///< key `store.folder`; empty: nothing is kept on disk
  int store_megabytes = 256;    ///< key `store.megabytes`: maximum size of the store
  std::string warm_start_file;  ///< key `learnt.file`: path of the warm-start snapshot; empty: none
  std::string admin_socket;     ///< key `control.socket`: path of the admin socket; empty: none
  bool notify_purges = false;   ///< key `boxes.tell_purges`: notify cache servers of purges
  bool log_json = false;        ///< key `log.form` is json
};

/// Reads and validates the file. Throws ConfigError with file and line, InputError if it cannot be read.
OperatorConfig read_operator_config(const std::string& path);

}  // namespace walkpaddle::config
