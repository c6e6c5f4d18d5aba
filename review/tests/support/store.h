#pragma once

#include <sardinehinge/http/server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <QJsonObject>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// A sound stand-in for the platform's object store: lists in pages, watches, and conditional writes. Each answer takes
/// a few milliseconds; its content is that of the moment at which the call was carried out.
class Store : private sardinehinge::http::RequestHandler
{
public:
    explicit Store(boost::asio::io_context &context);

    /// Listens on a free loopback port and returns the address.
    std::string listen();
    void put(const std::string &kind, const std::string &name, const QJsonObject &spec);
    void remove(const std::string &kind, const std::string &name);
    /// The object's spec; empty if there is none.
    QJsonObject spec(const std::string &kind, const std::string &name) const;
    /// Called when a page of a list has been read, with the name after which it began.
    std::function<void(const std::string &kind, const std::string &after)> pageRead;

private:
    struct Object
    {
        std::uint64_t revision = 0;
        QJsonObject spec;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool isDeleted = false;
        QJsonObject object;
    };

    struct Watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        std::shared_ptr<sardinehinge::http::Responder> responder;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    using Answer = sardinehinge::http::Response;

    void handle(std::uint64_t exchange, sardinehinge::http::Request request,
                std::shared_ptr<sardinehinge::http::Responder> responder) override;
    void callerDisconnected(std::uint64_t) override { }
    Answer rejection(int status, const std::string &detail, const std::string &peer) override;
    void answerLater(const std::shared_ptr<sardinehinge::http::Responder> &responder, Answer answer);
    Answer list(const std::string &kind, const std::string &after) const;
    Answer read(const std::string &kind, const std::string &name) const;
    Answer write(const sardinehinge::http::Request &request, const std::string &kind, std::string name);
    void watch(const sardinehinge::http::Request &request, const std::string &kind,
               const std::shared_ptr<sardinehinge::http::Responder> &responder);
    bool answerWatch(const Watch &watch, bool hasTimedOut);
    QJsonObject bodyOf(const std::string &kind, const std::string &name) const;
    void changed(const std::string &kind, const std::string &name, bool isDeleted);

    boost::asio::io_context &m_context;
    sardinehinge::http::Server m_server;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 100;
};

} // namespace review
