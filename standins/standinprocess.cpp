#include "standins/standinprocess.h"

#include <core/identifiers.h>

#include <QDateTime>
#include <QJsonDocument>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace Rattanpick
{

namespace
{

constexpr int usageErrorStatus = 2;
constexpr quint64 maximumPartCount = 4;

std::atomic<bool> stopRequested = false;

extern "C" void requestStop(int)
{
    stopRequested = true;
}

}

void StandInProcess::handleStopSignals()
{
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
}

bool StandInProcess::shouldStop()
{
    return stopRequested;
}

Endpoint StandInProcess::endpointOrExit(const std::string &text)
{
    const std::optional<Endpoint> endpoint = Endpoint::fromString(QString::fromStdString(text));
    if (!endpoint) {
        std::fprintf(stderr, "standin: %s is not an address and port\n", text.c_str());
        std::exit(usageErrorStatus);
    }
    return *endpoint;
}

JsonLines::JsonLines(const std::string &fileName)
    : m_file(QString::fromStdString(fileName))
{
    if (!fileName.empty() && !m_file.open(QIODevice::WriteOnly | QIODevice::Append)) {
        std::fprintf(stderr, "standin: cannot write %s\n", fileName.c_str());
        std::exit(usageErrorStatus);
    }
}

void JsonLines::write(QJsonObject object)
{
    if (!m_file.isOpen()) {
        return;
    }
    object.insert(QStringLiteral("wall"), QDateTime::currentMSecsSinceEpoch());
    m_file.write(QJsonDocument(object).toJson(QJsonDocument::Compact) + '\n');
    m_file.flush();
}

bool drawPercent(std::mt19937_64 &random, int percent)
{
    return percent > 0 && random() % 100 < static_cast<quint64>(percent);
}

QByteArray answerPart(const QByteArray &requestBody, int part)
{
    return requestBody + '#' + QByteArray::number(part) + ';';
}

int answerParts(const QByteArray &requestBody)
{
    return 1 + static_cast<int>(hashBytes(requestBody) % maximumPartCount);
}

}
