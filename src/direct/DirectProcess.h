#pragma once

#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <functional>
#include <memory>

namespace tamarack {

class Contexts;

/// An entry that carries requests to their upstreams itself: store and readiness on the control
/// thread, requests on the first traffic thread.
class DirectProcess
{
public:
    static Result<std::unique_ptr<DirectProcess>> makeProcess(Settings settings,
                                                              Contexts &contexts);
    ~DirectProcess();
    DirectProcess(const DirectProcess &) = delete;
    DirectProcess &operator=(const DirectProcess &) = delete;

    /// Planned stop: not ready at once, takes requests until the balancer has noticed, then ends
    /// once every answer is whole. `done` is called before the grace ends in any case.
    void drain(std::function<void()> done);
    void reload(const Settings &settings);

private:
    struct Private;
    explicit DirectProcess(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
