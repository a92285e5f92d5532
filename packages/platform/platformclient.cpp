#include "platform/platformclient.h"

#include "core/assertion.h"
#include "platform/documentassembler.h"
#include "platform/instancelistcodec.h"

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <atomic>

namespace Rattanpick
{

namespace
{

constexpr int okStatus = 200;
constexpr int notModifiedStatus = 304;

/// Bounds the memory that an answer can claim; the instance list of the design size has about 5 MB.
constexpr qsizetype maximumAnswerBytes = 64'000'000;

}

class PlatformClient::Private
{
public:
    explicit Private(const PlatformClientSettings &givenSettings)
        : settings(givenSettings)
    {
        RP_ASSERT(!settings.endpoints.isEmpty());
    }

    std::optional<PlatformValueAnswer> get(const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValueAnswer> getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValueAnswer> evaluate(QNetworkReply &reply);

    const PlatformClientSettings settings;
    QNetworkAccessManager manager;
    std::atomic<bool> isCancelled = false;
    QEventLoop loop;
    qsizetype current = 0;
    QString lastError;
};

std::optional<PlatformValueAnswer> PlatformClient::Private::get(const QString &path, quint64 afterRevision, Duration timeout)
{
    QString reasons;
    for (qsizetype attempt = 0; attempt < settings.endpoints.size(); ++attempt) {
        const Endpoint &endpoint = settings.endpoints[current];
        if (std::optional<PlatformValueAnswer> answer = getFrom(endpoint, path, afterRevision, timeout)) {
            return answer;
        }
        reasons += (reasons.isEmpty() ? QString() : QStringLiteral("; ")) + endpoint.toString() + QStringLiteral(": ") + lastError;
        if (isCancelled) {
            break;
        }
        current = (current + 1) % settings.endpoints.size();
    }
    lastError = reasons;
    return std::nullopt;
}

std::optional<PlatformValueAnswer> PlatformClient::Private::getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout)
{
    QNetworkRequest request(QUrl(QStringLiteral("http://%1%2?after=%3").arg(endpoint.toString(), path).arg(afterRevision)));
    request.setRawHeader("X-Caller", settings.caller.toUtf8());
    request.setTransferTimeout(static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
    const std::unique_ptr<QNetworkReply> reply(manager.get(request));
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    QObject::connect(reply.get(), &QNetworkReply::downloadProgress, reply.get(), [&reply](qint64 received, qint64) {
        if (received > maximumAnswerBytes) {
            reply->abort();
        }
    });
    // The transfer time-out counts from the last byte only; a service that trickles bytes is cut off here.
    QTimer deadline;
    deadline.setSingleShot(true);
    QObject::connect(&deadline, &QTimer::timeout, reply.get(), &QNetworkReply::abort);
    deadline.start(std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
    if (!isCancelled && !reply->isFinished()) {
        loop.exec();
    }
    if (!reply->isFinished()) {
        lastError = QStringLiteral("cancelled");
        reply->abort();
        return std::nullopt;
    }
    return evaluate(*reply);
}

std::optional<PlatformValueAnswer> PlatformClient::Private::evaluate(QNetworkReply &reply)
{
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    bool isRevision = false;
    const quint64 revision = reply.rawHeader("X-Revision").toULongLong(&isRevision);
    if (reply.error() != QNetworkReply::NoError && status != notModifiedStatus) {
        lastError = status != 0 ? QStringLiteral("HTTP status %1").arg(status) : reply.errorString();
        return std::nullopt;
    }
    if ((status != okStatus && status != notModifiedStatus) || !isRevision) {
        lastError = QStringLiteral("unexpected HTTP status %1 or no header X-Revision").arg(status);
        return std::nullopt;
    }
    if (status == notModifiedStatus) {
        return PlatformValueAnswer{revision, false, {}};
    }
    return PlatformValueAnswer{revision, true, reply.readAll()};
}

PlatformClient::PlatformClient(const PlatformClientSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

PlatformClient::~PlatformClient() = default;

std::optional<PlatformValueAnswer> PlatformClient::value(const QString &name, quint64 afterRevision)
{
    return m_d->get(QStringLiteral("/value/") + QString::fromLatin1(QUrl::toPercentEncoding(name)), afterRevision, m_d->settings.timeout);
}

std::optional<PlatformValueAnswer> PlatformClient::document(quint64 afterRevision)
{
    std::optional<PlatformValueAnswer> answer = value(QStringLiteral("document"), afterRevision);
    if (!answer || !answer->isChanged) {
        return answer;
    }
    DocumentAssembler assembler;
    if (!assembler.start(answer->value)) {
        m_d->lastError = assembler.lastError();
        return std::nullopt;
    }
    const QStringList names = assembler.missingParts();
    for (const QString &name : names) {
        const QString path = QStringLiteral("/value/") + QString::fromLatin1(QUrl::toPercentEncoding(name));
        const std::optional<PlatformValueAnswer> part = m_d->get(path, 0, m_d->settings.partTimeout);
        if (!part) {
            return std::nullopt;
        }
        if (!assembler.addPart(name, part->value)) {
            m_d->lastError = assembler.lastError();
            return std::nullopt;
        }
    }
    const std::optional<QByteArray> text = assembler.document();
    if (!text) {
        m_d->lastError = assembler.lastError();
        return std::nullopt;
    }
    answer->value = *text;
    return answer;
}

std::optional<PlatformInstancesAnswer> PlatformClient::instances(quint64 afterRevision)
{
    const std::optional<PlatformValueAnswer> answer = m_d->get(QStringLiteral("/instances"), afterRevision, m_d->settings.timeout);
    if (!answer) {
        return std::nullopt;
    }
    if (!answer->isChanged) {
        return PlatformInstancesAnswer{answer->revision, false, {}};
    }
    InstanceListCodec codec;
    const std::optional<InstanceList> list = codec.fromJson(answer->value);
    if (!list) {
        m_d->lastError = codec.lastError();
        return std::nullopt;
    }
    return PlatformInstancesAnswer{answer->revision, true, *list};
}

void PlatformClient::cancel()
{
    m_d->isCancelled = true;
    // A queued call, since quit() before exec() would be lost while the calling thread enters the loop.
    QMetaObject::invokeMethod(&m_d->loop, &QEventLoop::quit, Qt::QueuedConnection);
}

const QString &PlatformClient::lastError() const
{
    return m_d->lastError;
}

}
