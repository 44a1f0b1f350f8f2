#include "buckthorndeck/base/internal/BoundedAppender.h"

#include <climits>
#include <log4cplus/layout.h>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace buckthorndeck {

BoundedAppender::BoundedAppender(int Descriptor, unsigned LinesPerSecond)
    : Descriptor(Descriptor), LinesPerSecond(LinesPerSecond),
      LinesLeft(LinesPerSecond), SecondStart(std::chrono::steady_clock::now()) {
}

BoundedAppender::~BoundedAppender() { destructorImpl(); }

void BoundedAppender::close() { closed = true; }

bool BoundedAppender::takeLine() {
  const auto Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    LinesLeft = LinesPerSecond;
  }
  if (LinesLeft == 0)
    return false;
  --LinesLeft;
  return true;
}

bool BoundedAppender::writeLine(const std::string &Line) {
  // A pipe that is writable takes PIPE_BUF bytes without blocking.
  pollfd Poll{.fd = Descriptor, .events = POLLOUT};
  if (Line.size() > PIPE_BUF || poll(&Poll, 1, /*timeout=*/0) != 1 ||
      (Poll.revents & POLLOUT) == 0)
    return false;
  const ssize_t Written = write(Descriptor, Line.data(), Line.size());
  return Written == static_cast<ssize_t>(Line.size());
}

void BoundedAppender::append(
    const log4cplus::spi::InternalLoggingEvent &Event) {
  if (!takeLine()) {
    ++Dropped;
    return;
  }
  std::ostringstream Text;
  layout->formatAndAppend(Text, Event);
  if (Dropped != DroppedReported) {
    const std::string Notice =
        "event=log_lines_dropped total=" + std::to_string(Dropped) + "\n";
    if (writeLine(Notice))
      DroppedReported = Dropped;
  }
  if (!writeLine(Text.str()))
    ++Dropped;
}

} // namespace buckthorndeck
