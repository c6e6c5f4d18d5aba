#pragma once

#include "dutymessages.h"

#include <sardinehinge/daemon/ring.h>
#include <sardinehinge/daemon/settings.h>
#include <sardinehinge/daemon/worker.h>
#include <sardinehinge/http/server.h>

#include <atomic>
#include <unordered_map>

namespace sardinehinge::daemon {

/// Serves callers: reads whole requests, hands them to the routing duty, and writes its answers.
///
/// A full ring towards routing refuses the request as not run. The ring of answers holds one entry for each connection
/// that can wait, so it can't be full.
class CallerDuty : private http::RequestHandler
{
public:
    using Forward = std::function<bool(ToRouting)>;

    CallerDuty(const Settings &settings, Forward forward);
    ~CallerDuty() override;

    core::Result<core::Done> start();
    void stop() { m_worker.stop(); }

    /// Where the routing duty puts answers.
    Ring<CallerAnswer> &answers() noexcept { return m_answers; }
    /// Whether the balancer may send callers here. Safe to call from every thread.
    void setReady(bool ready) noexcept { m_isReady.store(ready); }
    bool isReady() const noexcept { return m_isReady.load(); }
    /// Not ready any more, and each answer closes its connection. Safe to call from every thread.
    void announceDrain();
    /// Closes the listener and idle connections. Safe to call from every thread.
    void drain();
    /// Connections of callers; none once a drain is complete, with every answer written.
    std::size_t connections() const noexcept { return m_server.connections(); }
    /// Requests that wait for their answer.
    std::size_t pending() const noexcept { return m_pending.load(); }
    Worker &worker() noexcept { return m_worker; }

private:
    void handle(std::uint64_t exchange, http::Request request, std::shared_ptr<http::Responder> responder) override;
    void callerDisconnected(std::uint64_t exchange) override;
    http::Response rejection(int status, const std::string &detail, const std::string &peer) override;
    void takeAnswers();

    Settings m_settings;
    Forward m_forward;
    Worker m_worker{"callers"};
    http::Server m_server;
    Ring<CallerAnswer> m_answers;
    std::unordered_map<std::uint64_t, std::shared_ptr<http::Responder>> m_waiting;
    std::atomic<bool> m_isReady = false;
    std::atomic<std::size_t> m_pending = 0;
};

} // namespace sardinehinge::daemon
