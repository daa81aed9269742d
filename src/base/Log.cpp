#include "base/Log.h"

#include "base/StdoutSink.h"

#include <algorithm>
#include <memory>

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

namespace tamarack {

namespace {

spdlog::level::level_enum spdLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string quoted(std::string_view value)
{
    const auto plain = [](char c) { return c > ' ' && c != '"' && c != '=' && c != '\\'; };
    if (!value.empty() && std::ranges::all_of(value, plain))
        return std::string(value);
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return text + '"';
}

} // namespace

LogField::LogField(std::string_view fieldKey, std::string_view fieldValue)
    : key(fieldKey)
    , value(quoted(fieldValue))
{}

LogField::LogField(std::string_view fieldKey, const char *fieldValue)
    : LogField(fieldKey, std::string_view(fieldValue))
{}

LogField::LogField(std::string_view fieldKey, const std::string &fieldValue)
    : LogField(fieldKey, std::string_view(fieldValue))
{}

LogField::LogField(std::string_view fieldKey, bool fieldValue)
    : LogField(fieldKey, std::string_view(fieldValue ? "true" : "false"))
{}

LogField::LogField(std::string_view fieldKey, double fieldValue)
    : LogField(fieldKey, std::string_view(fmt::format("{:.3f}", fieldValue)))
{}

void openLog(std::string_view processName, std::string_view level, const std::string &file)
{
    std::shared_ptr<spdlog::sinks::sink> sink;
    if (file.empty())
        sink = std::make_shared<StdoutSink>();
    else
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    auto logger = std::make_shared<spdlog::logger>(std::string(processName), std::move(sink));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                        spdlog::pattern_time_type::utc);
    logger->flush_on(file.empty() ? spdlog::level::warn : spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
    setLogLevel(level);
}

void flushLog()
{
    spdlog::default_logger_raw()->flush();
}

void setLogLevel(std::string_view level)
{
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!spdlog::should_log(spdLevel(level)))
        return;
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields)
        line.append(" ").append(field.key).append("=").append(field.value);
    spdlog::log(spdLevel(level), "{}", line);
}

} // namespace tamarack
