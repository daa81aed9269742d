#include "soak/EntryProcess.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string_view>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tamarack::soak {

namespace {

constexpr int logFileMode = 0644;
constexpr int signalExitBase = 128;

} // namespace

EntryProcess::EntryProcess(std::filesystem::path program, std::filesystem::path settings,
                           std::filesystem::path log)
    : m_program(std::move(program))
    , m_settings(std::move(settings))
    , m_log(std::move(log))
{}

EntryProcess::~EntryProcess()
{
    if (!running())
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

Result<void> EntryProcess::start()
{
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, logFileMode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = m_program.string();
    std::string option = "--settings=" + m_settings.string();
    const std::array<char *, 3> arguments{program.data(), option.data(), nullptr};
    const int error =
        ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error == 0)
        return {};
    m_pid = 0;
    return failure(ErrorKind::IoFailed, "cannot start " + program + ": " + std::strerror(error));
}

void EntryProcess::signal(int number)
{
    if (running())
        ::kill(m_pid, number);
}

bool EntryProcess::running()
{
    if (m_pid == 0)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_pid = 0;
    m_exitCode = WIFSIGNALED(status) ? signalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
    return false;
}

std::size_t EntryProcess::peakMemory() const
{
    constexpr std::string_view field = "VmHWM:";
    constexpr std::size_t bytesPerUnit = 1024;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line))
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * bytesPerUnit;
    return 0;
}

std::size_t EntryProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd",
                                                      error);
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace tamarack::soak
