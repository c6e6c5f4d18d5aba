#include <sardinehinge/daemon/gateway.h>

#include "gatewaycontrol.h"
#include "gatewaytraffic.h"

#include <sardinehinge/core/admission/stopschedule.h>
#include <sardinehinge/core/eventnumbers.h>
#include <sardinehinge/core/text.h>
#include <sardinehinge/platform/platform.h>

#include <QCoreApplication>
#include <QTimer>

#include <fstream>
#include <sstream>

namespace sardinehinge::daemon {

namespace {

/// How often a stopping process looks whether it is done.
constexpr std::chrono::milliseconds stopPoll(50);
/// The platform may change the settings file without a signal.
constexpr std::chrono::milliseconds settingsPoll(1000);
/// Time line entries kept for the operators: what an incident's last minute needs, within a megabyte.
constexpr std::size_t keptEntries = 2000;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

struct Gateway::State
{
    std::string path;
    std::string text; ///< Of the settings in use.
    edges::GatewaySettings settings;
    EventLog events{keptEntries};
    Metrics metrics;
    std::unique_ptr<GatewayControl> control;
    std::unique_ptr<GatewayTraffic> traffic;
    QTimer poll;
    QTimer stopPoll;
    core::Time stopBegan{};
    bool hasStoppedListening = false;
    bool hasEndedRequests = false;
};

Gateway::Gateway(std::string settingsPath)
    : m_state(std::make_unique<State>())
{
    m_state->path = std::move(settingsPath);
}

Gateway::~Gateway()
{
    if (m_state->traffic)
        m_state->traffic->stop();
    if (m_state->control)
        m_state->control->stop();
}

core::Result<core::Done> Gateway::start()
{
    const auto text = readFile(m_state->path);
    if (!text)
        return core::Error{core::ErrorCode::BadSetting, "settings", m_state->path, "the file can't be read"};
    auto read = platform::readSettings(*text);
    if (const core::Error *error = core::errorIn(read))
        return *error;
    State &state = *m_state;
    state.text = *text;
    state.settings = std::get<edges::GatewaySettings>(read);
    initialiseGatewayLog(state.settings.id);
    state.control = std::make_unique<GatewayControl>(
        state.settings,
        [&state](boost::asio::io_context &context) {
            return platform::makePlatform(context, state.settings.storeAddress, state.settings.memoryBytes);
        },
        state.events, state.metrics,
        [&state](ToTraffic update) { return state.traffic->updates().push(std::move(update)); });
    state.traffic = std::make_unique<GatewayTraffic>(
        state.settings, platform::makeDialect(), state.events, state.metrics,
        [&state](FromTraffic report) { return state.control->reports().push(std::move(report)); });
    if (auto started = state.traffic->start(); core::errorIn(started) != nullptr)
        return started;
    if (auto started = state.control->start(); core::errorIn(started) != nullptr)
        return started;
    state.events.record(Severity::Info, core::events::daemonStarted,
                        "callers=" + state.settings.callerAddress + " peers=" + state.settings.peerAddress
                            + " store=" + state.settings.storeAddress
                            + " failure_domain=" + core::logValue(state.settings.failureDomain));
    QObject::connect(&state.poll, &QTimer::timeout, [this] { reload(); });
    state.poll.start(settingsPoll);
    return core::Done{};
}

void Gateway::reload()
{
    State &state = *m_state;
    const auto text = readFile(state.path);
    if (!text || *text == state.text)
        return;
    state.text = *text;
    auto read = platform::readSettings(*text);
    if (const core::Error *error = core::errorIn(read)) {
        state.events.record(Severity::Warning, core::events::settingsReloaded, "refused: " + error->detail);
        return;
    }
    state.settings = std::get<edges::GatewaySettings>(read);
    state.traffic->applySettings(state.settings);
    state.events.record(Severity::Info, core::events::settingsReloaded, "in force");
}

void Gateway::drain()
{
    State &state = *m_state;
    if (state.stopPoll.isActive())
        return;
    state.stopBegan = bootTime();
    state.events.record(Severity::Info, core::events::drainStarted,
                        "connections=" + std::to_string(state.traffic->connections()));
    const core::StopSchedule schedule = core::stopScheduleFor(state.settings.stopTime);
    state.traffic->announceDrain(schedule.lastAdmission);
    state.control->resign();
    QObject::connect(&state.stopPoll, &QTimer::timeout, [&state, schedule] {
        const core::Duration since = bootTime() - state.stopBegan;
        if (!state.hasStoppedListening && since >= schedule.stopListening) {
            state.hasStoppedListening = true;
            state.traffic->drain();
        }
        if (!state.hasEndedRequests && since >= schedule.finalAnswers) {
            state.hasEndedRequests = true;
            state.traffic->endRequests();
        }
        const bool isDone
            = state.hasStoppedListening && state.traffic->connections() == 0 && state.control->hasResigned();
        if (!isDone && since < schedule.end)
            return;
        state.events.record(Severity::Info, core::events::daemonStopped,
                            "connections=" + std::to_string(state.traffic->connections()));
        QCoreApplication::quit();
    });
    state.stopPoll.start(stopPoll);
}

} // namespace sardinehinge::daemon
