#include "Harness.h"
#include "buckthorndeck/standins/Caller.h"
#include "buckthorndeck/standins/Fabric.h"
#include "buckthorndeck/standins/GeneratedBody.h"

using namespace buckthorndeck;
using namespace buckthorndeck::standins;

namespace {

const ServiceAddress FloorAddress("10.0.0.1:7000");

} // namespace

TEST_CASE("A caller gets a large answer through the fabric", "[caller]") {
  World In;
  const Bytes Large = generatedBody(7, 20'000);
  const auto Answers =
      [&](const wire::Datagram &Message) -> ScriptedHost::Replies {
    if (const auto *Open = std::get_if<wire::Open>(&Message))
      return {welcome(*Open, "token")};
    const auto &Request = std::get<wire::Request>(Message);
    return answer(Request, wire::Outcome::Ok, Large);
  };
  ScriptedHost A(In, Answers);
  ScriptedHost B(In, Answers);
  auto Middle =
      Fabric::start(In.where(), {.Hosts = {A.endpoint(), B.endpoint()}})
          .value();
  auto Client = Caller::start(In.where(), {.Entry = Middle.endpoint(),
                                           .Service = FloorAddress})
                    .value();
  CallRequest Wanted{.Operation = "swatch", .Idempotent = true};
  const auto Result = In.run(Client.call(std::move(Wanted)));
  CHECK(Result.Result == wire::Outcome::Ok);
  CHECK(Result.Body == Large);
  CHECK(Result.Attempts == 1);
}
