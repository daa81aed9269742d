#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace tamarack {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line. Values with spaces or quotes are quoted.
struct LogField
{
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, bool value);
    LogField(std::string_view key, double value);
    template <std::integral T>
    LogField(std::string_view key, T value)
        : LogField(key, std::to_string(value))
    {}

    std::string_view key;
    std::string value;
};

/// Routes log lines to `file`, or to standard output when empty. Lines for standard output are
/// kept in a bounded buffer until `flushLog`, or a warning, writes them; they are dropped and
/// counted when its reader does not keep up. `level`: debug, info, warn, error.
void openLog(std::string_view processName, std::string_view level, const std::string &file);

/// Writes what is buffered. Never blocks.
void flushLog();

/// Changes the level at run time.
void setLogLevel(std::string_view level);

/// Writes one line `event=NAME key=value ...`.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace tamarack
