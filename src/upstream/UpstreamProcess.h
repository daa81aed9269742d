#pragma once

#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <functional>
#include <memory>

namespace tamarack {

class Contexts;

/// The daemon in the upstream role: the gate core, its links and its engine or service.
class UpstreamProcess
{
public:
    /// Binds its listeners; fails when an address cannot be used.
    static Result<std::unique_ptr<UpstreamProcess>> makeProcess(Settings settings,
                                                                Contexts &contexts);
    ~UpstreamProcess();
    UpstreamProcess(const UpstreamProcess &) = delete;
    UpstreamProcess &operator=(const UpstreamProcess &) = delete;

    /// Planned stop: grants nothing more and calls `done` once all answers have been taken.
    void drain(std::function<void()> done);
    /// Applies the settings that may change at run time.
    void reload(const Settings &settings);

private:
    struct Private;
    explicit UpstreamProcess(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
