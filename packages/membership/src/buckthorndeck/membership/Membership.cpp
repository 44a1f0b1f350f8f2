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
constexpr std::size_t DatagramOverheadBytes = MacBytes + 8 + 20;
//! Once in this many periods a dead member or an unknown seed is contacted, so
//! that the sides of a healed partition find each other.
constexpr std::uint64_t RecontactPeriods = 10;
//! Once in this many periods a member of another region is probed.
constexpr std::uint64_t RemoteProbePeriods = 5;
//! Seeds contacted in each period while no other host is reachable.
constexpr std::size_t SeedsPerAttempt = 3;
//! Pages of the member table that a host sends in a period. Two pages of at
//! most 700 bytes a second leave room for heartbeats and configuration within
//! the control budget of 4 KB/s, on the sender and on the reader.
constexpr unsigned PagesPerPeriod = 2;
//! A host reads the table again after this delay if a peer that sent it pages
//! had an incomplete table.
constexpr Milliseconds TableRereadDelay{30'000};
constexpr unsigned MaxTableReads = 3;
//! Limits on the state that peers and the platform can make this host hold.
constexpr std::size_t MaxAddedSeeds = 256;
constexpr unsigned MaxProbesForOthers = 64;
//! Hosts that are told directly that this one is leaving or has left.
constexpr std::size_t AnnounceReceivers = 3;

//! A heartbeat that has no acknowledgement yet.
struct Probe {
  Member Target;
  bool Acked = false;
  bool MissReported = false; //!< A host of its region did not reach it.
};

} // namespace

struct Membership::Impl : std::enable_shared_from_this<Membership::Impl> {
  Impl(Executor Where, MembershipOptions Options, SendFunction Send)
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
    // Only updates that fitted into the message count as sent.
    if (const auto *Sent = std::get_if<Heartbeat>(&Content))
      recordSent(Table, Sent->Updates);
    else if (const auto *Acked = std::get_if<HeartbeatAck>(&Content))
      recordSent(Table, Acked->Updates);
    ++Counters.MessagesSent;
    Counters.BytesSent += Encoded.size() + DatagramOverheadBytes;
    SendMessage(std::move(Encoded), Receiver);
  }

  //! Updates for one receiver. The first is about the receiver itself if it
  //! must refute a suspicion or death, or if another process has replaced it.
  std::vector<Member> updatesFor(const Member &Receiver) const {
    std::vector<Member> Updates;
    auto Found = Table.Others.find(Receiver.Name);
    if (Found != Table.Others.end() &&
        (Found->second.Info.StartTime > Receiver.StartTime ||
         Found->second.Info.State == MemberState::Suspect ||
         Found->second.Info.State == MemberState::Dead))
      Updates.push_back(Found->second.Info);
    for (Member &Update : chooseUpdates(Table, MaxUpdates))
      if (Update.Name != Receiver.Name && Updates.size() < MaxUpdates)
        Updates.push_back(std::move(Update));
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
    // Updates must leave room for the page, or the reader makes no progress.
    if (Content.Page && Content.Updates.size() > 1)
      Content.Updates.resize(1);
    send(std::move(Content), Address);
  }

  void notifyChange(const Member &Changed) {
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

  MergeResult mergeClaim(const Member &Claim, Propagate ToOthers) {
    if (Stopped)
      return MergeResult::Unchanged;
    const MergeResult Result = merge(Table, Claim, now(), ToOthers);
    if (Result == MergeResult::Changed) {
      const Member Info = Table.Others.at(Claim.Name).Info;
      logChange(Info);
      notifyChange(Info);
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

  MergeResult mergeSender(const Member &From) {
    const MergeResult Result = mergeClaim(From, Propagate::Yes);
    if (recordVersion(Table, From))
      notifyChange(Table.Others.at(From.Name).Info);
    return Result;
  }

  //! Returns true if an update was about this host and made it refute.
  bool mergeUpdates(const std::vector<Member> &Updates) {
    bool Refuted = false;
    for (const Member &Update : Updates)
      Refuted |= mergeClaim(Update, Propagate::Yes) == MergeResult::Refuted;
    return Refuted;
  }

  void receive(const Heartbeat &Received, const UdpEndpoint &Sender) {
    mergeSender(Received.From);
    mergeUpdates(Received.Updates);
    if (!Received.PageAfter || PagesSentThisPeriod >= PagesPerPeriod) {
      sendAck(Received.From, Sender, Received.Number);
      return;
    }
    ++PagesSentThisPeriod;
    MemberPage Page{.Members =
                        membersAfter(Table, Received.From.Name,
                                     *Received.PageAfter, MaxPageMembers + 1),
                    .SenderIncomplete = PageCursor.has_value()};
    Page.Last = Page.Members.size() <= MaxPageMembers;
    sendAck(Received.From, Sender, Received.Number, std::move(Page));
  }

  void receive(const HeartbeatAck &Received, const UdpEndpoint &Sender) {
    const MergeResult FromResult = mergeSender(Received.From);
    const bool Refuted = mergeUpdates(Received.Updates);
    if (Received.Page && std::erase(PageRequestNumbers, Received.Number) > 0)
      receivePage(*Received.Page);
    auto Found = Probes.find(Received.Number);
    if (Found != Probes.end())
      recordAck(Found->second, Received);
    // Tells the sender without delay that this host is alive, or that the
    // sender must refute.
    if (Refuted || (FromResult == MergeResult::Outdated && Received.Number > 0))
      sendAck(Received.From, Sender, 0);
  }

  static void recordAck(Probe &Pending, const HeartbeatAck &Received) {
    if (Received.Report) {
      if (Received.Report->Subject != Pending.Target.Name)
        return;
      Pending.Acked |= Received.Report->Reached;
      Pending.MissReported |= !Received.Report->Reached &&
                              Received.From.Region == Pending.Target.Region;
      return;
    }
    // Another host may use the target's address by now.
    Pending.Acked |= Received.From.Name == Pending.Target.Name;
  }

  void receive(const ProbeRequest &Received, const UdpEndpoint &Sender) {
    mergeSender(Received.From);
    if (Received.Target.Name == Table.Self.Name) {
      sendAck(Received.From, Sender, Received.Number);
      return;
    }
    if (ProbesForOthers < MaxProbesForOthers)
      spawn(Where, "probe_for_other",
            probeOnRequest(shared_from_this(), Received, Sender));
  }

  static Task<> probeOnRequest(std::shared_ptr<Impl> Self, ProbeRequest Request,
                               UdpEndpoint Requester) {
    ++Self->ProbesForOthers;
    const std::uint64_t Number = ++Self->LastNumber;
    Self->Probes[Number] = Probe{.Target = Request.Target};
    // Carries no updates, like the request and the report, so that traffic
    // stays within the byte budget in a partition, where many probes fail.
    Heartbeat Content{.From = Self->Table.Self, .Number = Number};
    Self->send(std::move(Content), Request.Target.PeerAddress);
    const TimePoint Deadline = Self->now() + Self->Options.AckTimeout;
    co_await Self->Options.Time.SleepUntil(Deadline);
    const bool Reached = Self->Probes[Number].Acked;
    Self->Probes.erase(Number);
    --Self->ProbesForOthers;
    HeartbeatAck Answer{.From = Self->Table.Self,
                        .Number = Request.Number,
                        .Report = ProbeReport{.Subject = Request.Target.Name,
                                              .Reached = Reached}};
    Self->send(std::move(Answer), Requester);
  }

  void receivePage(const MemberPage &Page) {
    if (!PageCursor)
      return;
    for (const Member &Entry : Page.Members)
      mergeClaim(Entry, Propagate::No);
    // Further answers for the same cursor would advance it twice.
    PageRequestNumbers.clear();
    AnyPeerIncomplete |= Page.SenderIncomplete;
    if (!Page.Members.empty())
      PageCursor = Page.Members.back().Name;
    if (!Page.Last)
      return;
    ++TableReads;
    PageCursor.reset();
    if (AnyPeerIncomplete && TableReads < MaxTableReads)
      NextTableRead = now() + TableRereadDelay;
  }

  //! A random reachable member; null if there is none.
  const Member *randomPeer() {
    std::vector<const Member *> Candidates;
    for (const auto &[Name, Entry] : Table.Others)
      if (isReachable(Entry.Info))
        Candidates.push_back(&Entry.Info);
    if (Candidates.empty())
      return nullptr;
    return Candidates[randomBelow(Random, Candidates.size())];
  }

  void requestNextPage() {
    if (NextTableRead && now() >= *NextTableRead) {
      NextTableRead.reset();
      AnyPeerIncomplete = false;
      PageCursor = Table.Self.Name;
    }
    if (!PageCursor)
      return;
    const Member *Peer = randomPeer();
    if (!Peer)
      return;
    sendPageRequest(Peer->PeerAddress);
  }

  //! Seed addresses that belong to no reachable member.
  std::vector<UdpEndpoint> unknownSeeds() const {
    std::vector<UdpEndpoint> Result = Options.Seeds;
    Result.insert(Result.end(), AddedSeeds.begin(), AddedSeeds.end());
    std::sort(Result.begin(), Result.end());
    Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
    std::vector<UdpEndpoint> KnownAddresses{Table.Self.PeerAddress};
    for (const auto &[Name, Entry] : Table.Others)
      if (isReachable(Entry.Info))
        KnownAddresses.push_back(Entry.Info.PeerAddress);
    std::sort(KnownAddresses.begin(), KnownAddresses.end());
    std::erase_if(Result, [&](const UdpEndpoint &Address) {
      return std::binary_search(KnownAddresses.begin(), KnownAddresses.end(),
                                Address);
    });
    return Result;
  }

  //! Sends a heartbeat to an address. It also asks for a page of members if
  //! this host's table is incomplete.
  void sendPageRequest(const UdpEndpoint &Address) {
    const std::uint64_t Number = ++LastNumber;
    if (PageCursor)
      PageRequestNumbers.push_back(Number);
    Heartbeat Content{
        .From = Table.Self, .Number = Number, .PageAfter = PageCursor};
    send(std::move(Content), Address);
  }

  void contactMissingHosts() {
    const bool NoneReachable =
        std::none_of(Table.Others.begin(), Table.Others.end(),
                     [](const auto &I) { return isReachable(I.second.Info); });
    if (NoneReachable) {
      std::vector<UdpEndpoint> Chosen;
      const std::vector<UdpEndpoint> Seeds = unknownSeeds();
      std::sample(Seeds.begin(), Seeds.end(), std::back_inserter(Chosen),
                  SeedsPerAttempt, Random);
      for (const UdpEndpoint &Address : Chosen)
        sendPageRequest(Address);
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
      sendPageRequest(Seeds[Index - Dead.size()]);
  }

  //! Tells the members that this host suspects of the suspicion in each period,
  //! until they refute or are declared dead. Without this, a lost datagram more
  //! often causes a live member to be declared dead, because the suspicion
  //! reaches it through other members only by chance.
  void notifySuspects() {
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

  void requestIndirectProbes(const std::vector<std::uint64_t> &Numbers) {
    for (const std::uint64_t Number : Numbers) {
      const Probe &Pending = Probes[Number];
      if (Pending.Acked)
        continue;
      for (const Member &Prober : chooseIndirectProbers(
               Table, Pending.Target, Options.IndirectProbes, Random)) {
        ProbeRequest Content{
            .From = Table.Self, .Number = Number, .Target = Pending.Target};
        send(std::move(Content), Prober.PeerAddress);
      }
    }
  }

  void endProbes(const std::vector<std::uint64_t> &Numbers,
                 bool SuspectMissed) {
    for (const std::uint64_t Number : Numbers) {
      const Probe Ended = Probes[Number];
      Probes.erase(Number);
      const Member &Target = Ended.Target;
      const bool Missed = !Ended.Acked && (Target.Region == Table.Self.Region ||
                                           Ended.MissReported);
      if (!SuspectMissed || !Missed ||
          !suspect(Table, Target.Name, Target.StartTime, now()))
        continue;
      OwnSuspects.insert(Target.Name);
      const Member Info = Table.Others.at(Target.Name).Info;
      logChange(Info);
      notifyChange(Info);
    }
  }

  void declareExpiredDead() {
    for (const Member &Dead :
         expireSuspicions(Table, now(), Options.SuspicionTimeout)) {
      logChange(Dead);
      notifyChange(Dead);
    }
  }

  //! Returns false if this process woke up more than a period late: the
  //! messages that it did not receive are then no sign that other members
  //! failed.
  static Task<bool> sleepUntil(std::shared_ptr<Impl> Self, TimePoint Deadline) {
    co_await Self->Options.Time.SleepUntil(Deadline);
    const auto Late = Self->now() - Deadline;
    if (Late <= Self->Options.ProbePeriod)
      co_return true;
    log(LogLevel::Warn, "probing_delayed",
        {{"host", Self->Table.Self.Name.value()},
         {"late_ms", std::chrono::duration_cast<Milliseconds>(Late).count()}});
    restartSuspicions(Self->Table, Self->now());
    co_return false;
  }

  static Task<> run(std::shared_ptr<Impl> Self) {
    TimePoint Start = Self->now();
    while (!Self->Stopped) {
      ++Self->Periods;
      Self->PagesSentThisPeriod = 0;
      Self->PageRequestNumbers.clear();
      removeExpiredMembers(Self->Table, Self->now(), Self->Options.Retention);
      const std::vector<std::uint64_t> Numbers = Self->startProbes();
      Self->notifySuspects();
      Self->contactMissingHosts();
      Self->requestNextPage();
      bool OnTime = co_await sleepUntil(Self, Start + Self->Options.AckTimeout);
      if (OnTime) {
        Self->requestIndirectProbes(Numbers);
        Self->requestNextPage();
        Self->declareExpiredDead();
        OnTime = co_await sleepUntil(Self, Start + Self->Options.ProbePeriod);
      }
      Self->endProbes(Numbers, /*SuspectMissed=*/OnTime);
      if (OnTime)
        Self->declareExpiredDead();
      Start = OnTime ? Start + Self->Options.ProbePeriod : Self->now();
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

  //! Name after which the next page of the member table starts; empty when the
  //! whole table was read.
  std::optional<EntryHostName> PageCursor;
  std::optional<TimePoint> NextTableRead;
  std::vector<std::uint64_t> PageRequestNumbers; //!< Requests not answered yet.
  bool AnyPeerIncomplete = false;
  unsigned TableReads = 0;
  unsigned PagesSentThisPeriod = 0; //!< To other hosts.
};

Membership::Membership(Executor Where, MembershipOptions Options,
                       SendFunction Send)
    : Self(std::make_shared<Impl>(std::move(Where), std::move(Options),
                                  std::move(Send))) {}

Membership::~Membership() { stop(); }

Task<> Membership::run() { return Impl::run(Self); }

void Membership::stop() { Self->Stopped = true; }

void Membership::handle(const wire::Envelope &Received,
                        const UdpEndpoint &Sender) {
  if (Self->Stopped)
    return;
  ++Self->Counters.MessagesReceived;
  Self->Counters.BytesReceived +=
      DatagramOverheadBytes +
      wire::encodeEnvelope(Received.Type, Received.Fields).size();
  auto Decoded = decode(Received, buckthorndeck::toString(Sender));
  if (!Decoded) {
    // Logged when the count is a power of two, so that a faulty peer cannot
    // fill the log.
    if (std::has_single_bit(++Self->Counters.MalformedMessages))
      log(LogLevel::Warn, "heartbeat_refused",
          {{"error", describe(Decoded.error())},
           {"count", Self->Counters.MalformedMessages}});
    return;
  }
  std::visit(
      [&](const auto &Content) {
        const Member &From = Content.From;
        const Member &Own = Self->Table.Self;
        // The seeds may include this host, which then receives its own message.
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

bool Membership::isTableComplete() const {
  return !Self->PageCursor.has_value();
}

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
