#ifndef BUCKTHORNDECK_BASE_INTERNAL_BOUNDEDAPPENDER_H
#define BUCKTHORNDECK_BASE_INTERNAL_BOUNDEDAPPENDER_H

#include <chrono>
#include <cstdint>
#include <log4cplus/appender.h>

namespace buckthorndeck {

/**
 * Writes log lines to a descriptor without ever waiting for its reader.
 *
 * A line is dropped when the lines of the current second are used up, or when
 * the descriptor cannot take it now. Descriptor is not closed.
 */
class BoundedAppender : public log4cplus::Appender {
public:
  BoundedAppender(int Descriptor, unsigned LinesPerSecond);
  ~BoundedAppender() override;

  void close() override;
  std::uint64_t dropped() const { return Dropped; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  bool takeLine();
  bool writeLine(const std::string &Line);

  int Descriptor;
  unsigned LinesPerSecond;
  unsigned LinesLeft;
  std::chrono::steady_clock::time_point SecondStart;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedReported = 0;
};

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_INTERNAL_BOUNDEDAPPENDER_H
