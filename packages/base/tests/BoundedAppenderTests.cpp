#include "buckthorndeck/base/internal/BoundedAppender.h"

#include "buckthorndeck/base/Log.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

using namespace buckthorndeck;

namespace {

//! A pipe that nobody reads until readAll().
class Pipe {
public:
  Pipe() {
    REQUIRE(::pipe(Ends) == 0);
    REQUIRE(::fcntl(Ends[0], F_SETFL, O_NONBLOCK) == 0);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  int writeEnd() const { return Ends[1]; }

  std::string readAll() {
    std::string Text;
    char Buffer[4096];
    ssize_t Count = 0;
    while ((Count = ::read(Ends[0], Buffer, sizeof(Buffer))) > 0)
      Text.append(Buffer, static_cast<std::size_t>(Count));
    return Text;
  }

private:
  int Ends[2] = {-1, -1};
};

using AppenderPointer = log4cplus::helpers::SharedObjectPtr<BoundedAppender>;

AppenderPointer makeAppender(int Descriptor, unsigned LinesPerSecond) {
  // Starts the log library, which may be started only once in a process.
  log(LogLevel::Debug, "test");
  return AppenderPointer(new BoundedAppender(Descriptor, LinesPerSecond));
}

class AppenderFixture {
public:
  explicit AppenderFixture(unsigned LinesPerSecond)
      : Appender(makeAppender(Output.writeEnd(), LinesPerSecond)) {
    Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  }

  void write(const std::string &Text) {
    Appender->doAppend(log4cplus::spi::InternalLoggingEvent(
        "test", log4cplus::INFO_LOG_LEVEL, Text, __FILE__, __LINE__));
  }

  Pipe Output;
  AppenderPointer Appender;
};

} // namespace

TEST_CASE("Log lines over the rate are dropped and counted", "[log]") {
  AppenderFixture Site(3);
  for (int Count = 0; Count < 10; ++Count)
    Site.write("line");
  // A test that is stopped for a second gets another second's lines.
  const std::string Text = Site.Output.readAll();
  const auto Lines = std::count(Text.begin(), Text.end(), '\n');
  CHECK(Lines >= 3);
  CHECK(Site.Appender->dropped() >= 1);
  CHECK(Site.Appender->dropped() <= 7);
}

TEST_CASE("A reader that does not read never stops the process", "[log]") {
  // The pipe holds 64 KB; the rest is dropped instead of being waited for.
  AppenderFixture Site(1'000'000);
  const std::string Line(200, 'x');
  for (int Count = 0; Count < 2000; ++Count)
    Site.write(Line);
  CHECK(Site.Appender->dropped() > 0);
  Site.Output.readAll();
  Site.write("after");
  const std::string Text = Site.Output.readAll();
  CHECK(Text.find("event=log_lines_dropped total=") != std::string::npos);
  CHECK(Text.find("after\n") != std::string::npos);
}
