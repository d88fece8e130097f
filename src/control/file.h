// The operator's file: what an installation permits and the platform's configuration does not tell. Read
// whole and checked whole; a file that cannot be used is InputError with its name, line and what was
// expected. An absent section is switched off.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace walkpaddle::control {

struct File {
  struct Peer {
    std::string name, address, site;
  };
  struct Fleet {
    bool on = false;
    std::string name, listen;
    std::vector<Peer> peers;
    Seconds lease = 2, beat = 0.4, copy_life = 86400;
    bool purges = true;  // go between routers, over a link to each
    bool share = false;  // what is known of the cache servers goes between routers too, by datagrams
    int entries = 65536, objects = 16384;
  } fleet;
  struct Dns {
    bool on = false;
    std::string listen, zone, server;
    Seconds use = 1;  // how long a client uses an answer
    double txns = 1;  // that one answer leads to meanwhile
  } dns;
  struct Changes {
    bool on = false;
    std::string folder;      // of the documents, see control/documents.h
    std::string site;        // where this router stands
    std::string generation;  // what its program and settings are, by name
    std::string protocol;    // folder of what releases publish, one folder each; empty: releases are refused
  } changes;
  std::string store_folder;  // empty: all in memory
  int store_megabytes = 256;
  std::string learnt;  // file that a planned end leaves to the next start; empty: none
  std::string socket;  // of the operators; empty: none
  bool tell_boxes = false;
  bool log_json = false;
};

File read_file(const std::string& path);

}  // namespace walkpaddle::control
