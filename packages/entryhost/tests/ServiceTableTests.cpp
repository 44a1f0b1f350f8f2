#include "buckthorndeck/config/Objects.h"
#include "buckthorndeck/entryhost/ServiceTable.h"

#include <catch2/catch.hpp>

using namespace buckthorndeck;
using namespace buckthorndeck::entryhost;

namespace {

ServiceTable exampleTable() {
  const ObjectName Service("a/press");
  const ObjectName Rule("a/rule");
  config::ObjectSet Objects;
  Objects.Services[Service] = {.Name = Service,
                               .Address = ServiceAddress("192.0.2.1:80")};
  Objects.Rules[Rule] = {
      .Name = Rule,
      .Service = Service,
      .Operations = {{.Name = "print"}, {.Name = "read", .Idempotent = true}}};
  return makeServiceTable(Objects);
}

} // namespace

TEST_CASE("A service accepts only the operations of its rule", "[service]") {
  // Guards against a request for an operation or an address that the
  // configuration does not declare.
  const ServiceTable Table = exampleTable();
  const ServiceEntry *Entry =
      findService(Table, ServiceAddress("192.0.2.1:80"));
  REQUIRE(Entry);
  CHECK(Entry->Service == ObjectName("a/press"));
  CHECK(accepts(*Entry, "print"));
  CHECK_FALSE(accepts(*Entry, "bid"));
  CHECK_FALSE(findService(Table, ServiceAddress("192.0.2.1:81")));
}

TEST_CASE("A request may be repeated only if both caller and rule declare it "
          "idempotent",
          "[service]") {
  // Guards against a caller that marks a request as idempotent although the
  // operation is not, such as a bid.
  const ServiceTable Table = exampleTable();
  const ServiceEntry *Entry =
      findService(Table, ServiceAddress("192.0.2.1:80"));
  CHECK(mayRepeat(Entry, "read", true));
  CHECK_FALSE(mayRepeat(Entry, "read", false));
  CHECK_FALSE(mayRepeat(Entry, "print", true));
  CHECK_FALSE(mayRepeat(Entry, "bid", true));
  CHECK_FALSE(mayRepeat(nullptr, "read", true));
}
