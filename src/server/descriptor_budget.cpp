#include "server/descriptor_budget.h"

#include <algorithm>

#include "net/client_listener.h"

namespace walkpaddle::server {

namespace {

// Descriptors that are needed whatever the operator's file enables.
constexpr int kStandardStreams = 3;
constexpr int kEpoll = 1;
constexpr int kSignals = 1;
constexpr int kClientListener = 1;
constexpr int kDiscovery = 1;  // its connection, or the spare descriptor reserved for it
constexpr int kOpenFile = 1;   // configuration or snapshot file, one at a time
constexpr int kJustAccepted = 1;
constexpr int kClosingClients = static_cast<int>(net::ClientListener::kMaxClosing);
constexpr int kSpare = 1;
constexpr int kAlwaysOpen = kStandardStreams + kEpoll + kSignals + kClientListener + kDiscovery + kOpenFile +
                            kJustAccepted + kClosingClients + kSpare;

// Replication of purges between routers: for each peer its connection and the one that replaces it; the
// listener, a connection just accepted, and connections whose peer has not identified itself yet.
constexpr int kConnectionsPerPeer = 2;
constexpr int kPeerListenerAndUnidentified = 6;
constexpr int kReplicationSocket = 1;  // one socket for all peers
constexpr int kAdminSocket = 9;        // the listener and the sessions, at most 8 at a time
constexpr int kDns = 18;               // the UDP and the TCP socket, and at most 16 TCP connections
constexpr int kStore = 4;              // data file, lock file, and an eventfd to its thread and one back

constexpr int kMinPerSide = 2;

int server_descriptors(const config::OperatorConfig& operator_config) {
  int count = kAlwaysOpen;
  if (operator_config.fleet.enabled && operator_config.fleet.exchange_purges)
    count += kConnectionsPerPeer * static_cast<int>(operator_config.fleet.peers.size()) +
             kPeerListenerAndUnidentified;
  if (operator_config.fleet.replicate) count += kReplicationSocket;
  if (!operator_config.admin_socket.empty()) count += kAdminSocket;
  if (operator_config.dns.enabled) count += kDns;
  if (!operator_config.store_folder.empty()) count += kStore;
  return count;
}

}  // namespace

DescriptorBudget::DescriptorBudget(int platform_limit, const config::OperatorConfig& operator_config) {
  const int for_connections = platform_limit - server_descriptors(operator_config);
  const int for_clients = for_connections / 2;
  client_connections = static_cast<std::size_t>(std::max(kMinPerSide, for_clients));
  upstream_connections = static_cast<std::size_t>(std::max(kMinPerSide, for_connections - for_clients));
}

}  // namespace walkpaddle::server
