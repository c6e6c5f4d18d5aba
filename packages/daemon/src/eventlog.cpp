#include <sardinehinge/core/text.h>
#include <sardinehinge/daemon/eventlog.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <chrono>
#include <iostream>

namespace sardinehinge::daemon {

// Not in the anonymous namespace: Boost.Log finds it by argument-dependent lookup.
static std::ostream &operator<<(std::ostream &stream, Severity severity)
{
    static constexpr std::array names = {"debug", "info", "warning", "error"};
    return stream << names[static_cast<std::size_t>(severity)];
}

namespace {

namespace logging = boost::log;
namespace expressions = boost::log::expressions;

std::int64_t wallMicroseconds() noexcept
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

Severity severityOf(const std::string &level)
{
    if (level == "debug")
        return Severity::Debug;
    if (level == "warning")
        return Severity::Warning;
    return level == "error" ? Severity::Error : Severity::Info;
}

} // namespace

EventLog::EventLog(std::size_t kept)
    : m_entries(kept)
{
}

void EventLog::record(Severity severity, std::uint32_t event, const std::string &text)
{
    const std::string detail = core::logLine(text);
    {
        const std::lock_guard lock(m_mutex);
        m_entries.push_back({m_clock.now(wallMicroseconds()), event, detail});
    }
    static logging::sources::severity_logger_mt<Severity> logger;
    BOOST_LOG_SEV(logger, severity) << "E" << event << ' ' << detail;
}

core::HybridTime EventLog::stamp()
{
    const std::lock_guard lock(m_mutex);
    return m_clock.now(wallMicroseconds());
}

void EventLog::observe(core::HybridTime remote)
{
    const std::lock_guard lock(m_mutex);
    m_clock.observe(remote, wallMicroseconds());
}

std::vector<TimelineEntry> EventLog::entries() const
{
    const std::lock_guard lock(m_mutex);
    return {m_entries.begin(), m_entries.end()};
}

void initialiseLog(const std::string &level, const std::string &daemonId)
{
    logging::add_common_attributes();
    const auto sink = logging::add_console_log(std::cerr, logging::keywords::auto_flush = true);
    sink->set_formatter(expressions::stream
                        << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << ' ' << daemonId << ' ' << expressions::attr<Severity>("Severity") << ' '
                        << expressions::smessage);
    const Severity least = severityOf(level);
    logging::core::get()->set_filter(expressions::attr<Severity>("Severity") >= least);
}

} // namespace sardinehinge::daemon
