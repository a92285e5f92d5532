#include "proof/history.h"

#include "core/assertion.h"

#include <utility>

namespace Rattanpick::Proof
{

namespace
{

QString flowText(quint64 nonce)
{
    return QStringLiteral("flow %1").arg(nonce, 0, 16);
}

QString requestText(quint64 nonce, quint64 number)
{
    return QStringLiteral("flow %1 request %2").arg(nonce, 0, 16).arg(number);
}

QString documentText(const DocumentIdentity &document)
{
    return QStringLiteral("%1/%2").arg(document.number).arg(document.digest, 0, 16);
}

QString endingText(Ending ending)
{
    switch (ending) {
    case Ending::Answered:
        return QStringLiteral("answered");
    case Ending::NotRun:
        return QStringLiteral("not run");
    case Ending::OutcomeUnknown:
        break;
    }
    return QStringLiteral("outcome unknown");
}

/// Describes each kind of record for reports.
struct Describer
{
    QString operator()(const DocumentPublished &body) const
    {
        return QStringLiteral("published document %1").arg(documentText(body.document));
    }

    QString operator()(const ProcessBegan &) const
    {
        return QStringLiteral("started");
    }

    QString operator()(const ProcessEnded &body) const
    {
        return body.isPlanned ? QStringLiteral("ended as planned") : QStringLiteral("killed");
    }

    QString operator()(const DisturbanceBegan &) const
    {
        return QStringLiteral("frozen or cut off");
    }

    QString operator()(const DisturbanceEnded &) const
    {
        return QStringLiteral("resumed or reconnected");
    }

    QString operator()(const ConfigurationInForce &body) const
    {
        return QStringLiteral("uses document %1").arg(documentText(body.document));
    }

    QString operator()(const StopBegan &body) const
    {
        return QStringLiteral("planned stop of the agent of %1 began").arg(body.target);
    }

    QString operator()(const StopEnded &body) const
    {
        return QStringLiteral("planned stop of the agent of %1 ended").arg(body.target);
    }

    QString operator()(const TargetBecameCold &body) const
    {
        return body.isSilent ? QStringLiteral("became cold without notice") : QStringLiteral("started cold");
    }

    QString operator()(const TargetTerminated &) const
    {
        return QStringLiteral("target process ended");
    }

    QString operator()(const PacketReachedTarget &body) const
    {
        return QStringLiteral("received a packet for %1, serves %2 in %3").arg(body.packetService, body.targetService, body.dataCentre);
    }

    QString operator()(const TargetOpenedFlow &body) const
    {
        return QStringLiteral("opened %1").arg(flowText(body.nonce));
    }

    QString operator()(const TargetRanRequest &body) const
    {
        return QStringLiteral("began to run %1").arg(requestText(body.nonce, body.number));
    }

    QString operator()(const TargetEndedRequest &body) const
    {
        return QStringLiteral("ended %1").arg(requestText(body.nonce, body.number));
    }

    QString operator()(const FlowOpened &body) const
    {
        return QStringLiteral("%1 opened").arg(flowText(body.nonce));
    }

    QString operator()(const FlowBroken &body) const
    {
        return QStringLiteral("%1 broken: %2").arg(flowText(body.nonce), body.reason);
    }

    QString operator()(const FlowClosed &body) const
    {
        return QStringLiteral("%1 closed").arg(flowText(body.nonce));
    }

    QString operator()(const CallerSentRequest &body) const
    {
        return QStringLiteral("sent %1").arg(requestText(body.nonce, body.number));
    }

    QString operator()(const CallerCancelledRequest &body) const
    {
        return QStringLiteral("cancelled %1").arg(requestText(body.nonce, body.number));
    }

    QString operator()(const RequestEnded &body) const
    {
        return QStringLiteral("%1 ended: %2").arg(requestText(body.nonce, body.number), endingText(body.ending));
    }
};

}

void History::append(VirtualTime at, const QString &party, RecordBody body)
{
    RP_ASSERT(m_records.empty() || m_records.back().at <= at);
    m_records.push_back(Record{at, party, std::move(body)});
}

QString History::describe(std::size_t index) const
{
    const Record &record = m_records.at(index);
    return QStringLiteral("#%1 %2 ms %3: %4").arg(index).arg(record.at.count() / 1000).arg(record.party, std::visit(Describer{}, record.body));
}

}
