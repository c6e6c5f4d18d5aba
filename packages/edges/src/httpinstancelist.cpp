#include <sardinehinge/edges/documentcodec.h>
#include <sardinehinge/edges/httpadapters.h>

#include "replies.h"

#include <QUrlQuery>

namespace sardinehinge::edges {

HttpInstanceList::HttpInstanceList(QUrl base)
    : m_base(std::move(base))
{
    m_network.setAutoDeleteReplies(false);
}

void HttpInstanceList::read(std::uint64_t afterVersion, core::Duration wait, Callback done)
{
    QUrlQuery query;
    query.addQueryItem("after", QString::number(afterVersion));
    query.addQueryItem("waitMs", QString::number(wait / std::chrono::milliseconds(1)));
    QUrl url = m_base;
    url.setPath("/instances");
    url.setQuery(query);
    QNetworkReply *reply = m_network.get(internal::platformRequest(url, platformTimeout + wait));
    internal::whenFinished(reply, [base = m_base, done = std::move(done)](const internal::PlatformReply &finished) {
        if (finished.status != 200)
            return done(internal::platformError("instance list", base, finished));
        done(decodeInstances(finished.body.toStdString()));
    });
}

} // namespace sardinehinge::edges
