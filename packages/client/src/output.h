#pragma once

#include <sardinehinge/client/arguments.h>
#include <sardinehinge/client/commands.h>
#include <sardinehinge/client/connection.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <iostream>
#include <memory>

namespace sardinehinge::client::internal {

inline void printJson(const QJsonObject &object)
{
    std::cout << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

/// Prints `line` to standard error and returns `status`.
inline int reportError(int status, const std::string &line)
{
    std::cerr << "sardinehingectl: " << line << '\n';
    return status;
}

inline int reportError(const core::Error &error)
{
    const std::string peer = error.peer.empty() ? std::string() : " " + error.peer;
    return reportError(exitFailure, error.step + peer + ": " + error.detail);
}

/// Prints the error object of a response to standard error and returns `status`.
inline int reportErrorObject(int status, const QJsonObject &error)
{
    return reportError(status,
                       (error.value("code").toString() + ": " + error.value("detail").toString()).toStdString());
}

/// Returns a connection to the first daemon. Without daemons, prints a usage error and returns nullptr.
inline std::unique_ptr<Connection> connectToFirstDaemon(const Arguments &arguments)
{
    if (arguments.daemons.empty()) {
        reportError(exitUsage, "--daemon=\"\": is required; SARDINEHINGE_DAEMON sets it too");
        return nullptr;
    }
    return std::make_unique<Connection>(arguments.daemons.front());
}

} // namespace sardinehinge::client::internal
