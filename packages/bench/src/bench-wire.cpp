// Time and allocated bytes per call of the datagram, token and relay codecs.

#include "AllocationCount.h"
#include "buckthorndeck/base/Hash.h"
#include "buckthorndeck/wire/Datagram.h"
#include "buckthorndeck/wire/Envelope.h"
#include "buckthorndeck/wire/Relay.h"
#include "buckthorndeck/wire/Token.h"

#include <benchmark/benchmark.h>

using namespace buckthorndeck;
using namespace buckthorndeck::wire;

namespace {

const ServiceAddress Service("10.0.0.1:443");

Token contents() {
  return {.Owner = EntryHostName("hella-1"),
          .OwnerIncarnation = Incarnation(1'700'000'000'000),
          .Flow = FlowId(77),
          .Server = ObjectName("registry/tag-registry-12"),
          .ServerGeneration = Generation(3),
          .IssuedAt = std::chrono::milliseconds(123'456'789)};
}

BodyPart partOf(std::size_t Size) {
  const Bytes Body(Size, 0x5a);
  return {.TotalBytes = static_cast<std::uint32_t>(Size),
          .BodyDigest = digestOf(Body),
          .Body = Body};
}

Datagram request(std::size_t Size) {
  return Request{.Flow = FlowId(0x123456789abcdef0),
                 .Number = Sequence(1000),
                 .Service = Service,
                 .Operation = "bid",
                 .Deadline = std::chrono::milliseconds(2000),
                 .Token = issueToken(MacKey{}, contents(), Service),
                 .Part = partOf(Size)};
}

Datagram answer(std::size_t Size) {
  return Answer{.Flow = FlowId(0x123456789abcdef0),
                .Number = Sequence(1000),
                .Result = Outcome::Ok,
                .Token = issueToken(MacKey{}, contents(), Service),
                .Lifetime = std::chrono::milliseconds(15'000),
                .Part = partOf(Size)};
}

//! Runs Call in the timed loop and reports the bytes it allocates.
template <typename Function>
void measure(benchmark::State &State, Function Call) {
  const std::size_t Before = allocatedBytes();
  for (auto Iteration : State)
    benchmark::DoNotOptimize(Call());
  State.counters["allocated_bytes"] =
      benchmark::Counter(static_cast<double>(allocatedBytes() - Before),
                         benchmark::Counter::kAvgIterations);
}

void encodeRequest(benchmark::State &State) {
  const Datagram Message = request(State.range(0));
  measure(State, [&] { return encode(Message); });
}

void decodeRequest(benchmark::State &State) {
  const Bytes Payload = encode(request(State.range(0)));
  measure(State, [&] { return decode(Payload, "10.0.0.2:9"); });
}

void encodeAnswer(benchmark::State &State) {
  const Datagram Message = answer(State.range(0));
  measure(State, [&] { return encode(Message); });
}

void decodeAnswer(benchmark::State &State) {
  const Bytes Payload = encode(answer(State.range(0)));
  measure(State, [&] { return decode(Payload, "10.0.0.2:9"); });
}

void mint(benchmark::State &State) {
  const Token Contents = contents();
  measure(State, [&] { return issueToken(MacKey{}, Contents, Service); });
}

void check(benchmark::State &State) {
  const Bytes Sealed = issueToken(MacKey{}, contents(), Service);
  measure(State, [&] {
    return verifyToken(MacKey{}, Sealed, Service, FlowId(77), "10.0.0.2:9");
  });
}

void sealRelay(benchmark::State &State) {
  const Relay Message{.Caller = "10.0.0.2:9",
                      .Payload = encode(request(State.range(0)))};
  measure(State, [&] { return encodeRelay(MacKey{}, Message); });
}

void unsealRelay(benchmark::State &State) {
  const Bytes Sealed =
      encodeRelay(MacKey{}, {.Caller = "10.0.0.2:9",
                             .Payload = encode(request(State.range(0)))});
  measure(State, [&] {
    const auto Frame = unsealEnvelope(MacKey{}, Sealed, "10.0.0.3:9");
    return decodeRelay(*Frame, "10.0.0.3:9");
  });
}

void bodySizes(benchmark::internal::Benchmark *Program) {
  for (std::int64_t Size : {0, 100, 1000})
    Program->Arg(Size);
}

} // namespace

BENCHMARK(encodeRequest)->Apply(bodySizes);
BENCHMARK(decodeRequest)->Apply(bodySizes);
BENCHMARK(encodeAnswer)->Apply(bodySizes);
BENCHMARK(decodeAnswer)->Apply(bodySizes);
BENCHMARK(mint);
BENCHMARK(check);
BENCHMARK(sealRelay)->Apply(bodySizes);
BENCHMARK(unsealRelay)->Apply(bodySizes);
BENCHMARK_MAIN();
