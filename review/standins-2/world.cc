#include "world.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

extern char **environ;

namespace review {

namespace {

constexpr Ms SynWaits[3] = {200, 400, 800};
constexpr Ms RetransmitMs = 200;
constexpr Ms BudgetMs = 1000;
constexpr Ms HalfOpenMs = 2000;
constexpr Ms WorkMs = 5;
constexpr unsigned Clients = 6;
constexpr std::size_t MaxHosts = 16;

//! Processes to end if this one is told to stop.
volatile pid_t StartedProcesses[MaxHosts] = {};

void endAll(int) {
  for (const volatile pid_t &Each : StartedProcesses)
    if (Each > 0)
      kill(Each, SIGKILL);
  _exit(2);
}

std::mt19937_64 &random() {
  static std::mt19937_64 Engine{std::random_device{}()};
  return Engine;
}

std::uint64_t nowNs() {
  timespec T{};
  clock_gettime(CLOCK_MONOTONIC, &T);
  return std::uint64_t(T.tv_sec) * 1000000000ULL + std::uint64_t(T.tv_nsec);
}

sockaddr_in address(std::uint32_t Ip, std::uint16_t Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_addr.s_addr = htonl(Ip);
  A.sin_port = htons(Port);
  return A;
}

int openSocket(int Type, std::uint32_t Ip, std::uint16_t Port) {
  const int Fd = socket(AF_INET, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int One = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  const sockaddr_in A = address(Ip, Port);
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&A), sizeof A) != 0 ||
      (Type == SOCK_STREAM && listen(Fd, 512) != 0)) {
    close(Fd);
    return -1;
  }
  return Fd;
}

//! Whether a port is free on all addresses.
bool isFree(std::uint16_t Port, const std::vector<std::uint32_t> &Ips) {
  for (std::uint32_t Ip : Ips)
    for (int Type : {SOCK_DGRAM, SOCK_STREAM}) {
      const int Fd = openSocket(Type, Ip, Port);
      if (Fd < 0)
        return false;
      close(Fd);
    }
  return true;
}

void put16(std::string &S, std::size_t At, std::uint16_t V) {
  S[At] = char(V >> 8);
  S[At + 1] = char(V & 255);
}
void put32(std::string &S, std::size_t At, std::uint32_t V) {
  put16(S, At, std::uint16_t(V >> 16));
  put16(S, At + 2, std::uint16_t(V & 65535));
}
std::uint16_t get16(const std::string &S, std::size_t At) {
  return std::uint16_t((std::uint8_t(S[At]) << 8) | std::uint8_t(S[At + 1]));
}
std::uint32_t get32(const std::string &S, std::size_t At) {
  return (std::uint32_t(get16(S, At)) << 16) | get16(S, At + 2);
}

//! Covers all but echo, pad and itself; never 0.
std::uint32_t sumOf(std::string P) {
  put32(P, 12, 0);
  P[27] = P[28] = P[29] = 0;
  put32(P, 30, 0);
  std::uint32_t H = 2166136261U ^ 0x5eed5eedU;
  for (char C : P)
    H = (H ^ std::uint8_t(C)) * 16777619U;
  return H | 1U;
}

std::string encode(const Header &H, const std::string &Data) {
  std::string P(HeaderBytes, '\0');
  put16(P, 0, H.Sport);
  put16(P, 2, H.Dport);
  put32(P, 4, H.Src);
  put32(P, 8, H.Dst);
  put32(P, 12, H.Echo);
  put16(P, 16, std::uint16_t(Data.size()));
  put32(P, 18, H.Seq);
  put32(P, 22, H.Ack);
  P[26] = char(H.Flags);
  P += Data;
  put32(P, 30, sumOf(P));
  return P;
}

bool decode(const std::string &P, Header &H, std::string &Data) {
  if (P.size() < HeaderBytes || get16(P, 16) != P.size() - HeaderBytes)
    return false;
  H = {.Src = get32(P, 4),
       .Dst = get32(P, 8),
       .Echo = get32(P, 12),
       .Seq = get32(P, 18),
       .Ack = get32(P, 22),
       .Sport = get16(P, 0),
       .Dport = get16(P, 2),
       .Flags = std::uint8_t(P[26]),
       .Sum = get32(P, 30)};
  Data = P.substr(HeaderBytes);
  return true;
}

std::string base64(const std::string &In) {
  static const char *T =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  Out.reserve(In.size() * 4 / 3 + 4);
  for (std::size_t I = 0; I < In.size(); I += 3) {
    const std::size_t Left = In.size() - I;
    std::uint32_t V = std::uint32_t(std::uint8_t(In[I])) << 16;
    if (Left > 1)
      V |= std::uint32_t(std::uint8_t(In[I + 1])) << 8;
    if (Left > 2)
      V |= std::uint8_t(In[I + 2]);
    Out += T[V >> 18];
    Out += T[(V >> 12) & 63];
    Out += Left > 1 ? T[(V >> 6) & 63] : '=';
    Out += Left > 2 ? T[V & 63] : '=';
  }
  return Out;
}

std::string itemJson(const std::string &Key, const std::string &Value,
                     std::uint64_t Revision, std::uint64_t Created) {
  return "{\"Key\":\"" + Key + "\",\"Value\":\"" + base64(Value) +
         "\",\"Revision\":" + std::to_string(Revision) +
         ",\"Created\":" + std::to_string(Created) + ",\"Lease\":0}";
}

std::string parameter(const std::string &Target, const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.starts_with(Name + "="))
      return Pair.substr(Name.size() + 1);
    At = End;
  }
  return "";
}

std::string response(unsigned Status, const std::string &Body,
                     const std::string &More = "") {
  return "HTTP/1.1 " + std::to_string(Status) +
         (Status == 200 ? " OK" : " Other") +
         "\r\nContent-Type: application/json\r\n" + More +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::uint64_t flowKey(std::uint32_t Ip, std::uint16_t Port) {
  return (std::uint64_t(Ip) << 16) | Port;
}

std::uint64_t mix(std::uint64_t V) {
  V ^= V >> 33;
  V *= 0xff51afd7ed558ccdULL;
  V ^= V >> 33;
  V *= 0xc4ceb9fe1a85ec53ULL;
  return V ^ (V >> 33);
}

} // namespace

std::uint32_t ip(unsigned A, unsigned B, unsigned C, unsigned D) {
  return (A << 24) | (B << 16) | (C << 8) | D;
}

std::string toText(std::uint32_t Ip) {
  return std::to_string(Ip >> 24) + "." + std::to_string((Ip >> 16) & 255) +
         "." + std::to_string((Ip >> 8) & 255) + "." + std::to_string(Ip & 255);
}

std::string
configText(unsigned Version,
           const std::vector<std::pair<unsigned, std::string>> &Routes,
           const std::map<std::string, std::size_t> &Services,
           std::uint32_t RouteIp) {
  std::string List, Names;
  for (const auto &[Port, Service] : Routes)
    List += std::string(List.empty() ? "" : ",") + "{\"Name\":\"r-" +
            std::to_string(Port) + "\",\"Host\":\"" + toText(RouteIp) +
            "\",\"Prefix\":\"/" + std::to_string(Port) +
            "/\",\"Kind\":\"unsafe\",\"TimeoutMs\":1000,\"TargetLatencyMs\":"
            "150,\"Priority\":1,\"Service\":\"" +
            Service + "\",\"MaxAttempts\":2}";
  for (const auto &[Name, Max] : Services)
    Names += std::string(Names.empty() ? "" : ",") + "{\"Name\":\"" + Name +
             "\",\"HealthPath\":\"/health\",\"MaxConnections\":" +
             std::to_string(Max) + ",\"Protocol\":\"h1\",\"Tls\":false}";
  return "{\"Version\":" + std::to_string(Version) + ",\"Routes\":[" + List +
         "],\"Services\":[" + Names +
         "],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":262144,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

void Store::change(
    World &W,
    const std::vector<std::pair<std::string, const std::string *>> &Changes) {
  for (const auto &[Key, Value] : Changes) {
    if (!Value && !Items.contains(Key))
      continue;
    Event E{
        .Key = Key, .Revision = ++Revision, .Removed = !Value, .At = W.now()};
    if (Value) {
      Item &I = Items[Key];
      I.Value = *Value;
      I.Revision = Revision;
      if (I.Created == 0)
        I.Created = Revision;
      E.Value = *Value;
      E.Created = I.Created;
    } else {
      Items.erase(Key);
    }
    W.record("store %s %s revision %llu, %zu bytes",
             Value ? "wrote" : "removed", Key.c_str(),
             static_cast<unsigned long long>(Revision),
             Value ? Value->size() : 0);
    History.push_back(std::move(E));
  }
}

//! A page of at most 500 items or about 1 MB.
std::string Store::range(const std::string &Prefix,
                         const std::string &After) const {
  std::string List;
  std::size_t Count = 0, Bytes = 0;
  auto Next =
      After.empty() ? Items.lower_bound(Prefix) : Items.upper_bound(After);
  for (; Next != Items.end() && Next->first.starts_with(Prefix) &&
         Count < 500 && Bytes < 1000000;
       ++Next) {
    List += (Count++ ? "," : "") + itemJson(Next->first, Next->second.Value,
                                            Next->second.Revision,
                                            Next->second.Created);
    Bytes += Next->second.Value.size();
  }
  const bool More = Next != Items.end() && Next->first.starts_with(Prefix);
  return "{\"items\":[" + List + "],\"HasMore\":" + (More ? "true" : "false") +
         ",\"AsOf\":" + std::to_string(Revision) + "}";
}

std::string Store::events(const std::string &Prefix,
                          std::uint64_t After) const {
  std::string List;
  for (const Event &E : History) {
    if (E.Revision <= After || !E.Key.starts_with(Prefix))
      continue;
    List += List.empty() ? "" : ",";
    List += E.Removed ? "{\"Key\":\"" + E.Key +
                            "\",\"Revision\":" + std::to_string(E.Revision) +
                            ",\"Removed\":true}"
                      : itemJson(E.Key, E.Value, E.Revision, E.Created);
  }
  if (List.empty())
    return "";
  return "{\"events\":[" + List + "],\"AsOf\":" + std::to_string(Revision) +
         "}";
}

World::World(const std::string &RecordFile)
    : RouteIp(ip(127, 44, 0, 1)), Connections(new std::list<Connection>) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, endAll);
  signal(SIGINT, endAll);
  StartNs = nowNs();
  Record = std::fopen(RecordFile.c_str(), "w");
  char Template[] = "/tmp/review-2-XXXXXX";
  Folder = mkdtemp(Template);
  std::vector<std::uint32_t> Ips{ip(127, 40, 0, 1)};
  for (unsigned I = 1; I <= 9; ++I) {
    Ips.push_back(ip(127, 41, 0, I));
    Ips.push_back(ip(127, 42, 0, I));
  }
  const auto freePort = [&] {
    while (true) {
      const auto Port = std::uint16_t(12000 + random()() % 18000);
      if (isFree(Port, Ips))
        return Port;
    }
  };
  PacketPort = freePort();
  ReadyPort = freePort();
  MetricsPort = freePort();
  InternalPort = freePort();
  StorePort = freePort();
  StoreFd = openSocket(SOCK_STREAM, ip(127, 40, 0, 1), StorePort);
  for (unsigned I = 1; I <= Clients; ++I) {
    const std::uint32_t Ip = ip(127, 42, 0, I);
    ClientSockets[Ip] = openSocket(SOCK_DGRAM, Ip, PacketPort);
  }
}

World::~World() {
  for (Host &H : Hosts)
    if (H.Pid > 0)
      kill(H.Pid, SIGKILL);
  for (Host &H : Hosts)
    if (H.Pid > 0)
      waitpid(H.Pid, nullptr, 0);
  if (std::getenv("KEEP") == nullptr) {
    for (const Host &H : Hosts)
      for (const char *End : {".json", ".log"})
        unlink((Folder + "/" + H.Name + End).c_str());
    rmdir(Folder.c_str());
  } else {
    std::fprintf(stderr, "kept %s\n", Folder.c_str());
  }
  std::fclose(Record);
  delete Connections;
}

Ms World::now() const { return double(nowNs() - StartNs) / 1e6; }

void World::record(const char *Format, ...) {
  std::fprintf(Record, "%10.1f ", now());
  va_list Args;
  va_start(Args, Format);
  std::vfprintf(Record, Format, Args);
  va_end(Args);
  std::fputc('\n', Record);
}

void World::note(const char *Format, ...) {
  va_list Args;
  va_start(Args, Format);
  std::vfprintf(Record, Format, Args);
  va_end(Args);
  std::fputc('\n', Record);
}

std::string World::hostName(std::uint32_t Ip) const {
  for (const Host &H : Hosts)
    if (H.Ip == Ip)
      return H.Name;
  return toText(Ip);
}

//! What the platform makes of platform/settings.template.json on a site of
//! three zones.
void World::writeSettings(Host &H) {
  std::FILE *Out = std::fopen((Folder + "/" + H.Name + ".json").c_str(), "w");
  const std::string Ip = toText(H.Ip);
  std::fprintf(
      Out,
      "{\"name\":\"%s\",\"failure_domain\":\"sapporo-kita\","
      "\"failure_domains\":[\"sapporo-kita\",\"ebetsu\",\"chitose\"],"
      "\"packet_listen\":\"%s:%u\",\"ready_listen\":\"%s:%u\","
      "\"ready_path\":\"/v1/readiness\",\"metrics_listen\":\"%s:%u\","
      "\"host_ip\":\"%s\",\"internal_ports\":[%u,%u],"
      "\"seeds\":[\"127.41.0.1:%u\",\"127.41.0.2:%u\",\"127.41.0.3:%u\"],"
      "\"store\":\"127.40.0.1:%u\",\"detect_within_ms\":4000,"
      "\"apply_within_ms\":3000,\"drain_within_ms\":3000,"
      "\"processor_share\":0.25,\"regions\":{\"sapporo-kita\":\"doo-central\","
      "\"ebetsu\":\"doo-central\",\"chitose\":\"doo-central\"},"
      "\"flow_lifetime_s\":60}\n",
      H.Name.c_str(), Ip.c_str(), PacketPort, Ip.c_str(), ReadyPort, Ip.c_str(),
      MetricsPort, Ip.c_str(), InternalPort, InternalPort + 15, MetricsPort,
      MetricsPort, MetricsPort, StorePort);
  std::fclose(Out);
}

void World::startHosts(unsigned Count) {
  for (unsigned I = 1; I <= Count; ++I) {
    Host H{.Name = "front-sapporo-kita-" + std::to_string(I),
           .Ip = ip(127, 41, 0, I)};
    writeSettings(H);
    const std::string Settings =
        "BUCKTHORNDECK_CONFIG=" + Folder + "/" + H.Name + ".json";
    const std::string Log = Folder + "/" + H.Name + ".log";
    posix_spawn_file_actions_t Files;
    posix_spawn_file_actions_init(&Files);
    posix_spawn_file_actions_addopen(&Files, 1, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&Files, 1, 2);
    std::vector<char *> Environment;
    for (char **E = environ; *E; ++E)
      if (std::strncmp(*E, "PATH=", 5) == 0 ||
          std::strncmp(*E, "HOME=", 5) == 0 ||
          std::strncmp(*E, "LANG=", 5) == 0)
        Environment.push_back(*E);
    Environment.push_back(const_cast<char *>(Settings.c_str()));
    Environment.push_back(nullptr);
    // The command of deploy/system.toml.
    char Program[] = "target/buckthorndeck", Role[] = "packets";
    char *Words[] = {Program, Role, nullptr};
    if (posix_spawn(&H.Pid, Program, &Files, nullptr, Words,
                    Environment.data()) != 0)
      H.Pid = -1;
    StartedProcesses[I] = H.Pid;
    posix_spawn_file_actions_destroy(&Files);
    record("started %s at %s", H.Name.c_str(), toText(H.Ip).c_str());
    Hosts.push_back(H);
  }
}

bool World::isReady(const Host &H) const {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{.tv_sec = 0, .tv_usec = 300000};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  const sockaddr_in A = address(H.Ip, ReadyPort);
  const std::string Request =
      "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char Answer[64] = {};
  const bool Ok =
      connect(Fd, reinterpret_cast<const sockaddr *>(&A), sizeof A) == 0 &&
      ::send(Fd, Request.data(), Request.size(), 0) > 0 &&
      recv(Fd, Answer, sizeof Answer - 1, 0) > 0 &&
      std::strncmp(Answer, "HTTP/1.1 200", 12) == 0;
  close(Fd);
  return Ok;
}

bool World::waitReady(Ms Limit) {
  const Ms Until = now() + Limit;
  while (now() < Until) {
    runUntil(now() + 200);
    bool All = true;
    for (Host &H : Hosts) {
      H.Ready = H.Pid > 0 && isReady(H);
      All = All && H.Ready;
    }
    if (All) {
      record("all hosts are ready");
      return true;
    }
  }
  return false;
}

Server &World::addServer(const std::string &Service,
                         std::size_t MaxConnections) {
  auto S = std::make_unique<Server>();
  S->Number = random()() >> 24;
  char Id[32];
  std::snprintf(Id, sizeof Id, "i-%llx",
                static_cast<unsigned long long>(S->Number));
  S->Id = Id;
  S->Service = Service;
  S->MaxConnections = MaxConnections;
  S->Ip = ip(127, 43, 0, NextServer++);
  while (S->Udp < 0 || S->Tcp < 0) {
    if (S->Udp >= 0)
      close(S->Udp);
    S->Port = std::uint16_t(12000 + random()() % 18000);
    S->Udp = openSocket(SOCK_DGRAM, S->Ip, S->Port);
    if (S->Udp >= 0)
      S->Tcp = openSocket(SOCK_STREAM, S->Ip, S->Port);
  }
  timespec T{};
  clock_gettime(CLOCK_REALTIME, &T);
  S->Born = std::uint64_t(T.tv_sec) * 1000 + std::uint64_t(T.tv_nsec) / 1000000;
  S->NextReport = now();
  record("server %s of %s at %s:%u, %zu connections", S->Id.c_str(),
         Service.c_str(), toText(S->Ip).c_str(), S->Port, MaxConnections);
  Servers.push_back(std::move(S));
  return *Servers.back();
}

ClientFlow &World::openFlow(std::uint16_t RoutePort, Ms HoldMs) {
  auto F = std::make_unique<ClientFlow>();
  F->Number = NextNumber++;
  F->Ip = ip(127, 42, 0, 1 + unsigned(random()() % Clients));
  F->Port = NextClientPort++;
  if (NextClientPort > 60000)
    NextClientPort = 1100;
  F->RoutePort = RoutePort;
  F->RouteIp = RouteIp;
  F->Seq = std::uint32_t(random()());
  F->StartedAt = F->NextAt = now();
  F->HoldMs = HoldMs;
  ByAddress[flowKey(F->Ip, F->Port)] = F.get();
  Flows.push_back(std::move(F));
  tickFlow(*Flows.back());
  return *Flows.back();
}

const Host *World::route(const ClientFlow &F) const {
  std::vector<const Host *> In;
  for (const Host &H : Hosts)
    if (H.Ready)
      In.push_back(&H);
  if (In.empty())
    return nullptr;
  const std::uint64_t Hash = mix(flowKey(F.Ip, F.Port) * 31 + F.RoutePort);
  return In[Hash % In.size()];
}

void World::sendFromClient(ClientFlow &F, std::uint8_t Flags, std::uint32_t Seq,
                           std::uint32_t Ack, const std::string &Data) {
  const Host *H = route(F);
  if (!H)
    return;
  const std::string P = encode({.Src = F.Ip,
                                .Dst = F.RouteIp,
                                .Echo = (Flags & SynFlag) ? 0 : F.Echo,
                                .Seq = Seq,
                                .Ack = Ack,
                                .Sport = F.Port,
                                .Dport = F.RoutePort,
                                .Flags = Flags},
                               Data);
  const sockaddr_in A = address(H->Ip, PacketPort);
  sendto(ClientSockets.at(F.Ip), P.data(), P.size(), 0,
         reinterpret_cast<const sockaddr *>(&A), sizeof A);
}

std::string requestOf(const ClientFlow &F) {
  return "POST /bid HTTP/1.1\r\nRequest-Id: " + std::to_string(F.Number) +
         "\r\nContent-Length: 0\r\n\r\n";
}

void World::tickFlow(ClientFlow &F) {
  const Ms Now = now();
  if (F.Over || Now < F.NextAt)
    return;
  if (F.OpenedAt < 0) {
    if (F.Copies == 3) {
      F.Over = true;
      F.Outcome = "not opened";
      return;
    }
    F.SentAt[F.Copies] = Now;
    sendFromClient(F, SynFlag, F.Seq, F.Copies, "");
    F.NextAt = Now + SynWaits[F.Copies++];
    return;
  }
  if (!F.Answered) {
    if (Now - F.StartedAt > BudgetMs + 1400) {
      F.Over = true;
      F.Outcome = "timed out";
      return;
    }
    sendFromClient(F, AckFlag, F.Seq + 1, F.ServerSeq + 1, requestOf(F));
    F.NextAt = Now + RetransmitMs;
    return;
  }
  if (Now >= F.CloseAt) {
    // The flow is idle until then; both ends close it.
    const auto End = F.Seq + 1 + std::uint32_t(requestOf(F).size());
    sendFromClient(F, FinFlag | AckFlag, End, F.ServerSeq + 1 + 100, "");
    F.Closing = true;
    F.NextAt = Now + RetransmitMs;
    if (++F.Retries > 8)
      F.Over = true;
    return;
  }
  F.NextAt = F.CloseAt;
}

void World::receiveAtClient(int Fd) {
  char Buffer[2048];
  while (true) {
    const ssize_t Size = recv(Fd, Buffer, sizeof Buffer, 0);
    if (Size < 0)
      return;
    Header H;
    std::string Data;
    if (!decode(std::string(Buffer, std::size_t(Size)), H, Data))
      continue;
    const auto Found = ByAddress.find(flowKey(H.Dst, H.Dport));
    if (Found == ByAddress.end() || Found->second->Over ||
        Found->second->RoutePort != H.Sport)
      continue;
    ClientFlow &F = *Found->second;
    if (H.Flags & RstFlag) {
      F.Over = true;
      F.Outcome = F.OpenedAt < 0 ? "refused" : "reset";
      F.Outcome += H.Sum == 0 ? " by an entry host" : " by a server";
      continue;
    }
    if (H.Flags & SynFlag) {
      if (F.OpenedAt >= 0 || H.Ack != F.Seq + 1)
        continue; // Another server that answered a copy of the SYN.
      F.OpenedAt = now();
      F.ServerSeq = H.Seq;
      F.Echo = H.Echo;
      F.NextAt = 0;
      tickFlow(F);
      continue;
    }
    F.Echo = H.Echo;
    if (!Data.empty() && !F.Answered) {
      F.Answered = true;
      F.Outcome = "answered";
      F.CloseAt = now() + F.HoldMs;
      F.NextAt = F.CloseAt;
      const auto End = F.Seq + 1 + std::uint32_t(requestOf(F).size());
      sendFromClient(F, AckFlag, End, F.ServerSeq + 1 + 100, "");
      if (F.HoldMs <= 0)
        tickFlow(F);
    }
    if ((H.Flags & FinFlag) && F.Closing)
      F.Over = true;
  }
}

void World::receiveAtServer(Server &S) {
  char Buffer[2048];
  while (true) {
    sockaddr_in From{};
    socklen_t Length = sizeof From;
    const ssize_t Size = recvfrom(S.Udp, Buffer, sizeof Buffer, 0,
                                  reinterpret_cast<sockaddr *>(&From), &Length);
    if (Size < 0)
      return;
    const std::string All(Buffer, std::size_t(Size));
    if (All.size() < 8)
      continue;
    const std::uint64_t Number =
        (std::uint64_t(get32(All, 0)) << 32) | get32(All, 4);
    if (Number != 0 && Number != S.Number)
      continue; // Not the intended server.
    Header H;
    std::string Data;
    if (!decode(All.substr(8), H, Data) || H.Sum != sumOf(All.substr(8)))
      continue;
    const auto Reply = [&](const ServerFlow *F, std::uint8_t Flags,
                           std::uint32_t Seq, std::uint32_t Ack,
                           const std::string &Body) {
      const std::string P = encode({.Src = H.Dst,
                                    .Dst = H.Src,
                                    .Echo = F ? F->Echo : H.Echo,
                                    .Seq = Seq,
                                    .Ack = Ack,
                                    .Sport = H.Dport,
                                    .Dport = H.Sport,
                                    .Flags = Flags},
                                   Body);
      const sockaddr_in To = address(H.Src, PacketPort);
      sendto(S.Udp, P.data(), P.size(), 0,
             reinterpret_cast<const sockaddr *>(&To), sizeof To);
    };
    const std::uint64_t Key = flowKey(H.Src, H.Sport);
    auto Found = S.Flows.find(Key);
    if (H.Flags & SynFlag) {
      if (Found == S.Flows.end()) {
        if (S.Flows.size() >= S.MaxConnections)
          continue; // A server that is full sends nothing.
        ServerFlow F{.OwnSeq = std::uint32_t(random()()),
                     .ClientSeq = H.Seq,
                     .At = now(),
                     .Via = ntohl(From.sin_addr.s_addr),
                     .Copy = H.Ack};
        Found = S.Flows.emplace(Key, F).first;
      }
      Found->second.Echo = H.Echo;
      Reply(&Found->second, SynFlag | AckFlag, Found->second.OwnSeq, H.Seq + 1,
            "");
      continue;
    }
    if (Found == S.Flows.end()) {
      if (H.Flags & FinFlag)
        Reply(nullptr, FinFlag | AckFlag, H.Ack, H.Seq + 1, "");
      else if (!(H.Flags & RstFlag))
        Reply(nullptr, RstFlag, H.Ack, 0, "");
      continue;
    }
    ServerFlow &F = Found->second;
    if (H.Flags & RstFlag) {
      S.Flows.erase(Found);
      continue;
    }
    if (!F.Open && H.Ack != F.OwnSeq + 1)
      continue;
    F.Open = true;
    F.Echo = H.Echo;
    if (!Data.empty() && !F.Answered) {
      F.Answered = true;
      ++S.Runs;
      const auto Flow = ByAddress.find(Key);
      if (Flow != ByAddress.end()) {
        Runs.push_back({.At = &S,
                        .Flow = Flow->second,
                        .Via = F.Via,
                        .Copy = F.Copy,
                        .OpeningAt = F.At});
      }
    }
    if (!Data.empty())
      Reply(&F, AckFlag, F.OwnSeq + 1, H.Seq + std::uint32_t(Data.size()),
            std::string(100, 'a'));
    if (H.Flags & FinFlag) {
      Reply(&F, FinFlag | AckFlag, F.OwnSeq + 101, H.Seq + 1, "");
      S.Flows.erase(Found);
    }
  }
}

void World::tickServer(Server &S) {
  const Ms Now = now();
  for (auto I = S.Flows.begin(); I != S.Flows.end();)
    I = !I->second.Open && Now - I->second.At > HalfOpenMs ? S.Flows.erase(I)
                                                           : std::next(I);
  if (S.Reports && Now >= S.NextReport) {
    S.NextReport = Now + HeartbeatMs;
    S.LastReport = Now;
    ++S.Sequence;
    const std::string Entry =
        "{\"Service\":\"" + S.Service + "\",\"Address\":\"" + toText(S.Ip) +
        ":" + std::to_string(S.Port) +
        "\",\"Zone\":\"sapporo-kita\",\"Version\":\"v1\",\"Slots\":2,"
        "\"State\":\"" +
        (S.Draining ? "draining" : "ready") +
        "\",\"WarmupLeftMs\":0,\"born\":" + std::to_string(S.Born);
    // The entry changes when more than Sequence changes.
    if (!S.Registered || Entry != S.Entry) {
      S.Registered = true;
      S.Entry = Entry;
      Keys.put(*this, "servers/" + S.Id,
               Entry + ",\"Sequence\":" + std::to_string(S.Sequence) + "}");
      S.GoneAt = -1;
      if (S.Draining && S.DrainingAt < 0)
        S.DrainingAt = now();
    }
  }
  if (S.Registered && Now - S.LastReport > 3 * HeartbeatMs) {
    S.Registered = false;
    Keys.remove(*this, "servers/" + S.Id);
    S.GoneAt = now();
  }
}

void World::answerStore(Connection &C, const std::string &Target) {
  if (Target.starts_with("/v1/kv-range")) {
    C.Out += response(200, Keys.range(parameter(Target, "Prefix"),
                                      parameter(Target, "after")));
  } else if (Target.starts_with("/v1/kv-watch")) {
    C.Waiting = true;
    C.Prefix = parameter(Target, "Prefix");
    C.After = std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    C.Due = now() + std::atof(parameter(Target, "WaitMs").c_str());
  } else {
    C.Out += response(404, "{}");
  }
}

void World::finishWatches() {
  while (!Keys.History.empty() && now() - Keys.History.front().At > HistoryMs) {
    Keys.Compacted = Keys.History.front().Revision;
    Keys.History.pop_front();
  }
  for (Connection &C : *Connections) {
    if (!C.Waiting)
      continue;
    if (C.After < Keys.Compacted) {
      C.Out += response(410, "{}");
      C.Waiting = false;
      continue;
    }
    const bool News = Keys.Revision > C.After;
    const std::string Events = News ? Keys.events(C.Prefix, C.After) : "";
    if (!Events.empty()) {
      C.Out += response(200, Events);
      record("store answers a watch after %llu with %zu bytes",
             static_cast<unsigned long long>(C.After), Events.size());
      C.Waiting = false;
    } else if (now() >= C.Due) {
      C.Out += response(200, "{\"events\":[],\"AsOf\":" +
                                 std::to_string(Keys.Revision) + "}");
      C.Waiting = false;
    }
  }
}

void World::handleConnection(Connection &C) {
  char Buffer[4096];
  while (true) {
    const ssize_t Size = recv(C.Fd, Buffer, sizeof Buffer, 0);
    if (Size == 0 || (Size < 0 && errno != EAGAIN)) {
      close(C.Fd);
      C.Fd = -1;
      return;
    }
    if (Size < 0)
      break;
    C.In.append(Buffer, std::size_t(Size));
  }
  const std::size_t End = C.In.find("\r\n\r\n");
  if (End == std::string::npos)
    return;
  const std::size_t First = C.In.find(' ');
  const std::string Target =
      C.In.substr(First + 1, C.In.find(' ', First + 1) - First - 1);
  C.In.erase(0, End + 4);
  if (C.Health)
    C.Out += response(C.Health->Draining ? 503 : 200, "{}",
                      "Instance-Id: " + C.Health->Id + "\r\n");
  else
    answerStore(C, Target);
}

void World::tick() {
  const Ms Now = now();
  while (!Actions.empty() && Actions.begin()->first <= Now) {
    const auto Action = std::move(Actions.begin()->second);
    Actions.erase(Actions.begin());
    Action();
  }
  for (const auto &S : Servers)
    tickServer(*S);
  for (const auto &F : Flows)
    tickFlow(*F);
  finishWatches();
  for (Host &H : Hosts)
    if (H.Pid > 0 && waitpid(H.Pid, nullptr, WNOHANG) == H.Pid) {
      for (volatile pid_t &Each : StartedProcesses)
        if (Each == H.Pid)
          Each = 0;
      H.Pid = -1;
      HostDied = true;
      record("%s ended by itself", H.Name.c_str());
    }
}

void World::poll(Ms Until) {
  std::vector<pollfd> Fds{{.fd = StoreFd, .events = POLLIN, .revents = 0}};
  const auto Add = [&](int Fd, short Events) {
    Fds.push_back({.fd = Fd, .events = Events, .revents = 0});
  };
  for (const auto &S : Servers) {
    Add(S->Udp, POLLIN);
    Add(S->Tcp, POLLIN);
  }
  for (const auto &[Ip, Fd] : ClientSockets)
    Add(Fd, POLLIN);
  for (const Connection &C : *Connections)
    Add(C.Fd, short(POLLIN | (C.Out.empty() ? 0 : POLLOUT)));
  const int Wait = int(std::clamp(Until - now(), 0.0, 2.0));
  ::poll(Fds.data(), Fds.size(), Wait);
  std::map<int, short> Ready;
  for (const pollfd &P : Fds)
    if (P.revents)
      Ready[P.fd] = P.revents;
  const auto Accept = [&](int Fd, Server *Health) {
    while (Ready.contains(Fd)) {
      const int Next =
          accept4(Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Next < 0)
        return;
      const int One = 1;
      setsockopt(Next, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      Connection C;
      C.Fd = Next;
      C.Health = Health;
      Connections->push_back(std::move(C));
    }
  };
  for (Connection &C : *Connections)
    if (Ready.contains(C.Fd) && (Ready[C.Fd] & (POLLIN | POLLERR | POLLHUP)))
      handleConnection(C);
  Accept(StoreFd, nullptr);
  for (const auto &S : Servers) {
    Accept(S->Tcp, S.get());
    if (Ready.contains(S->Udp))
      receiveAtServer(*S);
  }
  for (const auto &[Ip, Fd] : ClientSockets)
    if (Ready.contains(Fd))
      receiveAtClient(Fd);
  tick();
  for (Connection &C : *Connections) {
    if (C.Fd < 0 || C.Out.empty())
      continue;
    const ssize_t Sent = ::send(C.Fd, C.Out.data(), C.Out.size(), 0);
    if (Sent > 0)
      C.Out.erase(0, std::size_t(Sent));
  }
  Connections->remove_if([](const Connection &C) { return C.Fd < 0; });
}

void World::runUntil(Ms Time) {
  while (now() < Time)
    poll(Time);
}

} // namespace review
