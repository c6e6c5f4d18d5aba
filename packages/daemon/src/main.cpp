#include <sardinehinge/daemon/daemon.h>
#include <sardinehinge/daemon/eventlog.h>
#include <sardinehinge/daemon/gateway.h>
#include <sardinehinge/daemon/settings.h>

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace {

constexpr int exitBadSettings = 2;
constexpr int largeAllocationBytes = 128 * 1024;
constexpr const char *version = "sardinehinged 0.1.0";

/// Blocks SIGTERM, SIGINT and SIGHUP for all threads and returns a descriptor that reports them, or -1.
int openSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    if (pthread_sigmask(SIG_BLOCK, &signals, nullptr) != 0)
        return -1;
    return signalfd(-1, &signals, SFD_CLOEXEC | SFD_NONBLOCK);
}

/// Serves on a hosting platform until a signal to stop; the program's exit status.
int runGateway(int argc, char **argv, const std::string &settingsPath)
{
    using namespace sardinehinge;
    // Large bodies go back to the system when they are freed. Without this, the allocator would raise the size from
    // which it does so with the first of them, and keep their pages for later.
    mallopt(M_MMAP_THRESHOLD, largeAllocationBytes);
    const int signals = openSignals();
    QCoreApplication application(argc, argv);
    daemon::Gateway gateway(settingsPath);
    if (const auto started = gateway.start(); core::errorIn(started) != nullptr) {
        const core::Error &error = *core::errorIn(started);
        std::cerr << "sardinehinged: " << error.step << ' ' << error.peer << ": " << error.detail << '\n';
        daemon::flushGatewayLog();
        return exitBadSettings;
    }
    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&gateway, signals] {
        signalfd_siginfo received{};
        while (read(signals, &received, sizeof(received)) == sizeof(received))
            received.ssi_signo == SIGHUP ? gateway.reload() : gateway.drain();
    });
    const int status = QCoreApplication::exec();
    daemon::flushGatewayLog();
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace sardinehinge;
    std::signal(SIGPIPE, SIG_IGN);
    auto parsed = daemon::parseSettings(argc, const_cast<const char **>(argv));
    if (const core::Error *error = core::errorIn(parsed)) {
        std::cerr << "sardinehinged: " << error->detail << '\n';
        return exitBadSettings;
    }
    const auto &[request, settings, helpText] = std::get<daemon::ParsedSettings>(parsed);
    if (request == daemon::Request::Help)
        std::cout << helpText;
    if (request == daemon::Request::Version)
        std::cout << version << '\n';
    if (request == daemon::Request::Check)
        std::cout << "settings are right\n";
    if (request != daemon::Request::Run)
        return 0;

    if (!settings.platformSettings.empty())
        return runGateway(argc, argv, settings.platformSettings);
    const int signals = openSignals();
    QCoreApplication application(argc, argv);
    daemon::initialiseLog(settings.logLevel, settings.id);
    daemon::Daemon running(settings);
    if (const auto started = running.start(); core::errorIn(started) != nullptr) {
        const core::Error &error = *core::errorIn(started);
        std::cerr << "sardinehinged: " << error.step << ' ' << error.peer << ": " << error.detail << '\n';
        return 1;
    }
    QSocketNotifier notifier(signals, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&running, signals] {
        signalfd_siginfo received{};
        while (read(signals, &received, sizeof(received)) == sizeof(received)) {
            if (received.ssi_signo != SIGHUP) // The settings come from flags and variables: nothing to read again.
                running.drain();
        }
    });
    return QCoreApplication::exec();
}
