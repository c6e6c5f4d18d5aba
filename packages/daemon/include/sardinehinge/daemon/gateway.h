#pragma once

#include <sardinehinge/core/result.h>
#include <sardinehinge/core/types.h>

#include <functional>
#include <memory>
#include <string>

namespace sardinehinge::daemon {

/// A daemon on a hosting platform: a traffic duty and a control duty, joined by rings. Lives on a thread with a Qt
/// event loop, which it ends when a stop is complete.
class Gateway
{
public:
    /// `settingsPath`: the platform's settings file.
    explicit Gateway(std::string settingsPath);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Reads the settings and starts all duties; an error that names what is wrong.
    core::Result<core::Done> start();
    /// Reads the settings file again. A file that can't be read leaves the settings as they are.
    void reload();
    /// Stops gracefully: unready at once, then no new connections, then the end, within the platform's time for a stop.
    void drain();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace sardinehinge::daemon
