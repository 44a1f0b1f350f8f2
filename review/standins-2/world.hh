// The stand-ins of this review: the platform's store and routers, servers and
// clients, in one process with one poll loop. Entry hosts are started as
// processes of their own, with the command of the deploy file.
//
// All follow PROTOCOL.md. Addresses are loopback addresses. Times are
// milliseconds since the start of the run.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using Ms = double;

constexpr Ms HeartbeatMs = 1200;
constexpr Ms ConfigApplyMs = 3000;
constexpr Ms RevertSlackMs = 250;
constexpr Ms DrainMs = 3000;
constexpr Ms HistoryMs = 20000;

struct Header {
  std::uint32_t Src = 0, Dst = 0, Echo = 0, Seq = 0, Ack = 0;
  std::uint16_t Sport = 0, Dport = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Sum = 0;
};
constexpr std::uint8_t SynFlag = 128, AckFlag = 8, FinFlag = 32, RstFlag = 1;
constexpr std::size_t HeaderBytes = 34;

struct World;

//! The platform's store: keys, leases left out, watches and their history.
struct Store {
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0;
  };
  struct Event {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
    std::string Value;
    std::uint64_t Created = 0;
    Ms At = 0;
  };
  std::map<std::string, Item> Items;
  std::deque<Event> History;
  std::uint64_t Revision = 1;
  std::uint64_t Compacted = 1;

  //! One transaction. A value is written, none removes the key.
  void change(World &W,
              const std::vector<std::pair<std::string, const std::string *>> &);
  void put(World &W, const std::string &Key, const std::string &Value) {
    change(W, {{Key, &Value}});
  }
  void remove(World &W, const std::string &Key) { change(W, {{Key, nullptr}}); }
  std::string range(const std::string &Prefix, const std::string &After) const;
  //! Empty while there is nothing to tell.
  std::string events(const std::string &Prefix, std::uint64_t After) const;
};

//! A flow as its server holds it.
struct ServerFlow {
  std::uint32_t OwnSeq = 0, ClientSeq = 0;
  std::uint32_t Echo = 0;
  bool Open = false, Answered = false;
  Ms At = 0;
  std::uint32_t Via = 0; //!< Entry host that sent the opening packet on.
  unsigned Copy = 0;     //!< Of the opening packet.
};

struct Server {
  std::string Id; //!< i-<hexadecimal digits>
  std::uint64_t Number = 0;
  std::string Service;
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  int Udp = -1, Tcp = -1;
  std::size_t MaxConnections = 2000;
  bool Draining = false;
  bool Reports = true; //!< Its reports reach the store.
  bool Registered = false;
  std::uint64_t Born = 0, Sequence = 0;
  std::string Entry; //!< As last written, without its Sequence.
  Ms LastReport = -1e9, NextReport = 0;
  std::map<std::uint64_t, ServerFlow> Flows; //!< By client address and port.
  Ms GoneAt = -1;     //!< When the store confirmed that it is gone.
  Ms DrainingAt = -1; //!< Likewise, that it is draining.
  std::uint64_t Runs = 0;
};

struct ClientFlow {
  std::uint64_t Number = 0; //!< Id of its request.
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  std::uint16_t RoutePort = 0;
  std::uint32_t RouteIp = 0;
  std::uint32_t Seq = 0, ServerSeq = 0, Echo = 0;
  Ms SentAt[3] = {-1, -1, -1};
  Ms StartedAt = 0, NextAt = 0, OpenedAt = -1, CloseAt = -1, HoldMs = 0;
  unsigned Copies = 0, Retries = 0;
  bool Answered = false, Closing = false, Over = false;
  std::string Outcome;
};

struct Host {
  std::string Name;
  std::uint32_t Ip = 0;
  pid_t Pid = -1;
  bool Ready = false;
};

//! A request that a server has run.
struct Run {
  const Server *At = nullptr;
  const ClientFlow *Flow = nullptr;
  std::uint32_t Via = 0;
  unsigned Copy = 0;
  Ms OpeningAt = 0; //!< Arrival of the opening packet at the server.
};

struct World {
  explicit World(const std::string &RecordFile);
  ~World();

  void startHosts(unsigned Count);
  Server &addServer(const std::string &Service, std::size_t MaxConnections);
  //! Opens a flow for one request and keeps it for HoldMs afterwards.
  ClientFlow &openFlow(std::uint16_t RoutePort, Ms HoldMs);
  void runUntil(Ms Time);
  bool waitReady(Ms Limit);
  void at(Ms Time, std::function<void()> Action) {
    Actions.emplace(Time, std::move(Action));
  }
  Ms now() const;
  void record(const char *Format, ...) __attribute__((format(printf, 2, 3)));
  //! The same without the time.
  void note(const char *Format, ...) __attribute__((format(printf, 2, 3)));
  std::string hostName(std::uint32_t Ip) const;

  Store Keys;
  std::vector<std::unique_ptr<Server>> Servers;
  std::deque<std::unique_ptr<ClientFlow>> Flows;
  std::vector<Host> Hosts;
  std::deque<Run> Runs;
  std::uint32_t RouteIp = 0;
  bool HostDied = false;

private:
  struct Connection {
    int Fd = -1;
    Server *Health = nullptr; //!< Null: at the store.
    std::string In, Out;
    bool Waiting = false;
    std::string Prefix;
    std::uint64_t After = 0;
    Ms Due = 0;
  };
  void poll(Ms Until);
  void handleConnection(Connection &C);
  void answerStore(Connection &C, const std::string &Target);
  void finishWatches();
  void receiveAtServer(Server &S);
  void receiveAtClient(int Fd);
  void tick();
  void tickServer(Server &S);
  void tickFlow(ClientFlow &F);
  void sendFromClient(ClientFlow &F, std::uint8_t Flags, std::uint32_t Seq,
                      std::uint32_t Ack, const std::string &Data);
  const Host *route(const ClientFlow &F) const;
  void writeSettings(Host &H);
  bool isReady(const Host &H) const;

  std::FILE *Record = nullptr;
  std::string Folder; //!< Temporary: settings and logs of the hosts.
  std::uint64_t StartNs = 0;
  std::uint16_t PacketPort = 0, ReadyPort = 0, MetricsPort = 0,
                InternalPort = 0, StorePort = 0;
  int StoreFd = -1;
  std::map<std::uint32_t, int> ClientSockets;
  std::list<Connection> *Connections = nullptr;
  std::multimap<Ms, std::function<void()>> Actions;
  std::map<std::uint64_t, ClientFlow *> ByAddress;
  std::uint64_t NextNumber = 1;
  std::uint16_t NextClientPort = 1100;
  unsigned NextServer = 1;
};

std::uint32_t ip(unsigned A, unsigned B, unsigned C, unsigned D);
std::string toText(std::uint32_t Ip);
//! A configuration with one route for each pair of port and service.
std::string
configText(unsigned Version,
           const std::vector<std::pair<unsigned, std::string>> &Routes,
           const std::map<std::string, std::size_t> &Services,
           std::uint32_t RouteIp);

} // namespace review
