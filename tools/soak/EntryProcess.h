#pragma once

#include "tamarackseam/Error.h"

#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

#include <sys/types.h>

namespace tamarack::soak {

/// A daemon as a process of its own; its log goes to a file.
class EntryProcess
{
public:
    EntryProcess(std::filesystem::path program, std::filesystem::path settings,
                 std::filesystem::path log);
    /// Kills the process if it still runs.
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    Result<void> start();
    /// No effect unless it runs.
    void signal(int number);
    bool running();
    /// The most resident memory that the running process has had, in bytes.
    std::size_t peakMemory() const;
    /// Descriptors that the running process has open.
    std::size_t openDescriptors() const;
    /// How the process ended last: its exit code, or 128 and the signal's number.
    int exitCode() const { return m_exitCode; }

private:
    std::filesystem::path m_program;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    pid_t m_pid = 0;
    int m_exitCode = 0;
};

} // namespace tamarack::soak
