#include "base/Log.h"

#include "base/StdoutSink.h"
#include "base/Utf8.h"

#include <algorithm>
#include <iterator>
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

/// Bytes of a value that are written; what names a request or an upstream is shorter.
constexpr std::size_t maxValueBytes = 256;

/// Whether terminals and text tools take the character for something other than text.
bool isControl(std::string_view character)
{
    const auto first = static_cast<unsigned char>(character.front());
    const auto last = static_cast<unsigned char>(character.back());
    return first < 0x20 || first == 0x7f || (character.size() == 2 && first == 0xc2 && last < 0xa0);
}

void appendEscaped(std::string &text, std::string_view bytes)
{
    for (const char byte : bytes)
        fmt::format_to(std::back_inserter(text), "\\x{:02x}", static_cast<unsigned char>(byte));
}

void appendCharacter(std::string &text, std::string_view character, bool valid)
{
    if (character == "\n" || character == "\r")
        text += ' ';
    else if (!valid || isControl(character))
        appendEscaped(text, character);
    else if (character == "\"" || character == "\\")
        text.append("\\").append(character);
    else
        text += character;
}

std::string quoted(std::string_view value)
{
    const auto plain = [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    };
    if (!value.empty() && value.size() <= maxValueBytes && std::ranges::all_of(value, plain))
        return std::string(value);
    std::string text = "\"";
    std::size_t written = 0;
    while (written < value.size()) {
        const std::string_view rest = value.substr(written);
        const std::size_t valid = utf8CharacterBytes(rest);
        const std::string_view character = rest.substr(0, std::max<std::size_t>(valid, 1));
        if (written + character.size() > maxValueBytes)
            break;
        appendCharacter(text, character, valid > 0);
        written += character.size();
    }
    if (const std::size_t more = value.size() - written)
        text += fmt::format("...({} more {})", more, more == 1 ? "byte" : "bytes");
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
