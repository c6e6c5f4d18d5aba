#pragma once

#include <sardinehinge/core/types.h>
#include <sardinehinge/http/server.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

/// What both stand-in programs share: clock, JSON answers, delays, and the way they start and stop.
namespace sardinehinge::standins {

inline core::Time bootTime() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
}

inline http::Response jsonResponse(const QJsonObject &object, int status = 200)
{
    return {status,
            {{"Content-Type", "application/json"}},
            QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()};
}

inline QJsonObject bodyOf(const http::Request &request)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
}

/// Runs `action` after `delay`; at once when there is none.
inline void after(boost::asio::io_context &context, core::Duration delay, std::function<void()> action)
{
    if (delay <= core::Duration(0))
        return action();
    auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

/// Stops the whole process for `length`, soon, as a frozen one would stand; the answer under way still leaves.
inline void freezeSoon(boost::asio::io_context &context, core::Duration length)
{
    constexpr std::chrono::milliseconds answerTime{20};
    if (length > core::Duration(0))
        after(context, answerTime, [length] { std::this_thread::sleep_for(length); });
}

/// Listens and runs until SIGTERM or SIGINT; returns the exit status.
inline int serve(boost::asio::io_context &context, http::RequestHandler &handler, const std::string &address,
                 http::ServerLimits limits)
{
    http::Server server(context, handler, limits);
    const auto listening = server.listen(address);
    if (const core::Error *error = core::errorIn(listening)) {
        std::cerr << error->step << ' ' << error->peer << ": " << error->detail << '\n';
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace sardinehinge::standins
