#pragma once

#include "controlduty.h"

#include <sardinehinge/daemon/metrics.h>

#include <QHttpServer>

namespace sardinehinge::daemon {

/// The operators' interface over Qt's HTTP server: queries by GET, commands by POST.
///
/// Every handler answers at once: a command that takes a while is an operation, named by the client and looked up
/// later, so no answer is held while a client may leave. Lives on the main thread.
class OperatorServer
{
public:
    /// A full ring towards control is told to the operator as `overloaded`.
    OperatorServer(ControlDuty &control, EventLog &events, Metrics &metrics,
                   std::function<bool(ToControl)> tellControl);

    /// Starts to listen; an error of step `listen` when that fails.
    core::Result<core::Done> listen(const std::string &address);

private:
    void addQueries();
    void addCommands();
    QHttpServerResponse applyWorkspace(const QHttpServerRequest &request);
    QHttpServerResponse accepted(bool wasTaken, const std::string &operation);

    ControlDuty &m_control;
    EventLog &m_events;
    Metrics &m_metrics;
    std::function<bool(ToControl)> m_tellControl;
    QHttpServer m_server;
};

} // namespace sardinehinge::daemon
