#include "server/descriptor_budget.h"

#include <algorithm>

#include "net/client_listener.h"

namespace walkpaddle::server {

namespace {

// Open whatever the operator's file switches on.
constexpr int kStandardStreams = 3;
constexpr int kEpoll = 1;
constexpr int kSignals = 1;
constexpr int kClientListener = 1;
constexpr int kDiscovery = 1;  // its connection, or the spare that is held for it
constexpr int kOpenFile = 1;   // configuration or snapshot, one at a time
constexpr int kJustAccepted = 1;
constexpr int kLeavingClients = static_cast<int>(net::ClientListener::kMaxClosing);
constexpr int kSpare = 1;
constexpr int kAlwaysOpen = kStandardStreams + kEpoll + kSignals + kClientListener + kDiscovery + kOpenFile +
                            kJustAccepted + kLeavingClients + kSpare;

// Purges between routers: each peer's connection and its next, the listener, one just accepted, and callers
// that have not said who they are.
constexpr int kConnectionsPerPeer = 2;
constexpr int kPeerListenerAndStrangers = 6;
constexpr int kReplicationSocket = 1;  // one for all peers
constexpr int kAdminSocket = 9;        // its listener and the most sessions at a time
constexpr int kDns = 18;               // two sockets and the most connections of lookups
constexpr int kStore = 4;              // its file, its lock, and an eventfd each way to its thread

constexpr int kLeastPerSide = 2;

int server_descriptors(const config::OperatorConfig& operators) {
  int count = kAlwaysOpen;
  if (operators.fleet.enabled && operators.fleet.exchange_purges)
    count += kConnectionsPerPeer * static_cast<int>(operators.fleet.peers.size()) + kPeerListenerAndStrangers;
  if (operators.fleet.replicate) count += kReplicationSocket;
  if (!operators.admin_socket.empty()) count += kAdminSocket;
  if (operators.dns.enabled) count += kDns;
  if (!operators.store_folder.empty()) count += kStore;
  return count;
}

}  // namespace

DescriptorBudget::DescriptorBudget(int platform_limit, const config::OperatorConfig& operators) {
  const int for_connections = platform_limit - server_descriptors(operators);
  const int for_clients = for_connections / 2;
  client_connections = static_cast<std::size_t>(std::max(kLeastPerSide, for_clients));
  upstream_connections = static_cast<std::size_t>(std::max(kLeastPerSide, for_connections - for_clients));
}

}  // namespace walkpaddle::server
