#ifndef BUCKTHORNDECK_BASE_LOG_H
#define BUCKTHORNDECK_BASE_LOG_H

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthorndeck {

enum class LogLevel { Debug, Info, Warn, Error };

//! One key=value pair of a log line.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  LogField(std::string_view Key, bool Value)
      : Key(Key), Value(Value ? "true" : "false") {}
  template <std::integral T>
    requires(!std::same_as<T, bool>)
  LogField(std::string_view Key, T Value)
      : Key(Key), Value(std::to_string(Value)) {}

  std::string Key;
  std::string Value;
};

enum class LogTarget {
  StandardError, //!< Unbounded; a reader that does not read stops the process.
  //! Bounded: a line over the rate, or that the reader leaves no room for, is
  //! dropped. The number of dropped lines is logged once there is room again.
  StandardOutput,
};

struct LogOptions {
  LogLevel Threshold = LogLevel::Info;
  std::string Program; //!< Printed as program= on every line.
  LogTarget Target = LogTarget::StandardError;
  unsigned LinesPerSecond = 200; //!< Of a bounded target.
};

//! Sends log lines to the target from now on.
void initLogging(const LogOptions &Options);

void setLogThreshold(LogLevel Threshold);

//! Writes one line: time, level, program, event and fields as key=value.
void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields = {});

//! Formats fields as key=value pairs separated by spaces. A value that holds
//! anything but [A-Za-z0-9_./:+@,-] is quoted, with \" \\ \n \r \t and \xHH
//! escapes, so that a line always stays one line and can be parsed back.
std::string formatFields(std::initializer_list<LogField> Fields);

} // namespace buckthorndeck

#endif // BUCKTHORNDECK_BASE_LOG_H
