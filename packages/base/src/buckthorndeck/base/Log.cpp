#include "buckthorndeck/base/Log.h"

#include "buckthorndeck/base/internal/BoundedAppender.h"

#include <algorithm>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>

namespace buckthorndeck {

namespace {

log4cplus::LogLevel toLibraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool isPlain(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') ||
         std::string_view("_./:+@,-").find(C) != std::string_view::npos;
}

void appendEscaped(std::string &Out, char C) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  const auto Code = static_cast<unsigned char>(C);
  if (C == '"' || C == '\\') {
    Out += '\\';
    Out += C;
  } else if (C == '\n') {
    Out += "\\n";
  } else if (C == '\r') {
    Out += "\\r";
  } else if (C == '\t') {
    Out += "\\t";
  } else if (Code < 0x20 || Code == 0x7f) {
    Out += "\\x";
    Out += HexDigits[Code >> 4];
    Out += HexDigits[Code & 0xf];
  } else {
    Out += C;
  }
}

void appendValue(std::string &Out, std::string_view Value) {
  if (!Value.empty() && std::all_of(Value.begin(), Value.end(), isPlain)) {
    Out += Value;
    return;
  }
  Out += '"';
  for (char C : Value)
    appendEscaped(Out, C);
  Out += '"';
}

//! Text for a layout pattern, where a percent sign starts a conversion.
std::string escapePattern(const std::string &Text) {
  std::string Out;
  for (char C : Text)
    Out += C == '%' ? "%%" : std::string(1, C);
  return Out;
}

log4cplus::Logger rootLogger() { return log4cplus::Logger::getRoot(); }

log4cplus::Initializer &library() {
  static log4cplus::Initializer Instance;
  return Instance;
}

} // namespace

std::string formatFields(std::initializer_list<LogField> Fields) {
  std::string Out;
  for (const LogField &Field : Fields) {
    if (!Out.empty())
      Out += ' ';
    Out += Field.Key;
    Out += '=';
    appendValue(Out, Field.Value);
  }
  return Out;
}

void initLogging(const LogOptions &Options) {
  library();
  const std::string Program = formatFields({{"program", Options.Program}});
  const std::string Pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p " +
                              escapePattern(Program) + " %m%n";
  log4cplus::SharedAppenderPtr Appender;
  if (Options.Target == LogTarget::StandardOutput)
    Appender = new BoundedAppender(STDOUT_FILENO, Options.LinesPerSecond);
  else
    Appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                              /*immediateFlush=*/true);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  rootLogger().removeAllAppenders();
  rootLogger().addAppender(Appender);
  setLogThreshold(Options.Threshold);
}

void setLogThreshold(LogLevel Threshold) {
  rootLogger().setLogLevel(toLibraryLevel(Threshold));
}

void log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) {
  library();
  const log4cplus::LogLevel LibraryLevel = toLibraryLevel(Level);
  if (!rootLogger().isEnabledFor(LibraryLevel))
    return;
  std::string Line = formatFields({{"event", Event}});
  if (Fields.size() != 0)
    Line += ' ' + formatFields(Fields);
  rootLogger().log(LibraryLevel, Line);
}

} // namespace buckthorndeck
