#pragma once

#include "config/Settings.h"
#include "tamarackseam/Error.h"

#include <functional>
#include <memory>

namespace tamarack {

class Contexts;

/// An entry process that forwards requests directly to upstreams. The store client and the
/// readiness check run on the control thread, requests on the first traffic thread.
class DirectProcess
{
public:
    static Result<std::unique_ptr<DirectProcess>> makeProcess(Settings settings,
                                                              Contexts &contexts);
    ~DirectProcess();
    DirectProcess(const DirectProcess &) = delete;
    DirectProcess &operator=(const DirectProcess &) = delete;

    /// Planned stop. Reports not ready immediately, accepts requests until the load balancer has
    /// noticed, then stops once all responses are complete. `done` is always called before the
    /// stop grace period ends.
    void drain(std::function<void()> done);
    void reload(const Settings &settings);

private:
    struct Private;
    explicit DirectProcess(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
};

} // namespace tamarack
