#pragma once

#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <functional>
#include <memory>

namespace tamarack {

class Contexts;

/// The daemon in the entry role: the entry core, its callers, its links and its operators.
class EntryProcess
{
public:
    /// Binds its listeners; fails when an address cannot be used.
    static Result<std::unique_ptr<EntryProcess>> makeProcess(Settings settings, Contexts &contexts);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    /// Planned stop: accepts nothing more and calls `done` once every request has its answer.
    void drain(std::function<void()> done);
    /// Applies the settings that may change at run time.
    void reload(const Settings &settings);

private:
    struct Private;
    explicit EntryProcess(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
