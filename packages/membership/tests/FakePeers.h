#ifndef BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H
#define BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H

#include "Fleet.h"

#include "buckthorndeck/membership/Heartbeat.h"
#include "buckthorndeck/membership/MemberTable.h"

#include <time.h>

namespace buckthorndeck::membership {

//! Processor time that this thread has used.
inline std::int64_t processorNanoseconds() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return Now.tv_sec * 1'000'000'000LL + Now.tv_nsec;
}

//! Adds the processor time used in a scope to a total.
class CpuTimeMeter {
public:
  explicit CpuTimeMeter(std::int64_t &Total)
      : Total(Total), Begin(processorNanoseconds()) {}
  ~CpuTimeMeter() { Total += processorNanoseconds() - Begin; }

private:
  std::int64_t &Total;
  std::int64_t Begin;
};

/**
 * One real Membership, Node, among fake peers.
 *
 * The peers answer it and send it as much as a fleet of their number would:
 * about one heartbeat per second, and probe requests for members that do not
 * answer.
 */
class FakePeers {
public:
  FakePeers(unsigned Hosts, std::uint64_t Seed) : Random(Seed) {
    initLogging({.Threshold = LogLevel::Error, .Program = "test"});
    PeerTable.Self = makeMember(0);
    for (unsigned I = 1; I < Hosts; ++I)
      merge(PeerTable, makeMember(I), Time.now(), Propagate::No);
    MembershipOptions Options{.Self = makeMember(0),
                              .Seeds = {addressOf(1)},
                              .RandomSeed = Random(),
                              .Time = Time.timeSource()};
    Node = std::make_unique<Membership>(
        Time.Context.get_executor(), std::move(Options),
        [this](const Bytes &Payload, const UdpEndpoint &To) {
          const CpuTimeMeter Running(PeerNanoseconds);
          respond(Payload, To);
        });
    spawn(Time.Context.get_executor(), "membership", Node->run());
  }
  ~FakePeers() {
    Node.reset();
    Time.runReady();
  }

  //! Advances the clock by one second, over which the traffic of the peers is
  //! spread.
  void advanceOneSecond() {
    unsigned LivePeers = 0;
    unsigned UnansweringPeers = 0;
    for (const auto &[Name, Entry] : PeerTable.Others) {
      LivePeers += isLive(Entry.Info);
      UnansweringPeers += isReachable(Entry.Info) && !isLive(Entry.Info);
    }
    const double Others = LivePeers + UnansweringPeers;
    const unsigned Heartbeats = randomPoisson(LivePeers / Others);
    const unsigned Requests = randomPoisson(3.0 * UnansweringPeers / Others);
    for (unsigned I = 0; I < Heartbeats; ++I)
      Time.after(Milliseconds(randomBelow(Random, 1000)), [this] {
        sendToNode([this] {
          return Heartbeat{.From = randomLivePeer(),
                           .Number = ++Number,
                           .Updates = nextUpdates()};
        });
      });
    for (unsigned I = 0; I < Requests; ++I)
      Time.after(Milliseconds(randomBelow(Random, 1000)), [this] {
        sendToNode([this] {
          return ProbeRequest{
              .From = randomLivePeer(),
              .Number = ++Number,
              .Target = PeerTable.Others.at(*FailedPeers.begin()).Info};
        });
      });
    Time.advance(Milliseconds(1000));
  }

  //! True if the peer answers.
  bool isLive(const Member &Peer) const {
    return isReachable(Peer) && !FailedPeers.contains(Peer.Name);
  }

  std::map<EntryHostName, MemberEntry>::iterator randomPeerEntry() {
    const std::uint64_t Index = randomBelow(Random, PeerTable.Others.size());
    return std::next(PeerTable.Others.begin(),
                     static_cast<std::ptrdiff_t>(Index));
  }

  Member randomLivePeer() {
    auto Found = PeerTable.Others.begin();
    do
      Found = randomPeerEntry();
    while (!isLive(Found->second.Info));
    return Found->second.Info;
  }

  //! Sends the message that Make returns to Node.
  template <typename Callable> void sendToNode(Callable Make) {
    if (!Node)
      return;
    Bytes Encoded;
    UdpEndpoint From;
    {
      const CpuTimeMeter Running(PeerNanoseconds);
      Message Content = Make();
      Encoded = encode(Content);
      From =
          std::visit([](const auto &M) { return M.From.PeerAddress; }, Content);
    }
    Node->handle(*wire::decodeEnvelope(Encoded, "test", "peer"), From);
  }

  //! Bytes that Node has sent and received.
  std::uint64_t totalBytes() const {
    return Node->counters().BytesSent + Node->counters().BytesReceived;
  }

  VirtualTime Time;
  RandomEngine Random;
  MemberTable PeerTable;               //!< The member table of the peers.
  std::set<EntryHostName> FailedPeers; //!< Peers that do not answer.
  std::function<std::vector<Member>()> MakeUpdates; //!< For a peer's message.
  std::size_t LongestMessage = 0;                   //!< Sent by Node, in bytes.
  std::size_t MostUpdates = 0;
  std::int64_t PeerNanoseconds = 0; //!< Processor time used by the peers.
  std::unique_ptr<Membership> Node;

private:
  unsigned randomPoisson(double Mean) {
    return std::poisson_distribution<unsigned>(Mean)(Random);
  }

  std::vector<Member> nextUpdates() {
    return MakeUpdates ? MakeUpdates() : std::vector<Member>();
  }

  void respond(const Bytes &Payload, const UdpEndpoint &To) {
    LongestMessage = std::max(LongestMessage, Payload.size());
    const Message Sent =
        *decode(*wire::decodeEnvelope(Payload, "test", "node"), "node");
    if (const auto *Ack = std::get_if<HeartbeatAck>(&Sent))
      MostUpdates = std::max(MostUpdates, Ack->Updates.size());
    const unsigned Index = To.address().to_v4().to_uint() - 0x0a000001;
    const EntryHostName Name = makeMember(Index).Name;
    auto Receiver = PeerTable.Others.find(Name);
    if (Receiver == PeerTable.Others.end() || !isLive(Receiver->second.Info))
      return;
    const Member From = Receiver->second.Info;
    HeartbeatAck Reply{.From = From};
    if (const auto *ReceivedHeartbeat = std::get_if<Heartbeat>(&Sent)) {
      MostUpdates = std::max(MostUpdates, ReceivedHeartbeat->Updates.size());
      Reply.Number = ReceivedHeartbeat->Number;
      if (ReceivedHeartbeat->PageAfter) {
        Reply.Page =
            MemberPage{.Members = membersAfter(
                           PeerTable, ReceivedHeartbeat->From.Name,
                           *ReceivedHeartbeat->PageAfter, MaxPageMembers + 1)};
        Reply.Page->Last = Reply.Page->Members.size() <= MaxPageMembers;
      } else {
        Reply.Updates = nextUpdates();
      }
    } else if (const auto *ReceivedRequest = std::get_if<ProbeRequest>(&Sent)) {
      Reply.Number = ReceivedRequest->Number;
      Reply.Report = ProbeReport{
          .Subject = ReceivedRequest->Target.Name,
          .Reached = !FailedPeers.contains(ReceivedRequest->Target.Name)};
    } else {
      return;
    }
    Time.after(Milliseconds(2), [this, Reply = std::move(Reply)] {
      sendToNode([&Reply] { return Reply; });
    });
  }

  std::uint64_t Number = 0;
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H
