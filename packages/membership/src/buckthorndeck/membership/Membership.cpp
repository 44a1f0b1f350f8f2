#include "buckthorndeck/membership/Membership.h"

#include "buckthorndeck/base/Log.h"
#include "buckthorndeck/base/Mac.h"
#include "buckthorndeck/membership/Heartbeat.h"
#include "buckthorndeck/membership/MemberTable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace buckthorndeck::membership {

namespace {

//! MAC, UDP header and IP header of each datagram.
constexpr std::size_t OverheadBytes = MacBytes + 8 + 20;
//! Dead members and unknown seeds are probed this often, so that the sides of
//! a healed partition find each other.
constexpr std::uint64_t RecontactPeriods = 10;
//! Members of other regions are probed this often.
constexpr std::uint64_t RemoteProbePeriods = 5;
//! Seeds asked at once while no other host is known.
constexpr std::size_t FirstContacts = 3;
//! Two pages of at most 700 bytes a second leave room for heartbeats and
//! configuration within 4 KB/s, for the reader and for the host that serves.
constexpr unsigned PagesPerPeriod = 2;
//! A reader whose peers had partial tables reads them again.
constexpr Milliseconds RereadDelay{30'000};
constexpr unsigned MaxReads = 3;
//! Limits for what peers and the platform can make this host keep.
constexpr std::size_t MaxAddedSeeds = 256;
constexpr unsigned MaxProbesForOthers = 64;
//! Hosts that are told at once that this one is leaving or has left.
constexpr std::size_t AnnounceReceivers = 3;

//! A heartbeat whose acknowledgement is awaited.
struct Probe {
  Member Target;
  bool Acked = false;
  bool MissReported = false; //!< A host of the target's region missed it too.
};

} // namespace

struct Membership::Node : std::enable_shared_from_this<Membership::Node> {
  Node(Executor Where, MembershipOptions Options, SendFunction Send)
      : Where(std::move(Where)), Options(std::move(Options)),
        SendMessage(std::move(Send)), Random(this->Options.RandomSeed) {
    Table.Self = this->Options.Self;
    PageCursor = Table.Self.Name;
    Periods = randomBelow(Random, RecontactPeriods);
  }

  TimePoint now() const { return Options.Time.Now(); }

  void send(Message Content, const UdpEndpoint &Receiver) {
    if (Stopped)
      return;
    Bytes Encoded = encode(Content);
    // Only what fitted into the message counts as sent.
    if (const auto *Sent = std::get_if<Heartbeat>(&Content))
      recordSent(Table, Sent->Updates);
    else if (const auto *Acked = std::get_if<HeartbeatAck>(&Content))
      recordSent(Table, Acked->Updates);
    ++Counters.MessagesSent;
    Counters.BytesSent += Encoded.size() + OverheadBytes;
    SendMessage(std::move(Encoded), Receiver);
  }

  //! News for one receiver, led by what the receiver must refute, or by the
  //! process that has replaced it.
  std::vector<Member> updatesFor(const Member &Receiver) const {
    std::vector<Member> Updates;
    auto Found = Table.Others.find(Receiver.Name);
    if (Found != Table.Others.end() &&
        (Found->second.Info.StartTime > Receiver.StartTime ||
         Found->second.Info.State == MemberState::Suspect ||
         Found->second.Info.State == MemberState::Dead))
      Updates.push_back(Found->second.Info);
    for (Member &News : chooseUpdates(Table, MaxUpdates))
      if (News.Name != Receiver.Name && Updates.size() < MaxUpdates)
        Updates.push_back(std::move(News));
    return Updates;
  }

  void sendHeartbeat(const Member &Target, std::uint64_t Number) {
    Heartbeat Content{
        .From = Table.Self, .Number = Number, .Updates = updatesFor(Target)};
    send(std::move(Content), Target.PeerAddress);
  }

  void sendAck(const Member &Receiver, const UdpEndpoint &Address,
               std::uint64_t Number,
               std::optional<MemberPage> Page = std::nullopt) {
    HeartbeatAck Content{.From = Table.Self,
                         .Number = Number,
                         .Updates = updatesFor(Receiver),
                         .Page = std::move(Page)};
    // News must not crowd out the page, or the reader makes no progress.
    if (Content.Page && Content.Updates.size() > 1)
      Content.Updates.resize(1);
    send(std::move(Content), Address);
  }

  void changed(const Member &Changed) {
    if (Options.OnChange && !Stopped)
      Options.OnChange(Changed);
  }

  void logChange(const Member &Changed) const {
    log(LogLevel::Info, "member_changed",
        {{"host", Table.Self.Name.value()},
         {"member", Changed.Name.value()},
         {"state", toString(Changed.State)},
         {"start", Changed.StartTime.value()},
         {"refutation", Changed.Refutation}});
  }

  MergeResult take(const Member &Claim, Spread Forward) {
    if (Stopped)
      return MergeResult::Unchanged;
    const MergeResult Result = merge(Table, Claim, now(), Forward);
    if (Result == MergeResult::Changed) {
      const Member Info = Table.Others.at(Claim.Name).Info;
      logChange(Info);
      changed(Info);
    } else if (Result == MergeResult::Replaced) {
      log(LogLevel::Error, "replaced",
          {{"host", Table.Self.Name.value()},
           {"start", Table.Self.StartTime.value()},
           {"new_start", Claim.StartTime.value()}});
      Stopped = true;
      if (Options.OnReplaced)
        Options.OnReplaced(Claim.StartTime);
    }
    return Result;
  }

  MergeResult takeSender(const Member &From) {
    const MergeResult Result = take(From, Spread::Yes);
    if (noteVersion(Table, From))
      changed(Table.Others.at(From.Name).Info);
    return Result;
  }

  //! True if a claim was about this host and made it refute.
  bool takeUpdates(const std::vector<Member> &Updates) {
    bool Refuted = false;
    for (const Member &Update : Updates)
      Refuted |= take(Update, Spread::Yes) == MergeResult::Refuted;
    return Refuted;
  }

  void receive(const Heartbeat &Received, const UdpEndpoint &Sender) {
    takeSender(Received.From);
    takeUpdates(Received.Updates);
    if (!Received.PageAfter || PagesServed >= PagesPerPeriod) {
      sendAck(Received.From, Sender, Received.Number);
      return;
    }
    ++PagesServed;
    MemberPage Page{.Members =
                        membersAfter(Table, Received.From.Name,
                                     *Received.PageAfter, MaxPageMembers + 1),
                    .Partial = PageCursor.has_value()};
    Page.Last = Page.Members.size() <= MaxPageMembers;
    sendAck(Received.From, Sender, Received.Number, std::move(Page));
  }

  void receive(const HeartbeatAck &Received, const UdpEndpoint &Sender) {
    const MergeResult FromResult = takeSender(Received.From);
    const bool Refuted = takeUpdates(Received.Updates);
    if (Received.Page && std::erase(PageNumbers, Received.Number) > 0)
      receivePage(*Received.Page);
    auto Found = Probes.find(Received.Number);
    if (Found != Probes.end())
      settle(Found->second, Received);
    // The sender hears at once that this host lives, or that it must refute.
    if (Refuted || (FromResult == MergeResult::Outdated && Received.Number > 0))
      sendAck(Received.From, Sender, 0);
  }

  static void settle(Probe &Awaited, const HeartbeatAck &Received) {
    if (Received.Report) {
      if (Received.Report->Subject != Awaited.Target.Name)
        return;
      Awaited.Acked |= Received.Report->Reached;
      Awaited.MissReported |= !Received.Report->Reached &&
                              Received.From.Region == Awaited.Target.Region;
      return;
    }
    // The address may belong to another host by now.
    Awaited.Acked |= Received.From.Name == Awaited.Target.Name;
  }

  void receive(const HeartbeatRequest &Received, const UdpEndpoint &Sender) {
    takeSender(Received.From);
    if (Received.Target.Name == Table.Self.Name) {
      sendAck(Received.From, Sender, Received.Number);
      return;
    }
    if (ProbesForOthers < MaxProbesForOthers)
      spawn(Where, "probe_for_other",
            probeFor(shared_from_this(), Received, Sender));
  }

  static Task<> probeFor(std::shared_ptr<Node> Self, HeartbeatRequest Asked,
                         UdpEndpoint Asker) {
    ++Self->ProbesForOthers;
    const std::uint64_t Number = ++Self->LastNumber;
    Self->Probes[Number] = Probe{.Target = Asked.Target};
    // Carries no news, like the request and the report, so that a partition,
    // in which many probes fail, stays within the byte budget.
    Heartbeat Content{.From = Self->Table.Self, .Number = Number};
    Self->send(std::move(Content), Asked.Target.PeerAddress);
    const TimePoint Deadline = Self->now() + Self->Options.AckTimeout;
    co_await Self->Options.Time.SleepUntil(Deadline);
    const bool Reached = Self->Probes[Number].Acked;
    Self->Probes.erase(Number);
    --Self->ProbesForOthers;
    HeartbeatAck Answer{.From = Self->Table.Self,
                        .Number = Asked.Number,
                        .Report = ProbeReport{.Subject = Asked.Target.Name,
                                              .Reached = Reached}};
    Self->send(std::move(Answer), Asker);
  }

  void receivePage(const MemberPage &Page) {
    if (!PageCursor)
      return;
    for (const Member &Entry : Page.Members)
      take(Entry, Spread::No);
    // Other answers to this cursor would move it twice.
    PageNumbers.clear();
    AnyPartial |= Page.Partial;
    if (!Page.Members.empty())
      PageCursor = Page.Members.back().Name;
    if (!Page.Last)
      return;
    ++Reads;
    PageCursor.reset();
    if (AnyPartial && Reads < MaxReads)
      NextRead = now() + RereadDelay;
  }

  //! A random other host that may answer; null if none is known.
  const Member *randomPeer() {
    std::vector<const Member *> Candidates;
    for (const auto &[Name, Entry] : Table.Others)
      if (isReachable(Entry.Info))
        Candidates.push_back(&Entry.Info);
    if (Candidates.empty())
      return nullptr;
    return Candidates[randomBelow(Random, Candidates.size())];
  }

  void requestPage() {
    if (NextRead && now() >= *NextRead) {
      NextRead.reset();
      AnyPartial = false;
      PageCursor = Table.Self.Name;
    }
    if (!PageCursor)
      return;
    const Member *Peer = randomPeer();
    if (!Peer)
      return;
    askForPage(Peer->PeerAddress);
  }

  //! Addresses that should answer but belong to no reachable member.
  std::vector<UdpEndpoint> unknownSeeds() const {
    std::vector<UdpEndpoint> Result = Options.Seeds;
    Result.insert(Result.end(), AddedSeeds.begin(), AddedSeeds.end());
    std::sort(Result.begin(), Result.end());
    Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
    std::vector<UdpEndpoint> Known{Table.Self.PeerAddress};
    for (const auto &[Name, Entry] : Table.Others)
      if (isReachable(Entry.Info))
        Known.push_back(Entry.Info.PeerAddress);
    std::sort(Known.begin(), Known.end());
    std::erase_if(Result, [&](const UdpEndpoint &Address) {
      return std::binary_search(Known.begin(), Known.end(), Address);
    });
    return Result;
  }

  //! A first heartbeat to an address, which also asks for members if this
  //! host's table is not complete.
  void askForPage(const UdpEndpoint &Address) {
    const std::uint64_t Number = ++LastNumber;
    if (PageCursor)
      PageNumbers.push_back(Number);
    Heartbeat Content{
        .From = Table.Self, .Number = Number, .PageAfter = PageCursor};
    send(std::move(Content), Address);
  }

  void makeContact() {
    const bool Alone =
        std::none_of(Table.Others.begin(), Table.Others.end(),
                     [](const auto &I) { return isReachable(I.second.Info); });
    if (Alone) {
      std::vector<UdpEndpoint> Chosen;
      const std::vector<UdpEndpoint> Seeds = unknownSeeds();
      std::sample(Seeds.begin(), Seeds.end(), std::back_inserter(Chosen),
                  FirstContacts, Random);
      for (const UdpEndpoint &Address : Chosen)
        askForPage(Address);
    }
    if (Periods % RecontactPeriods != 0)
      return;
    std::vector<const Member *> Dead;
    for (const auto &[Name, Entry] : Table.Others)
      if (Entry.Info.State == MemberState::Dead)
        Dead.push_back(&Entry.Info);
    const std::vector<UdpEndpoint> Seeds = unknownSeeds();
    if (Dead.empty() && Seeds.empty())
      return;
    const std::size_t Index = randomBelow(Random, Dead.size() + Seeds.size());
    if (Index < Dead.size())
      sendHeartbeat(*Dead[Index], ++LastNumber);
    else
      askForPage(Seeds[Index - Dead.size()]);
  }

  //! Tells members that this host suspects about it until they refute or die.
  //! Without this a lost datagram more often leads to a wrong death, because
  //! the news reaches the suspect member through others only by chance.
  void confrontSuspects() {
    std::erase_if(OwnSuspects, [&](const EntryHostName &Name) {
      auto Found = Table.Others.find(Name);
      if (Found == Table.Others.end() ||
          Found->second.Info.State != MemberState::Suspect)
        return true;
      const Member &Info = Found->second.Info;
      Heartbeat Content{
          .From = Table.Self, .Number = ++LastNumber, .Updates = {Info}};
      send(std::move(Content), Info.PeerAddress);
      return false;
    });
  }

  std::vector<std::uint64_t> startProbes() {
    std::vector<std::uint64_t> Numbers;
    const auto Start = [&](const std::optional<Member> &Target) {
      if (!Target)
        return;
      const std::uint64_t Number = ++LastNumber;
      Probes[Number] = Probe{.Target = *Target};
      Numbers.push_back(Number);
      sendHeartbeat(*Target, Number);
    };
    Start(nextProbeTarget(Table, Random));
    if (Periods % RemoteProbePeriods == 0)
      Start(nextRemoteTarget(Table, Random));
    return Numbers;
  }

  void askHelpers(const std::vector<std::uint64_t> &Numbers) {
    for (const std::uint64_t Number : Numbers) {
      const Probe &Awaited = Probes[Number];
      if (Awaited.Acked)
        continue;
      for (const Member &Helper : chooseHelpers(
               Table, Awaited.Target, Options.IndirectProbes, Random)) {
        HeartbeatRequest Content{
            .From = Table.Self, .Number = Number, .Target = Awaited.Target};
        send(std::move(Content), Helper.PeerAddress);
      }
    }
  }

  void endProbes(const std::vector<std::uint64_t> &Numbers, bool Judge) {
    for (const std::uint64_t Number : Numbers) {
      const Probe Ended = Probes[Number];
      Probes.erase(Number);
      const Member &Target = Ended.Target;
      const bool Missed = !Ended.Acked && (Target.Region == Table.Self.Region ||
                                           Ended.MissReported);
      if (!Judge || !Missed ||
          !suspect(Table, Target.Name, Target.StartTime, now()))
        continue;
      OwnSuspects.insert(Target.Name);
      const Member Info = Table.Others.at(Target.Name).Info;
      logChange(Info);
      changed(Info);
    }
  }

  void expire() {
    for (const Member &Dead :
         expireSuspicions(Table, now(), Options.SuspicionTimeout)) {
      logChange(Dead);
      changed(Dead);
    }
  }

  //! Returns false if this process was late by more than a period: what it did
  //! not receive then says nothing about others.
  static Task<bool> sleepUntil(std::shared_ptr<Node> Self, TimePoint Deadline) {
    co_await Self->Options.Time.SleepUntil(Deadline);
    const auto Late = Self->now() - Deadline;
    if (Late <= Self->Options.Period)
      co_return true;
    log(LogLevel::Warn, "probing_delayed",
        {{"host", Self->Table.Self.Name.value()},
         {"late_ms", std::chrono::duration_cast<Milliseconds>(Late).count()}});
    restartSuspicions(Self->Table, Self->now());
    co_return false;
  }

  static Task<> run(std::shared_ptr<Node> Self) {
    TimePoint Start = Self->now();
    while (!Self->Stopped) {
      ++Self->Periods;
      Self->PagesServed = 0;
      Self->PageNumbers.clear();
      removeExpiredMembers(Self->Table, Self->now(), Self->Options.Retention);
      const std::vector<std::uint64_t> Numbers = Self->startProbes();
      Self->confrontSuspects();
      Self->makeContact();
      Self->requestPage();
      bool OnTime = co_await sleepUntil(Self, Start + Self->Options.AckTimeout);
      if (OnTime) {
        Self->askHelpers(Numbers);
        Self->requestPage();
        Self->expire();
        OnTime = co_await sleepUntil(Self, Start + Self->Options.Period);
      }
      Self->endProbes(Numbers, /*Judge=*/OnTime);
      if (OnTime)
        Self->expire();
      Start = OnTime ? Start + Self->Options.Period : Self->now();
    }
  }

  void announceSelf(MemberState State) {
    setOwnState(Table, State);
    std::vector<const Member *> Peers;
    for (const auto &[Name, Entry] : Table.Others)
      if (isReachable(Entry.Info))
        Peers.push_back(&Entry.Info);
    std::vector<const Member *> Chosen;
    std::sample(Peers.begin(), Peers.end(), std::back_inserter(Chosen),
                AnnounceReceivers, Random);
    for (const Member *Peer : Chosen)
      sendHeartbeat(*Peer, ++LastNumber);
  }

  Executor Where;
  MembershipOptions Options;
  SendFunction SendMessage;
  RandomEngine Random;
  MemberTable Table;
  MembershipCounters Counters;
  std::vector<UdpEndpoint> AddedSeeds;
  std::map<std::uint64_t, Probe> Probes;
  std::set<EntryHostName> OwnSuspects; //!< Suspected by this host itself.
  std::uint64_t LastNumber = 0;
  unsigned ProbesForOthers = 0;
  std::uint64_t Periods = 0;
  bool Stopped = false;

  //! Where reading the member table stands; empty when it is done.
  std::optional<EntryHostName> PageCursor;
  std::optional<TimePoint> NextRead;
  std::vector<std::uint64_t> PageNumbers; //!< Requests not answered yet.
  bool AnyPartial = false;
  unsigned Reads = 0;
  unsigned PagesServed = 0; //!< In this period, for others.
};

Membership::Membership(Executor Where, MembershipOptions Options,
                       SendFunction Send)
    : Self(std::make_shared<Node>(std::move(Where), std::move(Options),
                                  std::move(Send))) {}

Membership::~Membership() { stop(); }

Task<> Membership::run() { return Node::run(Self); }

void Membership::stop() { Self->Stopped = true; }

void Membership::handle(const wire::Envelope &Received,
                        const UdpEndpoint &Sender) {
  if (Self->Stopped)
    return;
  ++Self->Counters.MessagesReceived;
  Self->Counters.BytesReceived +=
      OverheadBytes +
      wire::encodeEnvelope(Received.Type, Received.Fields).size();
  auto Decoded = decode(Received, buckthorndeck::toString(Sender));
  if (!Decoded) {
    // Every power of two, so that a faulty peer cannot fill the log.
    if (std::has_single_bit(++Self->Counters.MessagesRefused))
      log(LogLevel::Warn, "heartbeat_refused",
          {{"error", describe(Decoded.error())},
           {"count", Self->Counters.MessagesRefused}});
    return;
  }
  std::visit(
      [&](const auto &Content) {
        const Member &From = Content.From;
        const Member &Own = Self->Table.Self;
        // A seed list may name this host itself.
        if (From.Name == Own.Name && From.StartTime == Own.StartTime)
          return;
        Self->receive(Content, Sender);
      },
      *Decoded);
}

const Member &Membership::self() const { return Self->Table.Self; }

const Member *Membership::find(const EntryHostName &Name) const {
  if (Name == Self->Table.Self.Name)
    return &Self->Table.Self;
  auto Found = Self->Table.Others.find(Name);
  return Found == Self->Table.Others.end() ? nullptr : &Found->second.Info;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> Result{Self->Table.Self};
  for (const auto &[Name, Entry] : Self->Table.Others)
    Result.push_back(Entry.Info);
  return Result;
}

std::vector<Member> Membership::reachable() const {
  std::vector<Member> Result;
  for (const auto &[Name, Entry] : Self->Table.Others)
    if (isReachable(Entry.Info))
      Result.push_back(Entry.Info);
  return Result;
}

bool Membership::complete() const { return !Self->PageCursor.has_value(); }

void Membership::announceLeaving() { Self->announceSelf(MemberState::Leaving); }

void Membership::announceLeft() { Self->announceSelf(MemberState::Left); }

void Membership::setVersion(ConfigVersion Version) {
  Self->Table.Self.Version = Version;
}

void Membership::addSeeds(const std::vector<UdpEndpoint> &Addresses) {
  auto &Seeds = Self->AddedSeeds;
  for (const UdpEndpoint &Address : Addresses)
    if (std::find(Seeds.begin(), Seeds.end(), Address) == Seeds.end())
      Seeds.push_back(Address);
  if (Seeds.size() > MaxAddedSeeds)
    Seeds.erase(Seeds.begin(), Seeds.end() - MaxAddedSeeds);
}

const MembershipCounters &Membership::counters() const {
  return Self->Counters;
}

} // namespace buckthorndeck::membership
