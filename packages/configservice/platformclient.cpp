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

constexpr int okStatus = 200;
constexpr int notModifiedStatus = 304;

}

class PlatformClient::Private
{
public:
    explicit Private(const PlatformClientSettings &givenSettings)
        : settings(givenSettings)
        , client(HttpClientSettings{.caller = givenSettings.caller})
    {
        RP_ASSERT(!settings.endpoints.isEmpty());
    }

    std::optional<PlatformValue> get(const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValue> getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout);
    std::optional<PlatformValue> evaluate(const HttpReply &answer);

    const PlatformClientSettings settings;
    HttpClient client;
    std::atomic<bool> isCancelled = false;
    qsizetype current = 0;
    QString lastError;
};

std::optional<PlatformValue> PlatformClient::Private::get(const QString &path, quint64 afterRevision, Duration timeout)
{
    QString reasons;
    for (qsizetype attempt = 0; attempt < settings.endpoints.size(); ++attempt) {
        const Endpoint &endpoint = settings.endpoints[current];
        if (std::optional<PlatformValue> answer = getFrom(endpoint, path, afterRevision, timeout)) {
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

std::optional<PlatformValue> PlatformClient::Private::getFrom(const Endpoint &endpoint, const QString &path, quint64 afterRevision, Duration timeout)
{
    const QByteArray target = path.toUtf8() + "?after=" + QByteArray::number(afterRevision);
    const std::optional<HttpReply> answer = client.get(endpoint, target, Clock::now() + timeout);
    if (!answer) {
        lastError = client.lastError();
        return std::nullopt;
    }
    return evaluate(*answer);
}

std::optional<PlatformValue> PlatformClient::Private::evaluate(const HttpReply &answer)
{
    bool isRevision = false;
    const quint64 revision = answer.revisionHeader.toULongLong(&isRevision);
    if ((answer.status != okStatus && answer.status != notModifiedStatus) || !isRevision) {
        lastError = QStringLiteral("HTTP status %1%2").arg(answer.status).arg(isRevision ? QString() : QStringLiteral(" without header X-Revision"));
        return std::nullopt;
    }
    if (answer.status == notModifiedStatus) {
        return PlatformValue{revision, false, {}};
    }
    return PlatformValue{revision, true, answer.body};
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
    std::optional<PlatformValue> answer = value(QStringLiteral("document"), afterRevision);
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
    answer->value = *text;
    return answer;
}

std::optional<PlatformInstances> PlatformClient::instances(quint64 afterRevision)
{
    const std::optional<PlatformValue> answer = m_d->get(QStringLiteral("/instances"), afterRevision, m_d->settings.timeout);
    if (!answer) {
        return std::nullopt;
    }
    if (!answer->isChanged) {
        return PlatformInstances{answer->revision, false, {}};
    }
    InstanceListCodec codec;
    const std::optional<InstanceList> list = codec.fromJson(answer->value);
    if (!list) {
        m_d->lastError = codec.lastError();
        return std::nullopt;
    }
    return PlatformInstances{answer->revision, true, *list};
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
