#ifndef BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H
#define BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H

#include "Fleet.h"

#include "buckthorndeck/membership/Heartbeat.h"
#include "buckthorndeck/membership/MemberTable.h"

#include <time.h>

namespace buckthorndeck::membership {

//! Processor time of this thread.
inline std::int64_t processorNanoseconds() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return Now.tv_sec * 1'000'000'000LL + Now.tv_nsec;
}

//! Adds the processor time of a scope to a total.
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
 * One real Membership among fake peers.
 *
 * The peers answer it and send it what a fleet of their number would: about
 * one heartbeat per second, and heartbeat requests for dead members.
 */
class FakePeers {
public:
  FakePeers(unsigned Hosts, std::uint64_t Seed) : Random(Seed) {
    initLogging({.Threshold = LogLevel::Error, .Program = "test"});
    PeerTable.Self = makeMember(0);
    for (unsigned I = 1; I < Hosts; ++I)
      merge(PeerTable, makeMember(I), Time.now(), Spread::No);
    MembershipOptions Options{.Self = makeMember(0),
                              .Seeds = {addressOf(1)},
                              .RandomSeed = Random(),
                              .Time = Time.source()};
    Node = std::make_unique<Membership>(
        Time.Context.get_executor(), std::move(Options),
        [this](const Bytes &Payload, const UdpEndpoint &To) {
          const CpuTimeMeter Running(PeerNanoseconds);
          answer(Payload, To);
        });
    spawn(Time.Context.get_executor(), "membership", Node->run());
  }
  ~FakePeers() {
    Node.reset();
    Time.settle();
  }

  //! Lets one second pass, with the traffic of the peers spread over it.
  void advanceOneSecond() {
    unsigned Live = 0;
    unsigned Missed = 0;
    for (const auto &[Name, Entry] : PeerTable.Others) {
      Live += isLive(Entry.Info);
      Missed += isReachable(Entry.Info) && !isLive(Entry.Info);
    }
    const double Others = Live + Missed;
    const unsigned Beats = draw(Live / Others);
    const unsigned Requests = draw(3.0 * Missed / Others);
    for (unsigned I = 0; I < Beats; ++I)
      Time.after(Milliseconds(randomBelow(Random, 1000)), [this] {
        toNode([this] {
          return Heartbeat{
              .From = randomLivePeer(), .Number = ++Number, .Updates = news()};
        });
      });
    for (unsigned I = 0; I < Requests; ++I)
      Time.after(Milliseconds(randomBelow(Random, 1000)), [this] {
        toNode([this] {
          return HeartbeatRequest{
              .From = randomLivePeer(),
              .Number = ++Number,
              .Target = PeerTable.Others.at(*FailedPeers.begin()).Info};
        });
      });
    Time.advance(Milliseconds(1000));
  }

  //! A peer that answers.
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

  //! Sends what Make returns.
  template <typename Callable> void toNode(Callable Make) {
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

  //! Total bytes in both directions.
  std::uint64_t totalBytes() const {
    return Node->counters().BytesSent + Node->counters().BytesReceived;
  }

  VirtualTime Time;
  RandomEngine Random;
  MemberTable PeerTable;               //!< What the peers know.
  std::set<EntryHostName> FailedPeers; //!< Peers that have failed.
  std::function<std::vector<Member>()>
      MakeUpdates;                //!< Updates on peers' messages.
  std::size_t LongestMessage = 0; //!< Sent by the node.
  std::size_t MostUpdates = 0;
  std::int64_t PeerNanoseconds = 0; //!< Processor time of the peers.
  std::unique_ptr<Membership> Node;

private:
  unsigned draw(double Mean) {
    return std::poisson_distribution<unsigned>(Mean)(Random);
  }

  std::vector<Member> news() {
    return MakeUpdates ? MakeUpdates() : std::vector<Member>();
  }

  void answer(const Bytes &Payload, const UdpEndpoint &To) {
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
    if (const auto *Beat = std::get_if<Heartbeat>(&Sent)) {
      MostUpdates = std::max(MostUpdates, Beat->Updates.size());
      Reply.Number = Beat->Number;
      if (Beat->PageAfter) {
        Reply.Page = MemberPage{
            .Members = membersAfter(PeerTable, Beat->From.Name,
                                    *Beat->PageAfter, MaxPageMembers + 1)};
        Reply.Page->Last = Reply.Page->Members.size() <= MaxPageMembers;
      } else {
        Reply.Updates = news();
      }
    } else if (const auto *Asked = std::get_if<HeartbeatRequest>(&Sent)) {
      Reply.Number = Asked->Number;
      Reply.Report =
          ProbeReport{.Subject = Asked->Target.Name,
                      .Reached = !FailedPeers.contains(Asked->Target.Name)};
    } else {
      return;
    }
    Time.after(Milliseconds(2), [this, Reply = std::move(Reply)] {
      toNode([&Reply] { return Reply; });
    });
  }

  std::uint64_t Number = 0;
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_TESTS_FAKEPEERS_H
