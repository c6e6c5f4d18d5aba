#pragma once

#include "fleet.h"

#include <QJsonArray>
#include <QJsonObject>

#include <string>
#include <vector>

namespace review {

/// A route of the configuration, all under the host that Fleet's callers use.
struct Route
{
    std::string name;
    std::string prefix; ///< Begins and ends with a slash.
    std::string service;
    bool isIdempotent = false;
    Milliseconds timeout{2500};
    Milliseconds objective{500};
    int maxAttempts = 2;
};

/// The configuration as the operator writes it. Its limits are those that `fleetbench wire` shows.
inline QJsonObject configuration(int version, const std::vector<std::string> &services,
                                 const std::vector<Route> &routes)
{
    QJsonArray named;
    for (const std::string &service : services)
        named.append(QJsonObject{{"name", QString::fromStdString(service)},
                                 {"health-check-path", "/health"},
                                 {"max-connections", 130},
                                 {"protocol", "h1"},
                                 {"tls", false}});
    QJsonArray paths;
    for (const Route &route : routes)
        paths.append(QJsonObject{{"name", QString::fromStdString(route.name)},
                                 {"path-prefix", QString::fromStdString(route.prefix)},
                                 {"route-type", route.isIdempotent ? "idempotent" : "non_idempotent"},
                                 {"timeout", QString::number(route.timeout.count()) + "ms"},
                                 {"target-latency", QString::number(route.objective.count()) + "ms"},
                                 {"priority", 1},
                                 {"service", QString::fromStdString(route.service)},
                                 {"max-attempts", route.maxAttempts}});
    return {{"version", "r" + QString::number(version)},
            {"services", named},
            {"limits",
             QJsonObject{{"max-header-bytes", 16384},
                         {"max-body-bytes", 67108864},
                         {"header-timeout", "3000ms"},
                         {"idle-timeout", "15000ms"}}},
            {"virtual-hosts", QJsonArray{QJsonObject{{"host", "hulo84.example"}, {"paths", paths}}}}};
}

/// Starts all daemons and waits until each is ready.
inline bool startAll(Fleet &fleet)
{
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon)
        fleet.start(daemon);
    for (std::size_t daemon = 0; daemon < fleet.size(); ++daemon) {
        if (!fleet.runUntil([&] { return fleet.isReady(daemon); }, std::chrono::seconds(10)))
            return false;
    }
    return fleet.restartEnded() == 0;
}

} // namespace review
