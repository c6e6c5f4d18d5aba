#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/daemon/settings.h>

#include <memory>

namespace sardinehinge::daemon {

/// A whole daemon: its duties, each on a thread, joined by rings. Needs a QCoreApplication on the calling thread.
class Daemon
{
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens all ports and starts all duties; an error of step `listen` when a port can't be opened.
    core::Result<core::Done> start();
    /// Stops gracefully: unready first, then no new connections, then, once requests in progress have ended or the
    /// drain limit has passed, quits the application.
    void drain();

private:
    class Duties;
    std::unique_ptr<Duties> m_duties;
};

} // namespace sardinehinge::daemon
