#include "buckthorndeck/standins/Fabric.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Random.h"
#include "buckthorndeck/net/Notifier.h"
#include "buckthorndeck/net/UdpSocket.h"

#include <functional>
#include <map>
#include <optional>

namespace buckthorndeck::standins {

namespace {

using SendPacket = std::function<void(const Bytes &)>;

//! A packet that waits for the next one of its direction to pass it.
struct HeldPacket {
  Bytes Payload;
  std::uint64_t Serial = 0;
};

//! The packets of one caller in one direction.
struct Lane {
  std::optional<HeldPacket> Held;
  std::uint64_t NextSerial = 1;
};

struct Upstream {
  Upstream(UdpEndpoint Caller, UdpSocket Socket)
      : Caller(std::move(Caller)), Socket(std::move(Socket)),
        LastPacket(Clock::now()) {}

  UdpEndpoint Caller;
  UdpSocket Socket;
  TimePoint LastPacket;
  Lane ToHosts;
  Lane ToCaller;
};

} // namespace

struct Fabric::State {
  State(const Executor &Where, FabricOptions Options, UdpSocket Listener)
      : Where(Where), Options(std::move(Options)),
        Listener(std::move(Listener)), Random(this->Options.RandomSeed),
        Stopping(Where) {}

  Executor Where;
  FabricOptions Options;
  UdpSocket Listener;
  RandomEngine Random;
  Notifier Stopping;
  FabricStats Stats;
  std::map<UdpEndpoint, std::shared_ptr<Upstream>> Upstreams;
  bool Stopped = false;

  bool happens(double Probability) {
    // A setting of 0 draws nothing, so that it leaves the sequence of the
    // other draws as it is.
    return Probability > 0 && randomUnit(Random) < Probability;
  }

  Milliseconds drawDelay(const PacketFaults &Faults) {
    const auto Range = (Faults.MaxDelay - Faults.MinDelay).count();
    return Faults.MinDelay +
           Milliseconds(Range > 0 ? randomBelow(Random, Range + 1) : 0);
  }

  void sendToHost(Upstream &Link, const Bytes &Payload) {
    if (Options.Hosts.empty()) {
      ++Stats.Unroutable;
      return;
    }
    const auto Index = randomBelow(Random, Options.Hosts.size());
    if (Link.Socket.send(Payload, Options.Hosts[Index]))
      ++Stats.Sent;
  }

  void sendToCaller(const Upstream &Link, const Bytes &Payload) {
    if (Listener.send(Payload, Link.Caller))
      ++Stats.Sent;
  }

  static void deliver(const std::shared_ptr<State> &Self,
                      const std::shared_ptr<Upstream> &Link, bool ToHost,
                      const Bytes &Payload) {
    if (Self->Stopped)
      return;
    if (ToHost)
      Self->sendToHost(*Link, Payload);
    else
      Self->sendToCaller(*Link, Payload);
  }

  static Task<> deliverLater(std::shared_ptr<State> Self,
                             std::shared_ptr<Upstream> Link, bool ToHost,
                             Bytes Payload, Milliseconds Delay) {
    co_await sleepFor(Delay);
    deliver(Self, Link, ToHost, Payload);
  }

  //! Sends a held packet that no later packet has passed in time.
  static Task<> releaseLater(std::shared_ptr<State> Self,
                             std::shared_ptr<Upstream> Link, bool ToHost,
                             std::uint64_t Serial, Milliseconds Delay) {
    co_await sleepFor(Delay);
    Lane &Way = ToHost ? Link->ToHosts : Link->ToCaller;
    if (!Way.Held || Way.Held->Serial != Serial)
      co_return;
    const Bytes Payload = std::move(Way.Held->Payload);
    Way.Held.reset();
    deliver(Self, Link, ToHost, Payload);
  }

  //! Applies the faults of one direction to one packet.
  static void pass(const std::shared_ptr<State> &Self,
                   const std::shared_ptr<Upstream> &Link, bool ToHost,
                   ByteView View) {
    const PacketFaults &Faults =
        ToHost ? Self->Options.ToHosts : Self->Options.ToCallers;
    Link->LastPacket = Clock::now();
    ++Self->Stats.Received;
    if (Self->happens(Faults.Drop)) {
      ++Self->Stats.Dropped;
      return;
    }
    Bytes Payload(View.begin(), View.end());
    const bool Twice = Self->happens(Faults.Duplicate);
    if (Twice)
      ++Self->Stats.Duplicated;
    for (int Copies = Twice ? 2 : 1; Copies > 0; --Copies) {
      if (Self->happens(Faults.Delay)) {
        ++Self->Stats.Delayed;
        spawn(
            Self->Where, "fabric_delay",
            deliverLater(Self, Link, ToHost, Payload, Self->drawDelay(Faults)));
      } else {
        reorder(Self, Link, ToHost, Payload, Faults);
      }
    }
  }

  static void reorder(const std::shared_ptr<State> &Self,
                      const std::shared_ptr<Upstream> &Link, bool ToHost,
                      const Bytes &Payload, const PacketFaults &Faults) {
    Lane &Way = ToHost ? Link->ToHosts : Link->ToCaller;
    if (!Way.Held && Self->happens(Faults.Reorder)) {
      ++Self->Stats.Reordered;
      Way.Held = HeldPacket{.Payload = Payload, .Serial = Way.NextSerial++};
      spawn(
          Self->Where, "fabric_reorder",
          releaseLater(Self, Link, ToHost, Way.Held->Serial, Faults.MaxDelay));
      return;
    }
    deliver(Self, Link, ToHost, Payload);
    if (Way.Held) {
      const Bytes Passed = std::move(Way.Held->Payload);
      Way.Held.reset();
      deliver(Self, Link, ToHost, Passed);
    }
  }

  static Task<> receiveFromHosts(std::shared_ptr<State> Self,
                                 std::shared_ptr<Upstream> Link) {
    while (true) {
      auto Received = co_await Link->Socket.receive();
      if (!Received)
        co_return;
      pass(Self, Link, /*ToHost=*/false, Received->Payload);
    }
  }

  std::shared_ptr<Upstream> upstream(const std::shared_ptr<State> &Self,
                                     const UdpEndpoint &Caller) {
    if (const auto Found = Upstreams.find(Caller); Found != Upstreams.end())
      return Found->second;
    // Entry hosts answer to the address that they see, so the socket is bound
    // to the fabric's own IP address.
    auto Socket =
        UdpSocket::bind(Where, UdpEndpoint(Options.Listen.address(), 0));
    if (!Socket) {
      log(LogLevel::Error, "upstream_failed",
          {{"caller", toString(Caller)}, {"error", describe(Socket.error())}});
      return nullptr;
    }
    auto Link = std::make_shared<Upstream>(Caller, std::move(*Socket));
    Upstreams.emplace(Caller, Link);
    spawn(Where, "fabric_upstream", receiveFromHosts(Self, Link));
    return Link;
  }

  static Task<> receiveFromCallers(std::shared_ptr<State> Self) {
    while (true) {
      auto Received = co_await Self->Listener.receive();
      if (!Received)
        co_return;
      if (const auto Link = Self->upstream(Self, Received->Sender))
        pass(Self, Link, /*ToHost=*/true, Received->Payload);
    }
  }

  static Task<> closeIdle(std::shared_ptr<State> Self) {
    while (!Self->Stopped) {
      co_await Self->Stopping.waitUntil(Clock::now() +
                                        Self->Options.IdleTimeout);
      const TimePoint Oldest = Clock::now() - Self->Options.IdleTimeout;
      std::erase_if(Self->Upstreams, [&](const auto &Entry) {
        const bool Idle = Entry.second->LastPacket < Oldest;
        if (Idle)
          Entry.second->Socket.close();
        return Idle;
      });
    }
  }
};

Fabric::Fabric(std::shared_ptr<State> Shared) : Shared(std::move(Shared)) {}

Fabric::~Fabric() {
  if (Shared)
    stop();
}

Expected<Fabric> Fabric::start(const Executor &Where, FabricOptions Options) {
  auto Listener = UdpSocket::bind(Where, Options.Listen);
  if (!Listener)
    return Unexpected(Listener.error());
  auto Shared =
      std::make_shared<State>(Where, std::move(Options), std::move(*Listener));
  spawn(Where, "fabric_listener", State::receiveFromCallers(Shared));
  spawn(Where, "fabric_idle", State::closeIdle(Shared));
  return Fabric(std::move(Shared));
}

UdpEndpoint Fabric::endpoint() const {
  return Shared->Listener.localEndpoint();
}

void Fabric::setHosts(std::vector<UdpEndpoint> Hosts) {
  Shared->Options.Hosts = std::move(Hosts);
}

void Fabric::setFaults(const PacketFaults &ToHosts,
                       const PacketFaults &ToCallers) {
  Shared->Options.ToHosts = ToHosts;
  Shared->Options.ToCallers = ToCallers;
}

const FabricStats &Fabric::stats() const { return Shared->Stats; }

std::size_t Fabric::callers() const { return Shared->Upstreams.size(); }

void Fabric::stop() {
  if (Shared->Stopped)
    return;
  Shared->Stopped = true;
  Shared->Listener.close();
  for (const auto &[Caller, Link] : Shared->Upstreams)
    Link->Socket.close();
  Shared->Stopping.notifyAll();
}

} // namespace buckthorndeck::standins
