#include "configservice/platformclient.h"

#include "configservice/documentassembler.h"
#include "configservice/httpclient.h"
#include "configservice/instancelistcodec.h"
#include "core/assertion.h"

#include <QUrl>

#include <atomic>

namespace Rattanpick
{

namespace
{

constexpr int httpOk = 200;
constexpr int httpNotModified = 304;

}

class PlatformClient::Private
{
public:
    explicit Private(const PlatformClientSettings &clientSettings)
        : settings(clientSettings)
        , client(HttpClientSettings{.caller = clientSettings.caller})
    {
        RP_ASSERT(!settings.endpoints.isEmpty());
    }

    std::optional<PlatformValue> get(const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValue> getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValue> parseReply(const HttpReply &reply);

    const PlatformClientSettings settings;
    HttpClient client;
    std::atomic<bool> isCancelled = false;
    qsizetype currentEndpoint = 0;
    QString lastError;
};

std::optional<PlatformValue> PlatformClient::Private::get(const QString &path, quint64 afterRevision, Duration timeout)
{
    QString errors;
    for (qsizetype attempt = 0; attempt < settings.endpoints.size(); ++attempt) {
        const Endpoint &endpoint = settings.endpoints[currentEndpoint];
        if (std::optional<PlatformValue> reply = getFrom(endpoint, path, afterRevision, timeout)) {
            return reply;
        }
        errors += (errors.isEmpty() ? QString() : QStringLiteral("; ")) + endpoint.toString() + QStringLiteral(": ") + lastError;
        if (isCancelled) {
            break;
        }
        currentEndpoint = (currentEndpoint + 1) % settings.endpoints.size();
    }
    lastError = errors;
    return std::nullopt;
}

std::optional<PlatformValue> PlatformClient::Private::getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout)
{
    const QByteArray target = path.toUtf8() + "?after=" + QByteArray::number(afterRevision);
    const std::optional<HttpReply> reply = client.get(endpoint, target, Clock::now() + timeout);
    if (!reply) {
        lastError = client.lastError();
        return std::nullopt;
    }
    return parseReply(*reply);
}

std::optional<PlatformValue> PlatformClient::Private::parseReply(const HttpReply &reply)
{
    bool isRevision = false;
    const quint64 revision = reply.revisionHeader.toULongLong(&isRevision);
    if ((reply.status != httpOk && reply.status != httpNotModified) || !isRevision) {
        lastError = QStringLiteral("HTTP status %1%2").arg(reply.status).arg(isRevision ? QString() : QStringLiteral(" without header X-Revision"));
        return std::nullopt;
    }
    if (reply.status == httpNotModified) {
        return PlatformValue{revision, false, {}};
    }
    return PlatformValue{revision, true, reply.body};
}

PlatformClient::PlatformClient(const PlatformClientSettings &settings)
    : m_d(std::make_unique<Private>(settings))
{
}

PlatformClient::~PlatformClient() = default;

std::optional<PlatformValue> PlatformClient::value(const QString &name, quint64 afterRevision)
{
    return m_d->get(QStringLiteral("/value/") + QString::fromLatin1(QUrl::toPercentEncoding(name)), afterRevision, m_d->settings.timeout);
}

std::optional<PlatformValue> PlatformClient::document(quint64 afterRevision)
{
    std::optional<PlatformValue> reply = value(QStringLiteral("document"), afterRevision);
    if (!reply || !reply->isChanged) {
        return reply;
    }
    DocumentAssembler assembler;
    if (!assembler.start(reply->value)) {
        m_d->lastError = assembler.lastError();
        return std::nullopt;
    }
    const QStringList names = assembler.missingParts();
    for (const QString &name : names) {
        const QString path = QStringLiteral("/value/") + QString::fromLatin1(QUrl::toPercentEncoding(name));
        const std::optional<PlatformValue> part = m_d->get(path, 0, m_d->settings.partTimeout);
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
    reply->value = *text;
    return reply;
}

std::optional<PlatformInstances> PlatformClient::instances(quint64 afterRevision)
{
    const std::optional<PlatformValue> reply = m_d->get(QStringLiteral("/instances"), afterRevision, m_d->settings.timeout);
    if (!reply) {
        return std::nullopt;
    }
    if (!reply->isChanged) {
        return PlatformInstances{reply->revision, false, {}};
    }
    InstanceListCodec codec;
    const std::optional<InstanceList> list = codec.fromJson(reply->value);
    if (!list) {
        m_d->lastError = codec.lastError();
        return std::nullopt;
    }
    return PlatformInstances{reply->revision, true, *list};
}

void PlatformClient::cancel()
{
    m_d->isCancelled = true;
    m_d->client.cancel();
}

const QString &PlatformClient::lastError() const
{
    return m_d->lastError;
}

}
