#include "rattanpickd/stream/eralog.h"

namespace Rattanpick
{

EraLog::EraLog(StreamContext &context, const QString &connection)
    : m_context(context)
    , m_connection(connection)
{
}

void EraLog::record(const SourceAnswer &answer)
{
    if (answer.eraProblem == EraProblem::None) {
        return;
    }
    const QString name = QLatin1String(eraProblemName(answer.eraProblem));
    m_context.metrics.counter(QStringLiteral("directory.era-") + name).add();
    if (m_logged.contains(answer.eraProblem)) {
        return;
    }
    m_logged.insert(answer.eraProblem);
    m_context.log.record(EventNumber::DirectoryEraInvalid,
                         QStringLiteral("%1, %2, the answer counts as era %3").arg(name, m_connection).arg(answer.position.era));
}

}
