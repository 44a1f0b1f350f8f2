#ifndef BUCKTHORNDECK_MEMBERSHIP_TESTS_FLEET_H
#define BUCKTHORNDECK_MEMBERSHIP_TESTS_FLEET_H

#include "VirtualTime.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/membership/Membership.h"
#include "buckthorndeck/wire/Envelope.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace buckthorndeck::membership {

inline UdpEndpoint addressOf(unsigned Index) {
  return {boost::asio::ip::address_v4(0x0a000001 + Index), 7000};
}

inline Member makeMember(unsigned Index, std::uint64_t Start = 1000) {
  const UdpEndpoint Peer = addressOf(Index);
  return Member{.Name = EntryHostName("host-" + std::to_string(1000 + Index)),
                .Region = RegionName("doo-central"),
                .FailureDomain = FailureDomainName(std::string("domain-") +
                                                   char('a' + Index % 3)),
                .PeerAddress = Peer,
                .SyncAddress = {Peer.address(), 7001},
                .StartTime = Incarnation(Start)};
}

//! Hosts that exchange datagrams in memory, under a virtual clock.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {
    initLogging({.Threshold = LogLevel::Error, .Program = "test"});
  }
  ~Fleet() {
    Hosts.clear();
    Time.runReady();
  }

  Membership &start(unsigned Index, std::uint64_t Start = 1000,
                    const std::function<void(Member &)> &Adjust = {}) {
    MembershipOptions Options{.Self = makeMember(Index, Start),
                              .Seeds = {addressOf(0), addressOf(1)},
                              .RandomSeed = Random(),
                              .Time = Time.timeSource()};
    if (Adjust)
      Adjust(Options.Self);
    const UdpEndpoint From = Options.Self.PeerAddress;
    Options.OnReplaced = [this, Index](Incarnation) { Replaced.insert(Index); };
    auto Host = std::make_shared<Membership>(
        Time.Context.get_executor(), std::move(Options),
        [this, From](Bytes Payload, const UdpEndpoint &To) {
          deliver(From, To, std::move(Payload));
        });
    Hosts[From] = Host;
    spawn(Time.Context.get_executor(), "membership", Host->run());
    return *Host;
  }

  void kill(unsigned Index) { Hosts.erase(addressOf(Index)); }
  Membership &operator[](unsigned Index) { return *Hosts.at(addressOf(Index)); }

  //! State of host Of in the member table of host By; Left if it has no such
  //! member.
  MemberState stateSeenBy(unsigned By, unsigned Of) {
    const Member *Found = (*this)[By].find(makeMember(Of).Name);
    return Found ? Found->State : MemberState::Left;
  }

  //! True if every running host has every other running host in its table in
  //! this state, and no other reachable member.
  bool converged(MemberState State = MemberState::Alive) const {
    for (const auto &[Address, Host] : Hosts) {
      if (Host->reachable().size() != Hosts.size() - 1)
        return false;
      for (const Member &Other : Host->reachable())
        if (Other.State != State || !Hosts.contains(Other.PeerAddress))
          return false;
    }
    return true;
  }

  //! Advances the clock until Done returns true. Returns the seconds that it
  //! took, at most Limit.
  int secondsUntil(const std::function<bool()> &Done, int Limit) {
    int Seconds = 0;
    while (!Done() && Seconds < Limit) {
      Time.advance(Milliseconds(1000));
      ++Seconds;
    }
    return Seconds;
  }

  VirtualTime Time;
  RandomEngine Random;
  double LossRate = 0;
  Milliseconds Delay{2};
  //! Decides whether a datagram is delivered; empty for all.
  std::function<bool(const UdpEndpoint &From, const UdpEndpoint &To)>
      CanDeliver;
  std::set<unsigned> Replaced;
  std::map<UdpEndpoint, std::shared_ptr<Membership>> Hosts;

  void inject(const UdpEndpoint &From, const UdpEndpoint &To, Bytes Payload) {
    deliver(From, To, std::move(Payload));
  }

private:
  void deliver(const UdpEndpoint &From, const UdpEndpoint &To, Bytes Payload) {
    if (randomUnit(Random) < LossRate || (CanDeliver && !CanDeliver(From, To)))
      return;
    Time.after(Delay, [this, From, To, Payload = std::move(Payload)] {
      auto Found = Hosts.find(To);
      if (Found == Hosts.end())
        return;
      const std::shared_ptr<Membership> Receiver = Found->second;
      Receiver->handle(*wire::decodeEnvelope(Payload, "test", "peer"), From);
    });
  }
};

} // namespace buckthorndeck::membership

#endif // BUCKTHORNDECK_MEMBERSHIP_TESTS_FLEET_H
